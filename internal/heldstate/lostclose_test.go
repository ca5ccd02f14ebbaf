package heldstate

import (
	"fmt"
	"testing"
	"time"
)

// heldAfterEnd is for how long something stays held after an attempt has ended at its server, whose close was lost: until then
// releases spare what it waits for, or it has left nothing yet. All servers of the list are heard all the while.
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

// An attempt's connection alone falls silent, and the router closes it. Its server runs and is heard on other connections, but
// does not notice: the attempt goes on there. A write in its writer's queue has releases spare the state meanwhile, and a read
// leaves its state afterwards.
//
// Callers saw a state that stayed for good: 15 to 19 of some 800 requests of a black-box run in which single connections fell
// silent, for 2 to 15 s, to the end of the run. The cause: an answer on any connection of a server counted as proof that it had
// noticed the close of another, so that no release followed the one made 0.4 of the limit behind the close. The router on loopback
// of TestStateBehindALostClose kept the state until it was stopped; of the drawn histories of the platform with lost closes 17 of
// 300 failed so.
func TestAttemptGoesOnBehindALostClose(t *testing.T) {
	const goesOn = 2400 * ms // counted from the close
	for name, play := range map[string]func(c *harness){
		"a write, its request over": func(c *harness) {
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
		"a read, its request over": func(c *harness) {
			c.l.AttemptStarted("k", shared, "reader", true, c.now)
			c.advance(200 * ms)
			c.l.ReadEnded("k", "reader", ClosedByRouter, c.now)
			c.l.RequestEnded("k", c.now)
		},
		"a read, behind the first event of an answer": func(c *harness) {
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
		"a read and a write, behind the first event of an answer": func(c *harness) {
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
		if held := c.heldAfterEnd(goesOn, "reader", "writer", "second", "other"); held > 800*ms {
			t.Errorf("%s: held for %v after the attempt's end", name, held)
		}
	}
}

// The first requests of a router, none of them over yet, with their readers cut off behind the reads' arrival: places are
// granted, the reads end well, and their answers are lost in the cut. No server of a read is heard.
//
// Callers saw states that stayed for 1.2 to 4 s: 29 of 200 and 44 of 192 requests of routers that started inside a cut. The cause:
// the server of such a read was probed by the key of a request that was over, and while there was none each read counted as proven
// at each look. With histories that begin in a cut the drawn histories failed 74 of 300 times on that ledger, 17 without.
func TestFirstReadsInACut(t *testing.T) {
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

// A first read, for which no place is asked for or held, ends well in a cut between its server and this router alone, and its
// answer is lost. Others reach what it left: a release is to follow in time, although nothing but the read was ever sent.
//
// Callers saw states that stayed until the read was given up: 0.7 to 2.3 s, in one request of 147 of a black-box run with long
// deadlines, and in five of six seeds of the soak with fresh routers, no places and deadlines of 4 s (26, 86, 95, 149, 173). The
// cause: a read in flight counted as holding nothing while nothing else was asked for, whether or not its server was heard.
func TestFirstReadWithoutAPlaceInACut(t *testing.T) {
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

// KNOWN-RED: two of a request's connections fall silent alone. The close of a write is lost, and its server keeps it in its queue
// for longer than it was told; the next read never arrives, at a server that is heard on others. Beyond the told time nothing is
// released beside a read whose server is heard, so that the state stays once the write has ended, until the read is given up. To
// release beside such reads cost about 0.015 of the score of the users' short days.
func TestReadLostBesideAWriteThatGoesOn(t *testing.T) {
	c := newHarness(t)
	terms := shared
	terms.AttemptTimeout = 200 * ms
	c.l.AttemptStarted("k", terms, "reader", true, c.now)
	c.l.ReadEnded("k", "reader", Completed, c.now)
	c.l.AttemptStarted("k", terms, "writer", false, c.now)
	c.l.AttemptBegunBy("k", "writer", false, c.now)
	c.advance(200 * ms)
	c.l.WriteEnded("k", "writer", ClosedByRouter, c.now)
	c.l.ServerAnswered("writer", c.now.Add(30*ms), c.now.Add(30*ms), c.now.Add(30*ms))
	c.advance(300 * ms) // beyond the told time
	c.l.AttemptStarted("k", shared, "second", true, c.now)
	if held := c.heldAfterEnd(2*time.Second, "reader", "writer", "second"); held > 800*ms {
		t.Errorf("held for %v after the write's end", held)
	}
}

// KNOWN-RED: a long blackout under load. Twenty requests a second lose their server for two and a half minutes; then it is heard.
// What it held for each is to be let go. Of 3,000 entries the ledger forgets those beyond 2,048, and those owed for over 2 minutes.
func TestLongBlackoutWithACrowd(t *testing.T) {
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
		t.Errorf("%d of %d stay held at the server that is back; %d were forgotten", remaining, requests, len(c.l.Abandoned()))
	}
}

// A connection that the server's end has ended is no silent one: once its server is heard, and a release was answered 0.4 of the
// limit behind it, nothing more is released.
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
