package workers

import (
	"slices"
	"time"
)

// Bounds of an answerLog.
const (
	minAnswerGap = 250 * time.Millisecond // minimum time between the sends of two recorded answers
	maxAnswers   = 48                     // covers some 12 s
)

// answer has the times at which a call was sent and answered.
type answer struct{ sent, answered time.Time }

// answerLog records some of a worker's answers, oldest first. An answer is evidence that the worker was running between
// its two times, and so by then had started every request that was written to it before the answered call was sent.
type answerLog []answer

// add records an answer unless it was sent less than minAnswerGap after the last recorded one.
func (l *answerLog) add(a answer) {
	if n := len(*l); n > 0 && a.sent.Before((*l)[n-1].sent.Add(minAnswerGap)) {
		return
	}
	if len(*l) == maxAnswers {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, a)
}

// begunBy returns the time by which the worker has started a request written at the given time, if it arrived at all; zero: unknown.
func (l answerLog) begunBy(written time.Time) time.Time {
	i, _ := slices.BinarySearchFunc(l, written, func(a answer, at time.Time) int {
		if a.sent.After(at) {
			return 1
		}
		return -1
	})
	if i == len(l) {
		return time.Time{}
	}
	return l[i].answered
}
