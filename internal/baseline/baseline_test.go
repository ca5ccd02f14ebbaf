package baseline

import (
	"testing"

	"gannethook"
)

// The baselines keep rule 2 as the module does: an unsafe request is retried or refused only after evidence that the attempt
// did not run.
func TestRuleTwo(t *testing.T) {
	set := gannethook.Settings{Routers: 1, Classes: []gannethook.Class{{Effect: gannethook.Unsafe}}, MaxAttempts: 4,
		Kinds: []gannethook.Kind{{Role: gannethook.Reader}, {Role: gannethook.Writer}}}
	for _, name := range []string{Random, RoundRobin} {
		for outcome, retried := range map[gannethook.Outcome]bool{gannethook.Full: true, gannethook.ConnectFailed: true,
			gannethook.Failed: false, gannethook.Broken: false, gannethook.TimedOut: false, gannethook.Cancelled: false} {
			d, err := New(name, set, 1)
			if err != nil {
				t.Fatal(err)
			}
			m := gannethook.Membership{Whole: true}
			for i, id := range []gannethook.ServerID{"r", "w1", "w2"} {
				m.Servers = append(m.Servers, gannethook.Server{ID: id, Kind: min(i, 1), State: gannethook.Ready})
			}
			d.Handle(0, m)
			d.Handle(1, gannethook.Request{ID: 1, Budget: 1000})
			d.Handle(2, gannethook.Ended{ID: 1, Attempt: 0, Outcome: gannethook.ReadDone})
			sent, failed := false, false
			for _, a := range d.Handle(3, gannethook.Ended{ID: 1, Attempt: 1, Outcome: outcome}) {
				switch a.(type) {
				case gannethook.Send:
					sent = true
				case gannethook.Fail:
					failed = true
				case gannethook.Refuse:
					t.Errorf("%s: refused after %v", name, outcome)
				}
			}
			if sent != retried || failed == retried {
				t.Errorf("%s after %v: sent %v, failed %v", name, outcome, sent, failed)
			}
		}
	}
	if _, err := New("best", set, 1); err == nil {
		t.Error("an unknown policy is accepted")
	}
}
