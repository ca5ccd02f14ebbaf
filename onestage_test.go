package gannethook

import (
	"fmt"
	"testing"
)

// withOneStage adds one-stage classes: 4 safe, 5 unsafe, 6 keyed in a cell.
func withOneStage(set *Settings) {
	set.Classes = append(set.Classes, Class{Aim: 2000, Worth: 1, Effect: Safe, OneStage: true},
		Class{Aim: 2000, Worth: 1, Effect: Unsafe, OneStage: true},
		Class{Aim: 2000, Worth: 1, Effect: Keyed, Group: GroupCell, Window: 2000, OneStage: true})
}

// One-stage work goes to a reader, holds no place, and is ended by Served there.
func TestOneStagePath(t *testing.T) {
	script := newScript(t, testSettings(withOneStage), oneOfEach...)
	script.handle(1, newRequest(1, 4))
	script.want("send 1 r1")
	script.handle(80, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: Served, Done: true})
	script.want("release 1")
	if script.router.requests[1] != nil || script.router.servers["r1"].inFlightPrice != 0 || script.router.servers["r1"].speed.work == 0 {
		t.Errorf("%v is left, or its time was not learned: %+v", script.router.requests[1], script.router.servers["r1"])
	}
}

// A writer never gets one-stage work, even if writers read; a mixed server does, and books no memory for it.
func TestOneStageServers(t *testing.T) {
	script := newScript(t, testSettings(withOneStage, func(set *Settings) { set.WritersRead = true }), newServer("w1", 1, 0, 0))
	script.handle(1, newRequest(1, 4))
	script.want()
	script = newScript(t, testSettings(withOneStage), newServer("m1", 2, 0, 0), newServer("w1", 1, 0, 0))
	script.handle(1, newRequest(1, 4))
	script.want("send 1 m1")
	if n := len(script.router.servers["m1"].streams); n != 0 {
		t.Errorf("%d places are booked for one-stage work", n)
	}
	script.handle(50, Ended{ID: 1, Attempt: 0, Server: "m1", Outcome: Served, Done: true})
	if script.router.peakRate[Mixed] == 0 || script.router.peakRate[Reader] != 0 {
		t.Errorf("the completion was counted for the wrong role: %v", script.router.peakRate)
	}
}

// One-stage work that may have run is repeated as its class allows: safe at another server, unsafe nowhere, keyed in
// its group.
func TestOneStageEffects(t *testing.T) {
	for _, tc := range []struct {
		class   int
		outcome Outcome
		want    []string
	}{
		{4, Broken, []string{"release 1", "send 1"}},
		{5, Broken, []string{"fail 1", "release 1"}},
		{5, Failed, []string{"fail 1", "release 1"}},
		{5, Full, []string{"release 1", "send 1"}},
		{5, ConnectFailed, []string{"release 1", "send 1"}},
		{6, Broken, []string{"release 1"}}, // the other reader is in another cell: the request waits
	} {
		t.Run(fmt.Sprint(tc.class, tc.outcome), func(t *testing.T) {
			script := newScript(t, testSettings(withOneStage), twoOfEach...)
			script.handle(1, newRequest(1, tc.class))
			script.handle(9, Ended{ID: 1, Attempt: 0, Server: script.sentTo(), Outcome: tc.outcome})
			script.want(tc.want...)
		})
	}
}

// An overdue read of one stage is cancelled only if it may run twice.
func TestOneStageAttemptTimeout(t *testing.T) {
	for class, wantCancel := range map[int]bool{4: true, 5: false, 6: false} {
		script := newScript(t, testSettings(withOneStage), twoOfEach...)
		for i := range 30 { // many completions: silence is evidence of a failure
			id := RequestID(100 + i)
			script.handle(10, newRequest(id, 4))
			script.handle(10, Ended{ID: id, Attempt: 0, Server: script.sentTo(), Outcome: Served, Done: true})
		}
		script.handle(1, newRequest(1, class))
		var due []Wake
		for _, action := range script.actions {
			if wake, ok := action.(Wake); ok && wake.Ref%refsPerRequest == refReadCheck {
				due = append(due, wake)
			}
		}
		if len(due) != 1 {
			t.Fatalf("class %d: %v", class, script.actions)
		}
		script.handle(due[0].In, Wakeup{Ref: due[0].Ref})
		_, cancelled := findAction[Cancel](script.actions)
		if cancelled != wantCancel {
			t.Errorf("class %d is cancelled: %v", class, cancelled)
		}
	}
}

func findAction[A Action](actions []Action) (a A, ok bool) {
	for _, action := range actions {
		if a, ok = action.(A); ok {
			return a, true
		}
	}
	return a, false
}

// A server gets one repeat, and the configured share of its first attempts on top; further repeats go elsewhere or
// wait.
func TestRepeatsBounded(t *testing.T) {
	script := newScript(t, testSettings(withOneStage, func(set *Settings) { set.RepeatPart = 0.1 }), oneOfEach...)
	send := func(id RequestID, n int, how Outcome) bool {
		sent, ok := findAction[Send](script.actions)
		if ok {
			script.handle(0, Ended{ID: id, Attempt: n, Server: sent.Server, Outcome: how, Done: how == Served})
		}
		return ok
	}
	for id := RequestID(1); id <= 20; id++ { // enough first attempts for three repeats
		script.handle(1, newRequest(id, 4))
		send(id, 0, Served)
	}
	repeats := 0
	for id := RequestID(100); id < 110; id++ {
		script.handle(0, newRequest(id, 4))
		if !send(id, 0, Full) { // rejected: it may be repeated at once, and there is no other reader
			t.Fatalf("request %d is not sent: %q", id, summaries(script.actions))
		}
		script.router.servers["r1"].rejectionPenalties = map[int]decayingValue{}
		script.handle(sweepIntervalMs, Wakeup{Ref: refSweep})
		if send(id, 1, Served) {
			repeats++
		}
	}
	if repeats < 3 || repeats > 5 {
		t.Errorf("%d repeats, want 3 to 5: one, and a tenth of 20 to 30 decaying first attempts", repeats)
	}
}
