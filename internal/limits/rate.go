// Package limits decides what of the work that tenants ask for is handed to the
// decision module, when, and what is turned away for which reason. It has no
// I/O and no clock: times only increase and are given with each call.
// docs/limits.md weighs its parts.
package limits

import (
	"math"
	"time"
)

// Rate allows work of a size at so much a second, with bursts: the generic
// cell rate algorithm in its continuous-state form (ITU-T I.371).
type Rate struct {
	PerSecond float64 // 0: nothing is limited
	Burst     float64 // most that may come at once
}

// Meter is the state of one Rate for one tenant: what was taken and is not
// forgiven yet. Unlike a time of arrival it stays right when the rate changes.
type Meter struct {
	used float64
	at   time.Duration
}

// Never tells whether work is too large to pass at any time.
func (r Rate) Never(size float64) bool { return r.PerSecond > 0 && size > r.Burst }

// Settle forgives what time has forgiven at a rate, as before the rate changes.
func (m *Meter) Settle(now time.Duration, r Rate) {
	m.used, m.at = m.usedAt(now, r), max(m.at, now)
}

func (m *Meter) usedAt(now time.Duration, r Rate) float64 {
	return max(m.used-r.PerSecond*max(now-m.at, 0).Seconds(), 0)
}

// Wait is how long work of a size has to wait; 0 lets it pass now. It takes
// nothing. Work larger than the burst waits until nothing is owed.
func (m *Meter) Wait(now time.Duration, r Rate, size float64) time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	over := m.usedAt(now, r) + size - max(r.Burst, size)
	if over <= size*1e-9 { // what a wait was told for passes after it
		return 0
	}
	return max(time.Duration(math.Ceil(over/r.PerSecond*float64(time.Second))), 1)
}

// Take takes work that passes.
func (m *Meter) Take(now time.Duration, r Rate, size float64) {
	if r.PerSecond > 0 {
		m.Settle(now, r)
		m.used += size
	}
}

// Refund gives work back that was taken and did not run: it must not count
// against its tenant. What time has forgiven meanwhile is not given twice.
func (m *Meter) Refund(size float64) { m.used = max(m.used-size, 0) }

// Left is how much may come at once now.
func (m *Meter) Left(now time.Duration, r Rate) float64 {
	if r.PerSecond <= 0 {
		return math.Inf(1)
	}
	return max(r.Burst-m.usedAt(now, r), 0)
}

// Full is how long it takes until all of the burst may come again.
func (m *Meter) Full(now time.Duration, r Rate) time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	return time.Duration(m.usedAt(now, r) / r.PerSecond * float64(time.Second))
}
