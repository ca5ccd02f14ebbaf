package attempt

import (
	"context"
	"sync"
	"time"
)

// Signal is an event that occurs at most once, or is known not to occur, and that other goroutines wait for.
type Signal struct {
	once     sync.Once
	done     chan struct{}
	occurred bool
	at       time.Time
}

// NewSignal returns a signal that is not set.
func NewSignal() *Signal { return &Signal{done: make(chan struct{})} }

// Set records whether the event occurred; only the first call has an effect. On a nil signal it does nothing.
func (s *Signal) Set(occurred bool) {
	if s != nil {
		s.once.Do(func() {
			s.occurred, s.at = occurred, time.Now()
			close(s.done)
		})
	}
}

// Wait blocks until the signal is set and reports whether the event occurred; it returns false once ctx ends. A nil signal
// counts as occurred.
func (s *Signal) Wait(ctx context.Context) bool {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
		return s.occurred
	case <-ctx.Done():
		return false
	}
}

// Time returns when the event occurred; zero if it has not, or if the signal is nil.
func (s *Signal) Time() time.Time {
	if s == nil {
		return time.Time{}
	}
	select {
	case <-s.done:
		if s.occurred {
			return s.at
		}
	default:
	}
	return time.Time{}
}
