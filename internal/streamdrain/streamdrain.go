// Package streamdrain decides which streams a stopping router ends early, and when. It
// has no clock and does no I/O.
//
// A stopping router is killed some seconds later, and all its open streams break at
// once. Clients that resume broken streams would all do so at that moment, when another
// router may be stopping or starting: with no router to accept them, their answers are
// lost. So a stopping router ends its streams itself, spread over a time in which the
// other routers are likely to be up: not at once, since the previous router in a rolling
// restart may still be starting, and not last, since the next one may be stopping.
package streamdrain

import (
	"cmp"
	"slices"
	"time"
)

// Plan is one router's schedule for ending its streams: from From on a falling number stays open, from Until on none.
// Times count from the stop.
type Plan struct {
	From, Until   time.Duration
	clientsResume bool // clients resume a stream that was ended
	started       bool // initialCount is set
	initialCount  int  // open streams at the first call of ToEnd after From
}

// Plan.From and Plan.Until as fractions of the time until the kill.
const (
	startFraction = 0.58 // a router that was stopped a while before this one is back by then
	endFraction   = 0.87 // a router that is stopped next still accepts clients
)

// NewPlan returns a plan for a router that is killed no earlier than kill after the stop.
// If clients do not resume streams, none is ended early: an ended stream is lost, and
// only those still open at the kill should be.
func NewPlan(kill time.Duration, clientsResume bool) *Plan {
	return &Plan{From: time.Duration(startFraction * float64(kill)), Until: time.Duration(endFraction * float64(kill)), clientsResume: clientsResume}
}

// Stream is an open stream.
type Stream struct {
	ID        uint64
	StartedAt time.Duration // since a moment common to all streams
}

// ToEnd returns the open streams to end now, elapsed after the stop. The youngest are
// ended first: older ones are more likely to end by themselves, and have more text that
// a resumed request has to prefill again.
func (p *Plan) ToEnd(elapsed time.Duration, open []Stream) []Stream {
	if !p.clientsResume || elapsed < p.From {
		return nil
	}
	if !p.started {
		p.initialCount, p.started = len(open), true
	}
	keep := 0
	if elapsed < p.Until {
		keep = int(float64(p.initialCount) * float64(p.Until-elapsed) / float64(p.Until-p.From))
	}
	if keep >= len(open) {
		return nil
	}
	open = slices.Clone(open)
	slices.SortFunc(open, func(a, b Stream) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	return open[keep:]
}
