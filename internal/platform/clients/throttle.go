package clients

import (
	"sync/atomic"
	"time"
)

// workThrottle limits how much of the processors is spent on input that costs far more than a usual request, so that
// timers, responses and the requests of other clients are not delayed. Such work is done in short pieces, one at a time, in
// the order in which they were requested. While others wait, pauses between pieces are as long as the work. It is safe for
// concurrent use.
type workThrottle struct {
	slot    chan *workSlot // holds the slot while nobody works
	waiting atomic.Int32
}

// workSlot is the permission to do one piece of work. Whoever has it must not wait for a client.
type workSlot struct {
	throttle *workThrottle
	worked   time.Duration // since the last pause
	since    time.Time     // when it was acquired
	buf      []byte        // for data that is discarded
}

const (
	minWorkPause      = time.Millisecond     // shorter pauses are added up
	maxWorkPause      = 5 * time.Millisecond // a piece that was interrupted by other work counts as longer than it was
	discardBufferSize = 256 << 10            // bytes discarded in one piece of work
)

func newWorkThrottle() *workThrottle {
	t := &workThrottle{slot: make(chan *workSlot, 1)}
	t.slot <- &workSlot{throttle: t}
	return t
}

// acquire waits for the slot.
func (t *workThrottle) acquire() *workSlot {
	t.waiting.Add(1)
	slot := <-t.slot
	t.waiting.Add(-1)
	slot.since = time.Now()
	return slot
}

// charge counts work that was done without the slot, and waits for its turn as if it had been done with it.
func (t *workThrottle) charge(worked time.Duration) {
	slot := t.acquire()
	slot.worked += worked
	slot.release()
}

// release returns the slot after a piece of work, and after a pause if one is due.
func (s *workSlot) release() {
	s.worked += time.Since(s.since)
	if s.worked >= minWorkPause {
		if s.throttle.waiting.Load() > 0 {
			time.Sleep(min(s.worked, maxWorkPause))
		}
		s.worked = 0
	}
	s.throttle.slot <- s
}

// discardBuffer returns the slot's buffer.
func (s *workSlot) discardBuffer() []byte {
	if s.buf == nil {
		s.buf = make([]byte, discardBufferSize)
	}
	return s.buf
}
