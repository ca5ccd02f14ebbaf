package attempt

import (
	"context"
	"sync"
)

// Mark is something that happens once, or turns out not to, and that others wait for.
type Mark struct {
	once sync.Once
	done chan struct{}
	came bool
}

// NewMark returns a mark that is not set.
func NewMark() *Mark { return &Mark{done: make(chan struct{})} }

// Set sets it to whether it came; the first call counts. A nil mark has nobody waiting.
func (m *Mark) Set(came bool) {
	if m != nil {
		m.once.Do(func() {
			m.came = came
			close(m.done)
		})
	}
}

// Came waits until it is known, and tells it. A nil mark came.
func (m *Mark) Came(ctx context.Context) bool {
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
