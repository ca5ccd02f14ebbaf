package workers

import (
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// Traffic counts calls to workers since the start, and the connections made for them.
type Traffic struct {
	Attempts     Calls // reads and writes
	Control      Calls // places and releases
	Releases     int64 // releases that were asked for; each is tried at one worker or more
	ReleaseTries int64
}

// Calls counts the calls of one kind.
type Calls struct {
	Made        int64
	Opened      int64 // of these, on a new connection
	ClosedEarly int64 // of these, its worker ended the connection before an answer had begun
}

// MarshalLogObject writes the counts to a log.
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

// callCounts are the counts behind Calls.
type callCounts struct{ made, opened, turnedAway atomic.Int64 }

func (c *callCounts) read() Calls {
	return Calls{Made: c.made.Load(), Opened: c.opened.Load(), ClosedEarly: c.turnedAway.Load()}
}

// traffic is the counts behind Traffic.
type traffic struct {
	attempts, control      callCounts
	releases, releaseTries atomic.Int64
}

func (t *traffic) of(control bool) *callCounts {
	if control {
		return &t.control
	}
	return &t.attempts
}

// Traffic is what passed to workers since the start.
func (c *Client) Traffic() Traffic {
	return Traffic{Attempts: c.traffic.attempts.read(), Control: c.traffic.control.read(),
		Releases: c.traffic.releases.Load(), ReleaseTries: c.traffic.releaseTries.Load()}
}
