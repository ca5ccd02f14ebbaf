package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Invariants are all that a run is judged by.
var Invariants = []string{"lost", "late", "duplicate", "refusal", "drain", "slow-start", "pinned", "gone", "told-time", "crash", "start",
	"violation", "unknown", "bad-answer"}

// Untimed are the invariants that a machine too busy to judge times by can't break.
var Untimed = []string{"duplicate", "refusal", "violation", "unknown", "bad-answer", "crash"}

// Times that the platform's pages allow.
const (
	answerSlack = 500 * time.Millisecond // after its time an answer only earns nothing; later it is lost
	goneSlack   = 100 * time.Millisecond // an attempt may begin so long after its client left
	toldSlack   = 150 * time.Millisecond // by which a worker may be told more time than is left
	trickled    = 600 * time.Millisecond // for which a request may be on its way where bytes trickle
	drainSlack  = 350 * time.Millisecond // for what was on its way as the list came: 150 ms held up, 200 on sockets
	readyWithin = 10 * time.Second
)

// Judge judges a run that has ended, and returns every promise that was not kept.
func (l *Ledger) Judge() []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range sortedKeys(l.requests) {
		q := l.requests[id]
		l.judgeAnswer(q)
		l.judgeEffect(q)
		l.judgeAttempts(q)
		if q.held() && q.heldAt != 0 {
			l.unpin(q, "the end of the run")
		}
	}
	for _, name := range sortedKeys(l.served) {
		l.judgeSlowStart(l.served[name])
	}
	for _, life := range l.lives {
		l.judgeLife(life)
	}
	return slices.Clone(l.breaks)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (l *Ledger) say(q *request, invariant, format string, args ...any) {
	l.breakLocked(invariant, fmt.Sprintf(format, args...)+"; "+l.story(q))
}

// story is all that is known of a request.
func (l *Ledger) story(q *request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at router %d.%d: sent %.3f, end %d status %d at %.3f", q.id, q.router, q.life, q.sentAt.Seconds(), q.end, q.status, q.endAt.Seconds())
	if q.leftAt != 0 {
		fmt.Fprintf(&b, ", client left %.3f", q.leftAt.Seconds())
	}
	for _, a := range q.arrived {
		fmt.Fprintf(&b, "; %s arrived %.3f over %.3f ran %v never %v told %d", a.worker, a.at.Seconds(), a.over.Seconds(), a.ran, a.neverRan, a.toldMS)
	}
	return b.String()
}

// judgeAnswer judges by the rule: every request that was taken gets one final answer before its client gives up.
func (l *Ledger) judgeAnswer(q *request) {
	if q.end == clientLeft || q.end == notTaken || l.killedUnder(q) {
		return
	}
	late := q.endAt - q.sentAt - q.deadline - answerSlack - l.slack()
	switch q.end {
	case closedOn:
		if len(q.arrived) > 0 {
			l.say(q, "lost", "closed with no answer after it was sent on")
		}
	case timedOut, open:
		l.say(q, "lost", "no answer")
	case garbled:
		l.say(q, "bad-answer", "what came is no answer")
	case answered:
		if late > 0 {
			l.say(q, "late", "answered %v too late", late)
		}
		if q.status == 200 {
			l.say(q, "bad-answer", "an answer of 200 that is no stream")
		}
	case streamed:
		if !slices.ContainsFunc(q.arrived, func(a arrival) bool { return !a.reads && a.wroteLast }) {
			l.say(q, "bad-answer", "served with what no worker wrote whole")
		}
	case streamCut: // it broke, for its client to go on elsewhere where clients do
		if !l.terms.Resume && !l.breaksStreams {
			l.say(q, "lost", "its stream was cut, and no trouble breaks streams")
		}
	}
}

// afterTerm is how soon after SIGTERM a request may come that the kill may find unanswered.
const afterTerm = 700 * time.Millisecond

// killedUnder tells whether the process that took a request was killed under it: outright, or at the end of a stop
// while a request that came before that, or within afterTerm, was still unanswered.
func (l *Ledger) killedUnder(q *request) bool {
	life := l.lifeOf(q)
	switch {
	case life == nil || life.crashed != "":
		return true
	case life.killAt == 0 || q.endAt != 0 && q.endAt < life.killAt:
		return false
	}
	return life.termAt == 0 || q.sentAt <= life.termAt+afterTerm
}

// judgeEffect judges by the rule: no effect twice, and no refusal of what may have run.
func (l *Ledger) judgeEffect(q *request) {
	var runs, late []arrival
	for _, a := range q.arrived {
		switch {
		case a.ran && q.effect == Keyed && a.lateBegun: // it was sent in its window, and can't be called back
			late = append(late, a)
		case a.ran:
			runs = append(runs, a)
		}
	}
	if len(late) > 0 && l.outsideWindow(slices.Concat(runs, late)) {
		l.lateRuns++
		if l.strict {
			l.say(q, "duplicate", "it ran again behind its window, in an attempt that waited in the socket of a worker that hung")
		}
	}
	if q.effect == Unsafe && len(runs) > 1 {
		l.say(q, "duplicate", "it ran %d times", len(runs))
	}
	if q.effect == Keyed && l.outsideWindow(runs) {
		l.say(q, "duplicate", "it ran again %v after the first time", runs[len(runs)-1].at-runs[0].at)
	}
	refused := q.end == answered && (q.status == 429 || q.status == 503)
	if !refused {
		return
	}
	mayHaveRun := slices.ContainsFunc(q.arrived, func(a arrival) bool { return !a.reads && !a.neverRan && a.at < q.endAt })
	first := slices.IndexFunc(q.arrived, func(a arrival) bool { return !a.reads && !a.neverRan })
	switch {
	case q.effect == Unsafe && mayHaveRun:
		l.say(q, "refusal", "refused although it may have run")
	case q.effect == Keyed && mayHaveRun && q.endAt > q.arrived[first].at+l.terms.KeyWindow+toldSlack+l.slack():
		l.say(q, "refusal", "refused although it may have run and its key is forgotten")
	}
}

// outsideWindow tells whether an attempt began so late behind another that the workers may have forgotten its key.
func (l *Ledger) outsideWindow(runs []arrival) bool {
	if len(runs) < 2 {
		return false
	}
	byTime := func(a, b arrival) int { return cmp.Compare(a.at, b.at) }
	return slices.MaxFunc(runs, byTime).at-slices.MinFunc(runs, byTime).at > l.terms.KeyWindow+toldSlack+l.slack()
}

// judgeDrain judges by the rule: no attempt to a server that the router was told to send nothing. It
// is judged as the attempt arrives: the server may start anew later.
func (l *Ledger) judgeDrain(q *request, a arrival) {
	if told, ok := l.told[toldKey{q.router, q.life, a.worker}]; ok && !a.lateBegun && a.at > told+drainSlack+l.slack() {
		l.say(q, "drain", "sent to %s at %.3f, which the router was told at %.3f to send nothing", a.worker, a.at.Seconds(), told.Seconds())
	}
}

// judgeAttempts judges by the rule: none for clients that have gone, none that is told more than is left.
func (l *Ledger) judgeAttempts(q *request) {
	for _, a := range q.arrived {
		if a.lateBegun {
			continue // it was sent long before
		}
		if q.leftAt != 0 && a.at > q.leftAt+goneSlack+toldSlack+l.slack() {
			l.say(q, "gone", "sent to %s %v after its client left", a.worker, a.at-q.leftAt)
		}
		if left := q.sentAt + q.deadline - a.at; a.toldMS > 0 && time.Duration(a.toldMS)*time.Millisecond > left+toldSlack+l.slack()+a.transit {
			l.say(q, "told-time", "%s was told %d ms with %v left", a.worker, a.toldMS, left)
		}
	}
}

// judgeSlowStart judges by the rule: a cold server gets at most N + 3 root of N + 3 calls from all routers together, N being what the
// settings allow of a warm one's pace. It counts where over two thirds of the calls are of routers that had been told
// of the start.
func (l *Ledger) judgeSlowStart(s *serverLife) {
	if s.bootAt < 0 {
		return
	}
	pace := l.warmPace(s.reads)
	const step = 500 * time.Millisecond
	allowed, calls, told := 0.0, 0, 0
	for from := time.Duration(0); from < warmAfter; from += step {
		age := float64(from+step) / float64(warmAfter)
		allowed += overload * math.Max(pace, minPace) * (coldFrom + (1-coldFrom)*age) * step.Seconds()
		for _, c := range s.calls {
			if c.at >= s.bootAt+from && c.at < s.bootAt+from+step {
				calls++
				if at, ok := l.starts[startKey{toldKey{c.router, c.life, s.worker}, s.boot}]; ok && c.at > at+drainSlack {
					told++
				}
			}
		}
		if most := allowed + 3*math.Sqrt(allowed) + 3; float64(calls) > most && 3*told > 2*calls {
			l.breakLocked("slow-start", fmt.Sprintf("%s got %d calls in its first %v, %.0f at most (a warm one's pace is %.1f/s), %d by routers that knew of its start",
				s.worker, calls, from+step, most, pace, told))
			return
		}
	}
}

// minPace is a pace in calls a second that any worker can bear.
const minPace = 5

// warmPace is the highest mean pace of the role's workers that were warm from the start.
func (l *Ledger) warmPace(reads bool) (pace float64) {
	for _, s := range l.served {
		if s.reads != reads || s.bootAt >= 0 || len(s.calls) < 2 {
			continue
		}
		span := s.calls[len(s.calls)-1].at - s.calls[0].at
		pace = math.Max(pace, float64(len(s.calls))/math.Max(span.Seconds(), 1))
	}
	return pace
}

// judgeLife judges by the rule: a router comes up, and ends only as it is told to.
func (l *Ledger) judgeLife(life *routerLife) {
	name := fmt.Sprintf("router %d.%d", life.router, life.life)
	if life.crashed != "" {
		l.breakLocked("crash", name+": "+life.crashed)
	}
	ended := cmp.Or(life.termAt, life.killAt, life.endedAt)
	switch {
	case life.readyAt == 0 && life.crashed == "" && ended-life.startedAt > readyWithin+l.slack():
		l.breakLocked("start", name+" was not ready within 10 s")
	case life.readyAt-life.startedAt > readyWithin+l.slack():
		l.breakLocked("start", fmt.Sprintf("%s was ready after %v", name, life.readyAt-life.startedAt))
	}
	for _, v := range life.violations {
		l.breakLocked("violation", name+": "+v)
	}
}
