package heldstate

import (
	"container/heap"
	"time"
)

// agenda is the entries that have something to do at a time, the next one first.
type agenda []*entry

// notQueued is the position of an entry that is not in the agenda.
const notQueued = -1

// set sets when an entry has something to do; zero: it is not in the agenda.
func (a *agenda) set(e *entry, at time.Time) {
	e.lookAt = at
	switch {
	case at.IsZero() && e.position != notQueued:
		heap.Remove(a, e.position)
	case at.IsZero():
	case e.position == notQueued:
		heap.Push(a, e)
	default:
		heap.Fix(a, e.position)
	}
}

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].lookAt.Equal(a[j].lookAt) {
		return a[i].lookAt.Before(a[j].lookAt)
	}
	return a[i].wantedAt.Before(a[j].wantedAt) // whatever has waited for longer
}

func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].position, a[j].position = i, j
}

// Push and Pop are for container/heap.
func (a *agenda) Push(x any) {
	e := x.(*entry)
	e.position = len(*a)
	*a = append(*a, e)
}

// Pop takes out the last entry.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	last.position = notQueued
	return last
}
