package heldstate

import (
	"fmt"
	"testing"
	"time"
)

// heldAfterEnd returns how long something stays held after the end of an attempt whose close was lost, at a time from now:
// until then releases preserve what it waits for, or it has left nothing yet. The given servers answer all the time.
func (c *harness) heldAfterEnd(endsAfter time.Duration, answering ...string) (held time.Duration) {
	from := c.now
	for ; c.now.Sub(from) < endsAfter+10*time.Second; c.advance(ms) {
		for _, server := range answering {
			c.l.ServerAnswered(server, c.now, c.now, c.now)
		}
		for _, call := range c.l.Due(c.now) {
			server := "another"
			if call.Probe {
				server = call.Servers[0]
			}
			c.ack(call, server)
			if after := c.now.Sub(from) - endsAfter; after >= 0 {
				return after
			}
		}
	}
	return c.now.Sub(from) - endsAfter
}

// An attempt's connection alone falls silent, and the router closes it. Its server answers on other connections but does not
// observe the close, and the attempt runs on: a write in its queue has releases preserve the state meanwhile, and a read leaves
// its state at the end.
//
// Guards against taking an answer on any connection of a server as evidence that it had observed the close of another: no
// release followed the one at 0.4 of the pin limit after the close, and the state stayed for good. That happened to 15 to 19
// of some 800 requests of a black-box run in which single connections fell silent for 2 to 15 s, to the router on loopback of
// TestStateBehindALostClose, and in 17 of 300 drawn histories with lost closes.
func TestAttemptRunsOnAfterALostClose(t *testing.T) {
	const runsOn = 2400 * ms // from the close
	for name, play := range map[string]func(c *harness){
		"a write, its request ended": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.l.ReadEnded("k", "reader", Completed, c.now)
			c.l.AttemptStarted("k", shared, "writer", false, c.now)
			c.advance(200 * ms)
			c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
			c.l.RequestEnded("k", c.now)
		},
		"a write, the next attempt a write that never arrives": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.l.ReadEnded("k", "reader", Completed, c.now)
			c.l.AttemptStarted("k", shared, "writer", false, c.now)
			c.advance(200 * ms)
			c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
			c.l.AttemptStarted("k", shared, "silent", false, c.now)
		},
		"a write, the next attempt a read that never arrives": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.l.ReadEnded("k", "reader", Completed, c.now)
			c.l.AttemptStarted("k", shared, "writer", false, c.now)
			c.advance(200 * ms)
			c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
			c.l.AttemptStarted("k", shared, "silent", true, c.now)
		},
		"a read, its request ended": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.advance(200 * ms)
			c.l.ReadEnded("k", "reader", ClosedByRouter, c.now)
			c.l.RequestEnded("k", c.now)
		},
		"a read that runs on past the first event of an answer": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.advance(200 * ms)
			c.l.ReadEnded("k", "reader", ClosedByRouter, c.now)
			c.l.AttemptStarted("k", shared, "second", true, c.now)
			c.l.ReadEnded("k", "second", Completed, c.now)
			c.l.ServerAnswered("reader", c.now.Add(100*ms), c.now.Add(100*ms), c.now.Add(100*ms))
			c.l.AttemptStarted("k", shared, "other", false, c.now)
			c.l.StreamStarted("k", c.now)
			c.advance(100 * ms)
			c.l.WriteEnded("k", "other", Completed, c.now)
			c.l.RequestEnded("k", c.now)
		},
		"a read and a write that run on past the first event of an answer": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.l.ReadEnded("k", "reader", ClosedByRouter, c.now)
			c.l.AttemptStarted("k", shared, "second", true, c.now)
			c.l.ReadEnded("k", "second", Completed, c.now)
			c.l.AttemptStarted("k", shared, "writer", false, c.now)
			c.advance(200 * ms)
			c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
			c.l.AttemptStarted("k", shared, "other", false, c.now)
			c.l.StreamStarted("k", c.now)
			c.l.WriteEnded("k", "other", Completed, c.now)
			c.l.RequestEnded("k", c.now)
		},
	} {
		c := newHarness(t)
		play(c)
		if held := c.heldAfterEnd(runsOn, "reader", "writer", "second", "other"); held > 800*ms {
			t.Errorf("%s: held for %v after the attempt's end", name, held)
		}
	}
}

// The first requests of a router, whose readers are cut off once the reads have arrived: places are granted, the reads end
// well, and their answers are lost. The reads' servers answer nothing.
//
// Guards against probing the server of such a read by the key of another request that has ended: where there was none, each
// read counted as in flight at every check, and states stayed for 1.2 to 4 s (29 of 200 and 44 of 192 requests of routers that
// started during a partition). Of the drawn histories that begin with a partition 74 of 300 failed so, against 17 without.
func TestFirstReadsDuringAPartition(t *testing.T) {
	for _, pin := range []time.Duration{250 * ms, 500 * ms, time.Second} {
		c := newHarness(t)
		terms := shared
		terms.PinLimit = pin
		c.l.AttemptStarted("k", terms, "reader", true, c.now)
		c.l.PlaceRequested("k", terms, "writer", c.now)
		c.l.PlaceRequestEnded("k", "writer", Granted, c.now)
		if got := c.releaseTimes(pin + 300*ms); len(got) == 0 {
			t.Errorf("pin limit %v: nothing was released in time", pin)
		}
	}
}

// A first read, for which no place is requested or held, ends well during a partition between its server and this router
// alone, and its answer is lost. Other servers still reach what it left: a release has to follow in time, although only the
// read was sent.
//
// Guards against counting a read in flight as holding nothing while no place was requested, whether or not its server answers:
// states stayed until the read timed out, 0.7 to 2.3 s (one request of 147 of a black-box run with long deadlines, and five of
// six seeds of the soak with fresh routers, no places and deadlines of 4 s: 26, 86, 95, 149, 173).
func TestFirstReadWithoutAPlaceDuringAPartition(t *testing.T) {
	for _, pin := range []time.Duration{250 * ms, 500 * ms, time.Second} {
		for _, denied := range []bool{false, true} {
			c := newHarness(t)
			terms := shared
			terms.PinLimit = pin
			c.l.AttemptStarted("k", terms, "reader", true, c.now)
			if denied { // seed 1136 of the soak: held for 0.65 s with a limit of 0.25 s
				c.l.PlaceRequested("k", terms, "writer", c.now)
				c.l.PlaceRequestEnded("k", "writer", Denied, c.now)
			}
			if got := c.releaseTimes(pin + 300*ms); len(got) == 0 {
				t.Errorf("pin limit %v, a place denied %v: nothing was released in time", pin, denied)
			}
		}
	}
}

// KNOWN-RED: two of a request's connections fall silent alone. The close of a write is lost, and its server keeps it in its
// queue beyond its timeout; the next read never arrives, at a server that answers on other connections. Beyond the timeout
// nothing is released during a read whose server answers, so that the state stays after the write's end until the read times
// out. To release during such reads cost about 0.015 of the score of the users' short workloads.
func TestReadLostBesideAWriteThatGoesOn(t *testing.T) {
	c := newHarness(t)
	terms := shared
	terms.AttemptTimeout = 200 * ms
	c.l.AttemptStarted("k", terms, "reader", true, c.now)
	c.l.ReadEnded("k", "reader", Completed, c.now)
	c.l.AttemptStarted("k", terms, "writer", false, c.now)
	c.l.AttemptStartedBy("k", "writer", false, c.now)
	c.advance(200 * ms)
	c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
	c.l.ServerAnswered("writer", c.now.Add(30*ms), c.now.Add(30*ms), c.now.Add(30*ms))
	c.advance(300 * ms) // past the write's timeout
	c.l.AttemptStarted("k", shared, "second", true, c.now)
	if held := c.heldAfterEnd(2*time.Second, "reader", "writer", "second"); held > 800*ms {
		t.Errorf("held for %v after the write's end", held)
	}
}

// Twenty requests a second lose their server for two and a half minutes; then it answers again, and what it held for each of them
// has to be released. Guards against abandoning entries beyond 2,048, or those pending for over 2 minutes.
func TestLongOutageUnderLoad(t *testing.T) {
	c := newHarness(t)
	const requests = 3000
	released := map[string]bool{}
	answer := func(silentAnswers bool) {
		for _, call := range c.l.Due(c.now) {
			server := "another"
			if call.Probe {
				server = call.Servers[0]
			}
			r := ReleaseResult{Acknowledged: silentAnswers || !call.Probe, Server: server, SentAt: c.now}
			if silentAnswers {
				released[call.Key] = true
			}
			c.l.ReleaseEnded(call, r, c.now)
		}
	}
	for i := range requests {
		key := fmt.Sprint("k", i)
		c.l.AttemptStarted(key, shared, "silent", true, c.now)
		c.l.ReadEnded(key, "silent", ClosedByRouter, c.now)
		c.l.RequestEnded(key, c.now)
		c.advance(50 * ms)
		answer(false)
	}
	for end := c.now.Add(2 * time.Second); c.now.Before(end); c.advance(ms) {
		c.l.ServerAnswered("silent", c.now, c.now, c.now)
		answer(true)
	}
	remaining := 0
	for i := range requests {
		if !released[fmt.Sprint("k", i)] {
			remaining++
		}
	}
	if remaining > 0 {
		t.Errorf("%d of %d stay held at the server that is back; %d were abandoned", remaining, requests, len(c.l.Abandoned()))
	}
}

// A connection that its server's end has closed is not half-open: once the server answers, and a release was acknowledged 0.4
// of the pin limit after that, nothing more is released.
func TestBrokenConnectionIsNotSuspected(t *testing.T) {
	c := newHarness(t)
	c.l.AttemptStarted("k", shared, "reader", true, c.now)
	c.advance(100 * ms)
	c.l.ReadEnded("k", "reader", ClosedByServer, c.now)
	c.l.RequestEnded("k", c.now)
	for range 2 {
		c.ack(c.awaitRelease(), "reader")
	}
	c.requireEmpty()
}
