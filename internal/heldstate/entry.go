package heldstate

import (
	"container/heap"
	"slices"
	"time"
)

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
func (e *entry) grace() time.Duration { return min(NoticeGrace, e.terms.pin()/4) }

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
func (e *entry) inFlight() bool { return e.beside() != Alone }

// beside is which attempt is in flight.
func (e *entry) beside() Beside {
	beside := Alone
	for _, h := range e.holdings {
		switch {
		case h.pending && h.kind == readState:
			return BesideRead
		case h.pending && h.kind == queuedWrite:
			beside = BesideWrite
		}
	}
	return beside
}

// inDoubt tells whether some server may not have noticed a close, and doubts whether one was not heard since.
func (e *entry) inDoubt() bool {
	return slices.ContainsFunc(e.holdings, func(h holding) bool { return !h.closed.IsZero() })
}

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
	case e.inFlight() && !e.terms.Spared && !e.over:
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

// let takes out what a release has let go of that was answered by a server, and sent while no attempt was in flight. A write that
// may still wait in a queue has it spare all that it waits for, a read that may go on a place.
func (e *entry) let(server string, sent time.Time) {
	e.letWhere(sent, func(h holding) bool { return e.terms.Shared || h.server == server })
}

// letAt takes out what a server itself has let go of.
func (e *entry) letAt(server string, sent time.Time) {
	e.letWhere(sent, func(h holding) bool { return h.server == server })
}

func (e *entry) letWhere(sent time.Time, reached func(holding) bool) {
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

// agenda is the entries that have something to do at a time, the next one first.
type agenda []*entry

// notQueued is the position of an entry that is not in the agenda.
const notQueued = -1

// set sets when an entry has something to do; zero: it is not in the agenda.
func (a *agenda) set(e *entry, at time.Time) {
	e.lookAt = at
	switch {
	case at.IsZero() && e.position != notQueued:
		heap.Remove(a, e.position)
	case at.IsZero():
	case e.position == notQueued:
		heap.Push(a, e)
	default:
		heap.Fix(a, e.position)
	}
}

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].lookAt.Equal(a[j].lookAt) {
		return a[i].lookAt.Before(a[j].lookAt)
	}
	return a[i].wantedAt.Before(a[j].wantedAt) // whatever has waited for longer
}

func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].position, a[j].position = i, j
}

// Push and Pop are for container/heap.
func (a *agenda) Push(x any) {
	e := x.(*entry)
	e.position = len(*a)
	*a = append(*a, e)
}

// Pop takes out the last entry.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	last.position = notQueued
	return last
}
