// Package limits is the admission control of one router. It decides which requests are dispatched to the decision
// module and when, which wait in a fair queue, and which are refused for what reason: rate limits per tenant, retry
// budgets per client, an adaptive concurrency limit, weighted fair queueing and a brown-out. It does no I/O and has no
// clock: each call passes the time, which never decreases. docs/limits.md explains the design.
package limits

import (
	"math"
	"time"
)

// Rate is a rate limit with bursts, enforced by the generic cell rate algorithm in its continuous-state form
// (ITU-T I.371).
type Rate struct {
	PerSecond float64 // 0: unlimited
	Burst     float64 // the most that is admitted at once
}

// Meter is the state of one Rate for one tenant: the amount in use, which drains at the rate (a leaky bucket). Unlike
// a theoretical arrival time it stays valid when the rate changes.
type Meter struct {
	used float64
	at   time.Duration // time to which used refers
}

// NeverAllows reports whether work of this size exceeds the burst, so that waiting can't help.
func (r Rate) NeverAllows(size float64) bool { return r.PerSecond > 0 && size > r.Burst }

// Settle drains the meter up to now at the rate; it is called before the rate changes.
func (m *Meter) Settle(now time.Duration, r Rate) {
	m.used, m.at = m.usedAt(now, r), max(m.at, now)
}

func (m *Meter) usedAt(now time.Duration, r Rate) float64 {
	return max(m.used-r.PerSecond*max(now-m.at, 0).Seconds(), 0)
}

// Wait returns how long work of this size has to wait; 0 admits it now. It takes nothing from the budget. Work larger
// than the burst waits until the meter is empty.
func (m *Meter) Wait(now time.Duration, r Rate, size float64) time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	excess := m.usedAt(now, r) + size - max(r.Burst, size)
	if excess <= size*1e-9 { // rounding: work is admitted after the wait that was returned for it
		return 0
	}
	return max(time.Duration(math.Ceil(excess/r.PerSecond*float64(time.Second))), 1)
}

// Take charges the meter for admitted work.
func (m *Meter) Take(now time.Duration, r Rate, size float64) {
	if r.PerSecond > 0 {
		m.Settle(now, r)
		m.used += size
	}
}

// Refund returns what was taken for work that did not run, so that it isn't charged to its tenant. What has drained
// since isn't returned twice.
func (m *Meter) Refund(size float64) { m.used = max(m.used-size, 0) }

// Available returns how much is admitted at once now.
func (m *Meter) Available(now time.Duration, r Rate) float64 {
	if r.PerSecond <= 0 {
		return math.Inf(1)
	}
	return max(r.Burst-m.usedAt(now, r), 0)
}

// TimeToFull returns how long it takes until the whole burst is available again.
func (m *Meter) TimeToFull(now time.Duration, r Rate) time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	return time.Duration(m.usedAt(now, r) / r.PerSecond * float64(time.Second))
}
