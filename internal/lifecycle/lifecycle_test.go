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

const second = time.Second

var testLimits = Limits{Start: 5 * second, Drain: 30 * second, CloseGrace: 1 * second, MaxResults: 8}

func format(list []Effect) string {
	var out []string
	for _, e := range list {
		out = append(out, strings.TrimPrefix(fmt.Sprintf("%T%v", e, e), "lifecycle."))
	}
	return strings.Join(out, " ")
}

func TestTransitions(t *testing.T) {
	command := func(at time.Duration, id string, op Op, limit time.Duration) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.Command(at, Command{ID: id, Op: op, Limit: limit}) }
	}
	open := func(at time.Duration, n int) func(*Machine) []Effect {
		return func(m *Machine) []Effect { return m.SetOpen(at, n) }
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
		{"start", []func(*Machine) []Effect{started}, "Announce{ready} Accept{}", Ready},
		{"failed start", []func(*Machine) []Effect{func(m *Machine) []Effect { return m.Started(0, errors.New("x")) }}, "Announce{failed} Exit{1}", Failed},
		{"start past its deadline", []func(*Machine) []Effect{tick(5 * second)}, "Announce{failed} Exit{1}", Failed},
		{"drain before the open sessions are counted", []func(*Machine) []Effect{started, command(1*second, "a", Drain, 0)}, "Announce{draining} StopAccepting{}", Draining},
		{"drain with nothing open", []func(*Machine) []Effect{started, command(1*second, "a", Drain, 0), open(1*second, 0)},
			"Announce{drained} Reply{{a true false }}", Drained},
		{"drain with open requests", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 0), open(2*second, 0)},
			"Announce{drained} Reply{{a true false }}", Drained},
		{"drain at its deadline", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 3*second), tick(4 * second)}, "FailOpenRequests{}", Draining},
		{"drain after the close grace", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 3*second), tick(4 * second), tick(5 * second)},
			"CloseConnections{} Announce{drained} Reply{{a true true }}", Drained},
		{"two drains share the earlier deadline", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 20*second), command(2*second, "b", Drain, 2*second), tick(4 * second), open(5*second, 0)},
			"Announce{drained} Reply{{a true true }} Reply{{b true true }}", Drained},
		{"resume cancels a drain", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 0), command(2*second, "b", Resume, 0)},
			"Reply{{a false false resumed before it was drained}} Announce{ready} Accept{} Reply{{b true false }}", Ready},
		{"stop during a drain", []func(*Machine) []Effect{started, open(0, 2), command(1*second, "a", Drain, 0), command(2*second, "b", Stop, 0)},
			"Reply{{a false false a stop came}} Announce{stopping}", Stopping},
		{"stop", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Stop, 0), open(2*second, 0)},
			"Announce{ended} Reply{{a true false }} Exit{0}", Ended},
		{"second stop fails the open requests", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Stop, 0), command(2*second, "b", Stop, 0)}, "FailOpenRequests{}", Stopping},
		{"repeated ID gets the first result", []func(*Machine) []Effect{started, command(1*second, "a", Drain, 0), open(1*second, 0), command(2*second, "b", Resume, 0), command(3*second, "a", Drain, 0)},
			"Reply{{a true false }}", Ready},
		{"drain while stopping", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Stop, 0), command(2*second, "b", Drain, 0)},
			"Reply{{b false false the router is stopping}}", Stopping},
		{"reload", []func(*Machine) []Effect{started, command(1*second, "a", Reload, 0)}, "Load{a}", Ready},
		{"second reload", []func(*Machine) []Effect{started, command(1*second, "a", Reload, 0), command(2*second, "b", Reload, 0)},
			"Reply{{b false false another reload runs}}", Ready},
		{"drain during a reload", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Reload, 0), command(2*second, "b", Drain, 0),
			func(m *Machine) []Effect { return m.Loaded(3*second, "a", errors.New("f:1:1: bad")) }}, "Reply{{a false false f:1:1: bad}}", Draining},
		{"restart", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Restart, 0)}, "Spawn{a  false}", Ready},
		{"restart of a drained router", []func(*Machine) []Effect{started, command(1*second, "d", Drain, 0), open(1*second, 0), command(2*second, "a", Restart, 0)},
			"Spawn{a  true}", Drained},
		{"restart whose successor serves", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Restart, 0), spawned(2*second, nil)},
			"Reply{{a true false }} Announce{stopping} StopAccepting{}", Stopping},
		{"restart whose successor fails", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Restart, 0), spawned(2*second, errors.New("x"))},
			"Reply{{a false false x}}", Ready},
		{"stop during a restart", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Restart, 0), command(2*second, "b", Stop, 0)},
			"Abort{} Reply{{a false false a stop came}} Announce{stopping} StopAccepting{}", Stopping},
		{"drain during a restart", []func(*Machine) []Effect{started, open(0, 1), command(1*second, "a", Restart, 0), command(2*second, "b", Drain, 0), spawned(3*second, nil)},
			"Reply{{a true false }} Reply{{b false false a restart came}} Announce{stopping}", Stopping},
		{"resume while a drained router restarts", []func(*Machine) []Effect{started, command(1*second, "d", Drain, 0), open(1*second, 0), command(1*second, "a", Restart, 0), command(2*second, "b", Resume, 0)},
			"Reply{{b false false a restart runs}}", Drained},
		{"reload during a restart", []func(*Machine) []Effect{started, command(1*second, "a", Restart, 0), command(2*second, "b", Reload, 0)},
			"Reply{{b false false a restart runs; the successor reads the settings}}", Ready},
		{"successor of a drained router", []func(*Machine) []Effect{func(m *Machine) []Effect {
			m.Inherit([]Result{{ID: "a", Done: true}}, true)
			return m.Started(0, nil)
		}}, "Announce{drained} StopAccepting{}", Drained},
		{"repeated ID at a successor", []func(*Machine) []Effect{func(m *Machine) []Effect {
			m.Inherit([]Result{{ID: "a", Done: true}}, false)
			return m.Started(0, nil)
		}, command(1*second, "a", Restart, 0)}, "Reply{{a true false }}", Ready},
	} {
		m := New(testLimits, 0)
		var got []Effect
		for _, step := range c.steps {
			got = step(m)
		}
		if format(got) != c.last || m.State() != c.state {
			t.Errorf("%s: %s in %v, want %s in %v", c.name, format(got), m.State(), c.last, c.state)
		}
	}
}

// Invariants under random inputs and times: a command gets one reply (repeats
// aside), the process exits at most once, only one successor runs at a time,
// connections are closed only after the open requests were failed, and no drain or
// stop outlasts its limit plus the close grace.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(testLimits, 0)
		now, exits, successors, requestsFailed := time.Duration(0), 0, 0, false
		given, replies := map[string]bool{}, map[string]int{}
		var endBy time.Duration // latest end of the current drain or stop
		observe := func(list []Effect, repeat string) {
			for _, e := range list {
				switch e := e.(type) {
				case Exit:
					exits++
				case StopAccepting:
					requestsFailed = false
				case FailOpenRequests:
					requestsFailed = true
				case Spawn:
					if successors++; successors > 1 {
						t.Fatal("two successors at once")
					}
				case Abort:
					successors--
				case CloseConnections:
					if !requestsFailed {
						t.Fatal("connections closed before the open requests were failed")
					}
				case Reply:
					if e.Result.ID != repeat {
						replies[e.Result.ID]++
					}
				case Announce:
					if e.State == Draining || e.State == Stopping && endBy <= now {
						endBy = now + testLimits.Drain + testLimits.CloseGrace
					}
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			for at, ok := m.Deadline(); ok && at <= now; at, ok = m.Deadline() { // timers fire on time
				observe(m.Tick(at), "")
			}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 3:
				var err error
				if rapid.Bool().Draw(t, "bad") {
					err = errors.New("bad")
				}
				if m.restartID != "" {
					successors--
				}
				observe(m.Spawned(now, m.restartID, err), "")
			case 0:
				observe(m.Started(now, nil), "")
			case 1:
				observe(m.SetOpen(now, rapid.IntRange(0, 2).Draw(t, "open")), "")
			case 2:
				observe(m.Loaded(now, m.reloadID, nil), "")
			default:
				c := Command{ID: fmt.Sprint("c", i), Op: Op(rapid.IntRange(1, 5).Draw(t, "op"))}
				repeat := ""
				if rapid.IntRange(0, 5).Draw(t, "repeat") == 0 {
					if c.ID = fmt.Sprint("c", i/2); given[c.ID] && replies[c.ID] > 0 {
						repeat = c.ID
					}
				}
				given[c.ID] = true
				observe(m.Command(now, c), repeat)
			}
			if s := m.State(); (s == Draining || s == Stopping) && now > endBy {
				t.Fatalf("%v at %v, must have ended by %v", s, now, endBy)
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

// Over random restarts, crashes and reloads: a repeated command ID gets the first
// result as long as successors inherit it, a process that starts after a crash
// knows no results, and the successor of a drained router is drained.
func TestRepeatedCommandsAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits
		limits.MaxResults = 100
		now, m := time.Duration(0), New(limits, 0)
		m.Started(0, nil)
		first := map[string]Result{}
		reloadID, restartID, drained := "", "", false
		observe := func(list []Effect) {
			for _, e := range list {
				switch e := e.(type) {
				case Load:
					reloadID = e.ID
				case Spawn:
					restartID, drained = e.ID, e.Drained
				case Abort:
					restartID = ""
				case Reply:
					if was, known := first[e.Result.ID]; known && was != e.Result {
						t.Fatalf("command %s got %v, then %v", e.Result.ID, was, e.Result)
					}
					first[e.Result.ID] = e.Result
				}
			}
		}
		startProcess := func(results []Result, drained bool) {
			m = New(limits, now)
			m.Inherit(results, drained)
			observe(m.Started(now, nil))
			reloadID, restartID = "", ""
			if want := map[bool]State{true: Drained, false: Ready}[drained]; m.State() != want {
				t.Fatalf("a successor is %v, want %v", m.State(), want)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			observe(m.Tick(now))
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				observe(m.SetOpen(now, rapid.IntRange(0, 1).Draw(t, "open")))
			case 1:
				observe(m.Loaded(now, reloadID, nil))
				reloadID = ""
			case 2:
				if restartID == "" {
					continue
				}
				id, bad := restartID, rapid.Bool().Draw(t, "bad")
				if restartID = ""; bad {
					observe(m.Spawned(now, id, errors.New("bad")))
					continue
				}
				results := append(m.Results(), Result{ID: id, Done: true})
				observe(m.Spawned(now, id, nil))
				startProcess(results, drained)
			case 3:
				if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					clear(first)
					startProcess(nil, false)
				}
			default:
				id := fmt.Sprint("c", i)
				if rapid.Bool().Draw(t, "repeat") {
					id = fmt.Sprint("c", rapid.IntRange(0, i).Draw(t, "of"))
				}
				observe(m.Command(now, Command{ID: id, Op: Op(rapid.IntRange(1, 5).Draw(t, "op"))}))
			}
			if m.State() == Ended || m.State() == Failed { // the supervisor starts a new process
				clear(first)
				startProcess(nil, false)
			}
		}
	})
}
