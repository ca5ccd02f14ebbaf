package gannethook

import (
	"math"
	"testing"
)

const hour = Millis(3600e3)

// newScriptAt is newScript at a time from which an hour back is still a time.
func newScriptAt(t *testing.T, now Millis, servers ...Server) *script {
	t.Helper()
	r, err := New(fleet(), 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, r: r, now: now}
	s.on(0, Membership{Whole: true, Servers: servers})
	return s
}

// started hands a router with the given error of its wall clock a list, then a newcomer that started just before the
// router's next list, and returns what the newcomer is counted on for at once and after its warm-up.
func started(t *testing.T, clockError Millis) (atOnce, later float64) {
	t.Helper()
	set := fleet()
	s := newScriptAt(t, 1e9, at("r1", 0, 0, 0), at("w1", 1, 0, 0)) // the list as it was known at the start
	s.on(100, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0)}})
	s.on(1500, Membership{})
	next := at("w2", 1, 0, 0)
	next.Since = s.now + 900 - clockError
	s.on(1000, Membership{Servers: []Server{next}})
	atOnce = s.r.ramp(s.r.servers["w2"])
	s.on(set.WarmAfter, Membership{})
	return atOnce, s.r.ramp(s.r.servers["w2"])
}

// A step of this machine's wall clock, before the start or after it, neither makes a server that has just started look warm
// nor keeps one in slow start for good: this clock is ahead by no more than the least age at which a newcomer was first told.
func TestStartUnderStepOfClock(t *testing.T) {
	t.Run("while the router was down", startBeforeFirstList)
	want, _ := started(t, 0)
	for _, clockError := range []Millis{hour, 5000, -5000, -hour} {
		atOnce, later := started(t, clockError)
		if atOnce > want+0.1 {
			t.Errorf("clock wrong by %v ms: %.2f of a server that has just started, %.2f expected", clockError, atOnce, want)
		}
		if later < 1 {
			t.Errorf("clock wrong by %v ms: in slow start after its warm-up: %.2f", clockError, later)
		}
	}
}

// startBeforeFirstList: of what has changed since the list that a router knew at its start, a server that seems to have started long before
// is in slow start: the wall clock may have been stepped while the router was down.
func startBeforeFirstList(t *testing.T) {
	s := newScriptAt(t, 1e9, at("r1", 0, 0, 0), at("w1", 1, 0, 0))
	fresh, old, moved := at("w2", 1, 0, 0), at("w3", 1, 0, 0), at("w1", 1, 0, 0)
	fresh.Since, old.Since, moved.Since = s.now-4000, 0, s.now-hour
	s.on(50, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), moved, fresh, old}})
	for id, want := range map[ServerID]float64{"w1": 0.25, "w2": 0.55, "w3": 1} {
		if got := s.r.ramp(s.r.servers[id]); got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: %.2f, want %.2f", id, got, want)
		}
	}
}

// A server that leaves the list and is back as it was has not started again.
func TestStartIsRemembered(t *testing.T) {
	s := newScriptAt(t, 1e9, at("r1", 0, 0, 0), at("w1", 1, 0, 0))
	w := at("w2", 1, 0, 0)
	w.Since = s.now - hour
	s.on(50, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0), w}})
	s.on(20000, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0)}})
	s.on(1000, Membership{Servers: []Server{w}})
	if got := s.r.ramp(s.r.servers["w2"]); got < 1 {
		t.Errorf("in slow start again: %.2f", got)
	}
}

// Once a newcomer that was told at once has shown that this clock is right, one that is told late counts from its start.
func TestStartToldLate(t *testing.T) {
	s := newScriptAt(t, 1e9, at("r1", 0, 0, 0), at("w1", 1, 0, 0))
	s.on(100, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0)}})
	quick, late := at("w2", 1, 0, 0), at("w3", 1, 0, 0)
	quick.Since = s.now + 1000
	s.on(1100, Membership{Servers: []Server{quick}})
	late.Since = s.now + 1000
	s.on(5000, Membership{Servers: []Server{late}}) // 4 s late
	if got, want := s.r.ramp(s.r.servers["w3"]), 0.25+0.75*0.39; math.Abs(got-want) > 0.01 {
		t.Errorf("told 4 s late: %.2f, want %.2f", got, want)
	}
}
