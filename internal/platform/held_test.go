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

// maxHeld is for how long something may be held with no attempt out: the stand-in's pin limit and 300 ms.
const maxHeld = 800 * ms

// wantReleased fails the test if anything of a request is still held when the limit, counted from now, is over.
func (s *harness) wantReleased(id string) {
	s.t.Helper()
	start, lateness := time.Now(), s.fleet.Lateness()
	for s.isHeld(id) {
		if held := time.Since(start) - (s.fleet.Lateness() - lateness); held > maxHeld {
			s.t.Errorf("after %v still held: %v", held, s.fleet.Left())
			return
		}
		time.Sleep(5 * ms)
	}
}

// isHeld tells whether anything is held for a request.
func (s *harness) isHeld(id string) bool {
	return slices.ContainsFunc(s.fleet.Left(), func(held string) bool { return strings.HasSuffix(held, " of "+id) })
}

// queuedScript has a writer's queue not move: what arrives there waits until its router gives up.
func queuedScript(int, string) standin.Script { return standin.Script{Delay: time.Minute} }

// sendAndDisconnect sends a request and closes the connection after a time.
func (s *harness) sendAndDisconnect(id, class string, after time.Duration) {
	nc := s.dial()
	io.WriteString(nc, request(id, class, 5000, body))
	time.Sleep(after)
	nc.Close()
}

// A write that waits in its writer's queue leaves the state at the reader. Once it is called off the state is let
// go, however long the write was out, whatever called it off, and however late the writer notices.
func TestStateOfAWriteCalledOff(t *testing.T) {
	for _, closeDelay := range []time.Duration{0, 10 * ms, 25 * ms} {
		t.Run(fmt.Sprintf("close noticed after %v", closeDelay), func(t *testing.T) {
			s := startRouter(t, func(f *standin.Fleet) {
				f.SetCloseDelay(closeDelay)
				f.Add(standin.Prompt, nil)
				f.Add(standin.Answer, queuedScript)
			})
			var requests sync.WaitGroup
			for _, out := range []time.Duration{290 * ms, 700 * ms, 1490 * ms} {
				for class, effect := range map[string]string{"question": "", "adjustment": standin.Unsafe} {
					id := fmt.Sprintf("%sout-%v", effect, out)
					requests.Go(func() {
						if a := s.send(id, class, int(out/ms)); a.status == 200 || a.status == 0 {
							t.Errorf("%s: %+v", id, a)
						}
						s.wantReleased(id)
					})
					requests.Go(func() {
						s.sendAndDisconnect(id+"-left", class, out)
						s.wantReleased(id + "-left")
					})
				}
			}
			requests.Wait()
		})
	}
}

// What was held at a worker that hung or was cut off, or is begun there as it runs again, is let go once it is back.
func TestHeldAtAWorkerThatIsBack(t *testing.T) {
	t.Run("a read begun late, given up", func(t *testing.T) { testReadStartedLate(t, false) })
	t.Run("a read begun late, served elsewhere", func(t *testing.T) { testReadStartedLate(t, true) })
	t.Run("a hung writer", testStateOfFrozenWriter)
	t.Run("a cut", testStateAfterPartition)
}

// A read that waited in the socket of a worker that hung, and whose connection was closed, is begun as the worker
// runs again. What it leaves is let go, whether the request was served elsewhere or given up.
func testReadStartedLate(t *testing.T, served bool) {
	var hung *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		hung = f.Add(standin.Prompt, nil)
		f.Add(standin.Answer, nil)
	})
	for n := range 40 { // so that silence tells something
		s.send(fmt.Sprint("before-", n), "question", 2500)
	}
	hung.Freeze()
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
	hung.Thaw()
	s.waitFor("the read is begun", func() bool { return s.fleet.Started("1", hung) })
	time.Sleep(40 * ms)
	s.wantReleased("1")
}

// A writer that hangs notices neither the close of an attempt nor a release until it runs again: the state it
// waits for is let go then.
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

// What is held on workers that were cut off for longer than any release is tried is let go once they are back.
func testStateAfterPartition(t *testing.T) {
	var reader, writer *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, nil)
		writer = f.Add(standin.Answer, queuedScript)
	})
	answered := make(chan response, 1)
	go func() { answered <- s.send("1", "question", 800) }()
	s.waitFor("its state waits", func() bool { return s.isHeld("1") })
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

// A writer runs, answers on other connections, and does not notice for two seconds that the connection of a write in its queue
// was closed, as where that connection alone has fallen silent. Until then releases spare the state; after it the state is let
// go in time.
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
	others.Go(func() { // so that the writer is heard
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
