package heldstate

import "time"

// compactHolding is what is kept of a holding whose server has not answered for so long that further releases show nothing:
// enough to release it once the server answers. It has no further fields, since a long outage may leave tens of thousands.
type compactHolding struct {
	key                string
	closedAt           time.Duration // as the holding's, since the ledger's epoch
	timeout            time.Duration // as the holding's
	pinLimit           time.Duration // as the entry's terms
	kind               kind
	releaseUnconfirmed bool // held for certain, but a release may not have reached it
	preservesWaiting   bool // as the entry's terms
}

// canCompact reports whether an entry can be replaced by compact holdings: all that may be held is at servers that have not
// answered. A shared entry's key is the request's name too, so that the log still has it.
func (e *entry) canCompact() bool {
	if !e.terms.Shared || !e.requestEnded || e.releasesInFlight > 0 || e.ackedReleases == 0 {
		return false
	}
	for _, h := range e.holdings {
		if h.inFlight || !h.unconfirmed() {
			return false
		}
	}
	return len(e.holdings) > 0
}

// compact replaces an entry by compact holdings. Beyond the bound, the oldest of them is abandoned.
func (l *Ledger) compact(e *entry, now time.Time) {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	for _, h := range e.holdings {
		u := l.unconfirmed[h.server]
		u.compact = append(u.compact, compactHolding{key: e.key, closedAt: h.closedAt.Sub(l.epoch), timeout: h.timeout, pinLimit: e.terms.PinLimit,
			kind: h.kind, releaseUnconfirmed: h.releaseUnconfirmed(), preservesWaiting: e.terms.PreservesWaiting})
		l.compactCount++
	}
	l.drop(e)
	for l.compactCount > maxCompact {
		l.abandonOldestCompact(LedgerFull, now)
	}
}

// restore makes entries of a server's compact holdings, the oldest first, as long as the ledger has capacity and the server's
// answer shows that it has run since the close.
func (l *Ledger) restore(server string, now time.Time) {
	u := l.unconfirmed[server]
	for len(u.compact) > 0 && len(l.pending) < maxPending {
		c := u.compact[0]
		if !u.restorableBy.confirmsRunSince(l.epoch.Add(c.closedAt), c.terms().closeGrace()) {
			u.restorableBy = exchange{}
			return
		}
		u.compact = u.compact[1:]
		l.compactCount--
		l.restoreEntry(server, c, u.restorableBy, now)
	}
	if len(u.compact) == 0 {
		u.compact, u.restorableBy = nil, exchange{}
		l.dropServerIfUnused(server, u)
	}
}

// terms returns the terms of the holding's former entry.
func (c *compactHolding) terms() Terms {
	return Terms{Request: c.key, Shared: true, PreservesWaiting: c.preservesWaiting, PinLimit: c.pinLimit}
}

// restoreEntry makes a compact holding, whose server has answered, part of an entry again.
func (l *Ledger) restoreEntry(server string, c compactHolding, answer exchange, now time.Time) {
	e := l.open(c.key, c.terms())
	h := holding{server: server, kind: c.kind, timeout: c.timeout}
	closedAt := l.epoch.Add(c.closedAt)
	if c.releaseUnconfirmed {
		h.releasableFrom = closedAt.Add(e.closeGrace())
	}
	e.requestEnded = true
	e.requestRelease(closedAt)
	e.holdings = append(e.holdings, h)
	l.markUnconfirmed(e, len(e.holdings)-1, closedAt)
	l.confirmServer(e, server, now, answer.confirmedAt(e))
}

// nextRestore returns when compact holdings can be restored, if the ledger has capacity; zero: not before a server answers or
// an entry leaves.
func (l *Ledger) nextRestore() (at time.Time) {
	if l.compactCount == 0 || len(l.pending) >= maxPending {
		return at
	}
	for _, u := range l.unconfirmed {
		at = sooner(at, u.restorableBy.answeredAt)
	}
	return at
}

// restoreDue restores the compact holdings of all servers that have answered.
func (l *Ledger) restoreDue(now time.Time) {
	if l.compactCount == 0 {
		return
	}
	for _, server := range l.UnconfirmedServers() {
		if !l.unconfirmed[server].restorableBy.answeredAt.IsZero() {
			l.restore(server, now)
		}
	}
}

// abandonOldestCompact abandons the oldest compact holding of the server that has the most.
func (l *Ledger) abandonOldestCompact(reason AbandonReason, now time.Time) {
	var server string
	var most *unconfirmedServer
	for name, u := range l.unconfirmed {
		if most == nil || len(u.compact) > len(most.compact) {
			server, most = name, u
		}
	}
	c := most.compact[0]
	most.compact = most.compact[1:]
	l.compactCount--
	l.abandoned = append(l.abandoned, AbandonedEntry{Request: c.key, Key: c.key, PendingFor: now.Sub(l.epoch.Add(c.closedAt)), Servers: []string{server}, Reason: reason})
	l.dropServerIfUnused(server, most)
}

// dropServerIfUnused drops a server whose answer no entry, compact holding or probe waits for.
func (l *Ledger) dropServerIfUnused(server string, u *unconfirmedServer) {
	if len(u.entries) == 0 && len(u.compact) == 0 && !u.probing {
		delete(l.unconfirmed, server)
	}
}
