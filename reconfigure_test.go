package gannethook

import (
	"slices"
	"testing"
)

// Settings are swapped between two events; what would break a promise under way is not.
func TestReconfigure(t *testing.T) {
	set := Settings{Routers: 1, Classes: []Class{{Aim: 1000, Worth: 1, Effect: Unsafe}},
		Kinds: []Kind{{Role: Reader}, {Role: Writer, Memory: 1e5}}, MaxAttempts: 2}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	next := set
	next.Classes = []Class{{Aim: 5000, Worth: 2, Effect: Unsafe}}
	if acts := r.Handle(1, Reconfigure{next}); len(acts) > 0 || r.settings.Classes[0].Aim != 5000 {
		t.Errorf("%v, aim %v", acts, r.settings.Classes[0].Aim)
	}
	bad := next
	bad.PinLimit = -1
	if r.Handle(2, Reconfigure{bad}); r.settings.PinLimit != 0 {
		t.Error("settings that make no sense are taken")
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
			t.Errorf("%s may change under those who number requests by it", name)
		}
	}
}

// Settings of another customer: what came before keeps its effect, attempts and times to its end; what comes
// after finds nothing of the old settings, neither classes nor tenants, nor roles, nor what was learned by their numbers.
func TestReconfigureToOthers(t *testing.T) {
	old := fleet(func(s *Settings) { s.Holds, s.MaxAttempts = false, 5 })
	s := newScript(t, old, oneEach...)
	s.on(1, ask(1, 1)) // unsafe
	s.on(9, Ended{ID: 1, Server: "r1", Outcome: ReadDone})
	s.on(1, ask(2, 3))
	s.on(1, Ended{ID: 2, Server: "r1", Outcome: Full}) // class 3 is turned away
	s.on(1, ask(5, 0))                                 // safe
	s.on(9, Ended{ID: 5, Server: "r1", Outcome: ReadDone})
	s.want("send 5 w1")
	next := Settings{Routers: 9, Classes: []Class{{Aim: 700, Worth: 1, Effect: Safe, Streamed: true}},
		Kinds:   []Kind{{Role: Writer, Memory: 1e5}, {Role: Reader, Memory: 1e5}},
		Tenants: []Tenant{{QuotaPerS: 1}, {QuotaPerS: 5}}, MaxAttempts: 2, PinLimit: 900, Quantum: 4, Cancel: true}
	s.on(1, Reconfigure{next})
	if s.on(0, ask(3, 1)); len(s.acts) > 0 {
		t.Errorf("a class that is gone: %v", s.acts)
	}
	if s.on(1, ask(6, 0)); slices.Contains(shorts(s.acts), "send 6 r1") {
		t.Error("a server of the former kinds is used before the list is told again")
	}
	s.on(1, ClientGone{ID: 6})
	s.on(1, Membership{Whole: true, Servers: []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0)}}) // the same, in other roles
	s.on(1, Ended{ID: 5, Attempt: 1, Server: "w1", Outcome: Full})                            // a third attempt, of five
	s.want("send 5 r1")
	s.on(1, ClientGone{ID: 5})
	s.on(1, ask(4, 0))
	s.want("send 4 w1")
	s.on(1, Ended{ID: 4, Server: "w1", Outcome: ReadDone})
	s.want("send 4 r1")
	s.on(1, Ended{ID: 4, Attempt: 1, Server: "r1", Outcome: Failed}) // of two
	s.want("release 4", "refuse 4", "release 4")
	s.on(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Failed}) // unsafe, as it came
	s.want("fail 1", "release 1")
	for i, part := range s.r.rejectedSends[:len(s.r.rejectedSends)-1] {
		if part.value > 0 || s.r.servers["r1"].rejectionPenalties[i].value > 0 {
			t.Errorf("flow %d begins with what was learned of another", i)
		}
	}
}

// A view shows charges, backlog and holds, and looking changes nothing.
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
		t.Errorf("looking moved the time to %v", r.now)
	}
	r.Handle(3, Ended{ID: 1, Attempt: 0, Server: "r", Outcome: Failed})
	if after := r.View(3); after[0].Charge <= 0 {
		t.Errorf("a failure leaves no charge: %+v", after[0])
	}
}
