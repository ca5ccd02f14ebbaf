package heldstate

import "time"

// dormant is what is kept of a holding at a server that was not heard for so long that further releases prove nothing: enough
// to release it once the server is heard. It has no more fields than that takes, since a long outage may leave tens of thousands.
type dormant struct {
	key     string
	closed  time.Duration // as the holding's, since the ledger's epoch
	left    time.Duration // as the holding's
	pin     time.Duration // as the entry's terms
	kind    kind
	settled bool // a release may not have reached what was held for certain
	spared  bool // as the entry's terms
}

// mayRest tells whether an entry can be kept as dormant holdings: all that may be held is at servers that were not heard. Where
// the entry is shared its key is the request's name too, so that the log still has it.
func (e *entry) mayRest() bool {
	if !e.terms.Shared || !e.over || e.releasing > 0 || e.takes == 0 {
		return false
	}
	for _, h := range e.holdings {
		if h.pending || !h.unheard() {
			return false
		}
	}
	return len(e.holdings) > 0
}

// rest keeps an entry's holdings as dormant ones in its stead.
func (l *Ledger) rest(e *entry, now time.Time) {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	for _, h := range e.holdings {
		u := l.unheard[h.server]
		u.dormant = append(u.dormant, dormant{key: e.key, closed: h.closed.Sub(l.epoch), left: h.left, pin: e.terms.PinLimit,
			kind: h.kind, settled: h.unreached(), spared: e.terms.PreservesWaiting})
		l.dormant++
	}
	l.drop(e)
	for l.dormant > maxDormant {
		l.forgetDormant(LedgerFull, now)
	}
}

// wake has the dormant holdings of a server become entries again, the first first, as far as there is room, and as what was
// heard of the server is of them.
func (l *Ledger) wake(server string, now time.Time) {
	u := l.unheard[server]
	for len(u.dormant) > 0 && len(l.owed) < maxOwed {
		d := u.dormant[0]
		if !u.woken.provesRun(l.epoch.Add(d.closed), d.terms().grace()) {
			u.woken = exchange{}
			return
		}
		u.dormant = u.dormant[1:]
		l.dormant--
		l.reopen(server, d, u.woken, now)
	}
	if len(u.dormant) == 0 {
		u.dormant, u.woken = nil, exchange{}
		l.forgetIfNoneWaits(server, u)
	}
}

// terms are those of the entry that a dormant holding was of.
func (d *dormant) terms() Terms {
	return Terms{Request: d.key, Shared: true, PreservesWaiting: d.spared, PinLimit: d.pin}
}

// reopen makes a dormant holding one of an entry, whose server was heard.
func (l *Ledger) reopen(server string, d dormant, heard exchange, now time.Time) {
	e := l.open(d.key, d.terms())
	h := holding{server: server, kind: d.kind, left: d.left}
	closed := l.epoch.Add(d.closed)
	if d.settled {
		h.settled = closed.Add(e.grace())
	}
	e.over = true
	e.want(closed)
	e.holdings = append(e.holdings, h)
	l.doubt(e, len(e.holdings)-1, closed)
	l.resolve(e, server, now, heard.of(e))
}

// woken is when dormant holdings may become entries again, if there is room; zero: when something else has come.
func (l *Ledger) woken() (at time.Time) {
	if l.dormant == 0 || len(l.owed) >= maxOwed {
		return at
	}
	for _, u := range l.unheard {
		at = sooner(at, u.woken.answered)
	}
	return at
}

// wakeHeard has the dormant holdings of all servers that were heard become entries again.
func (l *Ledger) wakeHeard(now time.Time) {
	if l.dormant == 0 {
		return
	}
	for _, server := range l.UnconfirmedServers() {
		if !l.unheard[server].woken.answered.IsZero() {
			l.wake(server, now)
		}
	}
}

// forgetDormant forgets the dormant holding that has waited for longest of the server with the most.
func (l *Ledger) forgetDormant(why AbandonReason, now time.Time) {
	var server string
	var most *unheard
	for name, u := range l.unheard {
		if most == nil || len(u.dormant) > len(most.dormant) {
			server, most = name, u
		}
	}
	d := most.dormant[0]
	most.dormant = most.dormant[1:]
	l.dormant--
	l.forgot = append(l.forgot, AbandonedEntry{Request: d.key, Key: d.key, PendingFor: now.Sub(l.epoch.Add(d.closed)), Servers: []string{server}, Reason: why})
	l.forgetIfNoneWaits(server, most)
}

// forgetIfNoneWaits forgets a server that nothing waits to hear any more.
func (l *Ledger) forgetIfNoneWaits(server string, u *unheard) {
	if len(u.entries) == 0 && len(u.dormant) == 0 && !u.probing {
		delete(l.unheard, server)
	}
}
