package heldstate

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// longPin are terms under which an entry is seldom released.
func longPin() Terms {
	terms := shared
	terms.AttemptTimeout, terms.PinLimit = 100*ms, time.Minute
	return terms
}

// outage has a server fall silent under so many requests, one each millisecond, while another takes the releases.
func (c *clock) outage(requests int, terms Terms) {
	for i := range requests {
		c.owe(fmt.Sprintf("k%05d", i), terms, "silent", ClosedByRouter)
		c.pass(ms)
		c.answer(false, func(string) {})
	}
}

// answer has another server take the releases that are due, and the silent one its own once it is heard.
func (c *clock) answer(heard bool, released func(key string)) {
	for _, call := range c.l.Due(c.now) {
		server := "another"
		if call.Probe {
			server = call.Servers[0]
		} else {
			released(call.Key)
		}
		c.l.ReleaseEnded(call, ReleaseResult{Acknowledged: heard || !call.Probe, Server: server, SentAt: c.now}, c.now)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against forgetting in a long outage: as many holdings as the bound allows fit in little memory, and are released once
// their server is heard, those that have waited for longest first, in batches.
func TestDormantHoldingsAreReleasedOnceTheirServerIsHeard(t *testing.T) {
	terms := longPin()
	before := heapInUse()
	c := newClock(t)
	c.outage(maxDormant, terms)
	if used := heapInUse() - before; used > 16<<20 {
		t.Errorf("%d holdings take %d KB", maxDormant, used>>10)
	} else {
		t.Logf("%d holdings take %d KB", maxDormant, used>>10)
	}
	if f := c.l.Abandoned(); c.l.PendingCount() != maxDormant || len(f) != 0 {
		t.Fatalf("%d owed, %d forgotten", c.l.PendingCount(), len(f))
	}
	var order []string
	seen := map[string]bool{}
	for end := c.now.Add(time.Minute); c.l.PendingCount() > 0 && c.now.Before(end); c.pass(ms) {
		c.l.ServerAnswered("silent", c.now, c.now, c.now)
		c.answer(true, func(key string) {
			if !seen[key] {
				seen[key], order = true, append(order, key)
			}
		})
		if len(c.l.owed) > maxOwed {
			t.Fatalf("%d entries at once", len(c.l.owed))
		}
	}
	if len(order) != maxDormant {
		t.Fatalf("%d of %d were released", len(order), maxDormant)
	}
	entries := fmt.Sprintf("k%05d", maxDormant-maxOwed) // those were not dormant
	order = slices.DeleteFunc(order, func(key string) bool { return key >= entries })
	if !slices.IsSorted(order) {
		t.Error("some were released before those that had waited for longer")
	}
	c.proven()
}

// What is beyond the bound is forgotten and told of, the oldest first; what waits at a server that has left the list is released.
func TestBoundOfDormantHoldings(t *testing.T) {
	c := newClock(t)
	c.outage(maxDormant+maxOwed+10, longPin())
	f := c.l.Abandoned()
	if len(f) == 0 || f[0].Key != "k00000" || f[0].Reason != LedgerFull {
		t.Fatalf("%d forgotten, the first %+v", len(f), f[:min(len(f), 1)])
	}
	if owed := c.l.PendingCount() + len(f); owed != maxDormant+maxOwed+10 {
		t.Errorf("%d owed or forgotten", owed)
	}
	c.l.ServerRemoved("silent", c.now)
	for end := c.now.Add(time.Minute); c.l.PendingCount() > 0 && c.now.Before(end); c.pass(ms) {
		c.answer(true, func(string) {})
	}
	c.proven()
}

// Guards against waking dormant holdings by an answer that proves nothing of them: the call was sent before they were closed.
func TestDormantHoldingsAreNotWokenByAnEarlierCall(t *testing.T) {
	c := newClock(t)
	sent := c.now
	c.pass(ms)
	terms := shared
	terms.PinLimit = 50 * ms
	const requests = 10
	c.outage(requests, terms)
	for end := c.now.Add(10 * time.Second); c.l.dormant < requests; c.pass(ms) {
		c.answer(false, func(string) {})
		if c.now.After(end) {
			t.Fatalf("%d of %d are dormant", c.l.dormant, requests)
		}
	}
	c.l.ServerAnswered("silent", sent, c.now, c.now)
	c.answer(false, func(string) {})
	if next := c.l.Next(); c.l.dormant != requests || !next.After(c.now) {
		t.Errorf("%d of %d are dormant, looked at again in %v", c.l.dormant, requests, next.Sub(c.now))
	}
	c.l.ServerAnswered("silent", c.now, c.now, c.now)
	c.answer(true, func(string) {})
	if c.l.dormant != 0 {
		t.Errorf("%d are dormant behind a later call", c.l.dormant)
	}
}
