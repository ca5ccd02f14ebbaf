package heldstate

import (
	"container/heap"
	"time"
)

// actionQueue is a priority queue of the entries that have an action at a known time, the earliest first.
type actionQueue []*entry

// notQueued is the queueIndex of an entry that is not in the queue.
const notQueued = -1

// set sets the time of an entry's next action; zero: the entry leaves the queue.
func (q *actionQueue) set(e *entry, at time.Time) {
	e.nextActionAt = at
	switch {
	case at.IsZero() && e.queueIndex != notQueued:
		heap.Remove(q, e.queueIndex)
	case at.IsZero():
	case e.queueIndex == notQueued:
		heap.Push(q, e)
	default:
		heap.Fix(q, e.queueIndex)
	}
}

func (q actionQueue) Len() int { return len(q) }

func (q actionQueue) Less(i, j int) bool {
	if !q[i].nextActionAt.Equal(q[j].nextActionAt) {
		return q[i].nextActionAt.Before(q[j].nextActionAt)
	}
	return q[i].releaseRequestedAt.Before(q[j].releaseRequestedAt) // the one that has waited longer
}

func (q actionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push and Pop are for container/heap.
func (q *actionQueue) Push(x any) {
	e := x.(*entry)
	e.queueIndex = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry.
func (q *actionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.queueIndex = notQueued
	return last
}
