package admission

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gannethook/internal/driver"
	"gannethook/internal/limits"
)

// core is a driver that serves each request after a time, or is full.
type core struct {
	takes time.Duration
	full  bool
	mu    sync.Mutex
	out   int
	most  int
	jobs  []driver.Job
	wg    sync.WaitGroup
}

func (c *core) Submit(job driver.Job, sink driver.Sink) (*driver.Call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		return nil, driver.ErrBusy
	}
	c.jobs = append(c.jobs, job)
	c.out++
	c.most = max(c.most, c.out)
	c.wg.Go(func() {
		time.Sleep(c.takes)
		c.mu.Lock()
		c.out-- // its first token takes it out of hand
		c.mu.Unlock()
		sink.Token([]byte(`"t"`))
		sink.Final(driver.Answer{Outcome: driver.Served, Tokens: 1})
	})
	return nil, nil
}

// sink checks that there is one final answer and nothing after it.
type sink struct {
	t      *testing.T
	mu     sync.Mutex
	finals []driver.Answer
	at     time.Time
}

func (s *sink) Token([]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.finals) > 0 {
		s.t.Error("a token after the final answer")
	}
	return true
}

func (s *sink) Final(a driver.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finals = append(s.finals, a); len(s.finals) > 1 {
		s.t.Errorf("final answers %v", s.finals)
	}
	s.at = time.Now()
}

func set(hand, waiting int) limits.Settings {
	return limits.Settings{Routers: 1, Classes: []limits.Class{{Aim: time.Second, Worth: 1}}, MaxWaiting: waiting, WaitPart: 0.5,
		MinInFlight: hand, StartInFlight: hand, MaxInFlight: hand, MaxClients: 10, MinRetryAfter: 100 * time.Millisecond, MaxRetryAfter: time.Second}
}

func job() Job {
	return Job{Job: driver.Job{Tenant: -1, PromptSize: 100, MaxTokens: 10, Timeout: 5 * time.Second}}
}

// run asks for so many at once, on the test's clock, and waits for all.
func run(t *testing.T, c *core, hand, waiting, n int, do func(in *Controller, tickets []*Ticket)) (list []*sink) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		told := 0
		in := New(c, set(hand, waiting), func(driver.Summary) { mu.Lock(); told++; mu.Unlock() })
		var tickets []*Ticket
		for range n {
			s := &sink{t: t}
			list = append(list, s)
			tickets = append(tickets, in.Submit(job(), s))
		}
		if do != nil {
			do(in, tickets)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.wg.Wait()
		in.Stop()
		if v := in.View(); v.Waiting != 0 || v.Hands != 0 || len(in.tickets) != 0 {
			t.Errorf("at the end %+v, %d tickets", v, len(in.tickets))
		}
		if told+len(c.jobs) != n {
			t.Errorf("%d of %d told of, %d came to the driver", told, n, len(c.jobs))
		}
	})
	return list
}

// count is how the requests ended.
func count(t *testing.T, list []*sink) map[driver.Outcome]int {
	t.Helper()
	m := map[driver.Outcome]int{}
	for i, s := range list {
		if len(s.finals) != 1 {
			t.Fatalf("request %d has %d final answers", i, len(s.finals))
		}
		m[s.finals[0].Outcome]++
	}
	return m
}

// What there is room for goes to the driver at once, the rest in its turn, with
// the time that it has waited; nothing is lost.
func TestTurns(t *testing.T) {
	c := &core{takes: 50 * time.Millisecond}
	list := run(t, c, 2, 100, 10, nil)
	if m := count(t, list); m[driver.Served] != 10 || c.most > 2 {
		t.Errorf("%v, %d in hand at once", m, c.most)
	}
	if last := c.jobs[9]; last.QueuedFor != 200*time.Millisecond {
		t.Errorf("the last waited %v by its job", last.QueuedFor)
	}
}

// What would wait too long is refused in its time, whoever is slow.
func TestLateIsRefused(t *testing.T) {
	c := &core{takes: 3 * time.Second}
	m := count(t, run(t, c, 1, 100, 6, nil))
	if m[driver.Served] != 1 || m[driver.Refused] != 5 {
		t.Errorf("%v", m)
	}
}

// A driver that is full refuses; the room is free again.
func TestFullDriver(t *testing.T) {
	c := &core{full: true}
	if m := count(t, run(t, c, 2, 100, 6, nil)); m[driver.Refused] != 6 {
		t.Errorf("%v", m)
	}
}

// A client that leaves while it waits, and one that left on its way, have one answer each.
func TestLeft(t *testing.T) {
	c := &core{takes: 50 * time.Millisecond}
	list := run(t, c, 1, 100, 3, func(_ *Controller, tickets []*Ticket) {
		tickets[1].Abandon()
		tickets[1].Abandon()
		tickets[0].Abandon() // the driver has it: its answer stands
	})
	if m := count(t, list); m[driver.Cancelled] != 1 || m[driver.Served] != 2 {
		t.Errorf("%v", m)
	}
}

// A stop refuses what waits at once, and takes nothing more.
func TestStop(t *testing.T) {
	c := &core{takes: time.Second}
	var late *sink
	from := time.Time{}
	list := run(t, c, 1, 100, 4, func(in *Controller, _ []*Ticket) {
		from = time.Now()
		in.Stop()
		late = &sink{t: t}
		in.done = nil
		in.Submit(job(), late)
	})
	if m := count(t, append(list, late)); m[driver.Refused] != 4 || m[driver.Served] != 1 {
		t.Errorf("%v", m)
	}
	if list[3].at.Sub(from) != 0 {
		t.Errorf("refused %v after the stop", list[3].at.Sub(from))
	}
}

// Many at once, from many sides, have one answer each.
func TestConcurrent(t *testing.T) {
	c := &core{takes: time.Millisecond}
	in := New(c, set(8, 50), func(driver.Summary) {})
	var wg sync.WaitGroup
	list := make([]*sink, 400)
	for i := range list {
		list[i] = &sink{t: t}
		wg.Go(func() {
			ticket := in.Submit(job(), list[i])
			if i%7 == 0 {
				ticket.Abandon()
			}
			if i%50 == 0 {
				in.Reload(set(4+i%3, 30))
				in.SetRouters(1 + i%4)
				in.Revoke(uint64(i))
			}
		})
	}
	wg.Wait()
	c.wg.Wait()
	in.Stop()
	c.wg.Wait()
	if m := count(t, list); m[driver.Served] == 0 {
		t.Error(fmt.Sprint(m))
	}
}
