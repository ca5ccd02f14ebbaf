package driver

import (
	"slices"
	"time"

	"gannethook"
	"gannethook/internal/guard"
)

// effect returns the consequence of running the request twice.
func (c *Call) effect() guard.Effect {
	switch c.settings.Classes[c.job.Class].Effect {
	case gannethook.Unsafe:
		return guard.Unsafe
	case gannethook.Keyed:
		return guard.Keyed
	}
	return guard.Safe
}

// maySend asks the guard whether the next attempt may be made.
func (c *Call) maySend() bool {
	reason := guard.MaySend(guard.SendFacts{Effect: c.effect(), Answered: c.answered, Streaming: c.streaming,
		EffectInFlight: slices.ContainsFunc(c.attempts, func(a *attemptState) bool { return a.inFlight && !a.isRead }),
		MayHaveRun:     slices.ContainsFunc(c.attempts, func(a *attemptState) bool { return !a.inFlight && a.mayHaveRun() })})
	return c.d.cfg.Guard.Check(guard.Send, reason, c.job.Name)
}

// mayRefuse asks the guard whether a refusal may promise that nothing was done.
func (c *Call) mayRefuse(retryAfter time.Duration) bool {
	reason := guard.MayRefuse(guard.RefuseFacts{Effect: c.effect(), MayHaveRun: c.mayHaveRun(), Remembered: c.remembered(retryAfter)})
	return c.d.cfg.Guard.Check(guard.Refuse, reason, c.job.Name)
}

// mayHaveRun reports whether an attempt at a writer may have run.
func (c *Call) mayHaveRun() bool { return slices.ContainsFunc(c.attempts, (*attemptState).mayHaveRun) }

// mayHaveRun reports whether the attempt may have run: only these outcomes show that it has not.
func (a *attemptState) mayHaveRun() bool {
	if a.isRead {
		return false
	}
	switch a.outcome {
	case gannethook.Full, gannethook.ConnectFailed, gannethook.NotTried, gannethook.Moot:
		return false
	}
	return true
}

// remembered reports whether every server drops a repeat of the request's idempotency key that comes after the advised retry
// delay.
func (c *Call) remembered(retryAfter time.Duration) bool {
	class := &c.settings.Classes[c.job.Class]
	first := slices.IndexFunc(c.attempts, (*attemptState).mayHaveRun)
	if class.Group != gannethook.GroupAll || first < 0 {
		return first < 0
	}
	windowEnd := c.attempts[first].startedAt.Add(time.Duration(float64(class.Window) * 1e6)).Add(clockSlack)
	return !time.Now().Add(retryAfter).After(windowEnd)
}

// clockSlack bounds how far the module's clock, which is read once for each event, may lag behind the time at which the
// action is executed.
const clockSlack = 50 * time.Millisecond
