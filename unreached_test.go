package gannethook

import "testing"

// A server is charged for a connection that it did not take, and not for one that the router could not try.
func TestNotTriedChargesNobody(t *testing.T) {
	for outcome, charged := range map[Outcome]bool{ConnectFailed: true, NotTried: false} {
		s := newScript(t, fleet(), at("r1", 0, 0, 0), at("r2", 0, 0, 0), at("w1", 1, 0, 0))
		s.on(1, Request{ID: 1, Class: 1, Budget: 5000, Prompt: 100})
		for _, a := range s.acts {
			if send, ok := a.(Send); ok {
				s.on(1, Ended{ID: 1, Attempt: 0, Server: send.Server, Outcome: outcome})
				if got := s.r.penaltyOf(s.r.servers[send.Server]) > 0; got != charged {
					t.Errorf("outcome %v: charged %v", outcome, got)
				}
				break
			}
		}
		again := false // even one that may not run twice: nothing has run
		for _, a := range s.acts {
			_, send := a.(Send)
			again = again || send
		}
		if !again {
			t.Errorf("outcome %v: not tried elsewhere: %v", outcome, s.acts)
		}
	}
}
