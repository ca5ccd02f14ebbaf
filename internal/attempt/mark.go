package attempt

import (
	"context"
	"sync"
	"time"
)

// Signal is something that happens once, or turns out not to, and that others wait for.
type Signal struct {
	once sync.Once
	done chan struct{}
	came bool
	at   time.Time
}

// NewSignal returns a mark that is not set.
func NewSignal() *Signal { return &Signal{done: make(chan struct{})} }

// Set sets it to whether it came; the first call counts. A nil mark has nobody waiting.
func (m *Signal) Set(came bool) {
	if m != nil {
		m.once.Do(func() {
			m.came, m.at = came, time.Now()
			close(m.done)
		})
	}
}

// Wait waits until it is known, and tells it. A nil mark came.
func (m *Signal) Wait(ctx context.Context) bool {
	if m == nil {
		return true
	}
	select {
	case <-m.done:
		return m.came
	case <-ctx.Done():
		return false
	}
}

// Time is when it came; zero: it did not, has not yet, or nobody asks.
func (m *Signal) Time() time.Time {
	if m == nil {
		return time.Time{}
	}
	select {
	case <-m.done:
		if m.came {
			return m.at
		}
	default:
	}
	return time.Time{}
}
