// Package heldstate tracks what servers may hold for requests: the state that the read of a prompt leaves at its server, and the
// places that are reserved for answers at writers. It decides when to send a release, a call by the request's key that has the
// servers drop all they hold for it, and when nothing is held any more.
//
// Servers may hold something for no longer than the pin limit while none of the request's attempts is in flight. For the servers an
// attempt is in flight from its arrival, but what the router has sent may never arrive, on a connection that has fallen silent. So
// the ledger keeps one time for each request, limitClearUntil: the last moment for which an answer shows that the limit was not
// running, or was restarted. Only answers advance it: of an attempt, of a place request whose server knew that the read was in
// flight, of a release. While anything may be held, a release is sent whenever 0.9 of the limit has passed since that time,
// regardless of what the router has sent meanwhile.
//
// A release drops the state of a read that is in flight at the same time. So none is sent while the read is protected, that is while
// all that is held waits for it, or nothing is held but what it may have left, as long as the read's server keeps answering on any
// connection: the read's own answer would arrive too. A first read is protected, and so is a read once a writer that knew of it has
// granted a place, or once a release was acknowledged while it was in flight. A read whose server does not answer may have ended well
// beyond a network partition. Where servers do not preserve what an attempt waits for, no release is sent during an attempt at all.
//
// An entry is removed only on evidence: the first event of its answer, with which servers drop all that is held; a release that was
// acknowledged while no attempt could preserve what it holds; or the removal of the servers that might hold something. Everything
// else stays pending after the request's end, and is released again.
//
// Each holding, one thing that one server may hold, is in one of these states:
//
//	state                meaning                                 releases                              ends as
//	in flight            its call has no answer yet              when 0.9 of the pin limit has passed  releasable, close
//	                                                             since limitClearUntil; none while a   unconfirmed, or
//	                                                             protected read's server answers       removed
//	releasable           held for certain, or left by an         at once, then as above                removed, by a release
//	                     attempt that has ended                                                        acknowledged since
//	close unconfirmed    its connection was closed, and its      25 ms after the close, then as        half-open; compact
//	                     server has answered no call sent 25 ms  above; up to 64
//	                     or more after that
//	half-open            its server has answered on another      as above until one is acknowledged,   releasable, at the end
//	                     connection, but the close may be lost   then one per pin limit and 100 ms,    of its timeout or 5 s
//	                                                             and one at each possible end          after the close
//	release unconfirmed  held for certain; its server did not    as above                              releasable, once its
//	                     answer a release that another server                                          server has answered;
//	                     acknowledged                                                                  compact
//	compact              close or release unconfirmed for so     none but probes of its server         half-open or releasable,
//	                     long that more releases show nothing;                                         once its server has
//	                     kept in little memory                                                         answered or was removed
//
// While a write may still wait in its server's queue (in flight, close unconfirmed or half-open), a release preserves all that is
// held for its request; while a read may still run, it preserves the place.
//
// That the router closed a connection shows nothing about the server, and an answer on another connection shows only that the server
// runs. The platform does not require a server to end an attempt whose timeout has passed, so a half-open attempt stays suspected for
// as long as a connection may stay silent.
//
// The package is pure: it does no I/O and reads no clock. Its methods take the time, and Due returns the calls to make.
package heldstate

import (
	"slices"
	"time"
)

// Times are in real time. A part is a fraction of the pin limit.
const (
	// CloseGrace is the time that a running server may take to observe that a connection was closed. A call on another
	// connection may overtake the close.
	CloseGrace = 25 * time.Millisecond

	defaultPinLimit = 500 * time.Millisecond // where the settings name no pin limit
	releasePart     = 0.9                    // of the pin limit: from limitClearUntil to the next release
	livenessPart    = 0.75                   // of the pin limit: from limitClearUntil to a liveness probe of a protected read's server
	lastReleasePart = 0.4                    // of the pin limit: after a close, before which no release is the last, as the close may be observed late
	timeoutSlack    = 150 * time.Millisecond // by which a server may end an attempt after its timeout: the router may be delayed before it writes
	halfOpenPause   = 100 * time.Millisecond // beyond the pin limit, between releases of half-open attempts alone; servers tolerate 300 ms
	maxConnSilence  = 5 * time.Second        // for which a server may not observe a close, regardless of the timeout: by then the connection is reset or works again
	maxTimeout      = 30 * time.Second       // longest that an attempt runs after a lost close; taken where its server was told no timeout
	reportPart      = 0.5                    // of the pin limit: for which an entry is pending before it is reported

	firstRetryDelay = 50 * time.Millisecond  // after a release that no server acknowledged; doubled each time
	maxRetryDelay   = 200 * time.Millisecond // short, since a release call itself keeps asking servers for long

	firstProbeDelay     = 100 * time.Millisecond // after a failed probe of an unconfirmed server; doubled each time
	maxRepeatedReleases = 64                     // of an entry with an unconfirmed server; then it waits for that server's answer
	maxProbeDelay       = 400 * time.Millisecond // well under the pin limit, so that a server that is back is found in time
	maxProbesInFlight   = 8                      // to unconfirmed servers
	maxLivenessProbes   = 64                     // in flight, to servers of protected reads

	maxPending          = 4096  // entries, of 1 KB each; beyond them, entries that wait for a server's answer become compact
	maxCompact          = 50000 // compact holdings, of 100 bytes each; beyond them the oldest is abandoned
	maxReleasesInFlight = 32
	maxAnsweredServers  = 4096 // servers whose last answered call is known; beyond them all are dropped, and probed again
)

// Terms are the conditions under which servers hold what an entry tracks.
type Terms struct {
	Request          string        // for the log
	Shared           bool          // all servers know what is held under the key, and any of them can acknowledge its release
	PreservesWaiting bool          // a release preserves what an attempt that has arrived waits for, so that it can be sent during one
	PinLimit         time.Duration // how long something may be held with no attempt in flight; 0: not known
	AttemptTimeout   time.Duration // that an attempt's server is told, from its sending; 0: none; negative: the attempt never outlasts its close
}

// timeout returns how long an attempt may run after a lost close, from its start; 0: it ends with its connection.
func (t Terms) timeout() time.Duration {
	switch {
	case t.AttemptTimeout < 0:
		return 0
	case t.AttemptTimeout == 0:
		return maxTimeout
	}
	return min(t.AttemptTimeout, maxTimeout)
}

func (t Terms) pinLimit() time.Duration {
	if t.PinLimit > 0 {
		return t.PinLimit
	}
	return defaultPinLimit
}

// closeGrace returns the time that a server may take to observe a close; a short pin limit leaves less of it.
func (t Terms) closeGrace() time.Duration { return min(CloseGrace, t.pinLimit()/4) }

// AttemptEnd is how an attempt ended.
type AttemptEnd uint8

// The ends of an attempt.
const (
	NotSent        AttemptEnd = iota // it was not written whole: the server cannot have started it
	Rejected                         // the server answered that it did nothing
	Completed                        // the server's answer came whole
	ClosedByRouter                   // the router closed the connection before the end of the answer: the server may not have observed it
	ClosedByServer                   // the server's end closed before the end of the answer: the attempt does not run on, but may have ended well
)

// leavesNothing reports whether the server holds nothing for an attempt that ended so.
func (e AttemptEnd) leavesNothing() bool { return e == NotSent || e == Rejected }

// confirmsInFlight reports whether the end shows that the attempt was in flight until then.
func (e AttemptEnd) confirmsInFlight() bool { return e == Rejected || e == Completed }

// PlaceResult is how a place request ended.
type PlaceResult uint8

// The results of a place request.
const (
	Denied   PlaceResult = iota // nothing is held, or nothing was sent
	Granted                     // the place is held; with shared servers, the read was in flight
	Unknown                     // answered, and the place may be held: the server knew of no read
	NoAnswer                    // the connection ended before the answer
)

// Concurrent is the kind of attempt that is in flight when a release is sent.
type Concurrent uint8

// The kinds.
const (
	NoAttempt     Concurrent = iota
	ReadInFlight             // a read, and perhaps a write
	WriteInFlight            // a write and no read
)

// ReleaseCall is a release to send, or a probe of a server by a release.
type ReleaseCall struct {
	Key           string
	Servers       []string // that may hold something; with a shared entry any server may be asked, and the list may be empty
	Probe         bool     // only the one server is asked, since its own answer is what counts
	SuspectedOnly bool     // only half-open attempts may hold something: any one server is enough, asked once
	Liveness      bool     // a probe by a key that no request has, which releases nothing; Key is empty
	Concurrent    Concurrent

	NotBefore time.Time // earliest sending, so that a close on its way arrives first; zero: at once
	Flush     bool      // the next attempt waits for this release, and the first server to acknowledge it is enough
}

// Ledger keeps the entries of all requests that servers may hold something for. It is not safe for concurrent use.
type Ledger struct {
	entries            map[string]*entry             // by key
	queue              actionQueue                   // entries with an action at a known time
	pending            []*entry                      // entries that wait for evidence with no attempt to come, the oldest first
	unconfirmed        map[string]*unconfirmedServer // by server
	epoch              time.Time                     // start of the times of compact holdings: when the first was made
	compactCount       int                           // compact holdings of all servers
	answeredCallSentAt map[string]time.Time          // by server: when the last call that it answered was sent
	livenessProbes     map[string]bool               // servers of protected reads with a probe in flight
	releasesInFlight   int
	waiting            []*entry         // entries whose release is due, but waits for another to end
	probesInFlight     int              // to unconfirmed servers
	abandoned          []AbandonedEntry // not yet returned by Abandoned
	reports            []Report         // not yet returned by Reports
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[string]*entry{}, unconfirmed: map[string]*unconfirmedServer{}, answeredCallSentAt: map[string]time.Time{}, livenessProbes: map[string]bool{}}
}

// PendingCount returns the number of entries and compact holdings that wait for evidence with no attempt to come.
func (l *Ledger) PendingCount() int { return len(l.pending) + l.compactCount }

// HasRequiredReleases reports whether anything is pending but half-open attempts that may run beyond their timeouts.
func (l *Ledger) HasRequiredReleases() bool {
	return l.compactCount > 0 || slices.ContainsFunc(l.pending, func(e *entry) bool { return !e.onlyOverdue() })
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// AttemptStarted records that an attempt is being sent to a server; reads is set for a read, which leaves a state there if it
// ends well.
func (l *Ledger) AttemptStarted(key string, terms Terms, server string, reads bool, now time.Time) {
	e := l.open(key, terms)
	e.releaseRequested, e.requestEnded, e.streamStartedAt, e.ackedReleases = false, false, time.Time{}, 0
	l.clearPending(e)
	h := holding{server: server, kind: queuedWrite, inFlight: true}
	if terms.Shared { // a release at a server that knows only its own holdings cancels the attempt there
		h.timeout = terms.timeout()
		h.deadline = now.Add(h.timeout)
	}
	if reads {
		h.kind = readState
	}
	if reads && terms.Shared && terms.PreservesWaiting && !e.mayHold() { // it may end well, and its answer be lost
		h.protected = true
		e.markLimitClear(now)
	}
	e.holdings = append(e.holdings, h)
	l.schedule(e, now)
}

// PlaceRequested records that a server is asked for a place.
func (l *Ledger) PlaceRequested(key string, terms Terms, server string, now time.Time) {
	e := l.open(key, terms)
	if !e.mayHold() {
		e.markLimitClear(now)
	}
	e.setReadProtected(false)
	e.holdings = append(e.holdings, holding{server: server, kind: place, inFlight: true, requestedAt: now})
	l.schedule(e, now)
}

// open returns the entry of a key, which it adds if there is none.
func (l *Ledger) open(key string, terms Terms) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{key: key, terms: terms, queueIndex: notQueued}
		l.entries[key] = e
	}
	return e
}

// AttemptStartedBy records by when the server of an attempt in flight has started it, if it has arrived: the server has answered
// a call that was sent after it.
func (l *Ledger) AttemptStartedBy(key, server string, reads bool, by time.Time) {
	kind := queuedWrite
	if reads {
		kind = readState
	}
	if e := l.entries[key]; e != nil {
		if i := e.inFlightIndex(server, kind); i >= 0 {
			e.holdings[i].startedBy = by
		}
	}
}

// ReadEnded records how a read ended.
func (l *Ledger) ReadEnded(key, server string, end AttemptEnd, now time.Time) {
	l.attemptEnded(key, server, readState, end, now)
}

// WriteEnded records how a write ended. What it waited for may still be held elsewhere, unless its answer had started.
func (l *Ledger) WriteEnded(key, server string, end AttemptEnd, now time.Time) {
	l.attemptEnded(key, server, queuedWrite, end, now)
}

func (l *Ledger) attemptEnded(key, server string, kind kind, end AttemptEnd, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	i := e.inFlightIndex(server, kind)
	if i < 0 {
		return
	}
	if kind == readState && !e.mayHold() { // its state is the first thing that may be held
		e.markLimitClear(now)
	}
	if end.confirmsInFlight() {
		e.markLimitClear(now)
	}
	if end != NotSent {
		e.lastAttemptEndedAt = now
	}
	e.ackedReleases = 0
	switch {
	case end.leavesNothing() || kind == queuedWrite && end == Completed:
		e.remove(i)
	case end == ClosedByServer:
		e.holdings[i].timeout = 0
		l.markUnconfirmed(e, i, now)
	case end == ClosedByRouter:
		l.markUnconfirmed(e, i, now)
	default:
		e.holdings[i].markReleasable(now)
	}
	l.schedule(e, now)
}

// PlaceRequestEnded records how a place request ended.
func (l *Ledger) PlaceRequestEnded(key, server string, result PlaceResult, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	i := e.inFlightIndex(server, place)
	if i < 0 {
		return
	}
	e.ackedReleases = 0
	switch result {
	case Denied:
		e.remove(i)
		if e.terms.Shared && e.terms.PreservesWaiting && !e.mayHold() { // again only the read's own state may be held
			e.setReadProtected(true)
		}
	case NoAnswer:
		l.markUnconfirmed(e, i, now)
	case Granted:
		l.placeGranted(e, i, now)
	default:
		e.holdings[i].markReleasable(now)
	}
	l.schedule(e, now)
}

// placeGranted records that a server has answered that it holds a place. With shared servers, the read was in flight when the
// place was requested.
func (l *Ledger) placeGranted(e *entry, i int, now time.Time) {
	h := &e.holdings[i]
	if e.terms.Shared {
		e.markLimitClear(h.requestedAt)
		e.setReadProtected(!e.readMayStillRun(now)) // else the server may have known of an earlier read
	}
	h.markReleasable(now)
}

// markUnconfirmed records that a holding's server may not have observed yet that its connection was closed at a time.
func (l *Ledger) markUnconfirmed(e *entry, i int, closedAt time.Time) {
	h := &e.holdings[i]
	already := e.isUnconfirmed(h.server)
	h.inFlight, h.closedAt, h.closeObservedAt, h.endsBy, h.goneBy = false, closedAt, time.Time{}, time.Time{}, time.Time{}
	u := l.unconfirmed[h.server]
	if u == nil {
		u = &unconfirmedServer{nextProbeAt: closedAt.Add(e.closeGrace())}
		l.unconfirmed[h.server] = u
	}
	if !already {
		u.entries = append(u.entries, e)
	}
}

// StreamStarted records the first event of the answer, with which servers drop all that is held, except what servers that did
// not observe a close may still come to hold.
func (l *Ledger) StreamStarted(key string, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	e.markLimitClear(now)
	e.streamStartedAt = now
	e.requestRelease(now)
	unconfirmed := e.unconfirmedServers()
	e.removeReleasedByStream(now)
	l.clearUnconfirmed(e, unconfirmed)
	l.schedule(e, now)
}

// RequestRelease records that all that is held has to be released. Due returns the release once ScheduleRelease was called;
// Flush does where an attempt follows.
func (l *Ledger) RequestRelease(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		e.requestRelease(now)
	}
}

// Flush returns the release that has to be sent before an entry's next attempt.
func (l *Ledger) Flush(key string) []ReleaseCall {
	e := l.entries[key]
	if e == nil || !e.releaseRequested || e.releasesInFlight > 0 || !e.mayHold() {
		return nil
	}
	calls := l.release(e)
	for i := range calls {
		calls[i].Flush = true
		if e.terms.Shared { // the first server to answer
			calls[i].Servers = nil
		}
		for _, h := range e.holdings {
			if !h.closedAt.IsZero() {
				calls[i].NotBefore = later(calls[i].NotBefore, h.closedAt.Add(e.closeGrace()))
			}
		}
	}
	return calls
}

// ScheduleRelease has Due return the requested release of an entry that has no further attempt yet.
func (l *Ledger) ScheduleRelease(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		l.schedule(e, now)
	}
}

// RequestEnded records that no attempt follows.
func (l *Ledger) RequestEnded(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		e.requestEnded = true
		e.requestRelease(now)
		l.schedule(e, now)
	}
}

// schedule sets the time of an entry's next action, and drops an entry that holds nothing.
func (l *Ledger) schedule(e *entry, now time.Time) {
	if l.dropIfEmpty(e, now) {
		return
	}
	if e.releaseRequested && e.mayHold() && (e.requestEnded || !e.attemptInFlight()) {
		l.markPending(e, now)
	}
	if l.entries[e.key] != e { // abandoned: too many are pending
		return
	}
	if e.ackedReleases > maxRepeatedReleases && e.canCompact() {
		l.compact(e, now)
		return
	}
	l.queue.set(e, l.nextAction(e))
}

// dropIfEmpty drops an entry that holds nothing any more, and reports whether it did.
func (l *Ledger) dropIfEmpty(e *entry, now time.Time) bool {
	e.expireHalfOpen(now)
	empty := e.releaseRequested && len(e.holdings) == 0 && e.releasesInFlight == 0
	if empty {
		l.drop(e)
	}
	return empty
}

// markPending records that an entry waits for evidence with no attempt to come. Beyond the bound, the oldest entry that can
// become compact does, else the oldest is abandoned.
func (l *Ledger) markPending(e *entry, now time.Time) {
	if !e.pendingSince.IsZero() {
		return
	}
	e.pendingSince, e.reportAt = now, now.Add(e.pinPart(reportPart))
	l.pending = append(l.pending, e)
	if len(l.pending) <= maxPending {
		return
	}
	if i := slices.IndexFunc(l.pending, (*entry).canCompact); i >= 0 {
		l.compact(l.pending[i], now)
		return
	}
	l.abandon(l.pending[0], LedgerFull, now)
}

func (l *Ledger) clearPending(e *entry) {
	if e.pendingSince.IsZero() {
		return
	}
	e.pendingSince, e.reportAt = time.Time{}, time.Time{}
	l.pending = withoutEntry(l.pending, e)
}

// drop removes an entry from the ledger.
func (l *Ledger) drop(e *entry) {
	unconfirmed := e.unconfirmedServers()
	e.holdings = nil
	l.clearUnconfirmed(e, unconfirmed)
	l.clearPending(e)
	l.queue.set(e, time.Time{})
	delete(l.entries, e.key)
}

// clearUnconfirmed removes an entry from those of the servers that are no longer unconfirmed for it.
func (l *Ledger) clearUnconfirmed(e *entry, servers []string) {
	for _, server := range servers {
		u := l.unconfirmed[server]
		if u == nil || e.isUnconfirmed(server) {
			continue
		}
		u.entries = withoutEntry(u.entries, e)
		l.dropServerIfUnused(server, u)
	}
}

// release returns an entry's release: one call where it is shared, else one for each holder.
func (l *Ledger) release(e *entry) []ReleaseCall {
	e.round = releaseRound{}
	if e.terms.Shared {
		e.releasesInFlight++
		l.releasesInFlight++
		return []ReleaseCall{{Key: e.key, Servers: e.confirmedHolders(), SuspectedOnly: e.retryDelay < maxRetryDelay && e.onlyHalfOpen(), Concurrent: e.concurrentAttempt()}}
	}
	calls := make([]ReleaseCall, 0, len(e.holdings))
	for _, server := range e.holders() {
		e.releasesInFlight++
		l.releasesInFlight++
		calls = append(calls, ReleaseCall{Key: e.key, Servers: []string{server}, Concurrent: e.concurrentAttempt()})
	}
	return calls
}

// withoutEntry removes an entry from a list in which it occurs at most once; the search starts at the oldest, which leave
// first.
func withoutEntry(list []*entry, e *entry) []*entry {
	if i := slices.Index(list, e); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sooner returns the earlier of two times; a zero time counts as none.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
