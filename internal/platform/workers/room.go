package workers

import (
	"context"
	"slices"
	"sync"
	"time"
)

// room counts open connections, and has those wait in order for whom there is none.
// It is safe for concurrent use.
type room struct {
	lookAgain time.Duration // when whoever waits looks again although nobody told it of room

	mu      sync.Mutex
	open    int64
	waiting [2][]chan struct{} // for places and releases first, then for attempts
}

// lookAgain is a room's usual time for that: an unused connection may have been
// closed by its worker.
const lookAgain = 50 * time.Millisecond

// take counts one more connection where fewer than most are open.
func (r *room) take(most int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= most {
		return false
	}
	r.open++
	return true
}

// release takes a connection out of the count that has closed or did not come up.
func (r *room) release() {
	r.mu.Lock()
	r.open--
	r.mu.Unlock()
	r.wake()
}

// wake has the next in line look for room.
func (r *room) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, line := range r.waiting {
		if len(line) > 0 {
			close(line[0])
			r.waiting[i] = line[1:]
			return
		}
	}
}

// wait returns when it is time to look again; it is false once the context is done.
func (r *room) wait(ctx context.Context, control bool) bool {
	line := 1
	if control {
		line = 0
	}
	turn := make(chan struct{})
	r.mu.Lock()
	r.waiting[line] = append(r.waiting[line], turn)
	r.mu.Unlock()
	again := time.NewTimer(r.lookAgain)
	defer again.Stop()
	select {
	case <-turn:
		if ctx.Err() != nil {
			r.wake() // it is the next one's
		}
		return ctx.Err() == nil
	case <-again.C:
	case <-ctx.Done():
	}
	r.leave(line, turn)
	return ctx.Err() == nil
}

// leave takes a turn out of its line; one that came just now is passed on.
func (r *room) leave(line int, turn chan struct{}) {
	r.mu.Lock()
	i := slices.Index(r.waiting[line], turn)
	if i >= 0 {
		r.waiting[line] = slices.Delete(r.waiting[line], i, i+1)
	}
	r.mu.Unlock()
	if i < 0 {
		r.wake()
	}
}
