package gannethook

import (
	"slices"
	"testing"
)

// Settings are replaced between two events, unless that would break a guarantee of requests under way.
func TestReconfigure(t *testing.T) {
	set := Settings{Routers: 1, Classes: []Class{{Aim: 1000, Worth: 1, Effect: Unsafe}},
		Kinds: []Kind{{Role: Reader}, {Role: Writer, Memory: 1e5}}, MaxAttempts: 2}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	next := set
	next.Classes = []Class{{Aim: 5000, Worth: 2, Effect: Unsafe}}
	if actions := r.Handle(1, Reconfigure{next}); len(actions) > 0 || r.settings.Classes[0].Aim != 5000 {
		t.Errorf("%v, aim %v", actions, r.settings.Classes[0].Aim)
	}
	bad := next
	bad.PinLimit = -1
	if r.Handle(2, Reconfigure{bad}); r.settings.PinLimit != 0 {
		t.Error("invalid settings are accepted")
	}
	for name, change := range map[string]func(*Settings){
		"an effect":    func(s *Settings) { s.Classes[0].Effect = Safe },
		"a class more": func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"a role":       func(s *Settings) { s.Kinds[0].Role = Mixed },
		"holds":        func(s *Settings) { s.Holds = true },
	} {
		other := next
		other.Classes = slices.Clone(next.Classes)
		other.Kinds = slices.Clone(next.Kinds)
		change(&other)
		if next.Compatible(&other) == nil {
			t.Errorf("%s may change although requests refer to it by number", name)
		}
	}
}

// Settings that share nothing with the old ones: earlier requests keep their effect, attempts and times to the end;
// later ones find nothing of the old settings, neither classes nor tenants, nor roles, nor what was learned by their
// numbers.
func TestReconfigureToOthers(t *testing.T) {
	old := testSettings(func(script *Settings) { script.Holds, script.MaxAttempts = false, 5 })
	script := newScript(t, old, oneOfEach...)
	script.handle(1, newRequest(1, 1)) // unsafe
	script.handle(9, Ended{ID: 1, Server: "r1", Outcome: ReadDone})
	script.handle(1, newRequest(2, 3))
	script.handle(1, Ended{ID: 2, Server: "r1", Outcome: Full}) // class 3 is rejected
	script.handle(1, newRequest(5, 0))                          // safe
	script.handle(9, Ended{ID: 5, Server: "r1", Outcome: ReadDone})
	script.want("send 5 w1")
	next := Settings{Routers: 9, Classes: []Class{{Aim: 700, Worth: 1, Effect: Safe, Streamed: true}},
		Kinds:   []Kind{{Role: Writer, Memory: 1e5}, {Role: Reader, Memory: 1e5}},
		Tenants: []Tenant{{QuotaPerS: 1}, {QuotaPerS: 5}}, MaxAttempts: 2, PinLimit: 900, Quantum: 4, Cancel: true}
	script.handle(1, Reconfigure{next})
	if script.handle(0, newRequest(3, 1)); len(script.actions) > 0 {
		t.Errorf("a request of a removed class: %v", script.actions)
	}
	if script.handle(1, newRequest(6, 0)); slices.Contains(summaries(script.actions), "send 6 r1") {
		t.Error("a server of the former kinds is used before a new list")
	}
	script.handle(1, ClientGone{ID: 6})
	script.handle(1, Membership{Whole: true, Servers: []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)}}) // the same, in other roles
	script.handle(1, Ended{ID: 5, Attempt: 1, Server: "w1", Outcome: Full})                                          // the third of five attempts
	script.want("send 5 r1")
	script.handle(1, ClientGone{ID: 5})
	script.handle(1, newRequest(4, 0))
	script.want("send 4 w1")
	script.handle(1, Ended{ID: 4, Server: "w1", Outcome: ReadDone})
	script.want("send 4 r1")
	script.handle(1, Ended{ID: 4, Attempt: 1, Server: "r1", Outcome: Failed}) // the last of two
	script.want("release 4", "refuse 4", "release 4")
	script.handle(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Failed}) // unsafe, as when it arrived
	script.want("fail 1", "release 1")
	for i, part := range script.router.rejectedSends[:len(script.router.rejectedSends)-1] {
		if part.value > 0 || script.router.servers["r1"].rejectionPenalties[i].value > 0 {
			t.Errorf("flow %d starts with what was learned of another", i)
		}
	}
}

// A view shows penalties, backlog and holds, and taking it changes nothing.
func TestView(t *testing.T) {
	set := Settings{Routers: 1, Classes: []Class{{Aim: 1000, Worth: 1, Effect: Safe}},
		Kinds: []Kind{{Role: Reader}, {Role: Writer, Memory: 1e5}}, Holds: true, PinLimit: 500, MaxAttempts: 4}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(1, Membership{Whole: true, Servers: []Server{{ID: "r", State: Ready}, {ID: "w", Kind: 1, State: Ready}}})
	r.Handle(2, Request{ID: 1, Budget: 10000, Prompt: 800, MaxOut: 100})
	before := r.View(1e6)
	if len(before) != 2 || before[0].ID != "r" || before[0].Backlog <= 0 || before[0].Freeness >= 1 || before[1].Holds != 1 {
		t.Errorf("%+v", before)
	}
	if r.now != 2 {
		t.Errorf("taking a view moved the time to %v", r.now)
	}
	r.Handle(3, Ended{ID: 1, Attempt: 0, Server: "r", Outcome: Failed})
	if after := r.View(3); after[0].Charge <= 0 {
		t.Errorf("a failure leaves no penalty: %+v", after[0])
	}
}
