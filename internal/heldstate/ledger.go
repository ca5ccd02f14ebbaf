// Package heldstate keeps account of what servers may hold for requests: the
// state that a prompt's read leaves at its server, and the places that are
// reserved for answers. It decides when a release is made, and when nothing is
// held any more.
//
// An entry leaves the ledger by proof alone: its answer's first event, which
// takes all that is held; a release that was answered while no attempt was out
// and no server could still be waiting on one; or the end of the servers that
// might hold something. A release that was only sent proves nothing: a server
// spares what an attempt waits for, and it learns that an attempt was called
// off only when it notices that the connection was closed. What is not proven
// stays owed beyond its request, and is released again.
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
	// NoticeGrace is for how long a running server may take to notice that a
	// connection was closed. A call on another connection may overtake the close.
	NoticeGrace = 25 * time.Millisecond

	defaultPin   = 500 * time.Millisecond // taken where the settings name no limit
	besidePart   = 0.8                    // part of the pin limit after which a release is made beside a read, which may not have arrived
	repeatPart   = 0.4                    // part of the pin limit after which a release that proved nothing is made again
	evidencePart = 0.5                    // part of the pin limit for which an entry may be owed before it is reported

	firstRetry = 50 * time.Millisecond // after a release that nobody took; doubled each time
	maxRetry   = 2 * time.Second

	firstProbe = 100 * time.Millisecond // after a probe of an unheard server that failed; doubled each time
	maxRepeats = 64                     // releases of an entry while a server is in doubt; then it waits for one to be heard
	maxProbe   = 400 * time.Millisecond // well under the limit: a server that is back is heard in time
	maxProbes  = 8                      // probes out at once

	maxOwed     = 2048            // entries; beyond them the oldest is forgotten
	maxAge      = 2 * time.Minute // for which an entry is owed at the most
	maxReleases = 32              // releases out at once
)

// Terms are those of an entry.
type Terms struct {
	Request string        // for the log
	Shared  bool          // servers know all that is held by the entry's key, and any of them takes its release
	Pin     time.Duration // for how long something may be held with no attempt out; 0: not told
}

// End tells how an attempt, or the asking for a place, ended.
type End uint8

// The ends.
const (
	NeverArrived End = iota // it was not written whole: the server can't have begun it
	TurnedAway              // the server answered that it did nothing
	Answered                // the server's answer came whole
	Closed                  // the connection ended before the answer had: the server may not have noticed
)

// leavesNothing tells that the server holds nothing for what ended so.
func (e End) leavesNothing() bool { return e == NeverArrived || e == TurnedAway }

// Call is a release to be made.
type Call struct {
	Key     string
	Servers []string // which may hold something; where the entry is shared any server may be asked, and there may be none
	Probe   bool     // only the one server is to be asked: what counts is to hear it

	After time.Time // it is not sent before: a close is on its way; zero: at once
	Flush bool      // the next attempt waits for it, and whoever takes it first is enough
}

// entry is what may be held under one key.
type entry struct {
	key     string
	terms   Terms
	holders []string // servers that may hold something, once for each thing
	lately  []string // of these, servers whose doubt ended last
	doubts  []doubt
	out     int // attempts that are out
	asking  int // places that are asked for

	wanted     bool      // all is to be let go
	over       bool      // no attempt follows
	streamed   bool      // the answer has begun: what was held went with it
	writes     bool      // the attempt that is out answers: a release beside it spares what it waits for
	stale      bool      // an attempt is out beside what earlier ones left,
	readAt     string    // at this server, if it reads
	sentAt     time.Time // when the last attempt was sent
	besideDue  time.Time // when a release is made beside it; zero: when a read should have arrived
	quietAt    time.Time // when the last attempt ended or place was answered
	settledAt  time.Time // a release that is sent from then on finds no attempt waiting
	owedAt     time.Time // since when it is owed; zero: it is not
	calls      int       // releases that were answered
	releasedAt time.Time // when the last was
	releasing  int       // releases that are out
	retry      time.Duration
	next       time.Time // of the next release; zero: when something is heard
	reported   bool
}

// doubt is a server that may not have noticed yet that a connection was closed.
type doubt struct {
	server string
	since  time.Time
	leaves bool // once it notices it may have left something there
}

// Ledger keeps the entries. It is not safe for concurrent use.
type Ledger struct {
	entries  map[string]*entry
	owed     []*entry            // in the order in which they came to be owed
	beside   []*entry            // with an attempt out beside what earlier ones left
	unheard  map[string]*unheard // servers that some entry is in doubt about
	inFlight int
	probes   int
	forgot   []Forgotten
	reports  []Report
}

// unheard is a server about which entries are in doubt.
type unheard struct {
	entries []*entry
	probing bool
	retry   time.Duration
	next    time.Time // of the next probe
}

// Forgotten is an entry that left without proof.
type Forgotten struct {
	Request, Key string
	Owed         time.Duration
	Servers      []string
	Why          Why
}

// Why tells why an entry was forgotten.
type Why uint8

// The reasons.
const (
	TooMany Why = iota // the ledger was full
	TooOld             // its servers were not heard for too long
	Stopped            // the router ended
)

func (w Why) String() string {
	return [...]string{"too many owed", "owed for too long", "the router ends"}[w]
}

// Report tells of an entry that has been owed for half of its time.
type Report struct {
	Request, Key string
	Owed         time.Duration
	Releases     int      // that were answered
	Holders      []string // servers that may hold something
	Unheard      []string // servers that may not have noticed a close
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[string]*entry{}, unheard: map[string]*unheard{}}
}

// Owed is how many entries wait for proof with no attempt to come.
func (l *Ledger) Owed() int { return len(l.owed) }

// Len is how many entries there are.
func (l *Ledger) Len() int { return len(l.entries) }

// Began notes that an attempt is sent to a server; reads tells that it leaves a
// state there if it ends well.
func (l *Ledger) Began(key string, terms Terms, server string, reads bool, now time.Time) {
	e := l.open(key, terms)
	e.out++
	l.resume(e)
	e.writes, e.sentAt = !reads, now
	e.stale = reads && len(e.doubts) > 0 && l.unheard[server] != nil
	if reads {
		e.hold(server)
	}
	if e.stale {
		e.readAt = server
		l.beside = append(l.beside, e)
	}
}

// Asked notes that a server is asked for a place.
func (l *Ledger) Asked(key string, terms Terms, server string) {
	e := l.open(key, terms)
	e.asking++
	e.hold(server)
}

func (l *Ledger) open(key string, terms Terms) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{key: key, terms: terms}
		l.entries[key] = e
	}
	return e
}

// resume has an entry owe nothing while its request goes on.
func (l *Ledger) resume(e *entry) {
	e.wanted, e.over, e.streamed, e.calls, e.next = false, false, false, 0, time.Time{}
	l.notOwed(e)
}

func (l *Ledger) notOwed(e *entry) {
	if e.owedAt.IsZero() {
		return
	}
	e.owedAt = time.Time{}
	l.owed = slices.DeleteFunc(l.owed, func(o *entry) bool { return o == e })
}

// hold notes one thing more that a server may hold.
func (e *entry) hold(server string) { e.holders = append(e.holders, server) }

// letGo notes that one of the things that a server might hold is not there: another that it was asked for may be.
func (e *entry) letGo(server string) {
	if i := slices.Index(e.holders, server); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	}
}

// letAllGo notes that a server holds nothing.
func (e *entry) letAllGo(server string) {
	e.holders = slices.DeleteFunc(e.holders, func(s string) bool { return s == server })
}

// ReadEnded notes how an attempt ended that reads.
func (l *Ledger) ReadEnded(key, server string, end End, now time.Time) {
	if e := l.attemptEnded(key); e != nil {
		if end.leavesNothing() {
			e.letGo(server)
		}
		l.ended(e, doubt{server, now, true}, end)
	}
}

// WriteEnded notes how an attempt ended that answers. What it waited for may
// still be held elsewhere, unless its answer had begun.
func (l *Ledger) WriteEnded(key, server string, end End, now time.Time) {
	e := l.attemptEnded(key)
	switch {
	case e == nil:
	case e.streamed: // nothing waits for it
		l.schedule(e, now)
	default:
		l.ended(e, doubt{server, now, false}, end)
	}
}

func (l *Ledger) attemptEnded(key string) *entry {
	e := l.entries[key]
	if e == nil || e.out == 0 {
		return nil
	}
	e.out--
	l.notBeside(e)
	return e
}

// notBeside notes that nothing is to be let go any more beside the attempt that is out.
func (l *Ledger) notBeside(e *entry) {
	if e.stale {
		e.stale, e.besideDue = false, time.Time{}
		l.beside = slices.DeleteFunc(l.beside, func(o *entry) bool { return o == e })
	}
}

// Placed notes how the asking for a place ended; held tells that it may be held.
func (l *Ledger) Placed(key, server string, end End, held bool, now time.Time) {
	e := l.entries[key]
	if e == nil || e.asking == 0 {
		return
	}
	e.asking--
	switch {
	case !held:
		e.letGo(server)
	case e.streamed: // what was held went with the stream, but this came without it
		e.hold(server)
	}
	l.ended(e, doubt{server, now, true}, end)
}

// ended notes the end of an attempt, or of the asking for a place; d is the doubt that it leaves if its connection
// was closed.
func (l *Ledger) ended(e *entry, d doubt, end End) {
	now := d.since
	if end != NeverArrived {
		e.quietAt, e.settledAt, e.calls = now, later(e.settledAt, now), 0
	}
	if end == Closed {
		l.doubt(e, d, now.Add(e.grace()))
	}
	l.schedule(e, now)
}

// doubt notes that a server may not have noticed a close; from a time on it is worth asking.
func (l *Ledger) doubt(e *entry, d doubt, probe time.Time) {
	e.doubts = append(e.doubts, d)
	u := l.unheard[d.server]
	if u == nil {
		u = &unheard{next: probe}
		l.unheard[d.server] = u
	}
	if !slices.Contains(u.entries, e) {
		u.entries = append(u.entries, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Streaming notes the first event of the answer, with which all goes that is
// held: but what servers that did not notice a close may still come to hold.
func (l *Ledger) Streaming(key string, now time.Time) {
	e := l.entries[key]
	if e == nil {
		return
	}
	l.notBeside(e)
	e.streamed, e.wanted, e.holders = true, true, nil
	if now.Before(e.settledAt) { // a server that was heard a moment ago may still leave something
		e.holders = e.lately
	}
	l.schedule(e, now)
}

// Want notes that all is to be let go although an attempt may be out, or may
// follow. It returns a release to be made at once, which proves nothing, where
// an attempt is out; else the release comes from Due, or from Flush.
func (l *Ledger) Want(key string, now time.Time) []Call {
	e := l.entries[key]
	if e == nil {
		return nil
	}
	if e.out > 0 && !e.streamed {
		return l.release(e)
	}
	e.wanted = true
	return nil
}

// Flush returns the release that has to be made before an entry's next attempt.
func (l *Ledger) Flush(key string) []Call {
	e := l.entries[key]
	if e == nil || !e.wanted || e.releasing > 0 || len(e.holders)+len(e.doubts) == 0 {
		return nil
	}
	calls := l.release(e)
	for i := range calls {
		calls[i].Flush = true
		if e.terms.Shared { // whoever answers soonest
			calls[i].Servers = nil
		}
		for _, d := range e.doubts {
			calls[i].After = later(calls[i].After, d.since.Add(e.grace()))
		}
	}
	return calls
}

// Settle schedules the release of an entry that is wanted, and has not gone on.
func (l *Ledger) Settle(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		l.schedule(e, now)
	}
}

// Over notes that no attempt follows.
func (l *Ledger) Over(key string, now time.Time) {
	if e := l.entries[key]; e != nil {
		e.wanted, e.over = true, true
		l.schedule(e, now)
	}
}

// schedule sets when an entry's next release is made, and drops an entry that
// holds nothing.
func (l *Ledger) schedule(e *entry, now time.Time) {
	if !e.wanted || e.out > 0 && !e.streamed && !e.over {
		return
	}
	if len(e.holders) == 0 && len(e.doubts) == 0 {
		if e.asking == 0 && e.releasing == 0 {
			l.drop(e)
		}
		return
	}
	if e.owedAt.IsZero() {
		e.owedAt = now
		l.owed = append(l.owed, e)
		if len(l.owed) > maxOwed {
			l.forget(l.owed[0], TooMany, now)
		}
	}
	if e.releasing > 0 {
		return
	}
	switch {
	case e.streamed && len(e.holders) == 0 && len(e.doubts) > 0:
		e.next = time.Time{} // nothing can be there before the server runs
	case e.asking > 0 && e.calls == 1: // a place may have been granted, and its answer be lost
		e.next = later(now, e.besideAt())
	case e.asking > 0 && e.calls > 1 || e.out > 0 && !e.streamed && e.calls > 1:
		e.next = time.Time{} // a place that is still asked for may come yet, or an attempt that nobody calls off
	case e.calls == 0:
		e.next = later(now, e.settledAt)
		if len(e.doubts) > 0 {
			e.next = later(now, e.quietAt.Add(e.grace()))
		}
	case len(e.doubts) > 0 && e.calls > maxRepeats:
		e.next = time.Time{}
	case len(e.doubts) > 0 && e.calls > 1: // what it spared may have been left by now, unheard
		e.next = later(now, e.releasedAt.Add(e.besideSpan()))
	default:
		e.next = later(e.settledAt, e.quietAt.Add(time.Duration(repeatPart*float64(e.pin()))))
	}
}

func (e *entry) pin() time.Duration {
	if e.terms.Pin > 0 {
		return e.terms.Pin
	}
	return defaultPin
}

// grace is for how long a server may take to notice a close; a short pin limit leaves less room to allow for it.
func (e *entry) grace() time.Duration { return min(NoticeGrace, e.pin()/4) }

func (l *Ledger) drop(e *entry) {
	for _, d := range e.doubts {
		l.forgetDoubt(e, d.server)
	}
	l.notOwed(e)
	l.notBeside(e)
	delete(l.entries, e.key)
}

func (l *Ledger) forgetDoubt(e *entry, server string) {
	if u := l.unheard[server]; u != nil {
		u.entries = slices.DeleteFunc(u.entries, func(o *entry) bool { return o == e })
		if len(u.entries) == 0 && !u.probing {
			delete(l.unheard, server)
		}
	}
}

// release makes an entry's calls: one where it is shared, else one for each holder.
func (l *Ledger) release(e *entry) []Call {
	e.next = time.Time{}
	if e.terms.Shared {
		e.releasing++
		l.inFlight++
		return []Call{{Key: e.key, Servers: e.heardHolders()}}
	}
	calls := make([]Call, 0, len(e.holders))
	for _, server := range e.where() {
		e.releasing++
		l.inFlight++
		calls = append(calls, Call{Key: e.key, Servers: []string{server}})
	}
	return calls
}

// heardHolders is which servers may hold something and are not in doubt: one that hangs would keep the release waiting.
func (e *entry) heardHolders() []string {
	return slices.DeleteFunc(e.where(), func(server string) bool {
		return slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.server == server })
	})
}

// where is which servers may hold something, those that hold it by now first.
func (e *entry) where() []string {
	var list []string
	for _, server := range e.holders {
		if !slices.Contains(list, server) {
			list = append(list, server)
		}
	}
	for _, d := range e.doubts {
		if !slices.Contains(list, d.server) {
			list = append(list, d.server)
		}
	}
	return list
}
