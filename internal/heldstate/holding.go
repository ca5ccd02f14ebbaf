package heldstate

import "time"

// kind is what a holding may be.
type kind uint8

const (
	readState   kind = iota // the state that a read leaves
	place                   // a place that was requested at a writer
	queuedWrite             // nothing by itself: while it waits in its server's queue, releases preserve what it waits for
)

// holding is one thing that a server may hold. The package comment lists its states.
type holding struct {
	server         string
	kind           kind
	inFlight       bool      // its call has no answer yet
	requestedAt    time.Time // of a place
	releasableFrom time.Time // a release that is sent from then on reaches it
	protected      bool      // of a read in flight: all that is held waits for it, or nothing is held but what it may have left

	timeout         time.Duration // of an attempt that may run after a lost close: the timeout that its server was told; 0: it cannot
	deadline        time.Time     // the end of the timeout, if its server starts it at once
	startedBy       time.Time     // by when its server has started it, if it has arrived; zero: not known
	closedAt        time.Time     // of a close that may be unobserved; of an unanswered release, the grace before its sending; zero: neither
	closeObservedAt time.Time     // when its server has observed the close, unless that was lost; zero: unconfirmed
	endsBy          time.Time     // end of its timeout, also where the close was lost; zero: unconfirmed
	goneBy          time.Time     // its end, also where its server runs it beyond its timeout; zero: unconfirmed
}

// markReleasable records that a release sent from a time on reaches everything that is held.
func (h *holding) markReleasable(at time.Time) {
	h.inFlight, h.releasableFrom = false, at
	h.timeout, h.deadline, h.startedBy, h.closedAt, h.closeObservedAt = 0, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	h.endsBy, h.goneBy = time.Time{}, time.Time{}
}

// releaseUnconfirmed reports whether it was held for certain, and a release that another server acknowledged may not have
// reached its own.
func (h *holding) releaseUnconfirmed() bool {
	return !h.closedAt.IsZero() && !h.releasableFrom.IsZero()
}

// mayStillRun reports whether its server may still run it at a time although its connection was closed.
func (h *holding) mayStillRun(at time.Time) bool {
	return !h.closedAt.IsZero() && (h.endsBy.IsZero() || h.endsBy.After(at))
}

// unconfirmed reports whether its server has answered nothing since it had a close to observe, or a release to answer.
func (h *holding) unconfirmed() bool { return !h.closedAt.IsZero() && h.endsBy.IsZero() }

// halfOpen reports whether its server runs but may not have observed the close: its connection alone may have fallen silent.
func (h *holding) halfOpen() bool { return !h.endsBy.IsZero() }

// confirmRunning records that its server runs, by an answer at a time, and when it has observed the close unless that was lost.
// An answer on one connection shows nothing about another. So an attempt may run on to the end of the timeout that its server
// was told; and if the server does not end it then, for as long as a connection may stay silent.
func (h *holding) confirmRunning(answeredAt, closeNoticedAt time.Time, grace time.Duration) {
	if h.releaseUnconfirmed() { // there is no close to observe
		h.markReleasable(h.releasableFrom)
		return
	}
	h.closeObservedAt = closeNoticedAt
	h.endsBy = later(closeNoticedAt, h.timeoutEnd(answeredAt).Add(grace))
	h.goneBy = h.endsBy
	if h.timeout > 0 {
		h.goneBy = later(h.goneBy, h.closedAt.Add(maxConnSilence))
	}
}

// timeoutEnd returns the end of the timeout that its server was told, once that has answered a call sent after the close.
func (h *holding) timeoutEnd(answeredAt time.Time) time.Time {
	if h.timeout == 0 {
		return answeredAt
	}
	from := answeredAt
	if !h.startedBy.IsZero() {
		from = h.startedBy
	}
	return later(answeredAt, from.Add(h.timeout+timeoutSlack))
}

// mayBeHeld reports whether something may be held that the router could release. An attempt in flight holds nothing such by
// itself: its server has not answered, and its timeout has not passed.
func (h *holding) mayBeHeld() bool { return !h.inFlight || h.kind == place }

// releasedByStream reports whether it ends with the first event of an answer. What may still come does not: from a call in
// flight, from a server that may not have observed a close, or from one whose answer has just confirmed it.
func (h *holding) releasedByStream(now time.Time) bool {
	if h.kind == queuedWrite {
		return h.closedAt.IsZero() // it has left its queue, or ended
	}
	return !h.inFlight && h.closedAt.IsZero() && !h.releasableFrom.After(now)
}
