package soak

import (
	"math"
	"net"
	"slices"
	"time"
)

// This file models what workers hold for a request, by the platform specification: the state of a read stays at the reader
// until a write has left its writer's queue and fetches it, or until it moves to a held place. A release preserves what
// an attempt in flight waits for, as far as that attempt's worker has observed, and does not reach an unreachable worker.

// held reports whether a state or a place is held for a request.
func (q *request) held() bool { return q.stateWorker != "" || q.placeWorker != "" }

// readInFlight reports whether a read is in flight at a reachable worker, as the worker sees it.
func (h *History) readInFlight(q *request) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.reads && a.endedAt == 0 && !h.unreachable(a.worker) })
}

// writeAwaitsState reports whether a write in the queue of a reachable writer waits for the state.
func (h *History) writeAwaitsState(q *request) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.reads && a.endedAt == 0 && !a.passedQueue && !h.unreachable(a.worker) })
}

// promptRead records that a prompt was read: the state is at the reader, or moves to a held place. A read during which
// everything was released leaves no state.
func (h *History) promptRead(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	a := q.attempts[n]
	if a.stateReleased {
		return
	}
	if q.stateWorker = a.worker; q.placeWorker != "" && !h.unreachable(a.worker) && !h.unreachable(q.placeWorker) {
		q.stateWorker = q.placeWorker
	}
}

// fetchState moves the state to a writer when a write leaves its queue. It returns false if there is no state, the state
// is at the held place of another writer, or the worker that holds it is unreachable.
func (h *History) fetchState(id, worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	for i := range q.attempts {
		if a := &q.attempts[i]; a.worker == worker && !a.reads && a.endedAt == 0 {
			a.passedQueue = true
		}
	}
	if q.stateWorker == "" || q.placeWorker == q.stateWorker && q.placeWorker != worker || q.stateWorker != worker && h.unreachable(q.stateWorker) {
		return false
	}
	q.stateWorker, q.placeWorker = "", ""
	return true
}

// firstEvent records the first event of an answer, which releases everything held at reachable workers.
func (h *History) firstEvent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	if !h.unreachable(q.stateWorker) {
		q.stateWorker = ""
	}
	if !h.unreachable(q.placeWorker) {
		q.placeWorker = ""
	}
}

// holdPlace makes a worker hold a place if it has a free one and a read is in flight. A second place replaces the first.
func (h *History) holdPlace(id, worker string, free bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	if q == nil || !free || !h.readInFlight(q) {
		return false
	}
	q.placeWorker = worker
	return true
}

// holdPlaceWithoutRead makes a worker hold a place although it knows of no read.
func (h *History) holdPlaceWithoutRead(id, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	if q == nil {
		return
	}
	if q.placeWorker = worker; q.inFlight == 0 && q.idleHeldSince == 0 {
		q.idleHeldSince = h.Now()
	}
}

// releaseReceived records that a worker was asked to release everything held for a request. What other, unreachable
// workers hold stays.
func (h *History) releaseReceived(id, by string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releases++
	q := h.requests[id]
	if q == nil || h.writeAwaitsState(q) {
		return
	}
	h.checkPinned(q, "a release")
	reached := func(at string) bool { return at == by || !h.unreachable(at) }
	if q.stateWorker != "" && reached(q.stateWorker) {
		q.stateWorker = ""
	}
	if q.placeWorker != "" && reached(q.placeWorker) && !h.readInFlight(q) {
		q.placeWorker = ""
	}
	for i := range q.attempts {
		if a := &q.attempts[i]; a.reads && a.endedAt == 0 && reached(a.worker) {
			a.stateReleased = true
		}
	}
	if q.held() && q.inFlight == 0 {
		q.idleHeldSince = h.Now()
	}
}

// pinAllowance is the tolerance that the platform adds to the pin limit of the settings.
const pinAllowance = 300 * time.Millisecond

// checkPinned checks for how long something was held with no attempt in flight; by names what ended that time.
func (h *History) checkPinned(q *request, by string) {
	if !q.held() || q.idleHeldSince == 0 {
		return
	}
	from := max(q.idleHeldSince, h.lastOutageEnd(q.stateWorker), h.lastOutageEnd(q.placeWorker), h.lostAnswerUntil(q))
	if since := h.Now() - from; since > h.settings.PinLimit+pinAllowance+h.slack() && !h.releaseNotDue(q, from) {
		h.recordViolationLocked("pinned", q.id+" was held for "+since.Round(time.Millisecond).String()+", then came "+by+"; "+h.describe(q))
	}
	q.idleHeldSince = 0
}

// releaseNotDue reports whether the router process that accepted a request crashed, was killed, or ended before the time
// for a release had passed. What is still held is then the workers' responsibility.
func (h *History) releaseNotDue(q *request, from time.Duration) bool {
	inc := h.incarnationOf(q)
	if inc == nil || inc.killAt != 0 || inc.crash != "" {
		return true
	}
	return inc.endedAt != 0 && from > inc.endedAt-h.settings.PinLimit/2-h.slack()
}

// incarnationOf returns the router process that accepted a request, nil if unknown.
func (h *History) incarnationOf(q *request) *routerIncarnation {
	for _, inc := range h.routers {
		if inc.router == q.router && inc.number == q.incarnation {
			return inc
		}
	}
	return nil
}

// outage is a time during which a worker is unreachable; until is math.MaxInt64 until it ends.
type outage struct {
	worker      string
	kind        FaultKind
	from, until time.Duration
}

// workerIsolated records that a fault makes a worker unreachable from now on.
func (h *History) workerIsolated(worker string, kind FaultKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages = append(h.outages, &outage{worker: worker, kind: kind, from: h.Now(), until: math.MaxInt64})
}

// workerReconnected records that a fault no longer makes a worker unreachable.
func (h *History) workerReconnected(worker string, kind FaultKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.outages {
		if o.worker == worker && o.kind == kind && o.until == math.MaxInt64 {
			o.until = h.Now()
		}
	}
}

// silentLink is a connection that has gone silent, and when its router closed it (0: not closed).
type silentLink struct{ since, closedAt time.Duration }

// linkSilent records that a connection goes silent, or that its router has closed it.
func (h *History) linkSilent(remoteAddr net.Addr, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := h.silentLinks[remoteAddr.String()]
	if link == nil {
		link = &silentLink{since: h.Now()}
		h.silentLinks[remoteAddr.String()] = link
	}
	if closed {
		link.closedAt = h.Now()
	}
}

// lostAnswerUntil returns until when a read that has ended counts as in flight for its router, because the answer was lost
// when its connection alone went silent: until the router closes the connection. It returns 0 if no answer was lost.
func (h *History) lostAnswerUntil(q *request) time.Duration {
	if len(q.attempts) == 0 {
		return 0
	}
	last := q.attempts[len(q.attempts)-1]
	link := h.silentLinks[last.remoteAddr]
	switch {
	case h.strict || link == nil || !last.reads || last.endedAt == 0 || link.since > last.endedAt+answerLag:
		return 0
	case link.closedAt != 0:
		return link.closedAt
	}
	return h.Now()
}

// answerLag is the longest time from the end of a read at its worker until the answer reaches the proxy.
const answerLag = 20 * time.Millisecond

// unreachable reports whether a worker is unreachable now.
func (h *History) unreachable(worker string) bool {
	return slices.ContainsFunc(h.outages, func(o *outage) bool { return o.worker == worker && o.until == math.MaxInt64 })
}

// lastOutageEnd returns when a worker's last outage ended, now if it lasts. 0: it had none.
func (h *History) lastOutageEnd(worker string) (end time.Duration) {
	for _, o := range h.outages {
		if o.worker == worker {
			end = max(end, min(o.until, h.Now()))
		}
	}
	return end
}
