package driver

import (
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
)

// Repeat describes a further attempt or a refusal of a request with side effects, made after the router had closed the
// connection of an earlier attempt, or while that was in flight.
type Repeat struct {
	Request  string
	Server   string        // of the further attempt; empty: it was a refusal
	Reads    bool          // the further attempt is a read
	Earlier  string        // server of the earlier attempt
	Ended    string        // detail of its end, as in the log
	InFlight bool          // the earlier attempt has not ended
	After    time.Duration // time since the earlier attempt's connection was closed
}

// recordClose records when the router closed the attempt's connection before the answer had ended.
func (a *attemptState) recordClose(r attempt.Result, closedAt time.Time) {
	if attemptEnd(r) == heldstate.ClosedByRouter {
		a.closedAt = closedAt
	}
}

// reportRepeat reports a further attempt or a refusal that was sent at the given time, with the latest earlier attempt that
// was closed by the router or is in flight. Only the first `before` attempts are considered.
func (c *Call) reportRepeat(before int, server string, reads bool, sent time.Time) {
	if c.d.cfg.OnRepeat == nil || c.effect() == guard.Safe || sent.IsZero() {
		return
	}
	r, found := Repeat{Request: c.job.Name, Server: server, Reads: reads}, false
	for _, a := range c.attempts[:before] {
		switch {
		case a.closedAt.IsZero() && !a.inFlight:
			continue // answered, never sent, or ended by its server
		case a.inFlight:
			r.Earlier, r.Ended, r.InFlight, r.After = string(a.server), "in flight", true, 0
			found = true
		case !found || !r.InFlight && sent.Sub(a.closedAt) < r.After:
			r.Earlier, r.Ended, r.After = string(a.server), a.detail, sent.Sub(a.closedAt)
			found = true
		}
	}
	if found {
		c.d.cfg.OnRepeat(r)
	}
}
