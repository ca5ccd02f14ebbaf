package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// warmUp sends so many requests, so that the router knows usual response times and has open connections to all workers.
func (s *harness) warmUp(requests int) {
	s.t.Helper()
	for n := range requests {
		if a := s.send(fmt.Sprint("warm-", n), "question", 2500); a.status != 200 {
			s.t.Fatalf("warm-%d: %+v", n, a)
		}
	}
}

// wantReleasedWhileOpen waits until something is held for a request, and fails the test unless it is released in time while
// the request is still open.
func (s *harness) wantReleasedWhileOpen(id string, answered <-chan response) {
	s.t.Helper()
	s.waitFor("something is held for "+id, func() bool { return s.isHeld(id) })
	s.wantReleased(id)
	select {
	case a := <-answered:
		s.t.Errorf("%s was answered before the release: %+v", id, a)
	default:
	}
}

// sendAsync sends a request and returns a channel that receives the response.
func (s *harness) sendAsync(id, class string, timeout int) <-chan response {
	answered := make(chan response, 1)
	go func() { answered <- s.send(id, class, timeout) }()
	return answered
}

// A place is held although its hold was answered with 204, and its read, written to silent readers, never arrives. The place
// must be released in time although the router counts the read as in flight, on new and on open connections.
func TestPlaceReleasedWhileReadIsLost(t *testing.T) {
	for _, connected := range []bool{false, true} {
		t.Run(fmt.Sprintf("on open connections %v", connected), func(t *testing.T) {
			var readers []*standin.Worker
			s := startRouter(t, func(f *standin.Fleet) {
				f.Add(standin.Answer, nil)
				f.Add(standin.Answer, nil)
				for range 3 {
					if connected {
						readers = append(readers, f.Add(standin.Prompt, nil))
					} else {
						f.AddSilent(standin.Prompt)
					}
				}
			})
			if connected {
				s.warmUp(30)
			}
			for _, r := range readers {
				r.Freeze()
			}
			var requests sync.WaitGroup
			for class, effect := range map[string]string{"question": "", "adjustment": standin.Unsafe} {
				id := effect + "1"
				requests.Go(func() {
					answered := s.sendAsync(id, class, 3000)
					s.wantReleasedWhileOpen(id, answered)
					if a := <-answered; a.status == 200 {
						t.Errorf("%s: %+v", id, a)
					}
				})
			}
			requests.Wait()
			for _, r := range readers {
				r.Reconnect()
			}
		})
	}
}

// manyAttempts raises the limit of attempts, so that the module does not abandon a state because no attempt is left.
func manyAttempts(config map[string]any) {
	text := strings.Replace(standin.Settings, `"maxAttempts":4`, `"maxAttempts":9`, 1)
	config["settings"] = json.RawMessage(text)
}

// A release preserves the state for a queued write. Once that write is cancelled the state must be released, although the
// next attempt, a read or a write, has been sent and never arrives.
func TestStateReleasedWhileAttemptIsLost(t *testing.T) {
	t.Run("one writer", func(t *testing.T) { testPreservedState(t, 1) })
	t.Run("another writer that is silent", func(t *testing.T) { testPreservedState(t, 2) })
}

// testPreservedState freezes all workers but the writer where a write is queued. With one writer the next attempt may be
// queued there again, so only the stand-in's own checks apply; with two the state must be released while the request is
// open.
func testPreservedState(t *testing.T, writers int) {
	var workers []*standin.Worker
	const warmUpRequests = 60
	s := startRouterWith(t, options{configure: manyAttempts}, func(f *standin.Fleet) {
		for range 2 {
			workers = append(workers, f.Add(standin.Prompt, nil))
		}
		for range writers {
			workers = append(workers, f.Add(standin.Answer, func(n int, id string) standin.Script {
				if id == "1" {
					return queuedScript(n, id)
				}
				return standin.Script{}
			}))
		}
	})
	s.warmUp(warmUpRequests)
	answered := s.sendAsync("1", "question", 6000)
	s.waitFor("its write is queued", func() bool { return s.fleet.WriteQueued("1") })
	var silent []*standin.Worker
	for _, w := range workers {
		if w.Kind == standin.Prompt || !s.fleet.Started("1", w) {
			w.Freeze()
			silent = append(silent, w)
		}
	}
	s.waitFor("its write is cancelled", func() bool { return !s.fleet.WriteQueued("1") })
	if writers > 1 {
		s.wantReleasedWhileOpen("1", answered)
	}
	<-answered
	for _, w := range silent {
		w.Reconnect()
	}
}

// Guards against a second attempt of a request that must not run twice while the first is in flight: its reader freezes, the
// read is cancelled, and another worker starts it before the first can have observed the close.
func TestNoSecondAttemptBeforeCloseIsObserved(t *testing.T) {
	for _, closeDelay := range []time.Duration{0, 20 * ms} {
		t.Run(fmt.Sprint("noticed after ", closeDelay), func(t *testing.T) {
			var once sync.Once
			id := standin.Unsafe + "1"
			freezeOnce := func(_ int, requestID string) (s standin.Script) {
				if requestID == id {
					once.Do(func() { s.Freeze = true })
				}
				return s
			}
			var readers [2]*standin.Worker
			s := startRouter(t, func(f *standin.Fleet) {
				f.SetCloseDelay(closeDelay)
				readers[0], readers[1] = f.Add(standin.Prompt, freezeOnce), f.Add(standin.Prompt, freezeOnce)
				f.Add(standin.Answer, nil)
			})
			s.warmUp(20)
			s.wantServed(s.send(id, "adjustment", 8000), id)
			for _, w := range readers {
				if requests, _, _ := w.Count(); requests == 0 {
					t.Errorf("%s got no request", w.UID)
				}
				if w.Frozen() {
					w.Thaw()
				}
			}
		})
	}
}
