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
				if got := s.r.chargeOf(s.r.servers[send.Server]) > 0; got != charged {
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

// Where an answer has not begun when the pin limit is nearly over, all that no attempt waits for is let go, once, and the
// attempt goes on; not where releases would take away what it waits for, and not once it streams.
func TestStateOfUnheardWriterIsLetGo(t *testing.T) {
	for name, c := range map[string]struct {
		spares, streams, released bool
	}{"silent": {true, false, true}, "silent, nothing is spared": {false, false, false}, "streaming": {true, true, false}} {
		s := newScript(t, fleet(func(set *Settings) { set.SparesWaited, set.Holds = c.spares, false }), at("r1", 0, 0, 0), at("w1", 1, 0, 0))
		s.on(1, Request{ID: 1, Class: 1, Budget: 5000, Prompt: 100})
		s.on(50, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		if c.streams {
			s.on(100, Streaming{ID: 1, Attempt: 1, Server: "w1"})
		}
		released, canceled := 0, false
		for range 2 {
			for _, a := range s.on(arrivePart*fleet().PinLimit, Wakeup{Ref: refStep + refArrival}) {
				switch a.(type) {
				case Release:
					released++
				case Cancel:
					canceled = true
				}
			}
		}
		if released > 1 || released == 1 != c.released || canceled {
			t.Errorf("%s: %d releases, canceled %v", name, released, canceled)
		}
		if c.released { // the call arrives late, and finds no state: the prompt is read anew
			s.on(10, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Full, NoState: true})
			s.want("release 1", "send 1 r1")
		}
	}
}

// Two writers in a row that fall silent have the time of one: a write that timed out may never have arrived.
func TestTwoSilentWritersShareTheTime(t *testing.T) {
	set := fleet(func(set *Settings) { set.SparesWaited, set.Holds, set.PinLimit, set.MaxAttempts = true, false, 1000, 7 })
	s := newScript(t, set, at("r1", 0, 0, 0), at("w1", 1, 0, 0), at("w2", 1, 0, 0))
	s.on(1, Request{ID: 1, Class: 0, Budget: 5000, Prompt: 100})
	s.on(50, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	var again Millis
	for _, a := range s.on(800, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: TimedOut}) {
		if wake, ok := a.(Wake); ok && wake.Ref == refStep+refArrival {
			again = wake.In
		}
	}
	if again <= 0 || again > 300 { // 1,100 ms after the read at the most, and not before it can have arrived
		t.Fatalf("looked at %v ms after the second write", again)
	}
	s.on(again, Wakeup{Ref: refStep + refArrival})
	s.want("release 1")
}

// The same where the request has had its answer and its attempt may not be called off.
func TestStateOfUnheardWriterIsLetGoOnceAnswered(t *testing.T) {
	set := fleet(func(set *Settings) { set.SparesWaited, set.Cancel, set.Holds = true, false, false })
	s := newScript(t, set, at("r1", 0, 0, 0), at("w1", 1, 0, 0))
	s.on(1, Request{ID: 1, Class: 1, Budget: 400, Prompt: 100})
	s.on(50, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	s.on(341, Wakeup{Ref: refStep + refDeadline})
	s.want("fail 1")
	s.on(110, Wakeup{Ref: refStep + refArrival})
	s.want("release 1")
}
