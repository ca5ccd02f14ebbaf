package soak

import (
	"math"
	"net"
	"slices"
	"time"
)

// What is held for a request, as the platform's pages have it: a read's state stays where it was read until a write
// has passed its writer's queue and fetches it, or a held place draws it; a release spares what an attempt that is
// out waits for, as far as its worker has noticed, and does not reach a worker that is cut off.

// held tells whether something is held for a request.
func (q *request) held() bool { return q.stateAt != "" || q.placeAt != "" }

// readOut tells whether a read of a request is out, as its worker sees it; of a worker that is cut off nobody knows.
func (l *Ledger) readOut(q *request) bool {
	return slices.ContainsFunc(q.arrived, func(a arrival) bool { return a.reads && a.over == 0 && !l.isCut(a.worker) })
}

// waited tells whether a write in a writer's queue waits for the state, as far as anybody knows.
func (l *Ledger) waited(q *request) bool {
	return slices.ContainsFunc(q.arrived, func(a arrival) bool { return !a.reads && a.over == 0 && !a.fetched && !l.isCut(a.worker) })
}

// keep notes that a prompt was read: its state waits at its worker, or where a held place has drawn it. With a release beside
// it, it leaves none.
func (l *Ledger) keep(id string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	a := q.arrived[n]
	if a.voided {
		return
	}
	if q.stateAt = a.worker; q.placeAt != "" && !l.isCut(a.worker) && !l.isCut(q.placeAt) {
		q.stateAt = q.placeAt
	}
}

// fetch has a writer whose queue a write has passed take the state; it is false where there is none, or where another
// writer's place has drawn it, or where its worker is cut off.
func (l *Ledger) fetch(id, worker string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	for i := range q.arrived {
		if a := &q.arrived[i]; a.worker == worker && !a.reads && a.over == 0 {
			a.fetched = true
		}
	}
	if q.stateAt == "" || q.placeAt == q.stateAt && q.placeAt != worker || q.stateAt != worker && l.isCut(q.stateAt) {
		return false
	}
	q.stateAt, q.placeAt = "", ""
	return true
}

// first notes an answer's first event, with which all goes that is held and can be reached.
func (l *Ledger) first(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if !l.isCut(q.stateAt) {
		q.stateAt = ""
	}
	if !l.isCut(q.placeAt) {
		q.placeAt = ""
	}
}

// hold has a worker hold a place, if it has room and a read is out. A second place gives the first up.
func (l *Ledger) hold(id, worker string, room bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil || !room || !l.readOut(q) {
		return false
	}
	q.placeAt = worker
	return true
}

// holdUnknown has a worker hold a place although it knows of no read.
func (l *Ledger) holdUnknown(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		return
	}
	if q.placeAt = worker; q.out == 0 && q.heldAt == 0 {
		q.heldAt = l.Now()
	}
}

// release notes that a worker was asked to let go of all. What is at a worker that is cut off stays.
func (l *Ledger) release(id, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releases++
	q := l.requests[id]
	if q == nil || l.waited(q) {
		return
	}
	l.unpin(q, "a release")
	reached := func(at string) bool { return at == by || !l.isCut(at) }
	if q.stateAt != "" && reached(q.stateAt) {
		q.stateAt = ""
	}
	if q.placeAt != "" && reached(q.placeAt) && !l.readOut(q) {
		q.placeAt = ""
	}
	for i := range q.arrived {
		if a := &q.arrived[i]; a.reads && a.over == 0 && reached(a.worker) {
			a.voided = true
		}
	}
	if q.held() && q.out == 0 {
		q.heldAt = l.Now()
	}
}

// allowance is what the platform adds to the settings' pin limit.
const allowance = 300 * time.Millisecond

// unpin judges for how long something was held with no attempt out.
func (l *Ledger) unpin(q *request, by string) {
	if !q.held() || q.heldAt == 0 {
		return
	}
	from := max(q.heldAt, l.cutEnd(q.stateAt), l.cutEnd(q.placeAt), l.answerLost(q))
	if since := l.Now() - from; since > l.terms.Pin+allowance+l.slack() && !l.stoppedBefore(q, from) {
		l.breakLocked("pinned", q.id+" was held for "+since.Round(time.Millisecond).String()+", then came "+by+"; "+l.story(q))
	}
	q.heldAt = 0
}

// stoppedBefore tells whether the process that took a request had been killed, or had ended as late as it may,
// before the time in which it could let go was over: what it left is then its workers' to let go.
func (l *Ledger) stoppedBefore(q *request, from time.Duration) bool {
	life := l.lifeOf(q)
	if life == nil || life.killAt != 0 || life.crashed != "" {
		return true
	}
	return life.endedAt != 0 && from > life.endedAt-l.terms.Pin/2-l.slack()
}

func (l *Ledger) lifeOf(q *request) *routerLife {
	for _, life := range l.lives {
		if life.router == q.router && life.life == q.life {
			return life
		}
	}
	return nil
}

// cut is a time in which a worker was cut off.
type cut struct {
	worker      string
	kind        Kind
	from, until time.Duration
}

// cutOff notes that a worker is cut off by a kind of trouble from now on, and joined that it no longer is.
func (l *Ledger) cutOff(worker string, kind Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, &cut{worker: worker, kind: kind, from: l.Now(), until: math.MaxInt64})
}

func (l *Ledger) joined(worker string, kind Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.cuts {
		if c.worker == worker && c.kind == kind && c.until == math.MaxInt64 {
			c.until = l.Now()
		}
	}
}

// mutedLink is a connection that has fallen silent.
type mutedLink struct{ from, closed time.Duration } // closed by its router; 0: it was not

// muted notes that a connection to a worker falls silent, or that its router has closed it.
func (l *Ledger) muted(worker net.Addr, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.mutes[worker.String()]
	if link == nil {
		link = &mutedLink{from: l.Now()}
		l.mutes[worker.String()] = link
	}
	if closed {
		link.closed = l.Now()
	}
}

// answerLost is until when a read is out for its router on an open connection, since its answer was lost as that alone fell
// silent, with its worker within reach. 0: none is.
func (l *Ledger) answerLost(q *request) time.Duration {
	if len(q.arrived) == 0 {
		return 0
	}
	last := q.arrived[len(q.arrived)-1]
	link := l.mutes[last.conn]
	switch {
	case l.strict || link == nil || !last.reads || last.over == 0 || link.from > last.over+muteLag:
		return 0
	case link.closed != 0:
		return link.closed
	}
	return l.Now()
}

// muteLag is by how much a worker's end of a read comes before its answer is at the proxy.
const muteLag = 20 * time.Millisecond

// isCut tells whether a worker is cut off now.
func (l *Ledger) isCut(worker string) bool {
	return slices.ContainsFunc(l.cuts, func(c *cut) bool { return c.worker == worker && c.until == math.MaxInt64 })
}

// cutEnd is when a worker's last cut ended: nobody could reach it before. 0: it was not cut off.
func (l *Ledger) cutEnd(worker string) (end time.Duration) {
	for _, c := range l.cuts {
		if c.worker == worker {
			end = max(end, min(c.until, l.Now()))
		}
	}
	return end
}
