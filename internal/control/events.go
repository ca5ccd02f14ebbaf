package control

import (
	"sync"
	"time"

	pb "gannethook/internal/control/controlpb"
)

// EventLog keeps the most recent events of a router. Adding never waits for a
// reader; a reader that is too slow learns how many events it missed.
type EventLog struct {
	mu      sync.Mutex
	ring    []*pb.Event   // an event is at its number modulo the length
	last    uint64        // number of the last event; 0 if there is none
	changed chan struct{} // closed and replaced at each event
}

// NewEventLog returns a log that keeps size events.
func NewEventLog(size int) *EventLog {
	return &EventLog{ring: make([]*pb.Event, max(size, 1)), changed: make(chan struct{})}
}

// Add adds an event.
func (l *EventLog) Add(kind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	l.ring[l.last%uint64(len(l.ring))] = &pb.Event{Number: l.last, WallUnixMs: time.Now().UnixMilli(), Kind: kind, Text: text}
	close(l.changed)
	l.changed = make(chan struct{})
}

// After returns the events after a number, oldest first, and a channel that is
// closed at the next event. A number above the last one stems from an earlier
// process of the router and counts as 0.
func (l *EventLog) After(n uint64) (events []*pb.Event, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > l.last {
		n = 0
	}
	first := n + 1
	if size := uint64(len(l.ring)); l.last > size && first <= l.last-size {
		first = l.last - size + 1
	}
	for i := first; i <= l.last; i++ {
		e := l.ring[i%uint64(len(l.ring))]
		if i == first && first > n+1 {
			e = &pb.Event{Number: e.Number, WallUnixMs: e.WallUnixMs, Kind: e.Kind, Text: e.Text, Missed: first - n - 1}
		}
		events = append(events, e)
	}
	return events, l.changed
}
