// Package batch splits a request of many texts into parts that run on different servers, decides when each part is
// submitted, and combines their ends into exactly one final answer. It does no I/O and has no clock: each call passes
// the time.
package batch

import (
	"math"
	"time"
)

// Limits bounds the parts of a batch.
type Limits struct {
	MaxTokens   float64       // maximum tokens of a part, unless it is a single longer text
	MaxTexts    int           // maximum texts of a part
	MaxInFlight int           // maximum parts in flight
	MaxAttempts int           // maximum attempts of a part that is refused; the delay doubles with each
	RetryMargin time.Duration // no part is retried within this time before the deadline
}

// Part is the texts from index From up to but not including To.
type Part struct {
	From, To int
	Tokens   float64
}

// Split divides texts, given by their sizes in tokens, into consecutive parts. As the price of a read grows with the
// square of its size, the parts are of similar size rather than full with a small last one. whole keeps all texts in one
// part, for work of which a part must not run twice or run without the rest: its parts could not be answered as one.
func Split(sizes []float64, limits Limits, whole bool) []Part {
	total := 0.0
	for _, n := range sizes {
		total += n
	}
	if whole || len(sizes) == 0 {
		return []Part{{0, len(sizes), total}}
	}
	count := max(math.Ceil(total/limits.MaxTokens), math.Ceil(float64(len(sizes))/float64(limits.MaxTexts)), 1)
	tokens, items := total/count, int(math.Ceil(float64(len(sizes))/count))
	var list []Part
	p := Part{}
	for i, n := range sizes {
		// Within the bounds, a part ends where its size is nearest to the mean size of a part.
		cut := p.Tokens+n > limits.MaxTokens || p.Tokens+n/2 > tokens && p.Tokens > 0 || i-p.From >= min(limits.MaxTexts, max(items, 1)*2)
		if i > p.From && cut {
			p.To = i
			list = append(list, p)
			p = Part{From: i}
		}
		p.Tokens += n
	}
	p.To = len(sizes)
	return append(list, p)
}

// Kind is the outcome of a part or of the batch.
type Kind int

// The outcomes.
const (
	Served Kind = iota + 1
	Refused
	Failed
	Cancelled
)

// End is how a part or the batch ended.
type End struct {
	Kind       Kind
	RetryAfter time.Duration
	Reason     string
	MayHaveRun bool
}

// Action is an action that the caller performs for a batch.
type Action interface{ isAction() }

// The actions.
type (
	// Submit submits a part.
	Submit struct {
		Part     int
		Retry    bool // the part was refused before: a retry
		PartsRun bool // other parts may have run
	}
	// Cancel cancels a part that is in flight.
	Cancel struct{ Part int }
	// Wake requests a call of Machine.Wake at the given time.
	Wake struct{ At time.Duration }
	// Final is the one answer of the batch; only Cancel actions follow it.
	Final struct{ End }
)

func (Submit) isAction() {}
func (Cancel) isAction() {}
func (Wake) isAction()   {}
func (Final) isAction()  {}

// partState is the state of a part.
type partState int

const (
	partWaiting partState = iota
	partInFlight
	partBackoff // refused; waits for its retry
	partDone
)

type part struct {
	state    partState
	attempts int
	retryAt  time.Duration // time of the retry in state partBackoff
}

// Machine is the state machine of one batch. It is not safe for concurrent use.
type Machine struct {
	limits     Limits
	deadline   time.Duration
	repeatable bool // parts may run twice, so that the batch may be refused after some ran
	parts      []part
	next       int // first part that was never submitted
	inFlight   int
	remaining  int  // parts not served yet
	mayHaveRun bool // a part that ended may have run
	finished   bool // Final has been returned
}

// New returns the state machine of a batch with the given number of parts. repeatable means that all parts may run
// twice, so that the batch may be refused after some parts ran.
func New(parts int, limits Limits, deadline time.Duration, repeatable bool) *Machine {
	return &Machine{limits: limits, deadline: deadline, repeatable: repeatable, parts: make([]part, parts), remaining: parts}
}

// Start submits the first parts.
func (m *Machine) Start(now time.Duration) []Action { return m.submitParts(now, nil) }

// submitParts submits parts up to the bound of parts in flight. Retries that are due come first, since the whole batch
// waits for them.
func (m *Machine) submitParts(now time.Duration, actions []Action) []Action {
	for i := range m.parts {
		if p := &m.parts[i]; m.inFlight < m.limits.MaxInFlight && p.state == partBackoff && p.retryAt <= now {
			actions = m.submit(i, true, actions)
		}
	}
	for ; m.next < len(m.parts) && m.inFlight < m.limits.MaxInFlight; m.next++ {
		actions = m.submit(m.next, false, actions)
	}
	return actions
}

func (m *Machine) submit(i int, retry bool, actions []Action) []Action {
	m.parts[i].state = partInFlight
	m.parts[i].attempts++
	m.inFlight++
	return append(actions, Submit{i, retry, m.mayHaveRun})
}

// Wake submits the retries that are due.
func (m *Machine) Wake(now time.Duration) []Action {
	if m.finished {
		return nil
	}
	return m.submitParts(now, nil)
}

// Ended records how a part in flight ended.
func (m *Machine) Ended(now time.Duration, i int, e End) []Action {
	if m.finished || i < 0 || i >= len(m.parts) || m.parts[i].state != partInFlight {
		return nil
	}
	p := &m.parts[i]
	m.inFlight--
	m.mayHaveRun = m.mayHaveRun || e.MayHaveRun
	switch e.Kind {
	case Served:
		p.state = partDone
		if m.remaining--; m.remaining == 0 {
			return m.finish(End{Kind: Served, MayHaveRun: m.mayHaveRun})
		}
		return m.submitParts(now, nil)
	case Refused:
		// A batch of which nothing has run is refused at once: its client learns of the overload early and no work is
		// lost. A batch that has begun retries the part, since a refusal would waste what has run.
		if retryAt := now + e.RetryAfter<<min(p.attempts-1, 6); (m.mayHaveRun || m.inFlight > 0) &&
			p.attempts < m.limits.MaxAttempts && retryAt < m.deadline-m.limits.RetryMargin {
			p.state, p.retryAt = partBackoff, retryAt
			return m.submitParts(now, []Action{Wake{retryAt}})
		}
	}
	p.state = partDone
	// No API has a partial answer: if one part isn't served, the batch isn't.
	return m.finish(End{Kind: m.batchKind(e.Kind), RetryAfter: e.RetryAfter, Reason: e.Reason,
		MayHaveRun: m.mayHaveRun || m.inFlight > 0})
}

// batchKind returns the outcome of a batch, given that of the part that ended it. This guards rule 2 (a request that is
// unsafe to repeat never runs twice): a refusal promises that a retry is harmless, but another part may have run.
func (m *Machine) batchKind(part Kind) Kind {
	if part == Refused && !m.repeatable && (m.mayHaveRun || m.inFlight > 0) {
		return Failed
	}
	return part
}

// ClientDisconnected cancels the batch because its client disconnected.
func (m *Machine) ClientDisconnected() []Action {
	if m.finished {
		return nil
	}
	return m.finish(End{Kind: Cancelled, MayHaveRun: m.mayHaveRun || m.inFlight > 0})
}

func (m *Machine) finish(e End) []Action {
	m.finished = true
	actions := []Action{Final{e}}
	for i := range m.parts {
		if m.parts[i].state == partInFlight {
			actions = append(actions, Cancel{i})
		}
	}
	return actions
}
