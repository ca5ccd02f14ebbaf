package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Invariants lists the names of the invariants that a run is checked for, as the report prints them.
var Invariants = []string{"lost", "late", "duplicate", "refusal", "drain", "slow-start", "pinned", "gone", "told-time", "crash", "start",
	"violation", "unknown", "bad-answer"}

// UntimedInvariants lists the invariants that the timer delays of a busy machine can't violate.
var UntimedInvariants = []string{"duplicate", "refusal", "violation", "unknown", "bad-answer", "crash"}

// Tolerances that the platform specification allows.
const (
	answerSlack     = 500 * time.Millisecond // an answer this long after its deadline is worthless to the client, but no violation
	disconnectSlack = 100 * time.Millisecond // an attempt may start this long after its client disconnected
	timeoutSlack    = 150 * time.Millisecond // the timeout sent to a worker may exceed the client's remaining time by this much
	trickleTransit  = 600 * time.Millisecond // longest time that a request takes to arrive during the fault Trickle
	drainSlack      = 350 * time.Millisecond // for attempts on their way when the list arrived: 150 ms of delay, 200 ms on sockets
	readyTimeout    = 10 * time.Second       // from a router's start until it is ready
)

// Check checks the invariants of a run that has ended, and returns all violations, also those recorded during the run.
func (h *History) Check() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range sortedKeys(h.requests) {
		q := h.requests[id]
		h.checkAnswer(q)
		h.checkEffect(q)
		h.checkAttempts(q)
		if q.held() && q.idleHeldSince != 0 {
			h.checkPinned(q, "the end of the run")
		}
	}
	for _, name := range sortedKeys(h.servers) {
		h.checkSlowStart(h.servers[name])
	}
	for _, inc := range h.routers {
		h.checkRouter(inc)
	}
	return slices.Clone(h.violations)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// report records a violation by a request, with what is known of the request.
func (h *History) report(q *request, invariant, format string, args ...any) {
	h.recordViolationLocked(invariant, fmt.Sprintf(format, args...)+"; "+h.describe(q))
}

// describe returns what is known of a request, for a violation.
func (h *History) describe(q *request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at router %d.%d: sent %.3f, end %d status %d at %.3f", q.id, q.router, q.incarnation, q.sentAt.Seconds(), q.outcome, q.status, q.endedAt.Seconds())
	if q.disconnectedAt != 0 {
		fmt.Fprintf(&b, ", client left %.3f", q.disconnectedAt.Seconds())
	}
	for _, a := range q.attempts {
		fmt.Fprintf(&b, "; %s arrived %.3f over %.3f ran %v never %v told %d", a.worker, a.arrivedAt.Seconds(), a.endedAt.Seconds(), a.mayHaveRun, a.notProcessed, a.timeoutMS)
	}
	return b.String()
}

// checkAnswer checks that an accepted request got a valid final answer by its deadline.
func (h *History) checkAnswer(q *request) {
	if q.outcome == clientDisconnected || q.outcome == notAccepted || h.killedDuring(q) {
		return
	}
	lateBy := q.endedAt - q.sentAt - q.deadline - answerSlack - h.slack()
	switch q.outcome {
	case closedUnanswered:
		if len(q.attempts) > 0 {
			h.report(q, "lost", "closed with no answer after it was sent on")
		}
	case timedOut, inProgress:
		h.report(q, "lost", "no answer")
	case malformedAnswer:
		h.report(q, "bad-answer", "what came is no answer")
	case plainAnswer:
		if lateBy > 0 {
			h.report(q, "late", "answered %v too late", lateBy)
		}
		if q.status == 200 {
			h.report(q, "bad-answer", "an answer of 200 that is no stream")
		}
	case streamCompleted:
		if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.reads && a.streamDone }) {
			h.report(q, "bad-answer", "served with what no worker wrote whole")
		}
	case streamTruncated: // allowed where clients resume a cut stream elsewhere
		if !h.settings.Resume && !h.mayCutStreams {
			h.report(q, "lost", "its stream was cut, and no trouble breaks streams")
		}
	}
}

// unansweredAfterTerm is the time after SIGTERM within which a request may arrive that is still unanswered at the SIGKILL.
const unansweredAfterTerm = 700 * time.Millisecond

// killedDuring reports whether the router process that accepted a request ended before the answer: it crashed, was killed
// without SIGTERM, or was killed at the end of a stop and the request had arrived before SIGTERM or within
// unansweredAfterTerm of it.
func (h *History) killedDuring(q *request) bool {
	inc := h.incarnationOf(q)
	switch {
	case inc == nil || inc.crash != "":
		return true
	case inc.killAt == 0 || q.endedAt != 0 && q.endedAt < inc.killAt:
		return false
	}
	return inc.termAt == 0 || q.sentAt <= inc.termAt+unansweredAfterTerm
}

// checkEffect checks that no effect happens twice and that no request is refused whose effect may have happened.
func (h *History) checkEffect(q *request) {
	var runs, lateRuns []attempt
	for _, a := range q.attempts {
		switch {
		case a.mayHaveRun && q.effect == Keyed && a.startedAfterHang: // sent within its key window, and can't be withdrawn
			lateRuns = append(lateRuns, a)
		case a.mayHaveRun:
			runs = append(runs, a)
		}
	}
	if len(lateRuns) > 0 && h.outsideWindow(slices.Concat(runs, lateRuns)) {
		h.lateKeyedRuns++
		if h.strict {
			h.report(q, "duplicate", "it ran again behind its window, in an attempt that waited in the socket of a worker that hung")
		}
	}
	if q.effect == Unsafe && len(runs) > 1 {
		h.report(q, "duplicate", "it ran %d times", len(runs))
	}
	if q.effect == Keyed && h.outsideWindow(runs) {
		h.report(q, "duplicate", "it ran again %v after the first time", runs[len(runs)-1].arrivedAt-runs[0].arrivedAt)
	}
	refused := q.outcome == plainAnswer && (q.status == 429 || q.status == 503)
	if !refused {
		return
	}
	mayHaveRun := slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.reads && !a.notProcessed && a.arrivedAt < q.endedAt })
	first := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.reads && !a.notProcessed })
	switch {
	case q.effect == Unsafe && mayHaveRun:
		h.report(q, "refusal", "refused although it may have run")
	case q.effect == Keyed && mayHaveRun && q.endedAt > q.attempts[first].arrivedAt+h.settings.KeyWindow+timeoutSlack+h.slack():
		h.report(q, "refusal", "refused although it may have run and its key is forgotten")
	}
}

// outsideWindow reports whether an attempt started so long after another that workers may have forgotten its key.
func (h *History) outsideWindow(runs []attempt) bool {
	if len(runs) < 2 {
		return false
	}
	byTime := func(a, b attempt) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) }
	return slices.MaxFunc(runs, byTime).arrivedAt-slices.MinFunc(runs, byTime).arrivedAt > h.settings.KeyWindow+timeoutSlack+h.slack()
}

// checkDrain checks that no attempt goes to a worker after the router was notified that it takes no new work. The check
// runs when the attempt arrives, since the worker may restart later.
func (h *History) checkDrain(q *request, a attempt) {
	if notifiedAt, ok := h.notServing[viewKey{q.router, q.incarnation, a.worker}]; ok && !a.startedAfterHang && a.arrivedAt > notifiedAt+drainSlack+h.slack() {
		h.report(q, "drain", "sent to %s at %.3f, which the router was told at %.3f to send nothing", a.worker, a.arrivedAt.Seconds(), notifiedAt.Seconds())
	}
}

// checkAttempts checks that no attempt starts after its client disconnected, and that the timeout sent with it does not
// exceed the client's remaining time.
func (h *History) checkAttempts(q *request) {
	for _, a := range q.attempts {
		if a.startedAfterHang {
			continue // sent long before it arrived
		}
		if q.disconnectedAt != 0 && a.arrivedAt > q.disconnectedAt+disconnectSlack+timeoutSlack+h.slack() {
			h.report(q, "gone", "sent to %s %v after its client left", a.worker, a.arrivedAt-q.disconnectedAt)
		}
		if remaining := q.sentAt + q.deadline - a.arrivedAt; a.timeoutMS > 0 && time.Duration(a.timeoutMS)*time.Millisecond > remaining+timeoutSlack+h.slack()+a.maxTransit {
			h.report(q, "told-time", "%s was told %d ms with %v left", a.worker, a.timeoutMS, remaining)
		}
	}
}

// checkSlowStart checks that a worker in slow start gets at most N + 3*sqrt(N) + 3 calls from all routers together, where N
// is the number that the settings allow at the rate of a warm worker. More calls are a violation only if over two thirds of
// them come from routers that had been notified of the start.
func (h *History) checkSlowStart(s *serverIncarnation) {
	if s.startedAt < 0 {
		return
	}
	rate := h.warmRate(s.reads)
	const step = 500 * time.Millisecond
	allowed, calls, informed := 0.0, 0, 0
	for from := time.Duration(0); from < warmAfter; from += step {
		age := float64(from+step) / float64(warmAfter)
		allowed += overloadFactor * math.Max(rate, minRate) * (coldFrom + (1-coldFrom)*age) * step.Seconds()
		for _, c := range s.calls {
			if c.at >= s.startedAt+from && c.at < s.startedAt+from+step {
				calls++
				if at, ok := h.startsNotified[startKey{viewKey{c.router, c.incarnation, s.worker}, s.bootMS}]; ok && c.at > at+drainSlack {
					informed++
				}
			}
		}
		if limit := allowed + 3*math.Sqrt(allowed) + 3; float64(calls) > limit && 3*informed > 2*calls {
			h.recordViolationLocked("slow-start", fmt.Sprintf("%s got %d calls in its first %v, %.0f at most (a warm one's pace is %.1f/s), %d by routers that knew of its start",
				s.worker, calls, from+step, limit, rate, informed))
			return
		}
	}
}

// minRate is a rate, in calls per second, that any worker can bear.
const minRate = 5

// warmRate returns the highest mean rate, in calls per second, of the role's workers that were warm from the start of the run.
func (h *History) warmRate(reads bool) (rate float64) {
	for _, s := range h.servers {
		if s.reads != reads || s.startedAt >= 0 || len(s.calls) < 2 {
			continue
		}
		span := s.calls[len(s.calls)-1].at - s.calls[0].at
		rate = math.Max(rate, float64(len(s.calls))/math.Max(span.Seconds(), 1))
	}
	return rate
}

// checkRouter checks that a router process becomes ready in time, ends only when told to and logs no violation.
func (h *History) checkRouter(inc *routerIncarnation) {
	name := fmt.Sprintf("router %d.%d", inc.router, inc.number)
	if inc.crash != "" {
		h.recordViolationLocked("crash", name+": "+inc.crash)
	}
	endAt := cmp.Or(inc.termAt, inc.killAt, inc.endedAt)
	switch {
	case inc.readyAt == 0 && inc.crash == "" && endAt-inc.startedAt > readyTimeout+h.slack():
		h.recordViolationLocked("start", name+" was not ready within 10 s")
	case inc.readyAt-inc.startedAt > readyTimeout+h.slack():
		h.recordViolationLocked("start", fmt.Sprintf("%s was ready after %v", name, inc.readyAt-inc.startedAt))
	}
	for _, v := range inc.loggedViolations {
		h.recordViolationLocked("violation", name+": "+v)
	}
}
