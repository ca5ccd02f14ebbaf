package clients

import (
	"runtime"
	"time"
)

// workThrottle limits how much of the processors is spent on input that costs far more than a usual request, so that
// timers, responses and the requests of other clients are not delayed. Such work is done in short pieces. Few pieces run at
// once, in the order in which they were requested, and pauses between them are as long as the work. It is safe for
// concurrent use.
type workThrottle struct{ slots chan *workSlot }

// workSlot is the permission to do one piece of work.
type workSlot struct {
	unpaused time.Duration // worked since the last pause
	buf      []byte        // for data that is discarded
}

const (
	minWorkPause      = time.Millisecond     // shorter pauses are added up
	maxWorkPause      = 5 * time.Millisecond // a piece that was interrupted by other work counts as longer than it was
	discardBufferSize = 256 << 10            // bytes discarded in one piece of work
)

// newWorkThrottle returns a throttle that lets half of the processors work at once, but one at least.
func newWorkThrottle() *workThrottle {
	n := max(1, runtime.GOMAXPROCS(0)/2)
	t := &workThrottle{slots: make(chan *workSlot, n)}
	for range n {
		t.slots <- &workSlot{}
	}
	return t
}

// acquire waits for a slot.
func (t *workThrottle) acquire() *workSlot { return <-t.slots }

// release returns a slot after a piece of work that began at the given time, and a pause.
func (t *workThrottle) release(slot *workSlot, startedAt time.Time) {
	slot.unpaused += time.Since(startedAt)
	if slot.unpaused >= minWorkPause {
		time.Sleep(min(slot.unpaused, maxWorkPause))
		slot.unpaused = 0
	}
	t.slots <- slot
}

// discardBuffer returns the slot's buffer.
func (s *workSlot) discardBuffer() []byte {
	if s.buf == nil {
		s.buf = make([]byte, discardBufferSize)
	}
	return s.buf
}
