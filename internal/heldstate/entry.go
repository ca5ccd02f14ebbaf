package heldstate

import (
	"slices"
	"time"
)

// removeReleasedByStream removes the holdings that end with the first event of an answer. A write that may still wait in a
// queue is kept only for the holdings that it has releases preserve.
func (e *entry) removeReleasedByStream(now time.Time) {
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool { return h.releasedByStream(now) })
	if !slices.ContainsFunc(e.holdings, func(h holding) bool { return h.kind != queuedWrite }) {
		e.holdings = nil
	}
}

// entry is what may be held under one key, for one request.
type entry struct {
	key      string
	terms    Terms
	holdings []holding

	releaseRequested   bool      // all that is held has to be released
	releaseRequestedAt time.Time // since when
	requestEnded       bool      // no attempt follows
	streamStartedAt    time.Time // when the answer started, with which servers dropped what was held; zero: it has not

	limitClearUntil      time.Time // last moment for which an answer shows that the pin limit was not running
	lastAttemptEndedAt   time.Time // of the attempts that may have arrived
	ackedReleaseSentAt   time.Time // when the last acknowledged release was sent
	releaseMayHaveMissed bool      // that release may not have reached all holders
	ackedReleases        int       // acknowledged releases since anything last ended
	releasesInFlight     int
	round                releaseRound // of the releases in flight
	retryDelay           time.Duration
	retryAt              time.Time // of a release that no server acknowledged; zero: the last one was acknowledged
	limitClearAtProbe    time.Time // limitClearUntil at the last liveness probe: one probe is sent for each value

	pendingSince   time.Time // zero: it is not pending
	reportAt       time.Time // when it is reported as pending; zero: it was
	nextActionAt   time.Time // key of the action queue
	queueIndex     int       // in the action queue, or notQueued
	waitingForSlot bool      // its release is due, but waits for others to end
}

// releaseRound is the outcome of the releases that are sent together: one where the entry is shared, else one to each holder.
type releaseRound struct {
	firstSentAt time.Time // of the acknowledged ones
	failed      bool      // one of them was not acknowledged
}

// markLimitClear records that an answer shows that the pin limit was not running until then, or was restarted.
func (e *entry) markLimitClear(at time.Time) { e.limitClearUntil = later(e.limitClearUntil, at) }

func (e *entry) requestRelease(now time.Time) {
	if !e.releaseRequested {
		e.releaseRequested, e.releaseRequestedAt = true, now
	}
}

// closeGrace returns the time that a server may take to observe a close.
func (e *entry) closeGrace() time.Duration { return e.terms.closeGrace() }

// inFlightIndex returns the index of the holding of a kind at a server whose call is in flight; -1: there is none.
func (e *entry) inFlightIndex(server string, kind kind) int {
	return slices.IndexFunc(e.holdings, func(h holding) bool { return h.inFlight && h.kind == kind && h.server == server })
}

func (e *entry) remove(i int) { e.holdings = slices.Delete(e.holdings, i, i+1) }

// mayHold reports whether any server may hold something.
func (e *entry) mayHold() bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.mayBeHeld() })
}

// anyCallEnded reports whether something may be held whose call has ended.
func (e *entry) anyCallEnded() bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return !h.inFlight })
}

// attemptInFlight reports whether, as far as the router knows, an attempt is in flight that may wait for what is held.
func (e *entry) attemptInFlight() bool { return e.concurrentAttempt() != NoAttempt }

// concurrentAttempt returns the kind of attempt that is in flight.
func (e *entry) concurrentAttempt() Concurrent {
	concurrent := NoAttempt
	for _, h := range e.holdings {
		switch {
		case h.inFlight && h.kind == readState:
			return ReadInFlight
		case h.inFlight && h.kind == queuedWrite:
			concurrent = WriteInFlight
		}
	}
	return concurrent
}

// isUnconfirmed reports whether a server has not answered since it had a close to observe, or a release to answer.
func (e *entry) isUnconfirmed(server string) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.unconfirmed() && h.server == server })
}

// readMayStillRun reports whether a server may still run a read at a time, within its timeout, although its connection was
// closed.
func (e *entry) readMayStillRun(at time.Time) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool {
		return h.kind == readState && h.mayStillRun(at) && h.deadline.Add(e.closeGrace()).After(at)
	})
}

// unconfirmedServers returns the servers that are unconfirmed for this entry.
func (e *entry) unconfirmedServers() (servers []string) {
	for _, h := range e.holdings {
		if h.unconfirmed() && !slices.Contains(servers, h.server) {
			servers = append(servers, h.server)
		}
	}
	return servers
}

// setReadProtected records whether all that is held waits for the read in flight.
func (e *entry) setReadProtected(protected bool) {
	for i := range e.holdings {
		if h := &e.holdings[i]; h.inFlight && h.kind == readState {
			h.protected = protected
		}
	}
}

// protectedReader returns the server of a read in flight that is protected, or that is concurrent with nothing but half-open
// attempts beyond their timeouts; "": there is none. While that server answers, the read is in flight, since its answer would
// arrive too.
func (e *entry) protectedReader() string {
	onlyOverdue := e.onlyOverdue()
	for _, h := range e.holdings {
		if h.inFlight && (h.protected || onlyOverdue && h.kind == readState) {
			return h.server
		}
	}
	return ""
}

// nextRelease returns when the next release is sent; zero: not before something else has happened.
func (e *entry) nextRelease() time.Time {
	switch {
	case e.releasesInFlight > 0 || !e.mayHold() && e.protectedReader() == "":
		return time.Time{}
	case !e.retryAt.IsZero():
		return e.retryAt
	case e.attemptInFlight() && !e.terms.PreservesWaiting && !e.requestEnded:
		return time.Time{} // it would drop what the attempt waits for
	}
	due := e.limitClearUntil.Add(e.pinPart(releasePart))
	if e.onlyHalfOpen() {
		due = e.limitClearUntil.Add(e.terms.pinLimit() + halfOpenPause)
	}
	endsBy, goneBy := e.halfOpenEnds()
	for _, releasable := range []time.Time{e.releasableFrom(), endsBy, goneBy} {
		if e.ackedReleaseSentAt.Before(releasable) {
			return sooner(due, releasable)
		}
	}
	if goneBy.IsZero() && e.ackedReleases > maxRepeatedReleases {
		return time.Time{}
	}
	return due
}

// releasableFrom returns the time from which a release reaches all that has to be released, if each server observes a close
// within the grace; zero: there is nothing yet to release.
func (e *entry) releasableFrom() (at time.Time) {
	if !e.releaseRequested {
		return at
	}
	if e.attemptInFlight() {
		return e.releaseRequestedAt
	}
	for _, h := range e.holdings {
		switch {
		case h.unconfirmed():
			at = later(at, h.closedAt.Add(e.closeGrace()))
		case h.halfOpen() && !h.closeObservedAt.After(e.streamStartedAt): // what it held ended with the stream
		case h.halfOpen():
			at = later(at, h.closeObservedAt)
		case !h.inFlight:
			at = later(at, h.releasableFrom)
		}
	}
	if at.IsZero() {
		return at
	}
	return later(at, later(e.releaseRequestedAt, e.lastAttemptEndedAt))
}

// halfOpenEnds returns the times from which a release reaches everything although closes were lost: endsBy where servers end
// attempts at their timeouts, goneBy in any case; zero: nothing is half-open.
func (e *entry) halfOpenEnds() (endsBy, goneBy time.Time) {
	for _, h := range e.holdings {
		endsBy, goneBy = later(endsBy, h.endsBy), later(goneBy, h.goneBy)
	}
	return endsBy, goneBy
}

// onlyHalfOpen reports whether nothing may be held but what half-open attempts leave: an acknowledged release has reached the
// rest.
func (e *entry) onlyHalfOpen() bool {
	return e.allElseReleased(func(h holding) time.Time { return h.closeObservedAt })
}

// onlyOverdue reports whether nothing may be held but what half-open attempts leave that run beyond their timeouts.
func (e *entry) onlyOverdue() bool {
	return e.allElseReleased(func(h holding) time.Time { return h.endsBy })
}

// allElseReleased reports whether there are half-open attempts, and an acknowledged release has reached all else that may be
// held, where endedAt gives the time at which a half-open attempt counts as ended.
func (e *entry) allElseReleased(endedAt func(holding) time.Time) bool {
	releasable, anyHalfOpen := e.lastAttemptEndedAt, false
	for _, h := range e.holdings {
		switch {
		case h.inFlight && h.kind == place || h.unconfirmed():
			return false
		case h.halfOpen():
			releasable, anyHalfOpen = later(releasable, endedAt(h)), true
		case !h.inFlight:
			releasable = later(releasable, h.releasableFrom)
		}
	}
	return anyHalfOpen && !e.releaseMayHaveMissed && !later(e.ackedReleaseSentAt, e.streamStartedAt).Before(releasable)
}

// markAttemptsEnded records that a server no longer runs any attempt whose connection was closed, and reports whether it may
// have run one.
func (e *entry) markAttemptsEnded(server string) (anyEnded bool) {
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.server != server || h.closedAt.IsZero() || h.timeout == 0 {
			continue
		}
		h.timeout, anyEnded = 0, true
		if h.halfOpen() {
			h.endsBy, h.goneBy = h.closeObservedAt, h.closeObservedAt
		}
	}
	return anyEnded
}

// expireHalfOpen makes the half-open holdings releasable that servers have ended by now. What a write in its queue had
// releases preserve is releasable only from then on.
func (e *entry) expireHalfOpen(now time.Time) {
	var lastEnd time.Time
	for i := range e.holdings {
		if h := &e.holdings[i]; h.halfOpen() && !h.goneBy.After(now) {
			lastEnd = later(lastEnd, h.goneBy)
			h.markReleasable(h.goneBy)
		}
	}
	if lastEnd.IsZero() {
		return
	}
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool {
		return h.kind == queuedWrite && !h.inFlight && h.closedAt.IsZero()
	})
	for i := range e.holdings {
		if h := &e.holdings[i]; !h.inFlight && h.closedAt.IsZero() {
			h.releasableFrom = later(h.releasableFrom, lastEnd)
		}
	}
	e.ackedReleases = 0
}

// confirmedHolders returns the servers that may hold something and are not unconfirmed: one that hangs would delay the
// release.
func (e *entry) confirmedHolders() []string {
	return slices.DeleteFunc(e.holders(), e.isUnconfirmed)
}

// holders returns the servers that may hold something, confirmed ones first, then servers whose closed writes preserve
// something.
func (e *entry) holders() []string {
	var list []string
	add := func(include func(holding) bool) {
		for _, h := range e.holdings {
			if h.mayBeHeld() && h.kind != queuedWrite && include(h) && !slices.Contains(list, h.server) {
				list = append(list, h.server)
			}
		}
	}
	add(func(h holding) bool { return !h.unconfirmed() })
	add(func(h holding) bool { return h.unconfirmed() })
	for _, h := range e.holdings { // closed writes, which may have releases preserve something
		if h.kind == queuedWrite && !h.closedAt.IsZero() && !slices.Contains(list, h.server) {
			list = append(list, h.server)
		}
	}
	return list
}

// releasableBy reports whether all that may be held was releasable by a time, with no closed attempt that may still run then.
func (e *entry) releasableBy(at time.Time) bool {
	return !slices.ContainsFunc(e.holdings, func(h holding) bool {
		return h.mayStillRun(at) || h.mayBeHeld() && (h.inFlight || h.releasableFrom.After(at))
	})
}

// removeReleasedBy removes what a release has reached that a server acknowledged, and that was sent with no attempt in flight.
func (e *entry) removeReleasedBy(server string, sentAt time.Time) {
	e.removeReleased(sentAt, func(h holding) bool { return e.terms.Shared || h.server == server })
}

// removeReleasedAt removes what a release has reached at the server that acknowledged it.
func (e *entry) removeReleasedAt(server string, sentAt time.Time) {
	e.removeReleased(sentAt, func(h holding) bool { return h.server == server })
}

// removeReleased removes what a release has reached, except what it preserved: everything, if a write may still wait in a
// queue, and places, if a read may still run.
func (e *entry) removeReleased(sentAt time.Time, atServer func(holding) bool) {
	readMayRun, writeMayRun := e.mayStillRun(readState), e.mayStillRun(queuedWrite)
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool {
		preserved := writeMayRun || readMayRun && h.kind == place
		return !preserved && !h.inFlight && h.closedAt.IsZero() && !h.releasableFrom.After(sentAt) && atServer(h)
	})
}

// mayStillRun reports whether a server may still run an attempt of a kind although its connection was closed.
func (e *entry) mayStillRun(kind kind) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.kind == kind && !h.closedAt.IsZero() && !h.releaseUnconfirmed() })
}

// pinPart returns a fraction of the pin limit.
func (e *entry) pinPart(fraction float64) time.Duration {
	return time.Duration(fraction * float64(e.terms.pinLimit()))
}
