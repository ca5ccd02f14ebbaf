package gannethook

import "testing"

// A server is penalized for a connection that it did not accept, and not for one that the router could not try.
func TestNotTriedPenalizesNoServer(t *testing.T) {
	for outcome, penalized := range map[Outcome]bool{ConnectFailed: true, NotTried: false} {
		script := newScript(t, testSettings(), newServer("r1", 0, 0, 0), newServer("r2", 0, 0, 0), newServer("w1", 1, 0, 0))
		script.handle(1, Request{ID: 1, Class: 1, Budget: 5000, Prompt: 100})
		for _, action := range script.actions {
			if send, ok := action.(Send); ok {
				script.handle(1, Ended{ID: 1, Attempt: 0, Server: send.Server, Outcome: outcome})
				if got := script.router.penaltyOf(script.router.servers[send.Server]) > 0; got != penalized {
					t.Errorf("outcome %v: penalized %v", outcome, got)
				}
				break
			}
		}
		resent := false // even unsafe work is sent again: nothing has run
		for _, action := range script.actions {
			_, send := action.(Send)
			resent = resent || send
		}
		if !resent {
			t.Errorf("outcome %v: not sent to another server: %v", outcome, script.actions)
		}
	}
}

// A request that arrives with too little time left for an attempt and its final answer is refused at once, without an attempt.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	for _, class := range []int{0, 1, 2} {
		for _, budget := range []Millis{0, 1, 9} { // two quanta of 4 ms, and 1 ms
			script := newScript(t, testSettings(), newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0))
			script.handle(1, Request{ID: 1, Class: class, Budget: budget, Prompt: 100})
			script.want("refuse")
		}
	}
}
