package lifecycle

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

const s = time.Second

var lim = Limits{Start: 5 * s, Drain: 30 * s, CloseGrace: 1 * s, MaxResults: 8}

func show(list []Effect) string {
	var out []string
	for _, e := range list {
		out = append(out, strings.TrimPrefix(fmt.Sprintf("%T%v", e, e), "lifecycle."))
	}
	return strings.Join(out, " ")
}

func TestLives(t *testing.T) {
	cmd := func(at time.Duration, id string, op Op, limit time.Duration) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.Command(at, Command{ID: id, Op: op, Limit: limit}) }
	}
	open := func(at time.Duration, n int) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.Open(at, n) }
	}
	tick := func(at time.Duration) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.Tick(at) }
	}
	spawned := func(at time.Duration, err error) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.Spawned(at, "a", err) }
	}
	started := func(m *Machine) []Effect { return m.Started(0, nil) }
	for _, c := range []struct {
		name  string
		steps []func(*Machine) []Effect
		last  string
		state State
	}{
		{"it starts", []func(*Machine) []Effect{started}, "Announce{ready} Accept{}", Ready},
		{"it can't start", []func(*Machine) []Effect{func(m *Machine) []Effect { return m.Started(0, errors.New("x")) }}, "Announce{failed} Exit{1}", Failed},
		{"it takes too long to start", []func(*Machine) []Effect{tick(5 * s)}, "Announce{failed} Exit{1}", Failed},
		{"a drain with nothing open", []func(*Machine) []Effect{started, cmd(1*s, "a", Drain, 0)}, "Announce{draining} StopAccepting{}", Draining},
		{"once that is counted", []func(*Machine) []Effect{started, cmd(1*s, "a", Drain, 0), open(1*s, 0)},
			"Announce{drained} Reply{{a true false }}", Drained},
		{"a drain with open answers", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 0), open(2*s, 0)},
			"Announce{drained} Reply{{a true false }}", Drained},
		{"a drain at its deadline", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 3*s), tick(4 * s)}, "FailOpenRequests{}", Draining},
		{"and after the last words", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 3*s), tick(4 * s), tick(5 * s)},
			"CloseConnections{} Announce{drained} Reply{{a true true }}", Drained},
		{"two drains share the earlier deadline", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 20*s), cmd(2*s, "b", Drain, 2*s), tick(4 * s), open(5*s, 0)},
			"Announce{drained} Reply{{a true true }} Reply{{b true true }}", Drained},
		{"a resume undoes a drain", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 0), cmd(2*s, "b", Resume, 0)},
			"Reply{{a false false resumed before it was drained}} Announce{ready} Accept{} Reply{{b true false }}", Ready},
		{"a stop during a drain", []func(*Machine) []Effect{started, open(0, 2), cmd(1*s, "a", Drain, 0), cmd(2*s, "b", Stop, 0)},
			"Reply{{a false false a stop came}} Announce{stopping}", Stopping},
		{"a stop ends it", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Stop, 0), open(2*s, 0)},
			"Announce{ended} Reply{{a true false }} Exit{0}", Ended},
		{"a second stop cuts it short", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Stop, 0), cmd(2*s, "b", Stop, 0)}, "FailOpenRequests{}", Stopping},
		{"a repeat gets the first result", []func(*Machine) []Effect{started, cmd(1*s, "a", Drain, 0), open(1*s, 0), cmd(2*s, "b", Resume, 0), cmd(3*s, "a", Drain, 0)},
			"Reply{{a true false }}", Ready},
		{"a drain while stopping", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Stop, 0), cmd(2*s, "b", Drain, 0)},
			"Reply{{b false false the router is stopping}}", Stopping},
		{"a reload", []func(*Machine) []Effect{started, cmd(1*s, "a", Reload, 0)}, "Load{a}", Ready},
		{"a second reload", []func(*Machine) []Effect{started, cmd(1*s, "a", Reload, 0), cmd(2*s, "b", Reload, 0)},
			"Reply{{b false false another reload runs}}", Ready},
		{"a drain during a reload", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Reload, 0), cmd(2*s, "b", Drain, 0),
			func(m *Machine) []Effect { return m.Loaded(3*s, "a", errors.New("f:1:1: bad")) }}, "Reply{{a false false f:1:1: bad}}", Draining},
		{"a restart", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Restart, 0)}, "Spawn{a  false}", Ready},
		{"a restart of a drained router", []func(*Machine) []Effect{started, cmd(1*s, "d", Drain, 0), open(1*s, 0), cmd(2*s, "a", Restart, 0)},
			"Spawn{a  true}", Drained},
		{"a restart that comes up", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Restart, 0), spawned(2*s, nil)},
			"Reply{{a true false }} Announce{stopping} StopAccepting{}", Stopping},
		{"a restart that does not", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Restart, 0), spawned(2*s, errors.New("x"))},
			"Reply{{a false false x}}", Ready},
		{"a stop during a restart", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Restart, 0), cmd(2*s, "b", Stop, 0)},
			"Abort{} Reply{{a false false a stop came}} Announce{stopping} StopAccepting{}", Stopping},
		{"a drain during a restart", []func(*Machine) []Effect{started, open(0, 1), cmd(1*s, "a", Restart, 0), cmd(2*s, "b", Drain, 0), spawned(3*s, nil)},
			"Reply{{a true false }} Reply{{b false false a restart came}} Announce{stopping}", Stopping},
		{"a resume while a drained router restarts", []func(*Machine) []Effect{started, cmd(1*s, "d", Drain, 0), open(1*s, 0), cmd(1*s, "a", Restart, 0), cmd(2*s, "b", Resume, 0)},
			"Reply{{b false false a restart runs}}", Drained},
		{"a reload during a restart", []func(*Machine) []Effect{started, cmd(1*s, "a", Restart, 0), cmd(2*s, "b", Reload, 0)},
			"Reply{{b false false a restart runs; the successor reads the settings}}", Ready},
		{"a successor of a drained router", []func(*Machine) []Effect{func(m *Machine) []Effect {
			m.Inherit([]Result{{ID: "a", Done: true}}, true)
			return m.Started(0, nil)
		}}, "Announce{drained} StopAccepting{}", Drained},
		{"a repeat at a successor", []func(*Machine) []Effect{func(m *Machine) []Effect {
			m.Inherit([]Result{{ID: "a", Done: true}}, false)
			return m.Started(0, nil)
		}, cmd(1*s, "a", Restart, 0)}, "Reply{{a true false }}", Ready},
	} {
		m := New(lim, 0)
		var got []Effect
		for _, step := range c.steps {
			got = step(m)
		}
		if show(got) != c.last || m.State() != c.state {
			t.Errorf("%s: %s in %v, want %s in %v", c.name, show(got), m.State(), c.last, c.state)
		}
	}
}

// Over random commands, openings and times: a command gets one reply (repeats
// aside), the process ends once and for good, nothing is cut before it was
// answered, and no drain or stop outlives its limit and the last words.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(lim, 0)
		now, exits, heirs, gaveUp := time.Duration(0), 0, 0, false
		given, replies := map[string]bool{}, map[string]int{}
		var due time.Duration // by when the present drain or stop is over
		take := func(list []Effect, repeat string) {
			for _, e := range list {
				switch e := e.(type) {
				case Exit:
					exits++
				case StopAccepting:
					gaveUp = false
				case FailOpenRequests:
					gaveUp = true
				case Spawn:
					if heirs++; heirs > 1 {
						t.Fatal("two successors at once")
					}
				case Abort:
					heirs--
				case CloseConnections:
					if !gaveUp {
						t.Fatal("cut before the answers were given")
					}
				case Reply:
					if e.Result.ID != repeat {
						replies[e.Result.ID]++
					}
				case Announce:
					if e.State == Draining || e.State == Stopping && due <= now {
						due = now + lim.Drain + lim.CloseGrace
					}
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			for at, ok := m.Deadline(); ok && at <= now; at, ok = m.Deadline() { // timers are kept
				take(m.Tick(at), "")
			}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 3:
				var err error
				if rapid.Bool().Draw(t, "bad") {
					err = errors.New("bad")
				}
				if m.heir != "" {
					heirs--
				}
				take(m.Spawned(now, m.heir, err), "")
			case 0:
				take(m.Started(now, nil), "")
			case 1:
				take(m.Open(now, rapid.IntRange(0, 2).Draw(t, "open")), "")
			case 2:
				take(m.Loaded(now, m.loading, nil), "")
			default:
				c := Command{ID: fmt.Sprint("c", i), Op: Op(rapid.IntRange(1, 5).Draw(t, "op"))}
				repeat := ""
				if rapid.IntRange(0, 5).Draw(t, "repeat") == 0 {
					if c.ID = fmt.Sprint("c", i/2); given[c.ID] && replies[c.ID] > 0 {
						repeat = c.ID
					}
				}
				given[c.ID] = true
				take(m.Command(now, c), repeat)
			}
			if s := m.State(); (s == Draining || s == Stopping) && now > due {
				t.Fatalf("%v at %v, due at %v", s, now, due)
			}
			if exits > 1 || (exits == 1) != (m.State() == Ended || m.State() == Failed) {
				t.Fatalf("%d exits in %v", exits, m.State())
			}
		}
		for id, n := range replies {
			if n > 1 && id != "" {
				t.Fatalf("command %s got %d replies", id, n)
			}
		}
	})
}

// Over lives, hand-overs, deaths and reloads: a command's repeat gets the first
// result for as long as lives hand it on; a life that came after a death knows
// none; a drained router is drained in its successor.
func TestRepeatsOverLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := lim
		keep.MaxResults = 100
		now, m := time.Duration(0), New(keep, 0)
		m.Started(0, nil)
		first := map[string]Result{}
		loading, heir, drained := "", "", false
		take := func(list []Effect) {
			for _, e := range list {
				switch e := e.(type) {
				case Load:
					loading = e.ID
				case Spawn:
					heir, drained = e.ID, e.Drained
				case Abort:
					heir = ""
				case Reply:
					if was, known := first[e.Result.ID]; known && was != e.Result {
						t.Fatalf("command %s got %v, then %v", e.Result.ID, was, e.Result)
					}
					first[e.Result.ID] = e.Result
				}
			}
		}
		begin := func(results []Result, drained bool) {
			m = New(keep, now)
			m.Inherit(results, drained)
			take(m.Started(now, nil))
			loading, heir = "", ""
			if want := map[bool]State{true: Drained, false: Ready}[drained]; m.State() != want {
				t.Fatalf("a successor is %v, want %v", m.State(), want)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			take(m.Tick(now))
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				take(m.Open(now, rapid.IntRange(0, 1).Draw(t, "open")))
			case 1:
				take(m.Loaded(now, loading, nil))
				loading = ""
			case 2:
				if heir == "" {
					continue
				}
				id, bad := heir, rapid.Bool().Draw(t, "bad")
				if heir = ""; bad {
					take(m.Spawned(now, id, errors.New("bad")))
					continue
				}
				results := append(m.Results(), Result{ID: id, Done: true})
				take(m.Spawned(now, id, nil))
				begin(results, drained)
			case 3:
				if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					clear(first)
					begin(nil, false)
				}
			default:
				id := fmt.Sprint("c", i)
				if rapid.Bool().Draw(t, "repeat") {
					id = fmt.Sprint("c", rapid.IntRange(0, i).Draw(t, "of"))
				}
				take(m.Command(now, Command{ID: id, Op: Op(rapid.IntRange(1, 5).Draw(t, "op"))}))
			}
			if m.State() == Ended || m.State() == Failed { // its supervisor starts it again
				clear(first)
				begin(nil, false)
			}
		}
	})
}
