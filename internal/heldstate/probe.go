package heldstate

import (
	"maps"
	"slices"
	"time"
)

// unconfirmedServer is a server whose answer entries or compact holdings wait for.
type unconfirmedServer struct {
	entries      []*entry
	compact      []compactHolding // the oldest first
	restorableBy exchange         // the answer after which they can be restored, while the ledger lacks capacity; zero: none
	probing      bool             // a probe is in flight
	retryDelay   time.Duration
	nextProbeAt  time.Time
}

// exchange is a call that a server has answered.
type exchange struct{ sentAt, answeredAt time.Time }

// confirmsRunSince reports whether the exchange shows that the server has run for the grace since a connection was closed, so
// that it has observed the close unless that was lost.
func (x exchange) confirmsRunSince(closedAt time.Time, grace time.Duration) bool {
	return !x.sentAt.Before(closedAt.Add(grace))
}

// confirmedAt returns the function that gives for an entry's holding when the exchange confirmed that its server has run;
// zero: it did not.
func (x exchange) confirmedAt(e *entry) func(*holding) time.Time {
	return func(h *holding) time.Time {
		if !x.confirmsRunSince(h.closedAt, e.closeGrace()) {
			return time.Time{}
		}
		return x.answeredAt
	}
}

// UnconfirmedServers returns the servers whose answer entries or compact holdings wait for, sorted.
func (l *Ledger) UnconfirmedServers() []string { return slices.Sorted(maps.Keys(l.unconfirmed)) }

// ServersToMonitor returns the servers whose answers are evidence for some entry, sorted: the unconfirmed ones, and those of
// protected reads.
func (l *Ledger) ServersToMonitor() []string {
	servers := slices.Collect(maps.Keys(l.unconfirmed))
	for _, e := range l.queue {
		if server := e.protectedReader(); server != "" {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// applyReaderLiveness records that the server of a protected read has answered a call: when that was sent the read had not
// been answered, since its answer would have arrived too.
func (l *Ledger) applyReaderLiveness(e *entry) {
	if server := e.protectedReader(); server != "" {
		e.markLimitClear(l.answeredCallSentAt[server])
	}
}

// nextLivenessProbe returns when the server of a protected read is probed; zero: no probe is needed or allowed.
func (l *Ledger) nextLivenessProbe(e *entry) time.Time {
	server := e.protectedReader()
	switch {
	case server == "" || e.releaseRequested || e.limitClearAtProbe.Equal(e.limitClearUntil):
		return time.Time{}
	case !e.terms.Shared || !e.terms.PreservesWaiting || l.livenessProbes[server] || len(l.livenessProbes) >= maxLivenessProbes:
		return time.Time{}
	}
	return e.limitClearUntil.Add(e.pinPart(livenessPart))
}

// livenessProbe returns a probe of the server of a protected read.
func (l *Ledger) livenessProbe(e *entry) ReleaseCall {
	server := e.protectedReader()
	e.limitClearAtProbe = e.limitClearUntil
	l.livenessProbes[server] = true
	return ReleaseCall{Servers: []string{server}, Probe: true, Liveness: true}
}

// dueProbes returns a probe of each unconfirmed server that is due: the release of something that it may hold, which that
// server itself has to answer. At most one is in flight for each server.
func (l *Ledger) dueProbes(now time.Time) []ReleaseCall {
	var calls []ReleaseCall
	for _, server := range l.UnconfirmedServers() {
		u := l.unconfirmed[server]
		if u.probing || u.nextProbeAt.After(now) || l.probesInFlight >= maxProbesInFlight {
			continue
		}
		call := ReleaseCall{Servers: []string{server}, Probe: true}
		i := slices.IndexFunc(u.entries, (*entry).needsServerAnswer)
		switch {
		case i >= 0:
			call.Key, call.Concurrent = u.entries[i].key, u.entries[i].concurrentAttempt()
		case len(u.compact) > 0:
			call.Key = u.compact[0].key
		default: // a release by the key of a request that goes on would drop what it needs
			continue
		}
		u.probing = true
		l.probesInFlight++
		calls = append(calls, call)
	}
	return calls
}

// needsServerAnswer reports whether an entry is pending for which only an answer of its server can show more.
func (e *entry) needsServerAnswer() bool {
	return !e.pendingSince.IsZero() && e.releasesInFlight == 0 && e.ackedReleases > 1
}

// nextProbe returns when a probe is due; zero: not before something else has happened.
func (l *Ledger) nextProbe() (next time.Time) {
	if l.probesInFlight >= maxProbesInFlight {
		return next
	}
	for _, u := range l.unconfirmed {
		if !u.probing && (len(u.compact) > 0 || slices.ContainsFunc(u.entries, (*entry).needsServerAnswer)) {
			next = sooner(next, u.nextProbeAt)
		}
	}
	return next
}

// probeEnded records the end of a probe. One that was acknowledged is a release too, at the server itself.
func (l *Ledger) probeEnded(c ReleaseCall, r ReleaseResult, now time.Time) {
	l.probesInFlight--
	server, acked := c.Servers[0], r.Acknowledged
	if e := l.entries[c.Key]; e != nil && acked && c.Concurrent == NoAttempt && !e.attemptInFlight() {
		e.removeReleasedAt(server, r.SentAt)
		l.schedule(e, now)
	}
	u := l.unconfirmed[server]
	if u == nil {
		return
	}
	u.probing = false
	if acked {
		u.retryDelay = 0
		u.nextProbeAt = now.Add(CloseGrace)
	} else {
		u.retryDelay = min(max(2*u.retryDelay, firstProbeDelay), maxProbeDelay)
		u.nextProbeAt = now.Add(u.retryDelay)
	}
	l.dropServerIfUnused(server, u)
}
