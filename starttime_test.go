package gannethook

import (
	"math"
	"testing"
)

const hour = Millis(3600e3)

// newScriptAt is newScript at a start time that leaves room for times an hour earlier.
func newScriptAt(t *testing.T, now Millis, servers ...Server) *scriptedRouter {
	t.Helper()
	r, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	script := &scriptedRouter{t: t, router: r, now: now}
	script.handle(0, Membership{Whole: true, Servers: servers})
	return script
}

// rampUnderClockError gives a router, whose wall clock has the given error, a list and then a server that started just
// before the router's next update. It returns the server's ramp at once and after its warm-up.
func rampUnderClockError(t *testing.T, clockError Millis) (atOnce, later float64) {
	t.Helper()
	set := testSettings()
	script := newScriptAt(t, 1e9, newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)) // the list known at the start
	script.handle(100, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)}})
	script.handle(1500, Membership{})
	next := newServer("w2", 1, 0, 0)
	next.Since = script.now + 900 - clockError
	script.handle(1000, Membership{Servers: []Server{next}})
	atOnce = script.router.ramp(script.router.servers["w2"])
	script.handle(set.WarmAfter, Membership{})
	return atOnce, script.router.ramp(script.router.servers["w2"])
}

// A step of this machine's wall clock, before the router's start or after it, neither makes a server that has just
// started look warm nor keeps one in slow start for good: this clock is ahead by no more than the least age at which a
// newcomer was first reported.
func TestStartTimeUnderClockStep(t *testing.T) {
	t.Run("while the router was down", startBeforeFirstList)
	want, _ := rampUnderClockError(t, 0)
	for _, clockError := range []Millis{hour, 5000, -5000, -hour} {
		atOnce, later := rampUnderClockError(t, clockError)
		if atOnce > want+0.1 {
			t.Errorf("clock wrong by %v ms: ramp %.2f of a server that has just started, want %.2f", clockError, atOnce, want)
		}
		if later < 1 {
			t.Errorf("clock wrong by %v ms: still in slow start after the warm-up: ramp %.2f", clockError, later)
		}
	}
}

// startBeforeFirstList: among the changes since a router's first list, a server that seems to have started long before
// is in slow start, since the wall clock may have been stepped while the router was down.
func startBeforeFirstList(t *testing.T) {
	script := newScriptAt(t, 1e9, newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0))
	fresh, old, moved := newServer("w2", 1, 0, 0), newServer("w3", 1, 0, 0), newServer("w1", 1, 0, 0)
	fresh.Since, old.Since, moved.Since = script.now-4000, 0, script.now-hour
	script.handle(50, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), moved, fresh, old}})
	for id, want := range map[ServerID]float64{"w1": 0.25, "w2": 0.55, "w3": 1} {
		if got := script.router.ramp(script.router.servers[id]); got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: %.2f, want %.2f", id, got, want)
		}
	}
}

// A server that leaves the list and returns with the same start time has not started again.
func TestStartTimeIsRemembered(t *testing.T) {
	script := newScriptAt(t, 1e9, newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0))
	writer := newServer("w2", 1, 0, 0)
	writer.Since = script.now - hour
	script.handle(50, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0), writer}})
	script.handle(20000, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)}})
	script.handle(1000, Membership{Servers: []Server{writer}})
	if got := script.router.ramp(script.router.servers["w2"]); got < 1 {
		t.Errorf("in slow start again: ramp %.2f", got)
	}
}

// Once a newcomer that was reported at once has shown that this clock is right, one that is reported late counts from
// its start.
func TestStartTimeReportedLate(t *testing.T) {
	script := newScriptAt(t, 1e9, newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0))
	script.handle(100, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)}})
	quick, late := newServer("w2", 1, 0, 0), newServer("w3", 1, 0, 0)
	quick.Since = script.now + 1000
	script.handle(1100, Membership{Servers: []Server{quick}})
	late.Since = script.now + 1000
	script.handle(5000, Membership{Servers: []Server{late}}) // 4 s late
	if got, want := script.router.ramp(script.router.servers["w3"]), 0.25+0.75*0.39; math.Abs(got-want) > 0.01 {
		t.Errorf("reported 4 s late: ramp %.2f, want %.2f", got, want)
	}
}
