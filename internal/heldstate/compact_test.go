package heldstate

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// longPinTerms are terms under which an entry is seldom released.
func longPinTerms() Terms {
	terms := shared
	terms.AttemptTimeout, terms.PinLimit = 100*ms, time.Minute
	return terms
}

// outage has a server fall silent under so many requests, one each millisecond, while another takes the releases.
func (c *harness) outage(requests int, terms Terms) {
	for i := range requests {
		c.endedRead(fmt.Sprintf("k%05d", i), terms, "silent", ClosedByRouter)
		c.advance(ms)
		c.answerDue(false, func(string) {})
	}
}

// answerDue has another server take the releases that are due, and the silent one its own once it is heard.
func (c *harness) answerDue(silentAnswers bool, released func(key string)) {
	for _, call := range c.l.Due(c.now) {
		server := "another"
		if call.Probe {
			server = call.Servers[0]
		} else {
			released(call.Key)
		}
		c.l.ReleaseEnded(call, ReleaseResult{Acknowledged: silentAnswers || !call.Probe, Server: server, SentAt: c.now}, c.now)
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
	terms := longPinTerms()
	before := heapInUse()
	c := newHarness(t)
	c.outage(maxCompact, terms)
	if used := heapInUse() - before; used > 16<<20 {
		t.Errorf("%d holdings take %d KB", maxCompact, used>>10)
	} else {
		t.Logf("%d holdings take %d KB", maxCompact, used>>10)
	}
	if f := c.l.Abandoned(); c.l.PendingCount() != maxCompact || len(f) != 0 {
		t.Fatalf("%d owed, %d forgotten", c.l.PendingCount(), len(f))
	}
	var order []string
	seen := map[string]bool{}
	for end := c.now.Add(time.Minute); c.l.PendingCount() > 0 && c.now.Before(end); c.advance(ms) {
		c.l.ServerAnswered("silent", c.now, c.now, c.now)
		c.answerDue(true, func(key string) {
			if !seen[key] {
				seen[key], order = true, append(order, key)
			}
		})
		if len(c.l.pending) > maxPending {
			t.Fatalf("%d entries at once", len(c.l.pending))
		}
	}
	if len(order) != maxCompact {
		t.Fatalf("%d of %d were released", len(order), maxCompact)
	}
	entries := fmt.Sprintf("k%05d", maxCompact-maxPending) // those were not dormant
	order = slices.DeleteFunc(order, func(key string) bool { return key >= entries })
	if !slices.IsSorted(order) {
		t.Error("some were released before those that had waited for longer")
	}
	c.requireEmpty()
}

// What is beyond the bound is forgotten and told of, the oldest first; what waits at a server that has left the list is released.
func TestBoundOfDormantHoldings(t *testing.T) {
	c := newHarness(t)
	c.outage(maxCompact+maxPending+10, longPinTerms())
	f := c.l.Abandoned()
	if len(f) == 0 || f[0].Key != "k00000" || f[0].Reason != LedgerFull {
		t.Fatalf("%d forgotten, the first %+v", len(f), f[:min(len(f), 1)])
	}
	if owed := c.l.PendingCount() + len(f); owed != maxCompact+maxPending+10 {
		t.Errorf("%d owed or forgotten", owed)
	}
	c.l.ServerRemoved("silent", c.now)
	for end := c.now.Add(time.Minute); c.l.PendingCount() > 0 && c.now.Before(end); c.advance(ms) {
		c.answerDue(true, func(string) {})
	}
	c.requireEmpty()
}

// Guards against waking dormant holdings by an answer that proves nothing of them: the call was sent before they were closed.
func TestDormantHoldingsAreNotWokenByAnEarlierCall(t *testing.T) {
	c := newHarness(t)
	sent := c.now
	c.advance(ms)
	terms := shared
	terms.PinLimit = 50 * ms
	const requests = 10
	c.outage(requests, terms)
	for end := c.now.Add(10 * time.Second); c.l.compactCount < requests; c.advance(ms) {
		c.answerDue(false, func(string) {})
		if c.now.After(end) {
			t.Fatalf("%d of %d are dormant", c.l.compactCount, requests)
		}
	}
	c.l.ServerAnswered("silent", sent, c.now, c.now)
	c.answerDue(false, func(string) {})
	if next := c.l.Next(); c.l.compactCount != requests || !next.After(c.now) {
		t.Errorf("%d of %d are dormant, looked at again in %v", c.l.compactCount, requests, next.Sub(c.now))
	}
	c.l.ServerAnswered("silent", c.now, c.now, c.now)
	c.answerDue(true, func(string) {})
	if c.l.compactCount != 0 {
		t.Errorf("%d are dormant behind a later call", c.l.compactCount)
	}
}
