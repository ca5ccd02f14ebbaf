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

// warm has so many requests served, so that silence tells something and connections to all workers stay open.
func (s *site) warm(requests int) {
	s.t.Helper()
	for n := range requests {
		if a := s.ask(fmt.Sprint("warm-", n), "question", 2500); a.status != 200 {
			s.t.Fatalf("warm-%d: %+v", n, a)
		}
	}
}

// letGoWhileOpen waits until something is held for a request, and fails the test unless it is let go in time although
// the request is still open.
func (s *site) letGoWhileOpen(id string, answered <-chan answer) {
	s.t.Helper()
	s.until("something is held for "+id, func() bool { return s.holds(id) })
	s.letGoInTime(id)
	select {
	case a := <-answered:
		s.t.Errorf("%s was answered before: %+v", id, a)
	default:
	}
}

// askLater sends a request; its answer comes by the channel.
func (s *site) askLater(id, class string, timeout int) <-chan answer {
	answered := make(chan answer, 1)
	go func() { answered <- s.ask(id, class, timeout) }()
	return answered
}

// A place is held behind an answer of 204, while its read was written to readers that have fallen silent and never arrives.
// It is let go in time although the read is out for the router, on new connections and on open ones.
func TestPlaceBesideAReadThatNeverArrives(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprintf("on open connections %v", opened), func(t *testing.T) {
			var readers []*standin.Worker
			s := open(t, func(f *standin.Fleet) {
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
				s.warm(30)
			}
			for _, r := range readers {
				r.Freeze()
			}
			var requests sync.WaitGroup
			for class, effect := range map[string]string{"question": "", "adjustment": standin.Unsafe} {
				id := effect + "1"
				requests.Go(func() {
					answered := s.askLater(id, class, 3000)
					s.letGoWhileOpen(id, answered)
					if a := <-answered; a.status == 200 {
						t.Errorf("%s: %+v", id, a)
					}
				})
			}
			requests.Wait()
			for _, r := range readers {
				r.Join()
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
	t.Run("one writer", func(t *testing.T) { testSparedState(t, 1) })
	t.Run("another writer that is silent", func(t *testing.T) { testSparedState(t, 2) })
}

// testSparedState has all workers fall silent but the writer where a write waits. With that writer alone the next attempt may
// be a write that waits there, so that the platform's own judgement counts; else all is to be let go while the request is open.
func testSparedState(t *testing.T, writers int) {
	var workers []*standin.Worker
	const warm = 60
	s := openWith(t, options{configure: manyAttempts}, func(f *standin.Fleet) {
		for range 2 {
			workers = append(workers, f.Add(standin.Prompt, nil))
		}
		for range writers {
			workers = append(workers, f.Add(standin.Answer, func(n int, id string) standin.Script {
				if id == "1" {
					return queued(n, id)
				}
				return standin.Script{}
			}))
		}
	})
	s.warm(warm)
	answered := s.askLater("1", "question", 6000)
	s.until("its write waits", func() bool { return s.fleet.Waits("1") })
	var silent []*standin.Worker
	for _, w := range workers {
		if w.Kind == standin.Prompt || !s.fleet.Begun("1", w) {
			w.Freeze()
			silent = append(silent, w)
		}
	}
	s.until("its write is called off", func() bool { return !s.fleet.Waits("1") })
	if writers > 1 {
		s.letGoWhileOpen("1", answered)
	}
	<-answered
	for _, w := range silent {
		w.Join()
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
					once.Do(func() { s.Hangs = true })
				}
				return s
			}
			var readers [2]*standin.Worker
			s := open(t, func(f *standin.Fleet) {
				f.DelayClose(notice)
				readers[0], readers[1] = f.Add(standin.Prompt, hangs), f.Add(standin.Prompt, hangs)
				f.Add(standin.Answer, nil)
			})
			s.warm(20)
			s.wantServed(s.ask(id, "adjustment", 8000), id)
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
