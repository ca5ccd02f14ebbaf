package guard

import (
	"fmt"
	"sync/atomic"
)

// Denial describes a step that was denied.
type Denial struct {
	Action    Action
	Reason    Reason
	Request   string // id of the request; empty if it has none
	Violation bool
}

func (d Denial) String() string {
	return fmt.Sprintf("%s of %q: %s", d.Action, d.Request, d.Reason)
}

// Monitor counts denials. A nil Monitor counts nothing. It is safe for concurrent use.
type Monitor struct {
	report     func(Denial) // called on any goroutine; must not block
	denied     [numActions][numReasons]atomic.Int64
	violations atomic.Int64
}

// NewMonitor returns a monitor that passes each denial to report, which may be nil.
func NewMonitor(report func(Denial)) *Monitor { return &Monitor{report: report} }

// Check counts a decision of the guard and reports whether the step is allowed.
func (m *Monitor) Check(a Action, r Reason, request string) bool {
	if r == Allowed {
		return true
	}
	if m == nil {
		return false
	}
	d := Denial{Action: a, Reason: r, Request: request, Violation: r.Violates()}
	m.denied[a][r].Add(1)
	if d.Violation {
		m.violations.Add(1)
	}
	if m.report != nil {
		m.report(d)
	}
	return false
}

// Violations returns the number of denials of steps that should never have been requested.
func (m *Monitor) Violations() int64 { return m.violations.Load() }

// Counts returns the number of denials by "action: reason".
func (m *Monitor) Counts() map[string]int64 {
	counts := map[string]int64{}
	for a := range m.denied {
		for r := range m.denied[a] {
			if n := m.denied[a][r].Load(); n > 0 {
				counts[Action(a).String()+": "+Reason(r).String()] = n
			}
		}
	}
	return counts
}
