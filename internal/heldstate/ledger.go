// Package heldstate keeps account of what servers may hold for requests: the
// state that a prompt's read leaves at its server, and the places that are
// reserved for answers. It decides when a release is made, and when nothing is
// held any more.
//
// The limit on what is held runs while none of a request's attempts is in
// flight, and for the platform an attempt is in flight from its arrival. What a
// router has sent may never arrive, on a connection that has fallen silent. So
// there is one time for each request, proven: the last moment for which an
// answer proves that the limit did not run or began anew. Only answers move it:
// of an attempt, of a place whose server knew that the read was in flight, of a
// release. While anything may be held, a release is made whenever so much of the
// limit has passed since, whatever the router has sent meanwhile.
//
// A release takes the state of a read that it comes beside. So none is made
// while all that is held waits for the read, or nothing is held but what it may
// have left, as long as the read's server is heard from time to time: the read's
// own answer would be heard too. That is so of a first read, once a writer that
// knew of the read has granted a place, and once a release was answered beside
// it. A read whose server is not heard may have ended well in a cut.
//
// An entry leaves the ledger by proof alone: its answer's first event, which
// takes all that is held; a release that was answered while nothing could spare
// what it holds; or the end of the servers that might hold something. What is not
// proven stays outstanding beyond its request, and is released again.
//
// A holding is in one of these states:
//
//	state      meaning                                       releases                          leaves by
//	in flight  its call has no answer yet                    0.9 of the pin limit behind the   the call's end
//	                                                         last proof; none beside a read
//	                                                         whose server is heard
//	settled    held for certain, or left by what has ended   at once, then as above            a release answered since
//	unheard    the router closed its connection, and the     25 ms behind the close, then as   settled or half-open, once its
//	           server was not heard since                    above; up to 64                   server is heard; dormant
//	half-open  its server was heard on another connection,   as above until the told time is   settled, 5 s behind the close or
//	           so that the close may be lost                 up, then more slowly              when the told time is up
//	unreached  settled, and a release that another server    as above                          settled, once its server is
//	           took may not have reached its own                                               heard; dormant
//	dormant    unheard or unreached for so long that         none                              half-open or settled, once its
//	           releases prove nothing, at little memory                                        server is heard or gone
//
// A write that may still wait in a queue (in flight, unheard or half-open) has
// releases spare all of its request; a read that may go on, a place.
//
// A close is proof of nothing, and a server that answers on another connection
// proves only that it runs. No page says that a server has to end an attempt
// whose time is up that it was told, so a half-open attempt stays suspected for
// as long as a connection may stay silent.
//
// The package is pure: it does no I/O and reads no clock. Its methods take the
// time, and what to do comes back from Due.
package heldstate

import (
	"slices"
	"time"
)

// Times and bounds. Times are real time.
const (
	// CloseNoticeGrace is for how long a running server may take to notice that a
	// connection was closed. A call on another connection may overtake the close.
	CloseNoticeGrace = 25 * time.Millisecond

	defaultPin   = 500 * time.Millisecond // taken where the settings name no limit
	releasePart  = 0.9                    // part of the pin limit after which a release is made, counted from what was last proven
	reachPart    = 0.75                   // part of it after which the server of a read is probed for which all waits that is held
	confirmPart  = 0.4                    // part of it after a close before which no release is the last: it may be noticed later than it should
	toldSlack    = 150 * time.Millisecond // by which a server may end an attempt later than it was told: the router is held up before it writes
	suspectPause = 100 * time.Millisecond // beyond the pin limit, between releases of what only a lost close may leave: of 300 ms that servers allow
	maxSilence   = 5 * time.Second        // for which a server may not notice a close, whatever it was told: a connection is reset or heard again by then
	maxLeft      = 30 * time.Second       // for which an attempt goes on behind a lost close at the most, or where its server was told no time
	evidencePart = 0.5                    // part of the pin limit for which an entry may be owed before it is reported

	firstRetry = 50 * time.Millisecond  // after a release that nobody took; doubled each time
	maxRetry   = 200 * time.Millisecond // as a release itself goes on for long

	firstProbe = 100 * time.Millisecond // after a probe of an unheard server that failed; doubled each time
	maxRepeats = 64                     // releases of an entry while a server is in doubt; then it waits for one to be heard
	maxProbe   = 400 * time.Millisecond // well under the limit: a server that is back is heard in time
	maxProbes  = 8                      // probes in flight at once
	maxReaches = 64                     // the same, of servers of reads

	maxOwed     = 4096  // entries, of 1 KB each; beyond them what waits for a server to be heard is kept as dormant
	maxDormant  = 50000 // holdings, of 100 bytes each; beyond them the oldest is forgotten
	maxReleases = 32    // releases in flight at once
	maxReached  = 4096  // servers of which it is known when they were heard; beyond them all are forgotten, and probed again
)

// Terms are those of an entry.
type Terms struct {
	Request          string        // for the log
	Shared           bool          // servers know all that is held by the entry's key, and any of them takes its release
	PreservesWaiting bool          // a release spares what an attempt that has arrived waits for, so that one may be made beside it
	PinLimit         time.Duration // for how long something may be held with no attempt in flight; 0: not told
	AttemptTimeout   time.Duration // of an attempt: for which its server is told that the answer is waited for, from its sending; 0: not told; negative: it outlasts no close
}

func (t Terms) left() time.Duration {
	switch {
	case t.AttemptTimeout < 0:
		return 0
	case t.AttemptTimeout == 0:
		return maxLeft
	}
	return min(t.AttemptTimeout, maxLeft)
}

func (t Terms) pin() time.Duration {
	if t.PinLimit > 0 {
		return t.PinLimit
	}
	return defaultPin
}

// grace is for how long a server may take to notice a close; a short pin limit leaves less room to allow for it.
func (t Terms) grace() time.Duration { return min(CloseNoticeGrace, t.pin()/4) }

// AttemptEnd tells how an attempt ended.
type AttemptEnd uint8

// The ends.
const (
	NotSent        AttemptEnd = iota // it was not written whole: the server can't have begun it
	Rejected                         // the server answered that it did nothing
	Completed                        // the server's answer came whole
	ClosedByRouter                   // the router closed the connection before the answer had ended: the server may not have noticed
	ClosedByServer                   // the server's end of the connection ended before the answer had: it goes on with nothing, and may have ended well
)

// leavesNothing tells that the server holds nothing for what ended so.
func (e AttemptEnd) leavesNothing() bool { return e == NotSent || e == Rejected }

// proves tells that the attempt was in flight until now.
func (e AttemptEnd) proves() bool { return e == Rejected || e == Completed }

// PlaceResult tells how the asking for a place ended.
type PlaceResult uint8

// The answers.
const (
	Denied   PlaceResult = iota // nothing is held, or nothing was asked
	Granted                     // held; where servers share what they know, the read was in flight
	Unknown                     // answered, and held perhaps: the server knew of no read
	NoAnswer                    // the connection ended before an answer came
)

// Concurrent tells which attempt is in flight as a release is made.
type Concurrent uint8

// What a release may be made beside.
const (
	NoAttempt     Concurrent = iota // no attempt is in flight
	ReadInFlight                    // a read is, and perhaps a write
	WriteInFlight                   // a write alone
)

// ReleaseCall is a release to be made.
type ReleaseCall struct {
	Key           string
	Servers       []string // which may hold something; where the entry is shared any server may be asked, and there may be none
	Probe         bool     // only the one server is to be asked: what counts is to hear it
	SuspectedOnly bool     // nothing may be held but what comes of a lost close: any one server is enough, and asked once
	Liveness      bool     // such a probe by a key that no request has, so that nothing is let go; there is no Key
	Concurrent    Concurrent

	NotBefore time.Time // it is not sent before: a close is on its way; zero: at once
	Flush     bool      // the next attempt waits for it, and whoever takes it first is enough
}

// Ledger keeps the entries. It is not safe for concurrent use.
type Ledger struct {
	entries  map[string]*entry
	agenda   agenda               // entries that have something to do at a time
	owed     []*entry             // in the order in which they came to be owed
	unheard  map[string]*unheard  // servers that some entry is in doubt about
	epoch    time.Time            // from which times of dormant holdings count: when the first came to be
	dormant  int                  // dormant holdings
	reached  map[string]time.Time // when the last call was sent that a server has answered
	reaching map[string]bool      // servers of reads that are probed
	inFlight int
	line     []*entry // whose releases are due, and wait for one in flight to end
	probes   int
	forgot   []AbandonedEntry
	reports  []Report
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[string]*entry{}, unheard: map[string]*unheard{}, reached: map[string]time.Time{}, reaching: map[string]bool{}}
}

// PendingCount is how many entries and dormant holdings wait for proof with no attempt to come.
func (l *Ledger) PendingCount() int { return len(l.owed) + l.dormant }

// HasConfirmedPending tells whether some entry waits for proof of more than a suspicion.
func (l *Ledger) HasConfirmedPending() bool {
	return l.dormant > 0 || slices.ContainsFunc(l.owed, func(e *entry) bool { return !e.onlySuspected() })
}

// Len is how many entries there are.
func (l *Ledger) Len() int { return len(l.entries) }

// AttemptStarted notes that an attempt is sent to a server; reads tells that it leaves a
// state there if it ends well.
func (l *Ledger) AttemptStarted(key string, terms Terms, server string, reads bool, now time.Time) {
	e := l.open(key, terms)
	e.wanted, e.over, e.streamed, e.takes = false, false, time.Time{}, 0
	l.notOwed(e)
	h := holding{server: server, kind: queuedWrite, pending: true}
	if terms.Shared { // where each server knows what it holds itself, a release there calls the attempt off
		h.left = terms.left()
		h.until = now.Add(h.left)
	}
	if reads {
		h.kind = readState
	}
	if reads && terms.Shared && terms.PreservesWaiting && !e.mayHold() { // it may end well, and its answer be lost
		h.sole = true
		e.prove(now)
	}
	e.holdings = append(e.holdings, h)
	l.schedule(e, now)
}

// PlaceRequested notes that a server is asked for a place.
func (l *Ledger) PlaceRequested(key string, terms Terms, server string, now time.Time) {
	e := l.open(key, terms)
	if !e.mayHold() {
		e.prove(now)
	}
	e.setSole(false)
	e.holdings = append(e.holdings, holding{server: server, kind: place, pending: true, asked: now})
	l.schedule(e, now)
}

func (l *Ledger) open(key string, terms Terms) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{key: key, terms: terms, position: notQueued}
		l.entries[key] = e
	}
	return e
}

// AttemptBegunBy notes by when the server of an attempt in flight has begun it, if it has arrived: the server has answered a call that
// was sent behind it.
func (l *Ledger) AttemptBegunBy(key, server string, reads bool, by time.Time) {
	kind := queuedWrite
	if reads {
		kind = readState
	}
	if e := l.entries[key]; e != nil {
		if i := e.pending(server, kind); i >= 0 {
			e.holdings[i].begun = by
		}
	}
}

// ReadEnded notes how an attempt ended that reads.
func (l *Ledger) ReadEnded(key, server string, end AttemptEnd, now time.Time) {
	l.attemptEnded(key, server, readState, end, now)
}

// WriteEnded notes how an attempt ended that answers. What it waited for may
// still be held elsewhere, unless its answer had begun.
func (l *Ledger) WriteEnded(key, server string, end AttemptEnd, now time.Time) {
	l.attemptEnded(key, server, queuedWrite, end, now)
}

func (l *Ledger) attemptEnded(key, server string, kind kind, end AttemptEnd, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	i := e.pending(server, kind)
	if i < 0 {
		return
	}
	if kind == readState && !e.mayHold() { // the state is the first thing that may be held
		e.prove(now)
	}
	if end.proves() {
		e.prove(now)
	}
	if end != NotSent {
		e.quietAt = now
	}
	e.takes = 0
	switch {
	case end.leavesNothing() || kind == queuedWrite && end == Completed:
		e.remove(i)
	case end == ClosedByServer:
		e.holdings[i].left = 0
		l.doubt(e, i, now)
	case end == ClosedByRouter:
		l.doubt(e, i, now)
	default:
		e.holdings[i].settle(now)
	}
	l.schedule(e, now)
}

// PlaceRequestEnded notes how the asking for a place ended.
func (l *Ledger) PlaceRequestEnded(key, server string, grant PlaceResult, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	i := e.pending(server, place)
	if i < 0 {
		return
	}
	e.takes = 0
	switch grant {
	case Denied:
		e.remove(i)
		if e.terms.Shared && e.terms.PreservesWaiting && !e.mayHold() { // again nothing is held but what the read may have left
			e.setSole(true)
		}
	case NoAnswer:
		l.doubt(e, i, now)
	case Granted:
		l.granted(e, i, now)
	default:
		e.holdings[i].settle(now)
	}
	l.schedule(e, now)
}

// granted notes that a server holds a place, by its own word. Where servers share what they know, the read was in flight when
// it was asked.
func (l *Ledger) granted(e *entry, i int, now time.Time) {
	h := &e.holdings[i]
	if e.terms.Shared {
		e.prove(h.asked)
		e.setSole(!e.readGoesOn(now)) // else it may have known of an earlier one
	}
	h.settle(now)
}

// doubt notes that a server may not have noticed yet that a connection was closed.
func (l *Ledger) doubt(e *entry, i int, now time.Time) {
	h := &e.holdings[i]
	doubted := e.doubts(h.server)
	h.pending, h.closed, h.noticed, h.ends, h.gone = false, now, time.Time{}, time.Time{}, time.Time{}
	u := l.unheard[h.server]
	if u == nil {
		u = &unheard{next: now.Add(e.grace())}
		l.unheard[h.server] = u
	}
	if !doubted {
		u.entries = append(u.entries, e)
	}
}

// StreamStarted notes the first event of the answer, with which all goes that is
// held: but what servers that did not notice a close may still come to hold.
func (l *Ledger) StreamStarted(key string, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	e.prove(now)
	e.streamed = now
	e.want(now)
	doubted := e.doubted()
	e.leavesWithStream(now)
	l.forgetDoubts(e, doubted)
	l.schedule(e, now)
}

// RequestRelease notes that all is to be let go. The release comes from Due once ScheduleRelease was called, or from Flush where an attempt
// follows.
func (l *Ledger) RequestRelease(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		e.want(now)
	}
}

// Flush returns the release that has to be made before an entry's next attempt.
func (l *Ledger) Flush(key string) []ReleaseCall {
	e := l.entries[key]
	if e == nil || !e.wanted || e.releasing > 0 || !e.mayHold() {
		return nil
	}
	calls := l.release(e)
	for i := range calls {
		calls[i].Flush = true
		if e.terms.Shared { // whoever answers soonest
			calls[i].Servers = nil
		}
		for _, h := range e.holdings {
			if !h.closed.IsZero() {
				calls[i].NotBefore = later(calls[i].NotBefore, h.closed.Add(e.grace()))
			}
		}
	}
	return calls
}

// ScheduleRelease schedules the release of an entry that is wanted, and has not gone on.
func (l *Ledger) ScheduleRelease(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		l.schedule(e, now)
	}
}

// RequestEnded notes that no attempt follows.
func (l *Ledger) RequestEnded(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		e.over = true
		e.want(now)
		l.schedule(e, now)
	}
}

// schedule sets when an entry's next release is made, and drops an entry that
// holds nothing.
func (l *Ledger) schedule(e *entry, now time.Time) {
	if l.dropIfEmpty(e, now) {
		return
	}
	if e.wanted && e.mayHold() && (e.over || !e.inFlight()) {
		l.owe(e, now)
	}
	if l.entries[e.key] != e { // forgotten: too many are owed
		return
	}
	if e.takes > maxRepeats && e.mayRest() {
		l.rest(e, now)
		return
	}
	l.agenda.set(e, l.nextLook(e))
}

// dropIfEmpty drops an entry that holds nothing any more, and tells whether it did.
func (l *Ledger) dropIfEmpty(e *entry, now time.Time) bool {
	e.endCloses(now)
	empty := e.wanted && len(e.holdings) == 0 && e.releasing == 0
	if empty {
		l.drop(e)
	}
	return empty
}

// owe notes that an entry waits for proof with no attempt to come.
func (l *Ledger) owe(e *entry, now time.Time) {
	if !e.owedAt.IsZero() {
		return
	}
	e.owedAt, e.reportAt = now, now.Add(e.part(evidencePart))
	l.owed = append(l.owed, e)
	if len(l.owed) <= maxOwed {
		return
	}
	if i := slices.IndexFunc(l.owed, (*entry).mayRest); i >= 0 {
		l.rest(l.owed[i], now)
		return
	}
	l.forget(l.owed[0], LedgerFull, now)
}

func (l *Ledger) notOwed(e *entry) {
	if e.owedAt.IsZero() {
		return
	}
	e.owedAt, e.reportAt = time.Time{}, time.Time{}
	l.owed = without(l.owed, e)
}

func (l *Ledger) drop(e *entry) {
	doubted := e.doubted()
	e.holdings = nil
	l.forgetDoubts(e, doubted)
	l.notOwed(e)
	l.agenda.set(e, time.Time{})
	delete(l.entries, e.key)
}

// forgetDoubts forgets those of some servers that an entry is not in doubt about any more.
func (l *Ledger) forgetDoubts(e *entry, servers []string) {
	for _, server := range servers {
		u := l.unheard[server]
		if u == nil || e.doubts(server) {
			continue
		}
		u.entries = without(u.entries, e)
		l.forgetIfNoneWaits(server, u)
	}
}

// release makes an entry's calls: one where it is shared, else one for each holder.
func (l *Ledger) release(e *entry) []ReleaseCall {
	e.round = round{}
	if e.terms.Shared {
		e.releasing++
		l.inFlight++
		return []ReleaseCall{{Key: e.key, Servers: e.heardHolders(), SuspectedOnly: e.retry < maxRetry && e.onlyHalfOpen(), Concurrent: e.beside()}}
	}
	calls := make([]ReleaseCall, 0, len(e.holdings))
	for _, server := range e.where() {
		e.releasing++
		l.inFlight++
		calls = append(calls, ReleaseCall{Key: e.key, Servers: []string{server}, Concurrent: e.beside()})
	}
	return calls
}

// without takes an entry out of a list in which it stands once; the oldest, which leave most often, are found first.
func without(list []*entry, e *entry) []*entry {
	if i := slices.Index(list, e); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
