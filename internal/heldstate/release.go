package heldstate

import (
	"maps"
	"slices"
	"time"
)

// Due returns the releases to be made now.
func (l *Ledger) Due(now time.Time) []Call {
	var calls []Call
	for _, e := range slices.Clone(l.owed) {
		if now.Sub(e.owedAt) > maxAge {
			l.forget(e, TooOld, now)
			continue
		}
		l.report(e, now)
		if e.releasing == 0 && !e.next.IsZero() && !e.next.After(now) && l.inFlight < maxReleases {
			calls = append(calls, l.release(e)...)
		}
	}
	for _, e := range slices.Clone(l.beside) {
		if !e.besideAt().After(now) {
			l.notBeside(e)
			calls = append(calls, l.release(e)...)
		}
	}
	return append(calls, l.dueProbes(now)...)
}

// besideAt is when a release is made beside a read that is still out. What was written to a server that is silent
// has not arrived, and does not stop the clock of what earlier attempts left; what the read itself waits for is spared.
func (e *entry) besideAt() time.Time {
	if !e.besideDue.IsZero() {
		return e.besideDue
	}
	return e.quietAt.Add(e.besideSpan())
}

// besideSpan is how long an attempt has to arrive before anything is let go beside it.
func (e *entry) besideSpan() time.Duration { return time.Duration(besidePart * float64(e.pin())) }

// Stale tells whether a read is out at a server that is in doubt itself, beside what an earlier attempt may leave. Such
// a read is best sent by a new connection: once that is up the read arrives.
func (l *Ledger) Stale(key string) bool {
	e := l.entries[key]
	return e != nil && e.stale
}

// Beside is at which servers reads are out beside what earlier attempts left, and may not have arrived.
func (l *Ledger) Beside() []string {
	var list []string
	for _, e := range l.beside {
		if e.besideDue.IsZero() {
			list = append(list, e.readAt)
		}
	}
	return list
}

// Reached notes that a server answered, or a connection to it came up, at a time: what was sent to it about then has
// arrived. A release beside a read that has would cost its request the state.
func (l *Ledger) Reached(server string, at time.Time) {
	for _, e := range slices.Clone(l.beside) {
		if e.besideDue.IsZero() && e.readAt == server && !at.Before(e.sentAt) {
			l.notBeside(e)
		}
	}
}

// Busy tells whether Due may have something in time.
func (l *Ledger) Busy() bool { return len(l.owed) > 0 || len(l.beside) > 0 || len(l.unheard) > 0 }

// dueProbes returns a call to each server that entries wait to hear, if none is
// out: the release of one of them, which that server alone is to answer.
func (l *Ledger) dueProbes(now time.Time) []Call {
	var calls []Call
	for _, server := range l.Unheard() {
		u := l.unheard[server]
		if u.probing || u.next.After(now) || l.probes >= maxProbes {
			continue
		}
		// A release by the key of a request that goes on would let go of what it needs.
		i := slices.IndexFunc(u.entries, func(e *entry) bool { return e.waitsToHear() })
		if i >= 0 {
			u.probing = true
			l.probes++
			calls = append(calls, Call{Key: u.entries[i].key, Servers: []string{server}, Probe: true})
		}
	}
	return calls
}

// waitsToHear tells whether an entry is owed of which only a server's being heard can prove anything.
func (e *entry) waitsToHear() bool {
	return !e.owedAt.IsZero() && e.releasing == 0 && (e.calls > 1 || e.next.IsZero())
}

// Next is when Due may have something; zero: when something else has come.
func (l *Ledger) Next() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, e := range l.beside {
		sooner(e.besideAt())
	}
	for _, e := range l.owed {
		if e.releasing == 0 && l.inFlight < maxReleases {
			sooner(e.next)
		}
		if !e.reported {
			sooner(e.owedAt.Add(e.evidenceAfter()))
		}
	}
	if len(l.owed) > 0 && l.probes < maxProbes {
		for _, u := range l.unheard {
			if !u.probing && slices.ContainsFunc(u.entries, (*entry).waitsToHear) {
				sooner(u.next)
			}
		}
	}
	return next
}

// Result is how a call went.
type Result struct {
	Taken  bool      // a server answered that it has let go
	Server string    // which one
	Sent   time.Time // when it was asked
	Silent []string  // servers that were asked before it and did not answer
}

// Released notes how a call went.
func (l *Ledger) Released(c Call, r Result, now time.Time) {
	if r.Taken {
		l.Heard(r.Server, r.Sent, now, now)
	}
	if c.Probe {
		l.probed(c.Servers[0], r.Taken, now)
		return
	}
	l.inFlight--
	e := l.entries[c.Key]
	if e == nil {
		return
	}
	e.releasing--
	if !r.Taken {
		e.retry = min(max(2*e.retry, firstRetry), maxRetry)
		l.schedule(e, now)
		if !e.owedAt.IsZero() {
			e.next = now.Add(e.retry)
		}
		return
	}
	e.retry, e.releasedAt = 0, now
	if !r.Sent.Before(e.quietAt) { // else it was sent beside an attempt that has ended since
		e.calls++
	}
	for _, server := range r.Silent {
		l.doubtReach(e, server, now)
	}
	if len(e.doubts) == 0 && c.Flush { // the attempt that is out was written after it
		l.notBeside(e)
	}
	if len(e.doubts) == 0 && (e.out == 0 || e.streamed) && e.asking == 0 && !r.Sent.Before(e.settledAt) {
		l.let(e, r)
	}
	l.schedule(e, now)
}

// doubtReach notes that a server that may hold something did not answer a release: another that took it may not have
// reached it.
func (l *Ledger) doubtReach(e *entry, server string, now time.Time) {
	known := slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.server == server })
	if slices.Contains(e.holders, server) && !known {
		l.doubt(e, doubt{server, now, true}, now)
	}
}

// let takes out what a release that nothing waited beside has let go of: all where the entry is shared.
func (l *Ledger) let(e *entry, r Result) {
	if e.terms.Shared {
		e.holders = nil
	} else {
		e.letAllGo(r.Server)
	}
}

// probed notes the end of a probe.
func (l *Ledger) probed(server string, answered bool, now time.Time) {
	l.probes--
	u := l.unheard[server]
	if u == nil {
		return
	}
	u.probing = false
	if answered {
		u.retry = 0
		u.next = now.Add(NoticeGrace)
	} else {
		u.retry = min(max(2*u.retry, firstProbe), maxProbe)
		u.next = now.Add(u.retry)
	}
	if len(u.entries) == 0 {
		delete(l.unheard, server)
	}
}

// Heard notes that a server answered a call that was sent at a time. It ran
// since: it notices what was closed before within the grace.
func (l *Ledger) Heard(server string, sent, answered, now time.Time) {
	u := l.unheard[server]
	if u == nil {
		return
	}
	for _, e := range slices.Clone(u.entries) {
		l.resolve(e, server, answered, now, func(d doubt) bool { return !sent.Before(d.since.Add(e.grace())) })
	}
}

// Gone notes that a server has left the list, or has started anew: nothing
// waits there, and nothing is held there.
func (l *Ledger) Gone(server string, now time.Time) {
	if u := l.unheard[server]; u != nil {
		for _, e := range slices.Clone(u.entries) {
			l.resolve(e, server, now, now, func(doubt) bool { return true })
		}
	}
	for _, e := range slices.Clone(l.owed) {
		if !e.terms.Shared && slices.Contains(e.holders, server) {
			e.letAllGo(server)
			l.schedule(e, now)
		}
	}
}

// resolve ends an entry's doubts about a server.
func (l *Ledger) resolve(e *entry, server string, answered, now time.Time, ended func(doubt) bool) {
	was, leaves := len(e.doubts), false
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool {
		over := d.server == server && ended(d)
		leaves = leaves || over && d.leaves
		return over
	})
	if len(e.doubts) == was {
		return
	}
	if !slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.server == server }) {
		l.forgetDoubt(e, server)
	}
	settledAt := answered.Add(e.grace())
	if leaves {
		if !settledAt.Before(e.settledAt) {
			e.lately = nil
		}
		e.hold(server)
		e.lately = append(e.lately, server)
	}
	e.settledAt = later(e.settledAt, settledAt)
	if leaves && e.out > 0 && e.writes && !e.streamed { // to a server that may be silent; else it is to arrive first
		if !e.stale {
			e.stale = true
			l.beside = append(l.beside, e)
		}
		e.besideDue = later(e.settledAt, e.sentAt.Add(e.besideSpan()))
	}
	e.calls = min(e.calls, 1) // a release is due again, whichever other servers are in doubt
	l.schedule(e, now)
}

// Unheard is which servers entries wait to hear, in order.
func (l *Ledger) Unheard() []string { return slices.Sorted(maps.Keys(l.unheard)) }

// Stop forgets all that is owed.
func (l *Ledger) Stop(now time.Time) {
	for _, e := range slices.Clone(l.owed) {
		l.forget(e, Stopped, now)
	}
}

func (l *Ledger) forget(e *entry, why Why, now time.Time) {
	l.forgot = append(l.forgot, Forgotten{Request: e.terms.Request, Key: e.key, Owed: now.Sub(e.owedAt), Servers: e.where(), Why: why})
	l.drop(e)
}

// Forgotten returns what left without proof since the last call.
func (l *Ledger) Forgotten() []Forgotten {
	list := l.forgot
	l.forgot = nil
	return list
}

func (e *entry) evidenceAfter() time.Duration { return time.Duration(evidencePart * float64(e.pin())) }

// report notes an entry that has been owed for half of its time, once.
func (l *Ledger) report(e *entry, now time.Time) {
	if e.reported || now.Sub(e.owedAt) < e.evidenceAfter() {
		return
	}
	e.reported = true
	r := Report{Request: e.terms.Request, Key: e.key, Owed: now.Sub(e.owedAt), Releases: e.calls, Holders: slices.Compact(slices.Sorted(slices.Values(e.holders)))}
	for _, d := range e.doubts {
		r.Unheard = append(r.Unheard, d.server)
	}
	l.reports = append(l.reports, r)
}

// Reports returns the entries that have been owed for half of their time since the last call.
func (l *Ledger) Reports() []Report {
	list := l.reports
	l.reports = nil
	return list
}
