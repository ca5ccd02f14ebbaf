package streamdrain

import (
	"slices"
	"time"
)

// History bounds how long a request of one kind takes, by how long recent ones took from
// their start to the end of their stream. Its zero value knows none.
type History struct {
	recent [historySize]time.Duration
	count  int // recorded so far
}

const (
	historySize = 64 // requests; an older one no longer counts
	minHistory  = 8  // requests before there is a bound
	boundFactor = 2  // of the longest of them
)

// Record adds a request whose stream was served to its end.
func (h *History) Record(took time.Duration) {
	h.recent[h.count%historySize] = took
	h.count++
}

// Bound returns the time within which a further request is expected to end; known is
// false if too few have been recorded.
func (h *History) Bound() (bound time.Duration, known bool) {
	if h == nil || h.count < minHistory {
		return 0, false
	}
	return boundFactor * slices.Max(h.recent[:min(h.count, historySize)]), true
}
