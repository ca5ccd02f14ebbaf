package platform

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// maxHeld is how long something may be held with no attempt in flight: the stand-in's pin limit of 500 ms plus 300 ms.
const maxHeld = 800 * ms

// wantReleased fails the test unless everything held for a request is released within maxHeld from now.
func (s *harness) wantReleased(id string) {
	s.t.Helper()
	start, lateness := time.Now(), s.fleet.Lateness()
	for s.isHeld(id) {
		if held := time.Since(start) - (s.fleet.Lateness() - lateness); held > maxHeld {
			s.t.Errorf("still held after %v: %v", held, s.fleet.Held())
			return
		}
		time.Sleep(5 * ms)
	}
}

// isHeld reports whether anything is held for a request.
func (s *harness) isHeld(id string) bool {
	return slices.ContainsFunc(s.fleet.Held(), func(held string) bool { return strings.HasSuffix(held, " of "+id) })
}

// queuedScript keeps a write in its writer's queue until the router cancels it.
func queuedScript(int, string) standin.Script { return standin.Script{Delay: time.Minute} }

// sendAndDisconnect sends a request and closes the connection after a time.
func (s *harness) sendAndDisconnect(id, class string, after time.Duration) {
	nc := s.dial()
	io.WriteString(nc, request(id, class, 5000, body))
	time.Sleep(after)
	nc.Close()
}

// While a write waits in its writer's queue, the state stays at the reader. Once the write is cancelled, by a timeout or
// because the client disconnects, the state is released in time, however late the writer observes the close.
func TestStateOfACancelledWrite(t *testing.T) {
	for _, closeDelay := range []time.Duration{0, 10 * ms, 25 * ms} {
		t.Run(fmt.Sprintf("close noticed after %v", closeDelay), func(t *testing.T) {
			s := startRouter(t, func(f *standin.Fleet) {
				f.SetCloseDelay(closeDelay)
				f.Add(standin.Prompt, nil)
				f.Add(standin.Answer, queuedScript)
			})
			var requests sync.WaitGroup
			for _, timeout := range []time.Duration{290 * ms, 700 * ms, 1490 * ms} {
				for class, effect := range map[string]string{"question": "", "adjustment": standin.Unsafe} {
					id := fmt.Sprintf("%sout-%v", effect, timeout)
					requests.Go(func() {
						if a := s.send(id, class, int(timeout/ms)); a.status == 200 || a.status == 0 {
							t.Errorf("%s: %+v", id, a)
						}
						s.wantReleased(id)
					})
					requests.Go(func() {
						s.sendAndDisconnect(id+"-left", class, timeout)
						s.wantReleased(id + "-left")
					})
				}
			}
			requests.Wait()
		})
	}
}

// What a frozen or partitioned worker holds, or a request that it starts as it recovers leaves there, is released once it
// is back.
func TestReleaseAfterWorkerRecovers(t *testing.T) {
	t.Run("a read begun late, given up", func(t *testing.T) { testReadStartedLate(t, false) })
	t.Run("a read begun late, served elsewhere", func(t *testing.T) { testReadStartedLate(t, true) })
	t.Run("a hung writer", testStateOfFrozenWriter)
	t.Run("a cut", testStateAfterPartition)
}

// A read waits in the socket of a frozen worker and its connection is closed. The worker starts it at the thaw and leaves a
// state, which must be released whether the request was served by another worker or has failed.
func testReadStartedLate(t *testing.T, served bool) {
	var frozen *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		frozen = f.Add(standin.Prompt, nil)
		f.Add(standin.Answer, nil)
	})
	for n := range 40 { // so that the router knows usual response times and silence is suspect
		s.send(fmt.Sprint("before-", n), "question", 2500)
	}
	frozen.Freeze()
	answered := make(chan response, 1)
	go func() { answered <- s.send("1", "question", 2500) }()
	time.Sleep(100 * ms)
	if served {
		s.fleet.Add(standin.Prompt, nil)
	}
	if a := <-answered; (a.status == 200) != served {
		t.Errorf("%+v", a)
	}
	time.Sleep(300 * ms)
	frozen.Thaw()
	s.waitFor("the read is started", func() bool { return s.fleet.Started("1", frozen) })
	time.Sleep(40 * ms)
	s.wantReleased("1")
}

// A frozen writer observes neither the close of an attempt nor a release until the thaw. The state that its queued write
// waits for must be released then.
func testStateOfFrozenWriter(t *testing.T) {
	var writer *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		f.Add(standin.Prompt, nil)
		writer = f.Add(standin.Answer, func(int, string) standin.Script { return standin.Script{Delay: time.Minute, Freeze: true} })
	})
	if a := s.send("1", "question", 900); a.status != 503 {
		t.Errorf("%+v", a)
	}
	time.Sleep(time.Second)
	writer.Thaw()
	time.Sleep(5 * ms)
	s.wantReleased("1")
}

// Workers are partitioned for longer than releases are retried. What they hold must be released once they are back.
func testStateAfterPartition(t *testing.T) {
	var reader, writer *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, nil)
		writer = f.Add(standin.Answer, queuedScript)
	})
	answered := make(chan response, 1)
	go func() { answered <- s.send("1", "question", 800) }()
	s.waitFor("its state is held", func() bool { return s.isHeld("1") })
	time.Sleep(100 * ms)
	reader.Freeze()
	writer.Freeze()
	if a := <-answered; a.status != 503 {
		t.Errorf("%+v", a)
	}
	time.Sleep(3500 * ms)
	reader.Reconnect()
	writer.Reconnect()
	time.Sleep(5 * ms)
	s.wantReleased("1")
}

// A writer answers on other connections but observes only after two seconds that the connection of a queued write was
// closed, as when that connection alone is silent. Until then releases preserve the state; after that it must be released
// in time.
func TestStateBehindALostClose(t *testing.T) {
	const closeDelay = 2 * time.Second
	s := startRouter(t, func(f *standin.Fleet) {
		f.SetCloseDelay(closeDelay)
		f.Add(standin.Prompt, nil)
		f.Add(standin.Answer, func(_ int, id string) standin.Script {
			if strings.HasPrefix(id, "other") {
				return standin.Script{}
			}
			return queuedScript(0, id)
		})
	})
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { // so that the writer keeps answering on other connections
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * ms):
				s.send(fmt.Sprint("other-", n), "question", 2500)
			}
		}
	})
	s.sendAndDisconnect("left", "question", 300*ms)
	time.Sleep(closeDelay)
	s.wantReleased("left")
	close(stop)
	others.Wait()
}
