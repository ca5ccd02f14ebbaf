package workers

import (
	"slices"
	"time"
)

// Bounds of what is remembered of a worker's answers.
const (
	answerGap   = 250 * time.Millisecond // between two answers that are remembered, at the least
	mostAnswers = 48                     // so that some 12 s are remembered
)

// answer is when a call was sent that a worker has answered, and when that was.
type answer struct{ sent, answered time.Time }

// answerLog remembers some of a worker's answers: each proves that the worker ran, and had begun by then what had arrived
// before.
type answerLog []answer

// note remembers an answer.
func (l *answerLog) note(a answer) {
	if n := len(*l); n > 0 && a.sent.Before((*l)[n-1].sent.Add(answerGap)) {
		return
	}
	if len(*l) == mostAnswers {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, a)
}

// begunBy is by when what was written at a time has been begun, if it has arrived at all; zero: that is not known.
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
