package heldstate

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// longPinTerms returns terms under which an entry is seldom released.
func longPinTerms() Terms {
	terms := shared
	terms.AttemptTimeout, terms.PinLimit = 100*ms, time.Minute
	return terms
}

// outage plays requests, one each millisecond, whose reads are closed at a server that has fallen silent, while another server
// acknowledges the releases.
func (c *harness) outage(requests int, terms Terms) {
	for i := range requests {
		c.playEndedRead(fmt.Sprintf("k%05d", i), terms, "silent", ClosedByRouter)
		c.advance(ms)
		c.answerDue(false, func(string) {})
	}
}

// answerDue has another server acknowledge the releases that are due, and the silent one its probes once it answers.
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

// Guards against abandoning holdings in a long outage: as many as the bound allows fit in little memory, and are released in
// batches once their server answers, the oldest first.
func TestCompactHoldingsAreReleasedOnceTheirServerAnswers(t *testing.T) {
	terms := longPinTerms()
	before := heapInUse()
	c := newHarness(t)
	c.outage(maxCompact, terms)
	if used := heapInUse() - before; used > 16<<20 {
		t.Errorf("%d holdings take %d KB", maxCompact, used>>10)
	} else {
		t.Logf("%d holdings take %d KB", maxCompact, used>>10)
	}
	if abandoned := c.l.Abandoned(); c.l.PendingCount() != maxCompact || len(abandoned) != 0 {
		t.Fatalf("%d pending, %d abandoned", c.l.PendingCount(), len(abandoned))
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
	firstEntry := fmt.Sprintf("k%05d", maxCompact-maxPending) // from here on they were not compact
	order = slices.DeleteFunc(order, func(key string) bool { return key >= firstEntry })
	if !slices.IsSorted(order) {
		t.Error("some were released before older ones")
	}
	c.requireEmpty()
}

// Compact holdings beyond the bound are abandoned and reported, the oldest first; those at a server that was removed are
// released.
func TestBoundOfCompactHoldings(t *testing.T) {
	c := newHarness(t)
	c.outage(maxCompact+maxPending+10, longPinTerms())
	abandoned := c.l.Abandoned()
	if len(abandoned) == 0 || abandoned[0].Key != "k00000" || abandoned[0].Reason != LedgerFull {
		t.Fatalf("%d abandoned, the first %+v", len(abandoned), abandoned[:min(len(abandoned), 1)])
	}
	if total := c.l.PendingCount() + len(abandoned); total != maxCompact+maxPending+10 {
		t.Errorf("%d pending or abandoned", total)
	}
	c.l.ServerRemoved("silent", c.now)
	for end := c.now.Add(time.Minute); c.l.PendingCount() > 0 && c.now.Before(end); c.advance(ms) {
		c.answerDue(true, func(string) {})
	}
	c.requireEmpty()
}

// Guards against restoring compact holdings by an answer that is no evidence for them: its call was sent before they were
// closed.
func TestCompactHoldingsAreNotRestoredByAnEarlierCall(t *testing.T) {
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
			t.Fatalf("%d of %d are compact", c.l.compactCount, requests)
		}
	}
	c.l.ServerAnswered("silent", sent, c.now, c.now)
	c.answerDue(false, func(string) {})
	if next := c.l.Next(); c.l.compactCount != requests || !next.After(c.now) {
		t.Errorf("%d of %d are compact, next action in %v", c.l.compactCount, requests, next.Sub(c.now))
	}
	c.l.ServerAnswered("silent", c.now, c.now, c.now)
	c.answerDue(true, func(string) {})
	if c.l.compactCount != 0 {
		t.Errorf("%d are compact after a later call", c.l.compactCount)
	}
}
