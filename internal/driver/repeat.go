package driver

import (
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
)

// Repeat tells what a request whose effect counts was given behind an earlier attempt whose connection the router had
// closed, or that was still in flight.
type Repeat struct {
	Request  string
	Server   string // of the further attempt; "": it was a refusal
	Reads    bool   // the further attempt reads
	Earlier  string // server of the earlier attempt
	Ended    string // how that ended, as the log has it
	InFlight bool   // the earlier attempt had not ended
	After    time.Duration
}

// recordClose notes when the router closed an attempt's connection before its answer had ended.
func (a *attemptState) recordClose(r attempt.Result, closedAt time.Time) {
	if attemptEnd(r) == heldstate.ClosedByRouter {
		a.closedAt = closedAt
	}
}

// reportRepeat tells of the earlier attempt that comes nearest before what was sent at a time: a further attempt, or a refusal.
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
