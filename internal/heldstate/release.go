package heldstate

import (
	"slices"
	"time"
)

// Due returns the releases and probes to send now.
func (l *Ledger) Due(now time.Time) []ReleaseCall {
	l.restoreDue(now)
	calls := l.releaseWaiting(now)
	for len(l.queue) > 0 && !l.queue[0].nextActionAt.After(now) {
		calls = append(calls, l.act(l.queue[0], now)...)
	}
	return append(calls, l.dueProbes(now)...)
}

// releaseWaiting returns the releases that became due while the maximum was in flight, as far as that allows, in the order in
// which they became due.
func (l *Ledger) releaseWaiting(now time.Time) (calls []ReleaseCall) {
	waiting := l.waiting
	for l.waiting = nil; len(waiting) > 0 && l.releasesInFlight < maxReleasesInFlight; waiting = waiting[1:] {
		e := waiting[0]
		e.waitingForSlot = false
		if l.entries[e.key] == e {
			calls = append(calls, l.act(e, now)...)
		}
	}
	l.waiting = waiting
	return calls
}

// act returns the calls that are due for an entry, and sets the time of its next action.
func (l *Ledger) act(e *entry, now time.Time) (calls []ReleaseCall) {
	if !e.pendingSince.IsZero() {
		l.report(e, now)
	}
	if l.dropIfEmpty(e, now) {
		return nil
	}
	l.applyReaderLiveness(e)
	if at := l.nextLivenessProbe(e); !at.IsZero() && !at.After(now) {
		calls = append(calls, l.livenessProbe(e))
	}
	next := e.nextRelease()
	switch {
	case next.IsZero() || next.After(now):
	case e.waitingForSlot:
	case l.releasesInFlight >= maxReleasesInFlight || len(l.waiting) > 0:
		l.waiting, e.waitingForSlot = append(l.waiting, e), true
	default:
		calls = append(calls, l.release(e)...)
	}
	l.queue.set(e, l.nextAction(e))
	return calls
}

// nextAction returns the time of an entry's next action; zero: not before something else has happened.
func (l *Ledger) nextAction(e *entry) time.Time {
	at := l.nextLivenessProbe(e)
	if !e.waitingForSlot {
		at = sooner(at, e.nextRelease())
	}
	if e.pendingSince.IsZero() {
		return at
	}
	return sooner(at, e.reportAt)
}

// MayBeDue reports whether Due may have calls to return, now or later.
func (l *Ledger) MayBeDue() bool {
	return len(l.queue) > 0 || len(l.waiting) > 0 || len(l.unconfirmed) > 0
}

// Next returns when Due may next return calls; zero: not before another event.
func (l *Ledger) Next() time.Time {
	var next time.Time
	if len(l.queue) > 0 {
		next = l.queue[0].nextActionAt
	}
	return sooner(sooner(next, l.nextProbe()), l.nextRestore())
}

// ReleaseResult is the outcome of a call.
type ReleaseResult struct {
	Acknowledged bool      // a server answered that it has released
	Server       string    // the one that acknowledged
	SentAt       time.Time // when that server was asked
	Unresponsive []string  // servers that were asked before it and did not answer
}

// ReleaseEnded records the outcome of a call.
func (l *Ledger) ReleaseEnded(c ReleaseCall, r ReleaseResult, now time.Time) {
	if r.Acknowledged {
		l.ServerAnswered(r.Server, r.SentAt, now, now)
	}
	switch {
	case c.Liveness:
		delete(l.livenessProbes, c.Servers[0])
		return
	case c.Probe:
		l.probeEnded(c, r, now)
		return
	}
	l.releasesInFlight--
	e := l.entries[c.Key]
	if e == nil {
		return
	}
	e.releasesInFlight--
	if r.Acknowledged {
		l.releaseAcked(e, c, r, now)
	} else {
		e.round.failed = true
	}
	if e.releasesInFlight == 0 {
		e.endRound(now)
	}
	l.schedule(e, now)
}

// releaseAcked records that a server has acknowledged a release. Whatever the servers preserved then had an attempt in flight,
// so that the pin limit restarted in either case.
func (l *Ledger) releaseAcked(e *entry, c ReleaseCall, r ReleaseResult, now time.Time) {
	e.round.firstSentAt = sooner(e.round.firstSentAt, r.SentAt)
	for _, server := range r.Unresponsive {
		l.markReleaseUnconfirmed(e, server, r.SentAt)
	}
	e.releaseMayHaveMissed = slices.ContainsFunc(e.holdings, func(h holding) bool { return h.releaseUnconfirmed() })
	switch {
	case c.Concurrent == NoAttempt:
		e.removeReleasedBy(r.Server, r.SentAt)
	case c.Concurrent == ReadInFlight && e.terms.Shared && e.releasableBy(r.SentAt):
		e.setReadProtected(true)
	}
}

// markReleaseUnconfirmed records that a server that may hold something did not answer a release: the one that acknowledged it
// may not have reached this server. There is no close to observe, so what it holds is released again once it has answered any
// call that was sent later.
func (l *Ledger) markReleaseUnconfirmed(e *entry, server string, sentAt time.Time) {
	for i := range e.holdings {
		if h := &e.holdings[i]; h.server == server && !h.inFlight && h.closedAt.IsZero() {
			l.markUnconfirmed(e, i, sentAt.Add(-e.closeGrace()))
		}
	}
}

// endRound records that all releases that were sent together have ended. Where each holder is asked for itself, the pin limit
// restarted only if all of them acknowledged.
func (e *entry) endRound(now time.Time) {
	if e.round.failed {
		e.retryDelay = min(max(2*e.retryDelay, firstRetryDelay), maxRetryDelay)
		e.retryAt = now.Add(e.retryDelay)
		return
	}
	e.retryDelay, e.retryAt = 0, time.Time{}
	e.markLimitClear(e.round.firstSentAt)
	e.ackedReleaseSentAt = later(e.ackedReleaseSentAt, e.round.firstSentAt)
	e.ackedReleases++
}

// ServerAnswered records that a server answered a call that was sent at a time. The server has run since, and observes within
// the grace what was closed before, unless that close was lost.
func (l *Ledger) ServerAnswered(server string, sentAt, answeredAt, now time.Time) {
	if len(l.answeredCallSentAt) >= maxAnsweredServers {
		clear(l.answeredCallSentAt)
	}
	l.answeredCallSentAt[server] = later(l.answeredCallSentAt[server], sentAt)
	u := l.unconfirmed[server]
	if u == nil {
		return
	}
	answer := exchange{sentAt, answeredAt}
	for _, e := range slices.Clone(u.entries) {
		l.confirmServer(e, server, now, answer.confirmedAt(e))
	}
	if len(u.compact) > 0 {
		u.restorableBy = answer
	}
}

// ServerRemoved records that a server was removed or has restarted: nothing waits or is held there.
func (l *Ledger) ServerRemoved(server string, now time.Time) {
	delete(l.answeredCallSentAt, server)
	if u := l.unconfirmed[server]; u != nil {
		for _, e := range slices.Clone(u.entries) {
			e.markAttemptsEnded(server)
			l.confirmServer(e, server, now, func(*holding) time.Time { return now })
		}
		if len(u.compact) > 0 {
			for i := range u.compact {
				u.compact[i].timeout = 0
			}
			u.restorableBy = exchange{now.Add(CloseGrace), now}
		}
	}
	for _, e := range slices.Clone(l.pending) {
		if e.markAttemptsEnded(server) {
			l.schedule(e, now)
		}
		if !e.terms.Shared {
			e.holdings = slices.DeleteFunc(e.holdings, func(h holding) bool { return h.server == server && !h.inFlight })
			l.schedule(e, now)
		}
	}
}

// confirmServer records that a server has run since a close, or since a release that it did not answer; confirmedAt gives for
// each holding when that is known, zero if it is not. What waited there ends within the grace, or leaves its state; a close
// may be observed later than it should, so that the last release follows no sooner than 0.4 of the pin limit after the close.
func (l *Ledger) confirmServer(e *entry, server string, now time.Time, confirmedAt func(*holding) time.Time) {
	confirmed := false
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.server != server || !h.unconfirmed() {
			continue
		}
		if at := confirmedAt(h); !at.IsZero() {
			h.confirmRunning(at, later(at.Add(e.closeGrace()), h.closedAt.Add(e.pinPart(lastReleasePart))), e.closeGrace())
			confirmed = true
		}
	}
	if confirmed {
		l.clearUnconfirmed(e, []string{server})
		e.ackedReleases = 0
		l.schedule(e, now)
	}
}

// Stop abandons all that is pending.
func (l *Ledger) Stop(now time.Time) {
	for _, e := range slices.Clone(l.pending) {
		l.abandon(e, RouterStopped, now)
	}
	for l.compactCount > 0 {
		l.abandonOldestCompact(RouterStopped, now)
	}
}

// abandon removes an entry without evidence.
func (l *Ledger) abandon(e *entry, reason AbandonReason, now time.Time) {
	l.abandoned = append(l.abandoned, AbandonedEntry{Request: e.terms.Request, Key: e.key, PendingFor: now.Sub(e.pendingSince), Servers: e.holders(), Reason: reason})
	l.drop(e)
}
