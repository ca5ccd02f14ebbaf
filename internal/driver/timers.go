package driver

import (
	"container/heap"
	"time"

	"gannethook"
)

// timer is a wake-up that the decision module requested, or the timeout of an attempt.
type timer struct {
	at      time.Time
	seq     uint64 // timers with equal times fire in the order of setting
	ref     uint64 // of a wake-up: the module's reference
	call    *Call  // of an attempt's timeout; nil: a wake-up
	attempt int    // its index
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// schedule sets a timer that fires after the given time.
func (d *Driver) schedule(in time.Duration, t timer) {
	d.timerSeq++
	t.at, t.seq = time.Now().Add(max(in, 0)), d.timerSeq
	heap.Push(&d.timers, t)
}

// untilNextEvent returns the time until the next timer, release or report may be due.
func (d *Driver) untilNextEvent() time.Duration {
	next := d.untilNextCheck()
	if len(d.timers) > 0 {
		next = min(next, time.Until(d.timers[0].at))
	}
	return max(next, 0)
}

// fireDueTimers fires the due timers. Run calls it before each event of the inbox, so that deadlines are kept under a backlog.
func (d *Driver) fireDueTimers() {
	now := time.Now()
	for len(d.timers) > 0 && !d.timers[0].at.After(now) {
		t := heap.Pop(&d.timers).(timer)
		if t.call != nil {
			t.call.attemptTimedOut(t.attempt)
			continue
		}
		d.handleEvent(gannethook.Wakeup{Ref: t.ref})
	}
}
