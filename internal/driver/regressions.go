package driver

import (
	"gannethook/internal/faults"
	"gannethook/internal/heldstate"
)

// regressions are the keys beside whose write a release was made, in a build that brings back a fault that was once made: with
// forget and spared such a release counted as the last one that is needed. In the shipped build nothing is ever added.
type regressions map[string]bool

// skips tells whether a release is not made, as in the fault that is brought back.
func (o regressions) skips(c heldstate.ReleaseCall) bool {
	if !faults.Enabled || c.Probe {
		return false
	}
	switch {
	case faults.Broken(faults.BreakBeside):
		return c.Concurrent == heldstate.WriteInFlight
	case faults.Broken(faults.BreakInFlight):
		return c.Concurrent == heldstate.ReadInFlight
	case faults.Broken(faults.BreakSpared) && o[c.Key]:
		return c.Concurrent != heldstate.NoAttempt || c.Flush
	case o.dropsKey(c.Key):
		return true
	}
	if c.Concurrent == heldstate.WriteInFlight && (faults.Broken(faults.BreakSpared) || faults.Broken(faults.BreakForget)) {
		o[c.Key] = true
	}
	return false
}

// dropsKey tells whether nothing more is let go by a key, as in the fault that is brought back.
func (o regressions) dropsKey(key string) bool {
	return faults.Broken(faults.BreakForget) && o[key]
}
