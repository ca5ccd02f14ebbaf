package heldstate

import (
	"slices"
	"time"
)

// Due returns the releases to be made now.
func (l *Ledger) Due(now time.Time) []ReleaseCall {
	l.wakeHeard(now)
	calls := l.releaseLine(now)
	for len(l.agenda) > 0 && !l.agenda[0].lookAt.After(now) {
		calls = append(calls, l.look(l.agenda[0], now)...)
	}
	return append(calls, l.dueProbes(now)...)
}

// releaseLine makes the releases that were due while as many were in flight as may be, in the order in which they came to be due.
func (l *Ledger) releaseLine(now time.Time) (calls []ReleaseCall) {
	waiting := l.line
	for l.line = nil; len(waiting) > 0 && l.inFlight < maxReleases; waiting = waiting[1:] {
		e := waiting[0]
		e.inLine = false
		if l.entries[e.key] == e {
			calls = append(calls, l.look(e, now)...)
		}
	}
	l.line = waiting
	return calls
}

// look does what an entry has to do, and sets when it has something to do next.
func (l *Ledger) look(e *entry, now time.Time) (calls []ReleaseCall) {
	if !e.owedAt.IsZero() {
		l.report(e, now)
	}
	if l.dropIfEmpty(e, now) {
		return nil
	}
	l.proveByReader(e)
	if at := l.nextReach(e); !at.IsZero() && !at.After(now) {
		calls = append(calls, l.reach(e))
	}
	next := e.nextRelease()
	switch {
	case next.IsZero() || next.After(now):
	case e.inLine:
	case l.inFlight >= maxReleases || len(l.line) > 0:
		l.line, e.inLine = append(l.line, e), true
	default:
		calls = append(calls, l.release(e)...)
	}
	l.agenda.set(e, l.nextLook(e))
	return calls
}

// nextLook is when an entry has something to do; zero: when something is heard.
func (l *Ledger) nextLook(e *entry) time.Time {
	at := l.nextReach(e)
	if !e.inLine {
		at = sooner(at, e.nextRelease())
	}
	if e.owedAt.IsZero() {
		return at
	}
	return sooner(at, e.reportAt)
}

// MayBeDue tells whether Due may have something in time.
func (l *Ledger) MayBeDue() bool { return len(l.agenda) > 0 || len(l.line) > 0 || len(l.unheard) > 0 }

// Next is when Due may have something; zero: when something else has come.
func (l *Ledger) Next() time.Time {
	var next time.Time
	if len(l.agenda) > 0 {
		next = l.agenda[0].lookAt
	}
	return sooner(sooner(next, l.nextProbe()), l.woken())
}

// ReleaseResult is how a call went.
type ReleaseResult struct {
	Acknowledged bool      // a server answered that it has let go
	Server       string    // which one
	SentAt       time.Time // when it was asked
	Unresponsive []string  // servers that were asked before it and did not answer
}

// ReleaseEnded notes how a call went.
func (l *Ledger) ReleaseEnded(c ReleaseCall, r ReleaseResult, now time.Time) {
	if r.Acknowledged {
		l.ServerAnswered(r.Server, r.SentAt, now, now)
	}
	switch {
	case c.Liveness:
		delete(l.reaching, c.Servers[0])
		return
	case c.Probe:
		l.probed(c, r, now)
		return
	}
	l.inFlight--
	e := l.entries[c.Key]
	if e == nil {
		return
	}
	e.releasing--
	if r.Acknowledged {
		l.taken(e, c, r, now)
	} else {
		e.round.failed = true
	}
	if e.releasing == 0 {
		e.endRound(now)
	}
	l.schedule(e, now)
}

// taken notes that a server has answered a release. What was spared then had an attempt in flight, so that the limit began anew
// in either case.
func (l *Ledger) taken(e *entry, c ReleaseCall, r ReleaseResult, now time.Time) {
	e.round.sent = sooner(e.round.sent, r.SentAt)
	for _, server := range r.Unresponsive {
		l.doubtReach(e, server, r.SentAt)
	}
	e.missed = slices.ContainsFunc(e.holdings, func(h holding) bool { return h.unreached() })
	switch {
	case c.Concurrent == NoAttempt:
		e.releasedBy(r.Server, r.SentAt)
	case c.Concurrent == ReadInFlight && e.terms.Shared && e.settledBy(r.SentAt):
		e.setSole(true)
	}
}

// doubtReach notes that a server that may hold something did not answer a release: another that took it may not have
// reached it. There is no close that it had to notice: what it holds is released again once it is heard.
func (l *Ledger) doubtReach(e *entry, server string, sent time.Time) {
	for i := range e.holdings {
		if h := &e.holdings[i]; h.server == server && !h.pending && h.closed.IsZero() {
			l.doubt(e, i, sent.Add(-e.grace()))
		}
	}
}

// endRound notes that all releases that were made together are over. Where each server is told of what it holds itself, the
// limit began anew only if all of them have answered.
func (e *entry) endRound(now time.Time) {
	if e.round.failed {
		e.retry = min(max(2*e.retry, firstRetry), maxRetry)
		e.retryAt = now.Add(e.retry)
		return
	}
	e.retry, e.retryAt = 0, time.Time{}
	e.prove(e.round.sent)
	e.taken = later(e.taken, e.round.sent)
	e.takes++
}

// ServerAnswered notes that a server answered a call that was sent at a time. It ran
// since: what was closed before it notices within the grace, unless the close
// was lost.
func (l *Ledger) ServerAnswered(server string, sent, answered, now time.Time) {
	if len(l.reached) >= maxReached {
		clear(l.reached)
	}
	l.reached[server] = later(l.reached[server], sent)
	u := l.unheard[server]
	if u == nil {
		return
	}
	heard := exchange{sent, answered}
	for _, e := range slices.Clone(u.entries) {
		l.resolve(e, server, now, heard.of(e))
	}
	if len(u.dormant) > 0 {
		u.woken = heard
	}
}

// ServerRemoved notes that a server has left the list, or has started anew: nothing
// waits there, and nothing is held there.
func (l *Ledger) ServerRemoved(server string, now time.Time) {
	delete(l.reached, server)
	if u := l.unheard[server]; u != nil {
		for _, e := range slices.Clone(u.entries) {
			e.endAttempts(server)
			l.resolve(e, server, now, func(*holding) time.Time { return now })
		}
		if len(u.dormant) > 0 {
			for i := range u.dormant {
				u.dormant[i].left = 0
			}
			u.woken = exchange{now.Add(CloseNoticeGrace), now}
		}
	}
	for _, e := range slices.Clone(l.owed) {
		if e.endAttempts(server) {
			l.schedule(e, now)
		}
		if !e.terms.Shared {
			e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool { return h.server == server && !h.pending })
			l.schedule(e, now)
		}
	}
}

// resolve ends an entry's doubt whether a server has run since it closed a connection to it; heard is when that is known, zero:
// it is not. What waited there is let go, or left, by then; not at once, since a close may be noticed later than it should.
func (l *Ledger) resolve(e *entry, server string, now time.Time, heard func(*holding) time.Time) {
	resolved := false
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.server != server || !h.unheard() {
			continue
		}
		if at := heard(h); !at.IsZero() {
			h.heard(at, later(at.Add(e.grace()), h.closed.Add(e.part(confirmPart))), e.grace())
			resolved = true
		}
	}
	if resolved {
		l.forgetDoubts(e, []string{server})
		e.takes = 0
		l.schedule(e, now)
	}
}

// Stop forgets all that is owed.
func (l *Ledger) Stop(now time.Time) {
	for _, e := range slices.Clone(l.owed) {
		l.forget(e, RouterStopped, now)
	}
	for l.dormant > 0 {
		l.forgetDormant(RouterStopped, now)
	}
}

func (l *Ledger) forget(e *entry, why AbandonReason, now time.Time) {
	l.forgot = append(l.forgot, AbandonedEntry{Request: e.terms.Request, Key: e.key, PendingFor: now.Sub(e.owedAt), Servers: e.where(), Reason: why})
	l.drop(e)
}
