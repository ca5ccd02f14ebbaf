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

// fakeDriver serves each request after serviceTime, or rejects all if full.
type fakeDriver struct {
	serviceTime time.Duration
	full        bool
	mu          sync.Mutex
	inFlight    int
	peak        int
	jobs        []driver.Job
	submittedAt []time.Time // of jobs
	wg          sync.WaitGroup
}

func (d *fakeDriver) Submit(job driver.Job, sink driver.Sink) (*driver.Call, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return nil, driver.ErrBusy
	}
	d.jobs, d.submittedAt = append(d.jobs, job), append(d.submittedAt, time.Now())
	d.inFlight++
	d.peak = max(d.peak, d.inFlight)
	d.wg.Go(func() {
		time.Sleep(d.serviceTime)
		d.mu.Lock()
		d.inFlight-- // the first token ends its use of the concurrency limit
		d.mu.Unlock()
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

func testSettings(concurrency, waiting int) limits.Settings {
	return limits.Settings{Routers: 1, Classes: []limits.Class{{Aim: time.Second, Worth: 1}}, MaxQueued: waiting, MaxWaitFraction: 0.5,
		MinInFlight: concurrency, StartInFlight: concurrency, MaxInFlight: concurrency, MaxClients: 10, MinRetryAfter: 100 * time.Millisecond, MaxRetryAfter: time.Second}
}

func testJob() Job {
	return Job{Job: driver.Job{Tenant: -1, PromptSize: 100, MaxTokens: 10, Timeout: 5 * time.Second}}
}

// submitAll submits n requests at once, on the test's clock, calls do and waits for all answers.
func submitAll(t *testing.T, d *fakeDriver, concurrency, waiting, n int, do func(c *Controller, tickets []*Ticket)) (sinks []*sink) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		refused := 0
		c := New(d, testSettings(concurrency, waiting), func(driver.Summary) { mu.Lock(); refused++; mu.Unlock() })
		var tickets []*Ticket
		for range n {
			s := &sink{t: t}
			sinks = append(sinks, s)
			tickets = append(tickets, c.Submit(testJob(), s))
		}
		if do != nil {
			do(c, tickets)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		d.wg.Wait()
		c.Stop()
		if v := c.View(); v.Queued != 0 || v.InFlight != 0 || len(c.tickets) != 0 {
			t.Errorf("at the end %+v, %d tickets", v, len(c.tickets))
		}
		if refused+len(d.jobs) != n {
			t.Errorf("%d of %d requests ended without the driver, %d reached it", refused, n, len(d.jobs))
		}
	})
	return sinks
}

// outcomes checks that each request has one final answer and counts the answers by outcome.
func outcomes(t *testing.T, sinks []*sink) map[driver.Outcome]int {
	t.Helper()
	counts := map[driver.Outcome]int{}
	for i, s := range sinks {
		if len(s.finals) != 1 {
			t.Fatalf("request %d has %d final answers", i, len(s.finals))
		}
		counts[s.finals[0].Outcome]++
	}
	return counts
}

// Requests within the concurrency limit are submitted to the driver at once, the others as capacity is freed, with the
// time that they were queued; none is lost.
func TestQueueing(t *testing.T) {
	d := &fakeDriver{serviceTime: 50 * time.Millisecond}
	sinks := submitAll(t, d, 2, 100, 10, nil)
	if m := outcomes(t, sinks); m[driver.Served] != 10 || d.peak > 2 {
		t.Errorf("%v, at most %d in flight", m, d.peak)
	}
	if queued := d.submittedAt[9].Sub(d.jobs[9].ArrivedAt); queued != 200*time.Millisecond {
		t.Errorf("the last job was queued for %v", queued)
	}
}

// Requests that would be queued too long for a slow driver are refused in time.
func TestQueueTimeout(t *testing.T) {
	d := &fakeDriver{serviceTime: 3 * time.Second}
	m := outcomes(t, submitAll(t, d, 1, 100, 6, nil))
	if m[driver.Served] != 1 || m[driver.Refused] != 5 {
		t.Errorf("%v", m)
	}
}

// Requests that the driver rejects are refused, and their capacity is released.
func TestFullDriver(t *testing.T) {
	d := &fakeDriver{full: true}
	if m := outcomes(t, submitAll(t, d, 2, 100, 6, nil)); m[driver.Refused] != 6 {
		t.Errorf("%v", m)
	}
}

// A queued request and one that the driver has get one answer each after their clients disconnect.
func TestClientDisconnects(t *testing.T) {
	d := &fakeDriver{serviceTime: 50 * time.Millisecond}
	sinks := submitAll(t, d, 1, 100, 3, func(_ *Controller, tickets []*Ticket) {
		tickets[1].Abandon()
		tickets[1].Abandon()
		tickets[0].Abandon() // the driver has it: its answer stands
	})
	if m := outcomes(t, sinks); m[driver.Cancelled] != 1 || m[driver.Served] != 2 {
		t.Errorf("%v", m)
	}
}

// Stop refuses queued requests at once, and new ones.
func TestStop(t *testing.T) {
	d := &fakeDriver{serviceTime: time.Second}
	var late *sink
	stopped := time.Time{}
	sinks := submitAll(t, d, 1, 100, 4, func(c *Controller, _ []*Ticket) {
		stopped = time.Now()
		c.Stop()
		late = &sink{t: t}
		c.refused = nil
		c.Submit(testJob(), late)
	})
	if m := outcomes(t, append(sinks, late)); m[driver.Refused] != 4 || m[driver.Served] != 1 {
		t.Errorf("%v", m)
	}
	if sinks[3].at.Sub(stopped) != 0 {
		t.Errorf("refused %v after Stop", sinks[3].at.Sub(stopped))
	}
}

// Requests submitted concurrently with cancels, reloads and revocations get one answer each.
func TestConcurrent(t *testing.T) {
	d := &fakeDriver{serviceTime: time.Millisecond}
	c := New(d, testSettings(8, 50), func(driver.Summary) {})
	var wg sync.WaitGroup
	sinks := make([]*sink, 400)
	for i := range sinks {
		sinks[i] = &sink{t: t}
		wg.Go(func() {
			ticket := c.Submit(testJob(), sinks[i])
			if i%7 == 0 {
				ticket.Abandon()
			}
			if i%50 == 0 {
				c.Reload(testSettings(4+i%3, 30))
				c.SetRouters(1 + i%4)
				c.Revoke(uint64(i))
			}
		})
	}
	wg.Wait()
	d.wg.Wait()
	c.Stop()
	d.wg.Wait()
	if m := outcomes(t, sinks); m[driver.Served] == 0 {
		t.Error(fmt.Sprint(m))
	}
}
