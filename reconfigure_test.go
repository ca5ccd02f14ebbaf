package gannethook

import "testing"

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
	if acts := r.Handle(1, Reconfigure{next}); len(acts) > 0 || r.set.Classes[0].Aim != 5000 {
		t.Errorf("%v, aim %v", acts, r.set.Classes[0].Aim)
	}
	for name, change := range map[string]func(*Settings){
		"an effect":       func(s *Settings) { s.Classes[0].Effect = Safe },
		"a class more":    func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"a role":          func(s *Settings) { s.Kinds[0].Role = Mixed },
		"holds":           func(s *Settings) { s.Holds = true },
		"a negative time": func(s *Settings) { s.PinLimit = -1 },
	} {
		bad := next
		bad.Classes = append([]Class{}, next.Classes...)
		bad.Kinds = append([]Kind{}, next.Kinds...)
		change(&bad)
		if next.Compatible(&bad) == nil {
			t.Errorf("%s may change", name)
		}
		r.Handle(2, Reconfigure{bad})
	}
	if r.set.Classes[0].Effect != Unsafe || r.set.Holds || len(r.set.Classes) != 1 {
		t.Errorf("swapped: %+v", r.set)
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
