// Package streamdrain decides which requests a stopping router still begins, which streams
// it ends early, and when. It has no clock and does no I/O.
//
// A stopping router is killed some seconds later, and all its open streams break at
// once. Clients that resume broken streams would all do so at that moment, when another
// router may be stopping or starting: with no router to accept them, their answers are
// lost. So a stopping router ends its streams itself, spread over a time in which the
// other routers are likely to be up: not at once, since the previous router in a rolling
// restart may still be starting, and not last, since the next one may be stopping.
//
// Where clients do not resume broken streams, an ended stream is lost, and so is one that
// is still open at the kill unless its request arrived soon after the stop. Nothing known
// beforehand bounds how long a stream takes: its answer may be as long as its client
// allows, and its worker may hang. So a request that arrives later is refused, which is
// harmless.
package streamdrain

import (
	"cmp"
	"slices"
	"time"
)

// Plan is one router's schedule for its stop: until when requests are accepted and answered, and when their streams are
// ended. From From on a falling number of streams stays open, from Until on none. Times count from the stop.
type Plan struct {
	From, Until   time.Duration
	AnswerBy      time.Duration // every accepted request has its answer, or the first event of its stream, by then
	clientsResume bool          // clients resume a stream that was ended
	started       bool          // initialCount is set
	initialCount  int           // open streams at the first call of ToEnd after From
}

// Plan.From and Plan.Until as fractions of the time until the kill.
const (
	startFraction = 0.58 // a router that was stopped a while before this one is back by then
	endFraction   = 0.87 // a router that is stopped next still accepts clients
)

const (
	// AcceptPeriod is how long after the stop requests and connections are accepted without a
	// condition. The platform excuses what the kill breaks of a request that arrived within
	// 0.7 s of the signal, which the router may notice late.
	AcceptPeriod = 600 * time.Millisecond

	answerMargin = 300 * time.Millisecond // between the last answers and the kill
)

// NewPlan returns a plan for a router that is killed no earlier than kill after the stop.
// If clients do not resume streams, none is ended early: an ended stream is lost, and
// only those still open at the kill should be.
func NewPlan(kill time.Duration, clientsResume bool) *Plan {
	return &Plan{From: time.Duration(startFraction * float64(kill)), Until: time.Duration(endFraction * float64(kill)),
		AnswerBy: kill - answerMargin, clientsResume: clientsResume}
}

// Accepts reports whether a request may begin whose last byte arrived so long after the stop.
func (p *Plan) Accepts(arrived time.Duration) bool {
	return p.clientsResume || arrived <= AcceptPeriod
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
