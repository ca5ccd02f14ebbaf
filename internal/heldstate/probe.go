package heldstate

import (
	"maps"
	"slices"
	"time"
)

// unheard is a server about which entries are in doubt.
type unheard struct {
	entries []*entry
	dormant []dormant // the oldest first
	woken   exchange  // by which it was heard, of dormant holdings that have had no room since; zero: it was not
	probing bool
	retry   time.Duration
	next    time.Time // of the next probe
}

// exchange is a call that a server has answered.
type exchange struct{ sent, answered time.Time }

// provesRun tells whether the server has run since a connection was closed, which it notices within a grace.
func (x exchange) provesRun(closed time.Time, grace time.Duration) bool {
	return !x.sent.Before(closed.Add(grace))
}

// of is when the exchange proves of an entry's holdings that their server has run; zero: it does not.
func (x exchange) of(e *entry) func(*holding) time.Time {
	return func(h *holding) time.Time {
		if !x.provesRun(h.closed, e.grace()) {
			return time.Time{}
		}
		return x.answered
	}
}

// UnconfirmedServers is which servers entries wait to hear, in order.
func (l *Ledger) UnconfirmedServers() []string { return slices.Sorted(maps.Keys(l.unheard)) }

// ServersToMonitor is which servers' being heard may prove something: those that entries wait to hear, and those of reads in flight for
// which all waits that is held.
func (l *Ledger) ServersToMonitor() []string {
	servers := slices.Collect(maps.Keys(l.unheard))
	for _, e := range l.agenda {
		if server := e.soleReader(); server != "" {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// proveByReader notes that the server of a read in flight was heard: the read had not been answered then, and the answer would
// have been heard.
func (l *Ledger) proveByReader(e *entry) {
	if server := e.soleReader(); server != "" {
		e.prove(l.reached[server])
	}
}

// nextReach is when the server of a read in flight is probed; zero: there is no need.
func (l *Ledger) nextReach(e *entry) time.Time {
	server := e.soleReader()
	switch {
	case server == "" || e.wanted || e.probedAt.Equal(e.proven):
		return time.Time{}
	case !e.terms.Shared || !e.terms.PreservesWaiting || l.reaching[server] || len(l.reaching) >= maxReaches:
		return time.Time{}
	}
	return e.proven.Add(e.part(reachPart))
}

// reach has the server of a read in flight probed.
func (l *Ledger) reach(e *entry) ReleaseCall {
	server := e.soleReader()
	e.probedAt = e.proven
	l.reaching[server] = true
	return ReleaseCall{Servers: []string{server}, Probe: true, Liveness: true}
}

// dueProbes returns a call to each server that entries wait to hear, if none is
// in flight: the release of one of them, which that server alone is to answer.
func (l *Ledger) dueProbes(now time.Time) []ReleaseCall {
	var calls []ReleaseCall
	for _, server := range l.UnconfirmedServers() {
		u := l.unheard[server]
		if u.probing || u.next.After(now) || l.probes >= maxProbes {
			continue
		}
		call := ReleaseCall{Servers: []string{server}, Probe: true}
		i := slices.IndexFunc(u.entries, (*entry).waitsToHear)
		switch {
		case i >= 0:
			call.Key, call.Concurrent = u.entries[i].key, u.entries[i].beside()
		case len(u.dormant) > 0:
			call.Key = u.dormant[0].key
		default: // a release by the key of a request that goes on would let go of what it needs
			continue
		}
		u.probing = true
		l.probes++
		calls = append(calls, call)
	}
	return calls
}

// waitsToHear tells whether an entry is owed of which only a server's being heard can prove more.
func (e *entry) waitsToHear() bool {
	return !e.owedAt.IsZero() && e.releasing == 0 && e.takes > 1
}

// nextProbe is when a probe is due; zero: when something else has come.
func (l *Ledger) nextProbe() (next time.Time) {
	if l.probes >= maxProbes {
		return next
	}
	for _, u := range l.unheard {
		if !u.probing && (len(u.dormant) > 0 || slices.ContainsFunc(u.entries, (*entry).waitsToHear)) {
			next = sooner(next, u.next)
		}
	}
	return next
}

// probed notes the end of a probe. One that was answered is a release too, at the server itself.
func (l *Ledger) probed(c ReleaseCall, r ReleaseResult, now time.Time) {
	l.probes--
	server, answered := c.Servers[0], r.Acknowledged
	if e := l.entries[c.Key]; e != nil && answered && c.Concurrent == NoAttempt && !e.inFlight() {
		e.releasedAt(server, r.SentAt)
		l.schedule(e, now)
	}
	u := l.unheard[server]
	if u == nil {
		return
	}
	u.probing = false
	if answered {
		u.retry = 0
		u.next = now.Add(CloseNoticeGrace)
	} else {
		u.retry = min(max(2*u.retry, firstProbe), maxProbe)
		u.next = now.Add(u.retry)
	}
	l.forgetIfNoneWaits(server, u)
}
