package heldstate

import "time"

// kind is what a holding is.
type kind uint8

const (
	readState   kind = iota // the state that a read leaves
	place                   // a place that was asked for
	queuedWrite             // nothing by itself: while it waits in its server's queue, releases spare what it waits for
)

// holding is one thing that a server may hold.
type holding struct {
	server  string
	kind    kind
	pending bool      // its call is in flight
	asked   time.Time // of a place: when
	settled time.Time // a release that is sent from then on finds it
	sole    bool      // of a read in flight: what is held waits for it, or nothing is held but what it may have left

	left    time.Duration // of an attempt that has not ended for certain: for which its server was told that the answer is waited for
	until   time.Time     // the same as a time, where its server begins it at once
	begun   time.Time     // by when its server has begun it, if it has arrived; zero: not known
	closed  time.Time     // since when its server may not have noticed that the connection was closed; zero: it has, or was not
	noticed time.Time     // when its server has noticed it, unless the close was lost; zero: the server was not heard since
	ends    time.Time     // when the time is up that its server was told, which ends it also where the close was lost; zero: the same
	gone    time.Time     // when all is over, also where its server goes on for longer than it was told; zero: the same
}

// settle notes that whatever is held is held by a time.
func (h *holding) settle(at time.Time) {
	h.pending, h.settled = false, at
	h.left, h.until, h.begun, h.closed, h.noticed = 0, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	h.ends, h.gone = time.Time{}, time.Time{}
}

// unreached tells whether it was held for certain, and a release that another server took may not have reached its server.
func (h *holding) unreached() bool { return !h.closed.IsZero() && !h.settled.IsZero() }

// goesOn tells whether its server may not have ended it by a time, although its connection was closed.
func (h *holding) goesOn(at time.Time) bool {
	return !h.closed.IsZero() && (h.ends.IsZero() || h.ends.After(at))
}

// unheard tells whether its server was not heard since its connection was closed.
func (h *holding) unheard() bool { return !h.closed.IsZero() && h.ends.IsZero() }

// halfOpen tells whether its server runs and may not have noticed the close all the same: the connection alone may have fallen
// silent.
func (h *holding) halfOpen() bool { return !h.ends.IsZero() }

// heard notes that its server runs, which was heard at a time, and when it has noticed the close unless that was lost. An answer
// on one connection proves nothing of another. So an attempt may go on until its own time is up, as the server was told how long
// it is waited for; and where a server doesn't end it then, for as long as a connection may stay silent.
func (h *holding) heard(at, noticed time.Time, grace time.Duration) {
	if h.unreached() { // there is no close that it had to notice
		h.settle(h.settled)
		return
	}
	h.noticed = noticed
	h.ends = later(noticed, h.endsAfter(at).Add(grace))
	h.gone = h.ends
	if h.left > 0 {
		h.gone = later(h.gone, h.closed.Add(maxSilence))
	}
}

// endsAfter is when the time is up that its server was told, once that has answered a call sent behind the close.
func (h *holding) endsAfter(answered time.Time) time.Time {
	if h.left == 0 {
		return answered
	}
	from := answered
	if !h.begun.IsZero() {
		from = h.begun
	}
	return later(answered, from.Add(h.left+toldSlack))
}

// held tells whether something may be held. An attempt in flight by itself holds nothing that the router could let go: its
// server has not answered, and its time is not up.
func (h *holding) held() bool { return !h.pending || h.kind == place }

// goesWithStream tells whether it is gone with the first event of an answer: not what comes later, from a call that is in
// flight, a server that may not have noticed a close, or one that was heard a moment ago.
func (h *holding) goesWithStream(now time.Time) bool {
	if h.kind == queuedWrite {
		return h.closed.IsZero() // it has passed its queue, or ended
	}
	return !h.pending && h.closed.IsZero() && !h.settled.After(now)
}
