package driver

import (
	"gannethook/internal/faults"
	"gannethook/internal/heldstate"
)

// regressions are the keys for which a release was made while a write was in flight, in a build that reintroduces a fixed
// fault: with BreakForget and BreakSpared such a release counted as the last one needed. The shipped build adds no key.
type regressions map[string]bool

// skips reports whether a release is not made because of a reintroduced fault.
func (o regressions) skips(c heldstate.ReleaseCall) bool {
	if !faults.Enabled || c.Probe {
		return false
	}
	switch {
	case faults.GuardDisabled(faults.BreakBeside):
		return c.Concurrent == heldstate.WriteInFlight
	case faults.GuardDisabled(faults.BreakInFlight):
		return c.Concurrent == heldstate.ReadInFlight
	case faults.GuardDisabled(faults.BreakSpared) && o[c.Key]:
		return c.Concurrent != heldstate.NoAttempt || c.Flush
	case o.dropsKey(c.Key):
		return true
	}
	if c.Concurrent == heldstate.WriteInFlight && (faults.GuardDisabled(faults.BreakSpared) || faults.GuardDisabled(faults.BreakForget)) {
		o[c.Key] = true
	}
	return false
}

// dropsKey reports whether nothing more is released for a key because of a reintroduced fault.
func (o regressions) dropsKey(key string) bool {
	return faults.GuardDisabled(faults.BreakForget) && o[key]
}
