package workers

import (
	"context"
	"slices"
	"sync"
	"time"
)

// connLimiter counts open connections against a limit and queues the callers that wait for
// one. It is safe for concurrent use.
type connLimiter struct {
	recheckInterval time.Duration // after which a waiting caller rechecks without having been woken

	mu     sync.Mutex
	open   int64
	queues [2][]chan struct{} // 0: place requests and releases, woken first; 1: attempts
}

// connRecheckInterval is the usual recheckInterval. A worker may close an idle connection, which
// frees its slot but wakes no caller.
const connRecheckInterval = 50 * time.Millisecond

// tryAcquire counts one more connection if fewer than limit are open, and reports whether it did.
func (r *connLimiter) tryAcquire(limit int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= limit {
		return false
	}
	r.open++
	return true
}

// release uncounts a connection that has closed or could not be established.
func (r *connLimiter) release() {
	r.mu.Lock()
	r.open--
	r.mu.Unlock()
	r.wakeNext()
}

// wakeNext wakes the next queued caller, to recheck.
func (r *connLimiter) wakeNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, queue := range r.queues {
		if len(queue) > 0 {
			close(queue[0])
			r.queues[i] = queue[1:]
			return
		}
	}
}

// wait blocks until it is time to recheck; it returns false once the context is done.
func (r *connLimiter) wait(ctx context.Context, control bool) bool {
	queue := 1
	if control {
		queue = 0
	}
	ready := make(chan struct{})
	r.mu.Lock()
	r.queues[queue] = append(r.queues[queue], ready)
	r.mu.Unlock()
	recheck := time.NewTimer(r.recheckInterval)
	defer recheck.Stop()
	select {
	case <-ready:
		if ctx.Err() != nil {
			r.wakeNext() // pass it on to the next caller
		}
		return ctx.Err() == nil
	case <-recheck.C:
	case <-ctx.Done():
	}
	r.cancelWait(queue, ready)
	return ctx.Err() == nil
}

// cancelWait removes a caller from its queue; a wake-up that came meanwhile is passed on.
func (r *connLimiter) cancelWait(queue int, ready chan struct{}) {
	r.mu.Lock()
	i := slices.Index(r.queues[queue], ready)
	if i >= 0 {
		r.queues[queue] = slices.Delete(r.queues[queue], i, i+1)
	}
	r.mu.Unlock()
	if i < 0 {
		r.wakeNext()
	}
}
