// Package streamdrain decides which streams a stopping router parts with, and when.
// It has no clock and does no I/O.
//
// A router that is stopped is killed some seconds later, and what it streams
// then breaks all at once. Where clients ask for the rest of a broken stream,
// they ask at that moment, and another router may be stopping or coming up just
// then: with nobody to take them in, the answers are lost. So a stopping router
// ends its streams itself, spread over a time in which its neighbours are likely
// to stand: not at once, since the router before it in a rolling restart may
// still be coming up, and not last, since the next may be stopping.
package streamdrain

import (
	"cmp"
	"slices"
	"time"
)

// Plan is how one router parts with its streams. Times count from the stop.
type Plan struct {
	From, Until time.Duration
	resumes     bool // clients ask for the rest of a stream
	looked      bool
	most        int // streams that were open at the first look
}

// Parts of the time until the kill.
const (
	from  = 0.58 // ours: a router stopped a while before this one is back by then
	until = 0.87 // ours: one stopped next still takes clients in
)

// NewPlan makes a plan for a router that is killed at the earliest after so
// long. Where clients do not ask for the rest of a stream none is ended: what is
// cut is lost, and only what the kill breaks is broken.
func NewPlan(kill time.Duration, resumes bool) *Plan {
	return &Plan{From: time.Duration(from * float64(kill)), Until: time.Duration(until * float64(kill)), resumes: resumes}
}

// Stream is an open stream.
type Stream struct {
	ID        uint64
	StartedAt time.Duration // since any moment, the same for all
}

// ToEnd picks the streams to end now, so long after the stop. The youngest go
// first: the older ones are more likely to end by themselves, and have more that
// must be read again.
func (p *Plan) ToEnd(passed time.Duration, open []Stream) []Stream {
	if !p.resumes || passed < p.From {
		return nil
	}
	if !p.looked {
		p.most, p.looked = len(open), true
	}
	keep := 0
	if passed < p.Until {
		keep = int(float64(p.most) * float64(p.Until-passed) / float64(p.Until-p.From))
	}
	if keep >= len(open) {
		return nil
	}
	open = slices.Clone(open)
	slices.SortFunc(open, func(a, b Stream) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	return open[keep:]
}
