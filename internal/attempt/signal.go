package attempt

import (
	"context"
	"sync"
	"time"
)

// Signal is something that happens once, or turns out not to, and that others wait for.
type Signal struct {
	once     sync.Once
	done     chan struct{}
	occurred bool
	at       time.Time
}

// NewSignal returns a mark that is not set.
func NewSignal() *Signal { return &Signal{done: make(chan struct{})} }

// Set sets it to whether it came; the first call counts. A nil mark has nobody waiting.
func (s *Signal) Set(occurred bool) {
	if s != nil {
		s.once.Do(func() {
			s.occurred, s.at = occurred, time.Now()
			close(s.done)
		})
	}
}

// Wait waits until it is known, and tells it. A nil mark came.
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

// Time is when it came; zero: it did not, has not yet, or nobody asks.
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
