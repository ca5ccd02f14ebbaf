package workers

import (
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// Traffic counts calls to workers since the start, and the connections opened for them.
type Traffic struct {
	Attempts     Calls // reads and writes
	Control      Calls // place requests and releases
	Releases     int64 // releases requested by the driver; each takes one call or more
	ReleaseTries int64 // release calls to workers
}

// Calls counts the calls of one kind.
type Calls struct {
	Made        int64
	Opened      int64 // calls made on a new connection
	ClosedEarly int64 // calls whose new connection the worker closed before a response began
}

// MarshalLogObject writes the counts as log fields.
func (t Traffic) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for _, c := range []struct {
		name  string
		calls Calls
	}{{"attempts", t.Attempts}, {"control", t.Control}} {
		enc.AddInt64(c.name, c.calls.Made)
		enc.AddInt64(c.name+"-opened", c.calls.Opened)
		enc.AddInt64(c.name+"-turned-away", c.calls.ClosedEarly)
	}
	enc.AddInt64("releases", t.Releases)
	enc.AddInt64("release-tries", t.ReleaseTries)
	return nil
}

// callCounts has the counters of Calls.
type callCounts struct{ made, opened, closedEarly atomic.Int64 }

func (c *callCounts) snapshot() Calls {
	return Calls{Made: c.made.Load(), Opened: c.opened.Load(), ClosedEarly: c.closedEarly.Load()}
}

// traffic has the counters of Traffic.
type traffic struct {
	attempts, control      callCounts
	releases, releaseTries atomic.Int64
}

func (t *traffic) counts(control bool) *callCounts {
	if control {
		return &t.control
	}
	return &t.attempts
}

// Traffic returns the counts since the start.
func (c *Client) Traffic() Traffic {
	return Traffic{Attempts: c.traffic.attempts.snapshot(), Control: c.traffic.control.snapshot(),
		Releases: c.traffic.releases.Load(), ReleaseTries: c.traffic.releaseTries.Load()}
}
