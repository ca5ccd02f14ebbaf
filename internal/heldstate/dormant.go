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
		l.restAt(l.unheard[h.server], dormant{key: e.key, closed: h.closed.Sub(l.epoch), left: h.left, pin: e.terms.Pin,
			kind: h.kind, settled: h.unreached(), spared: e.terms.Spared})
	}
	l.drop(e)
	for l.dormant > maxDormant {
		l.forgetDormant(TooMany, now)
	}
}

func (l *Ledger) restAt(u *unheard, d dormant) {
	u.dormant = append(u.dormant, d)
	l.dormant++
}

// wake has the dormant holdings of a server become entries again, the first first, as far as there is room.
func (l *Ledger) wake(server string, now time.Time) {
	u := l.unheard[server]
	for len(u.dormant) > 0 && len(l.owed) < maxOwed {
		d := u.dormant[0]
		u.dormant = u.dormant[1:]
		l.dormant--
		l.reopen(server, d, u.wokenAt, now)
	}
	if len(u.dormant) == 0 {
		u.dormant, u.wokenAt = nil, time.Time{}
		l.forgetIfNoneWaits(server, u)
	}
}

// reopen makes a dormant holding one of an entry, whose server was heard at a time.
func (l *Ledger) reopen(server string, d dormant, heard, now time.Time) {
	e := l.open(d.key, Terms{Request: d.key, Shared: true, Spared: d.spared, Pin: d.pin})
	h := holding{server: server, kind: d.kind, left: d.left, closed: l.epoch.Add(d.closed)}
	e.over = true
	e.want(h.closed)
	if d.settled {
		h.settled = h.closed.Add(e.grace())
	}
	h.heard(heard, heard.Add(e.grace()), e.grace())
	e.holdings = append(e.holdings, h)
	l.schedule(e, now)
}

// woken is when dormant holdings may become entries again, if there is room; zero: when something else has come.
func (l *Ledger) woken() (at time.Time) {
	if l.dormant == 0 || len(l.owed) >= maxOwed {
		return at
	}
	for _, u := range l.unheard {
		at = sooner(at, u.wokenAt)
	}
	return at
}

// wakeHeard has the dormant holdings of all servers that were heard become entries again.
func (l *Ledger) wakeHeard(now time.Time) {
	if l.dormant == 0 {
		return
	}
	for _, server := range l.Unheard() {
		if !l.unheard[server].wokenAt.IsZero() {
			l.wake(server, now)
		}
	}
}

// forgetDormant forgets the dormant holding that has waited for longest of the server with the most.
func (l *Ledger) forgetDormant(why Why, now time.Time) {
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
	l.forgot = append(l.forgot, Forgotten{Request: d.key, Key: d.key, Owed: now.Sub(l.epoch.Add(d.closed)), Servers: []string{server}, Why: why})
	l.forgetIfNoneWaits(server, most)
}

// forgetIfNoneWaits forgets a server that nothing waits to hear any more.
func (l *Ledger) forgetIfNoneWaits(server string, u *unheard) {
	if len(u.entries) == 0 && len(u.dormant) == 0 && !u.probing {
		delete(l.unheard, server)
	}
}
