package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/heldstate"
)

// preservingEngines simulate servers whose writes are queued, with the state still at its reader: a release preserves the
// state until the server has observed that the write was cancelled, which a server that hangs does not.
type preservingEngines struct {
	*fakeEngines
	closeNoticeDelay time.Duration // after which a close is observed

	mu                 sync.Mutex
	waitingWrites      int       // from the servers' point of view
	resumed            chan bool // closed when the writers run again; nil: they run
	lastAnswer         time.Time // when a writer last began to answer a call
	releaseCalls       int
	unansweredReleases int // so many first releases are not answered
}

func (s *preservingEngines) Write(ctx context.Context, _ *attempt.Call, _ func() bool, _ func([]byte) bool) attempt.Result {
	s.mu.Lock()
	s.waitingWrites++
	s.mu.Unlock()
	<-ctx.Done()
	go func() {
		if s.resumed != nil {
			<-s.resumed
		}
		time.Sleep(s.closeNoticeDelay)
		s.mu.Lock()
		s.waitingWrites--
		s.mu.Unlock()
	}()
	return cancelledResult
}

func (s *preservingEngines) Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseCalls++
	if s.unansweredReleases > 0 {
		s.unansweredReleases--
		return attempt.ReleaseResult{}
	}
	if s.waitingWrites == 0 {
		s.fakeEngines.mu.Lock()
		clear(s.held)
		s.fakeEngines.mu.Unlock()
	}
	return attempt.ReleaseResult{Acknowledged: true, Server: "s0", SentAt: time.Now()}
}

func (s *preservingEngines) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	sent := time.Now()
	if s.resumed != nil {
		<-s.resumed
	}
	s.mu.Lock()
	s.lastAnswer = time.Now()
	s.mu.Unlock()
	return attempt.ReleaseResult{Acknowledged: true, Server: h.Addr, SentAt: sent}
}

func (s *preservingEngines) LastAnswer(server string) (sent, answered time.Time) {
	if server == "s0" || server == "s1" || s.resumed == nil { // readers always answer
		return time.Now(), time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer, s.lastAnswer
}

// maxUnconfirmedClose bounds how long a server may not observe a close.
const maxUnconfirmedClose = 5 * time.Second

// heldAfterCancel runs a request whose write waits for writeTime and whose client then disconnects, with a writer that hangs
// for hangTime from then on. It returns how long the state was held with no write waiting.
func (s *preservingEngines) heldAfterCancel(t *testing.T, writeTime, hangTime time.Duration) (held time.Duration) {
	set := testSettings()
	set.SparesWaited, set.MaxAttempts = true, 2
	s.fakeEngines.holdOK = false
	runWithEngines(t, s, set, func(d *Driver) {
		if hangTime > 0 {
			s.resumed = make(chan bool)
			time.AfterFunc(writeTime+hangTime, func() { close(s.resumed) })
		}
		sink, j := newSink(t), newJob(0)
		j.Name = "a"
		c, err := d.Submit(j, sink)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(writeTime)
		c.Cancel()
		<-sink.done
		for from := time.Now(); len(s.stillHeld()) > 0 && time.Since(from) < 10*time.Second; time.Sleep(ms) {
			s.mu.Lock()
			if s.waitingWrites == 0 {
				held += ms
			}
			s.mu.Unlock()
		}
		time.Sleep(2*time.Second + maxUnconfirmedClose) // its writer may continue for this long if the close was lost
		left := make(chan int, 1)
		d.post(func() { left <- d.ledger.Len() })
		if n := <-left; n != 0 {
			t.Errorf("%d ledger entries remain", n)
		}
	})
	return held
}

// The state of a cancelled write is released in time: however long the write was in flight, however late the close is
// observed, also by a server that hangs, and also if the first releases are not answered. The number of releases is bounded.
func TestStateReleasedAfterCancelledWrite(t *testing.T) {
	for _, writeTime := range []time.Duration{100 * ms, 290 * ms, 700 * ms, 1490 * ms} {
		for _, c := range []struct {
			name                       string
			closeNoticeDelay, hangTime time.Duration
			unansweredReleases         int
			maxReleases                int // limit on releases, without those below
		}{
			{"observed at once", 0, 0, 0, 3},
			{"observed late", 25 * ms, 0, 0, 3},
			{"observed very late", 150 * ms, 0, 0, 3},
			{"a server that hangs", 20 * ms, 3 * time.Second, 0, 12}, // and one every 0.4 s
			{"first releases not answered", 10 * ms, 0, 3, 6},
		} {
			s := &preservingEngines{fakeEngines: newFakeEngines(), closeNoticeDelay: c.closeNoticeDelay, unansweredReleases: c.unansweredReleases}
			held := s.heldAfterCancel(t, writeTime, c.hangTime)
			if left := s.stillHeld(); held > 500*ms || len(left) > 0 {
				t.Errorf("write in flight for %v, %s: held for %v, still held %v", writeTime, c.name, held, left)
			}
			duringWrite := int(writeTime / (400 * ms))          // one every 0.4 s of the write, which may not have arrived
			afterClose := int(maxUnconfirmedClose / (450 * ms)) // one every 0.45 s after its close, which may have been lost
			if limit := c.maxReleases + duringWrite + afterClose; s.releaseCalls > limit {
				t.Errorf("write in flight for %v, %s: %d releases, limit %d", writeTime, c.name, s.releaseCalls, limit)
			}
		}
	}
}

// lostWrites simulate servers that writes never reach: no write waits for the state, and a release releases it.
type lostWrites struct{ *preservingEngines }

func (s lostWrites) Write(ctx context.Context, _ *attempt.Call, _ func() bool, _ func([]byte) bool) attempt.Result {
	s.fakeEngines.mu.Lock()
	s.fakeEngines.writes++
	s.fakeEngines.mu.Unlock()
	<-ctx.Done()
	return cancelledResult
}

// While one or more successive writes never reach their server, the state is released in time, both while the request is
// open and after its answer where attempts are not cancelled. The writes continue. Where a release would take what a write
// waits for, none is made before the end of the write.
func TestStateReleasedDuringLostWrites(t *testing.T) {
	for name, c := range map[string]struct {
		class    int
		attempts int
		timeout  time.Duration
		change   func(*gannethook.Settings)
		released bool
	}{
		"one, unsafe":                              {1, 4, 3 * time.Second, nil, true},
		"one after another":                        {0, 7, 3 * time.Second, nil, true},
		"request answered before":                  {1, 4, 300 * ms, func(set *gannethook.Settings) { set.Cancel = false }, true},
		"a release takes what the write waits for": {1, 4, 3 * time.Second, func(set *gannethook.Settings) { set.SparesWaited = false }, false},
	} {
		s := lostWrites{&preservingEngines{fakeEngines: newFakeEngines()}}
		s.fakeEngines.holdOK, s.fakeEngines.readTime = false, 10*ms
		set := testSettings()
		set.SparesWaited, set.MaxAttempts = true, c.attempts
		if c.change != nil {
			c.change(&set)
		}
		runWithEngines(t, s, set, func(d *Driver) {
			sink, j := newSink(t), newJob(c.class)
			j.Name, j.Timeout = "a", c.timeout
			if _, err := d.Submit(j, sink); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * ms)
			if len(s.stillHeld()) == 0 {
				t.Errorf("%s: no state held after the read", name)
			}
			time.Sleep(490 * ms)
			if left := s.stillHeld(); len(left) > 0 == c.released {
				t.Errorf("%s: held 500 ms after the read: %v", name, left)
			}
			s.fakeEngines.mu.Lock()
			writes := s.fakeEngines.writes
			s.fakeEngines.mu.Unlock()
			if writes == 0 || c.class == 1 && writes != 1 {
				t.Errorf("%s: %d writes", name, writes)
			}
			<-sink.done
			time.Sleep(time.Second)
			if left := s.stillHeld(); len(left) > 0 {
				t.Errorf("%s: held at the end: %v", name, left)
			}
		})
	}
}

// A release that has been pending for half of the pin limit is reported, and what is still pending at the end of a stop is
// reported as abandoned.
func TestPendingReleaseIsReported(t *testing.T) {
	s := &preservingEngines{fakeEngines: newFakeEngines()}
	set := testSettings()
	set.SparesWaited, set.MaxAttempts = true, 2
	s.fakeEngines.holdOK = false
	var reports []heldstate.Report
	var abandoned []heldstate.AbandonedEntry
	runWithConfig(t, Config{Settings: set, Engines: s, OnPendingRelease: func(r heldstate.Report) { reports = append(reports, r) },
		OnAbandoned: func(f heldstate.AbandonedEntry) { abandoned = append(abandoned, f) }}, func(d *Driver) {
		s.resumed = make(chan bool)
		sink, j := newSink(t), newJob(0)
		j.Name = "a"
		c, err := d.Submit(j, sink)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * ms)
		c.Cancel()
		<-sink.done
		time.Sleep(time.Second)
		d.SetReleaseDeadline(time.Now().Add(700 * ms))
		time.AfterFunc(10*time.Second, func() { close(s.resumed) }) // so that the test ends
	})
	if len(reports) != 1 || reports[0].Request != "a" || reports[0].PendingFor < 250*ms || len(reports[0].Unconfirmed) != 1 {
		t.Errorf("reports %+v", reports)
	}
	if len(abandoned) != 1 || abandoned[0].Request != "a" || abandoned[0].Reason != heldstate.RouterStopped || abandoned[0].PendingFor < 1500*ms {
		t.Errorf("abandoned %+v", abandoned)
	}
}

// Guards against waiting forever for an answer from a server that is missing from a full list.
func TestServerMissingFromFullListIsRemoved(t *testing.T) {
	runDriver(t, newFakeEngines(), func(d *Driver) {
		setServers := func(ids ...gannethook.ServerID) {
			m := gannethook.Membership{Whole: true}
			for _, id := range ids {
				m.Servers = append(m.Servers, gannethook.Server{ID: id, State: gannethook.Ready})
			}
			d.Update(m)
		}
		setServers("s0", "s1")
		d.post(func() {
			now := time.Now()
			d.ledger.AttemptStarted("k", heldstate.Terms{Shared: true, PreservesWaiting: true}, "s0", true, now)
			d.ledger.ReadEnded("k", "s0", heldstate.ClosedByRouter, now)
			d.ledger.RequestEnded("k", now)
		})
		setServers("s1")
		unconfirmed := make(chan []string, 1)
		d.post(func() { unconfirmed <- d.ledger.UnconfirmedServers() })
		if servers := <-unconfirmed; len(servers) > 0 {
			t.Errorf("still waits for answers from %v", servers)
		}
	})
}
