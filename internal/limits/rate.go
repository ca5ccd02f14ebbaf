// Package limits decides what of the work that tenants ask for is taken, when,
// and what is turned away. It has no I/O and no clock: times only increase and
// are given with each call.
package limits

import (
	"math"
	"time"
)

// Rate allows work of a size at so much a second, with bursts. It is the
// generic cell rate algorithm: one time is all its state.
type Rate struct {
	PerSecond float64 // 0: nothing is limited
	Burst     float64 // most that may come at once; work that is larger never passes
}

// Meter is the state of one Rate for one tenant.
type Meter struct {
	due time.Duration // when the work taken so far would have come at an even rate
}

func (r Rate) span(size float64) time.Duration {
	return time.Duration(math.Ceil(size / r.PerSecond * float64(time.Second)))
}

// Never tells whether work is too large to pass at any time.
func (r Rate) Never(size float64) bool { return r.PerSecond > 0 && size > r.Burst }

// Wait is how long work of a size has to wait; 0 lets it pass now. It takes nothing.
func (m *Meter) Wait(now time.Duration, r Rate, size float64) time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	return max(max(m.due, now)+r.span(size)-r.span(r.Burst)-now, 0)
}

// Take takes work that passes.
func (m *Meter) Take(now time.Duration, r Rate, size float64) {
	if r.PerSecond > 0 {
		m.due = max(m.due, now) + r.span(size)
	}
}

// Give gives work back that was taken and did not run: it must not count
// against its tenant. What time has forgiven meanwhile is not given twice.
func (m *Meter) Give(r Rate, size float64) {
	if r.PerSecond > 0 {
		m.due -= r.span(size) // a time that has passed is as good as now
	}
}

// Idle tells whether the state is that of a new meter, and may be forgotten.
func (m *Meter) Idle(now time.Duration) bool { return m.due <= now }

// Left is how much may come at once now.
func (m *Meter) Left(now time.Duration, r Rate) float64 {
	if r.PerSecond <= 0 {
		return math.Inf(1)
	}
	return r.Burst - float64(max(m.due-now, 0))/float64(time.Second)*r.PerSecond
}
