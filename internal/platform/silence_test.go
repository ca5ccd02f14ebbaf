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

// warmUp has so many requests served, so that silence tells something and connections to all workers stay open.
func (s *harness) warmUp(requests int) {
	s.t.Helper()
	for n := range requests {
		if a := s.send(fmt.Sprint("warm-", n), "question", 2500); a.status != 200 {
			s.t.Fatalf("warm-%d: %+v", n, a)
		}
	}
}

// wantReleasedWhileOpen waits until something is held for a request, and fails the test unless it is let go in time although
// the request is still open.
func (s *harness) wantReleasedWhileOpen(id string, answered <-chan response) {
	s.t.Helper()
	s.waitFor("something is held for "+id, func() bool { return s.isHeld(id) })
	s.wantReleased(id)
	select {
	case a := <-answered:
		s.t.Errorf("%s was answered before: %+v", id, a)
	default:
	}
}

// sendAsync sends a request; its answer comes by the channel.
func (s *harness) sendAsync(id, class string, timeout int) <-chan response {
	answered := make(chan response, 1)
	go func() { answered <- s.send(id, class, timeout) }()
	return answered
}

// A place is held behind an answer of 204, while its read was written to readers that have fallen silent and never arrives.
// It is let go in time although the read is out for the router, on new connections and on open ones.
func TestPlaceBesideAReadThatNeverArrives(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprintf("on open connections %v", opened), func(t *testing.T) {
			var readers []*standin.Worker
			s := startRouter(t, func(f *standin.Fleet) {
				f.Add(standin.Answer, nil)
				f.Add(standin.Answer, nil)
				for range 3 {
					if opened {
						readers = append(readers, f.Add(standin.Prompt, nil))
					} else {
						f.AddSilent(standin.Prompt)
					}
				}
			})
			if opened {
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

// manyAttempts allows a request more attempts than the stand-in's settings do, so that the module doesn't give a state up
// for want of attempts.
func manyAttempts(config map[string]any) {
	text := strings.Replace(standin.Settings, `"maxAttempts":4`, `"maxAttempts":9`, 1)
	config["settings"] = json.RawMessage(text)
}

// A state that a release spared for a write is let go once that write was called off, although the next attempt has been
// sent and never arrives: whether it reads, as on the text of the report with one writer, or writes.
func TestStateBesideAnAttemptThatNeverArrives(t *testing.T) {
	t.Run("one writer", func(t *testing.T) { testPreservedState(t, 1) })
	t.Run("another writer that is silent", func(t *testing.T) { testPreservedState(t, 2) })
}

// testPreservedState has all workers fall silent but the writer where a write waits. With that writer alone the next attempt may
// be a write that waits there, so that the platform's own judgement counts; else all is to be let go while the request is open.
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
	s.waitFor("its write waits", func() bool { return s.fleet.WriteQueued("1") })
	var silent []*standin.Worker
	for _, w := range workers {
		if w.Kind == standin.Prompt || !s.fleet.Started("1", w) {
			w.Freeze()
			silent = append(silent, w)
		}
	}
	s.waitFor("its write is called off", func() bool { return !s.fleet.WriteQueued("1") })
	if writers > 1 {
		s.wantReleasedWhileOpen("1", answered)
	}
	<-answered
	for _, w := range silent {
		w.Reconnect()
	}
}

// Guards against a second copy of a request that may not run twice: its reader hangs, the read is called off, and the worker that gets it next
// begins it before the first can have noticed.
func TestNoSecondCopyBeforeTheCloseIsNoticed(t *testing.T) {
	for _, notice := range []time.Duration{0, 20 * ms} {
		t.Run(fmt.Sprint("noticed after ", notice), func(t *testing.T) {
			var once sync.Once
			id := standin.Unsafe + "1"
			hangs := func(_ int, of string) (s standin.Script) {
				if of == id {
					once.Do(func() { s.Freeze = true })
				}
				return s
			}
			var readers [2]*standin.Worker
			s := startRouter(t, func(f *standin.Fleet) {
				f.SetCloseDelay(notice)
				readers[0], readers[1] = f.Add(standin.Prompt, hangs), f.Add(standin.Prompt, hangs)
				f.Add(standin.Answer, nil)
			})
			s.warmUp(20)
			s.wantServed(s.send(id, "adjustment", 8000), id)
			for _, w := range readers {
				if requests, _, _ := w.Count(); requests == 0 {
					t.Errorf("%s was not asked", w.UID)
				}
				if w.Frozen() {
					w.Thaw()
				}
			}
		})
	}
}
