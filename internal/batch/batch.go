// Package batch decides how a request of many texts is split into parts that go
// to servers apart, when each part is asked for, and what becomes of the whole:
// exactly one final answer. It has no I/O and no clock.
package batch

import (
	"math"
	"time"
)

// Limits size the parts.
type Limits struct {
	Tokens float64       // of a part, but for a text that is longer alone
	Items  int           // texts of a part
	Out    int           // parts out at once
	Tries  int           // of a part that is refused: each waits twice as long as the one before
	Margin time.Duration // before the deadline: no part is asked for again later than that
}

// Part is the texts from From to before To.
type Part struct {
	From, To int
	Tokens   float64
}

// Split cuts texts, of so many tokens each, into parts in order. As reading is
// priced by the square of what is read, parts are made alike rather than the
// last one small. whole keeps all together: where a part may run twice, or half
// of the whole may not run, the parts could not be answered as one.
func Split(sizes []float64, lim Limits, whole bool) []Part {
	all := 0.0
	for _, n := range sizes {
		all += n
	}
	if whole || len(sizes) == 0 {
		return []Part{{0, len(sizes), all}}
	}
	count := max(math.Ceil(all/lim.Tokens), math.Ceil(float64(len(sizes))/float64(lim.Items)), 1)
	tokens, items := all/count, int(math.Ceil(float64(len(sizes))/count))
	var list []Part
	p := Part{}
	for i, n := range sizes {
		// A text goes to the part whose fair end it is nearer to, within the bounds.
		over := p.Tokens+n > lim.Tokens || p.Tokens+n/2 > tokens && p.Tokens > 0 || i-p.From >= min(lim.Items, max(items, 1)*2)
		if i > p.From && over {
			p.To = i
			list = append(list, p)
			p = Part{From: i}
		}
		p.Tokens += n
	}
	p.To = len(sizes)
	return append(list, p)
}

// Kind tells how a part or the whole ended.
type Kind int

// The ends.
const (
	Served Kind = iota + 1
	Refused
	Failed
	Cancelled
)

// End is how a part or the whole ended.
type End struct {
	Kind       Kind
	RetryAfter time.Duration
	Reason     string
	MayHaveRun bool
}

// Action is something that a batch wants done.
type Action interface{ isAction() }

// The actions.
type (
	// Ask asks for a part.
	Ask struct {
		Part  int
		Again bool // it was refused before
		Begun bool // other parts have run
	}
	// Drop takes a part back that is out.
	Drop struct{ Part int }
	// Wake asks for a call of Wake at a time.
	Wake struct{ At time.Duration }
	// Final is the whole's one answer; nothing follows but Drops.
	Final struct{ End }
)

func (Ask) isAction()   {}
func (Drop) isAction()  {}
func (Wake) isAction()  {}
func (Final) isAction() {}

// state of a part.
type state int

const (
	waits state = iota
	out
	later // it was refused and is asked for again at its time
	done
)

type part struct {
	state state
	tries int
	at    time.Duration // when it is asked for again
}

// Machine is one batch on its way.
type Machine struct {
	lim      Limits
	deadline time.Duration
	free     bool // a refusal is harmless though parts have run
	parts    []part
	next     int // first that was never asked for
	out      int
	left     int // parts that are not served
	ran      bool
	over     bool
}

// New returns a batch of so many parts. free tells that all may run twice, so
// that the whole may be refused after some parts ran.
func New(parts int, lim Limits, deadline time.Duration, free bool) *Machine {
	return &Machine{lim: lim, deadline: deadline, free: free, parts: make([]part, parts), left: parts}
}

// Start asks for the first parts.
func (m *Machine) Start(now time.Duration) []Action { return m.fill(now, nil) }

// fill asks for parts while fewer are out than may be: those that were refused
// and are due first, for all wait for them.
func (m *Machine) fill(now time.Duration, acts []Action) []Action {
	for i := range m.parts {
		if p := &m.parts[i]; m.out < m.lim.Out && p.state == later && p.at <= now {
			acts = m.ask(i, true, acts)
		}
	}
	for ; m.next < len(m.parts) && m.out < m.lim.Out; m.next++ {
		acts = m.ask(m.next, false, acts)
	}
	return acts
}

func (m *Machine) ask(i int, again bool, acts []Action) []Action {
	m.parts[i].state = out
	m.parts[i].tries++
	m.out++
	return append(acts, Ask{i, again, m.ran})
}

// Wake asks for parts again whose time has come.
func (m *Machine) Wake(now time.Duration) []Action {
	if m.over {
		return nil
	}
	return m.fill(now, nil)
}

// Ended takes a part's answer.
func (m *Machine) Ended(now time.Duration, i int, e End) []Action {
	if m.over || i < 0 || i >= len(m.parts) || m.parts[i].state != out {
		return nil
	}
	p := &m.parts[i]
	m.out--
	m.ran = m.ran || e.MayHaveRun
	switch e.Kind {
	case Served:
		p.state = done
		if m.left--; m.left == 0 {
			return m.finish(End{Kind: Served, MayHaveRun: m.ran})
		}
		return m.fill(now, nil)
	case Refused:
		// A batch of which nothing has run is refused at once: its client learns that there is no room, and no work
		// is lost. One that has begun goes on trying, for what has run would be.
		if at := now + e.RetryAfter<<min(p.tries-1, 6); (m.ran || m.out > 0) && p.tries < m.lim.Tries && at < m.deadline-m.lim.Margin {
			p.state, p.at = later, at
			return m.fill(now, []Action{Wake{at}})
		}
	}
	p.state = done
	// No API has half an answer: what one part lacks, all lack.
	return m.finish(End{Kind: m.kind(e.Kind), RetryAfter: e.RetryAfter, Reason: e.Reason, MayHaveRun: m.ran || m.out > 0})
}

// kind is the whole's, by the part that ended it. Guards rule 2: a refusal
// promises that trying again is harmless, and another part may have run.
func (m *Machine) kind(of Kind) Kind {
	if of == Refused && !m.free && (m.ran || m.out > 0) {
		return Failed
	}
	return of
}

// Left takes the whole back: its client is gone.
func (m *Machine) Left() []Action {
	if m.over {
		return nil
	}
	return m.finish(End{Kind: Cancelled, MayHaveRun: m.ran || m.out > 0})
}

func (m *Machine) finish(e End) []Action {
	m.over = true
	acts := []Action{Final{e}}
	for i := range m.parts {
		if m.parts[i].state == out {
			acts = append(acts, Drop{i})
		}
	}
	return acts
}
