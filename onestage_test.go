package gannethook

import (
	"fmt"
	"testing"
)

// withOneStage adds classes whose work is one stage: 4 safe, 5 unsafe, 6 keyed in a cell.
func withOneStage(set *Settings) {
	set.Classes = append(set.Classes, Class{Aim: 2000, Worth: 1, Effect: Safe, OneStage: true},
		Class{Aim: 2000, Worth: 1, Effect: Unsafe, OneStage: true},
		Class{Aim: 2000, Worth: 1, Effect: Keyed, Group: GroupCell, Window: 2000, OneStage: true})
}

// One-stage work goes to a reader, holds no place, and its Served there ends it: nothing is released.
func TestOneStagePath(t *testing.T) {
	s := newScript(t, fleet(withOneStage), oneEach...)
	s.on(1, ask(1, 4))
	s.want("send 1 r1")
	s.on(80, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: Served, Done: true})
	s.want("release 1")
	if s.r.requests[1] != nil || s.r.servers["r1"].inFlightPrice != 0 || s.r.servers["r1"].speed.work == 0 {
		t.Errorf("left %v, or its time was not learned: %+v", s.r.requests[1], s.r.servers["r1"])
	}
}

// A writer never gets it, though writers read; a mixed server does, and takes no memory for it.
func TestOneStageServers(t *testing.T) {
	s := newScript(t, fleet(withOneStage, func(set *Settings) { set.WritersRead = true }), at("w1", 1, 0, 0))
	s.on(1, ask(1, 4))
	s.want()
	s = newScript(t, fleet(withOneStage), at("m1", 2, 0, 0), at("w1", 1, 0, 0))
	s.on(1, ask(1, 4))
	s.want("send 1 m1")
	if n := len(s.r.servers["m1"].streams); n != 0 {
		t.Errorf("%d places are booked for one-stage work", n)
	}
	s.on(50, Ended{ID: 1, Attempt: 0, Server: "m1", Outcome: Served, Done: true})
	if s.r.peakRate[Mixed] == 0 || s.r.peakRate[Reader] != 0 {
		t.Errorf("the proof went to the wrong role: %v", s.r.peakRate)
	}
}

// What may have run goes again as its class allows: safe to another server, unsafe nowhere, keyed in its group.
func TestOneStageEffects(t *testing.T) {
	for _, c := range []struct {
		class   int
		outcome Outcome
		want    []string
	}{
		{4, Broken, []string{"release 1", "send 1"}},
		{5, Broken, []string{"fail 1", "release 1"}},
		{5, Failed, []string{"fail 1", "release 1"}},
		{5, Full, []string{"release 1", "send 1"}},
		{5, ConnectFailed, []string{"release 1", "send 1"}},
		{6, Broken, []string{"release 1"}}, // the other reader stands in another cell: it waits
	} {
		t.Run(fmt.Sprint(c.class, c.outcome), func(t *testing.T) {
			s := newScript(t, fleet(withOneStage), twoEach...)
			s.on(1, ask(1, c.class))
			s.on(9, Ended{ID: 1, Attempt: 0, Server: s.sent(), Outcome: c.outcome})
			s.want(c.want...)
		})
	}
}

// An overdue read of one stage is called off only where it may run twice.
func TestOneStagePatience(t *testing.T) {
	for class, off := range map[int]bool{4: true, 5: false, 6: false} {
		s := newScript(t, fleet(withOneStage), twoEach...)
		for i := range 30 { // many ends: silence tells something
			id := RequestID(100 + i)
			s.on(10, ask(id, 4))
			s.on(10, Ended{ID: id, Attempt: 0, Server: s.sent(), Outcome: Served, Done: true})
		}
		s.on(1, ask(1, class))
		var due []Wake
		for _, a := range s.acts {
			if w, ok := a.(Wake); ok && w.Ref%refsPerRequest == refReadCheck {
				due = append(due, w)
			}
		}
		if len(due) != 1 {
			t.Fatalf("class %d: %v", class, s.acts)
		}
		s.on(due[0].In, Wakeup{Ref: due[0].Ref})
		_, cancelled := find[Cancel](s.acts)
		if cancelled != off {
			t.Errorf("class %d is called off: %v", class, cancelled)
		}
	}
}

func find[A Action](acts []Action) (a A, ok bool) {
	for _, x := range acts {
		if a, ok = x.(A); ok {
			return a, true
		}
	}
	return a, false
}

// A server gets one repeat, and its part of the first attempts besides; then repeats go elsewhere or wait.
func TestRepeatsBounded(t *testing.T) {
	s := newScript(t, fleet(withOneStage, func(set *Settings) { set.RepeatPart = 0.1 }), oneEach...)
	send := func(id RequestID, n int, how Outcome) bool {
		sent, ok := find[Send](s.acts)
		if ok {
			s.on(0, Ended{ID: id, Attempt: n, Server: sent.Server, Outcome: how, Done: how == Served})
		}
		return ok
	}
	for id := RequestID(1); id <= 20; id++ { // three repeats' worth of first attempts
		s.on(1, ask(id, 4))
		send(id, 0, Served)
	}
	repeats := 0
	for id := RequestID(100); id < 110; id++ {
		s.on(0, ask(id, 4))
		if !send(id, 0, Full) { // turned away: it may go again at once, and there is no other reader
			t.Fatalf("request %d is not sent: %q", id, shorts(s.acts))
		}
		s.r.servers["r1"].rejectionPenalties = map[int]decayingValue{}
		s.on(sweepIntervalMs, Wakeup{Ref: refSweep})
		if send(id, 1, Served) {
			repeats++
		}
	}
	if repeats < 3 || repeats > 5 {
		t.Errorf("%d repeats, 3 to 5 are due: one, and a tenth of 20 to 30 first attempts, fading", repeats)
	}
}
