package control

import (
	"sync"
	"time"

	pb "gannethook/internal/control/controlpb"
)

// Tape keeps a router's last events for those who follow them. A reader that
// is too slow hears how many it missed; the router never waits for one.
type Tape struct {
	mu   sync.Mutex
	ring []*pb.Event
	last uint64 // number of the last event
	news chan struct{}
}

// NewTape returns a tape of so many events.
func NewTape(most int) *Tape {
	return &Tape{ring: make([]*pb.Event, max(most, 1)), news: make(chan struct{})}
}

// Add adds an event.
func (t *Tape) Add(kind, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.ring[t.last%uint64(len(t.ring))] = &pb.Event{Number: t.last, WallUnixMs: time.Now().UnixMilli(), Kind: kind, Text: text}
	close(t.news)
	t.news = make(chan struct{})
}

// After returns the events after a number, oldest first, and a channel that
// closes at the next one. A number from an earlier life of the router, above
// all there are, is taken as none.
func (t *Tape) After(n uint64) (list []*pb.Event, more <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > t.last {
		n = 0
	}
	first := n + 1
	if size := uint64(len(t.ring)); t.last > size && first <= t.last-size {
		first = t.last - size + 1
	}
	for i := first; i <= t.last; i++ {
		e := t.ring[i%uint64(len(t.ring))]
		if i == first && first > n+1 {
			e = &pb.Event{Number: e.Number, WallUnixMs: e.WallUnixMs, Kind: e.Kind, Text: e.Text, Missed: first - n - 1}
		}
		list = append(list, e)
	}
	return list, t.news
}
