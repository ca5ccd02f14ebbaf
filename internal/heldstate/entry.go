package heldstate

import (
	"slices"
	"time"
)

// leavesWithStream takes out what is gone with the first event of an answer. A write that may still wait in a queue is kept only
// for what it may have releases spare.
func (e *entry) leavesWithStream(now time.Time) {
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool { return h.goesWithStream(now) })
	if !slices.ContainsFunc(e.holdings, func(h holding) bool { return h.kind != queuedWrite }) {
		e.holdings = nil
	}
}

// entry is what may be held under one key.
type entry struct {
	key      string
	terms    Terms
	holdings []holding

	wanted   bool      // all is to be let go
	wantedAt time.Time // since when
	over     bool      // no attempt follows
	streamed time.Time // when the answer began: what was held went with it; zero: it has not

	proven    time.Time // until when an answer proves that the pin limit did not run
	quietAt   time.Time // when the last attempt ended that may have arrived
	taken     time.Time // when the last release was sent that servers have answered
	missed    bool      // that one may not have reached all that may hold something
	takes     int       // releases that were answered since something last ended
	releasing int       // releases in flight
	round     round     // of the releases in flight
	retry     time.Duration
	retryAt   time.Time // of a release that nobody took; zero: it was taken
	probedAt  time.Time // what was proven when the server of its read was last probed

	owedAt   time.Time // since when it is owed; zero: it is not
	reportAt time.Time // when that is told; zero: it was
	lookAt   time.Time // when it has something to do
	position int       // in the agenda
	inLine   bool      // its release is due, and waits for others to end
}

// round is what came of the releases that are made together, one at each server.
type round struct {
	sent   time.Time // when the first of them was sent
	failed bool      // nobody took one of them
}

// prove notes that an answer proves that the pin limit did not run until a time.
func (e *entry) prove(at time.Time) { e.proven = later(e.proven, at) }

func (e *entry) want(now time.Time) {
	if !e.wanted {
		e.wanted, e.wantedAt = true, now
	}
}

// grace is for how long a server may take to notice a close; a short pin limit leaves less room to allow for it.
func (e *entry) grace() time.Duration { return e.terms.grace() }

// pending is the holding of a kind at a server whose call is in flight; -1: there is none.
func (e *entry) pending(server string, kind kind) int {
	return slices.IndexFunc(e.holdings, func(h holding) bool { return h.pending && h.kind == kind && h.server == server })
}

func (e *entry) remove(i int) { e.holdings = slices.Delete(e.holdings, i, i+1) }

// mayHold tells whether a server may hold something.
func (e *entry) mayHold() bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.held() })
}

// answered tells whether something may be held whose call has ended.
func (e *entry) answered() bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return !h.pending })
}

// inFlight tells whether an attempt is in flight that may wait for something, as far as the router knows.
func (e *entry) inFlight() bool { return e.beside() != NoAttempt }

// beside is which attempt is in flight.
func (e *entry) beside() Concurrent {
	beside := NoAttempt
	for _, h := range e.holdings {
		switch {
		case h.pending && h.kind == readState:
			return ReadInFlight
		case h.pending && h.kind == queuedWrite:
			beside = WriteInFlight
		}
	}
	return beside
}

// doubts tells whether a server may not have noticed a close, and was not heard since.
func (e *entry) doubts(server string) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.unheard() && h.server == server })
}

// readGoesOn tells whether a server may go on at a time with a read whose connection was closed, within the time that it was told.
func (e *entry) readGoesOn(at time.Time) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool {
		return h.kind == readState && h.goesOn(at) && h.until.Add(e.grace()).After(at)
	})
}

// doubted is which servers were not heard since a close.
func (e *entry) doubted() (servers []string) {
	for _, h := range e.holdings {
		if h.unheard() && !slices.Contains(servers, h.server) {
			servers = append(servers, h.server)
		}
	}
	return servers
}

// setSole notes whether whatever is held waits for the read in flight.
func (e *entry) setSole(sole bool) {
	for i := range e.holdings {
		if h := &e.holdings[i]; h.pending && h.kind == readState {
			h.sole = sole
		}
	}
}

// soleReader is the server of a read in flight for which all waits that is held, or beside which nothing is held but what is only
// suspected; "": there is none. While it is heard the read is in flight, since its answer would be heard too.
func (e *entry) soleReader() string {
	suspected := e.onlySuspected()
	for _, h := range e.holdings {
		if h.pending && (h.sole || suspected && h.kind == readState) {
			return h.server
		}
	}
	return ""
}

// nextRelease is when the next release is made; zero: when something is heard.
func (e *entry) nextRelease() time.Time {
	switch {
	case e.releasing > 0 || !e.mayHold() && e.soleReader() == "":
		return time.Time{}
	case !e.retryAt.IsZero():
		return e.retryAt
	case e.inFlight() && !e.terms.PreservesWaiting && !e.over:
		return time.Time{} // it would take what the attempt waits for
	}
	due := e.proven.Add(e.part(releasePart))
	if e.onlyHalfOpen() {
		due = e.proven.Add(e.terms.pin() + suspectPause)
	}
	ends, gone := e.closesEnd()
	for _, settled := range []time.Time{e.settledAt(), ends, gone} {
		if e.taken.Before(settled) {
			return sooner(due, settled)
		}
	}
	if gone.IsZero() && e.takes > maxRepeats {
		return time.Time{}
	}
	return due
}

// settledAt is from when on a release finds all that is to be let go, where each server notices a close in its time; zero:
// nothing is, or only what is not there yet.
func (e *entry) settledAt() (at time.Time) {
	if !e.wanted {
		return at
	}
	if e.inFlight() {
		return e.wantedAt
	}
	for _, h := range e.holdings {
		switch {
		case h.unheard():
			at = later(at, h.closed.Add(e.grace()))
		case h.halfOpen() && !h.noticed.After(e.streamed): // what it held went with the stream
		case h.halfOpen():
			at = later(at, h.noticed)
		case !h.pending:
			at = later(at, h.settled)
		}
	}
	if at.IsZero() {
		return at
	}
	return later(at, later(e.wantedAt, e.quietAt))
}

// closesEnd is from when on a release finds all, also where closes were lost: with servers that end attempts as they were told, and
// with any; zero: none may have been lost.
func (e *entry) closesEnd() (ends, gone time.Time) {
	for _, h := range e.holdings {
		ends, gone = later(ends, h.ends), later(gone, h.gone)
	}
	return ends, gone
}

// onlyHalfOpen tells whether nothing may be held but what attempts leave whose closes were lost: a release has found the rest.
func (e *entry) onlyHalfOpen() bool {
	return e.restReleased(func(h holding) time.Time { return h.noticed })
}

// onlySuspected tells the same of attempts that go on for longer than their servers were told.
func (e *entry) onlySuspected() bool {
	return e.restReleased(func(h holding) time.Time { return h.ends })
}

// restReleased tells whether a release was answered that has found all that may be held, with half-open attempts ended at a time
// each, and whether there are any of these.
func (e *entry) restReleased(ended func(holding) time.Time) bool {
	found, suspected := e.quietAt, false
	for _, h := range e.holdings {
		switch {
		case h.pending && h.kind == place || h.unheard():
			return false
		case h.halfOpen():
			found, suspected = later(found, ended(h)), true
		case !h.pending:
			found = later(found, h.settled)
		}
	}
	return suspected && !e.missed && !later(e.taken, e.streamed).Before(found)
}

// endAttempts notes that a server goes on with nothing whose connection was closed, and tells whether it might have.
func (e *entry) endAttempts(server string) (ended bool) {
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.server != server || h.closed.IsZero() || h.left == 0 {
			continue
		}
		h.left, ended = 0, true
		if h.halfOpen() {
			h.ends, h.gone = h.noticed, h.noticed
		}
	}
	return ended
}

// endCloses notes that servers have ended what they may have gone on with behind a close. What a write in its queue had releases
// spare may be let go from then on.
func (e *entry) endCloses(now time.Time) {
	var ended time.Time
	for i := range e.holdings {
		if h := &e.holdings[i]; h.halfOpen() && !h.gone.After(now) {
			ended = later(ended, h.gone)
			h.settle(h.gone)
		}
	}
	if ended.IsZero() {
		return
	}
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool {
		return h.kind == queuedWrite && !h.pending && h.closed.IsZero()
	})
	for i := range e.holdings {
		if h := &e.holdings[i]; !h.pending && h.closed.IsZero() {
			h.settled = later(h.settled, ended)
		}
	}
	e.takes = 0
}

// heardHolders is which servers may hold something and are not in doubt: one that hangs would keep the release waiting.
func (e *entry) heardHolders() []string {
	return slices.DeleteFunc(e.where(), e.doubts)
}

// where is which servers may hold something, those that hold it by now first.
func (e *entry) where() []string {
	var list []string
	add := func(wanted func(holding) bool) {
		for _, h := range e.holdings {
			if h.held() && h.kind != queuedWrite && wanted(h) && !slices.Contains(list, h.server) {
				list = append(list, h.server)
			}
		}
	}
	add(func(h holding) bool { return !h.unheard() })
	add(func(h holding) bool { return h.unheard() })
	for _, h := range e.holdings { // whoever spares something
		if h.kind == queuedWrite && !h.closed.IsZero() && !slices.Contains(list, h.server) {
			list = append(list, h.server)
		}
	}
	return list
}

// settledBy tells whether all that may be held was held by a time, and no server is in doubt.
func (e *entry) settledBy(at time.Time) bool {
	return !slices.ContainsFunc(e.holdings, func(h holding) bool {
		return h.goesOn(at) || h.held() && (h.pending || h.settled.After(at))
	})
}

// releasedBy removes what a release has found that a server answered, and that was sent while no attempt was in flight.
func (e *entry) releasedBy(server string, sent time.Time) {
	e.removeReleased(sent, func(h holding) bool { return e.terms.Shared || h.server == server })
}

// releasedAt removes what a release has found at the server that answered it.
func (e *entry) releasedAt(server string, sent time.Time) {
	e.removeReleased(sent, func(h holding) bool { return h.server == server })
}

// removeReleased removes what a release has found: not what a write that may still wait in a queue had it spare, which is all, or a read that
// may go on, which is a place.
func (e *entry) removeReleased(sent time.Time, reached func(holding) bool) {
	reads, writes := e.mayGoOn(readState), e.mayGoOn(queuedWrite)
	e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool {
		spared := writes || reads && h.kind == place
		return !spared && !h.pending && h.closed.IsZero() && !h.settled.After(sent) && reached(h)
	})
}

// mayGoOn tells whether a server may go on with an attempt of a kind although its connection was closed.
func (e *entry) mayGoOn(kind kind) bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return h.kind == kind && !h.closed.IsZero() && !h.unreached() })
}

// part is a part of the pin limit.
func (e *entry) part(part float64) time.Duration {
	return time.Duration(part * float64(e.terms.pin()))
}
