package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
	"gannethook/internal/guard"
	"gannethook/internal/platform/workers"
)

// done logs one request.
func (r *Router) done(s driver.Summary) { r.evidence.request(s) }

// denied logs what the guard denied: a violation is a fault of this program.
func (r *Router) denied(d guard.Denial) {
	level := zap.DebugLevel
	if d.Violation {
		level = zap.ErrorLevel
	}
	if e := r.log.Check(level, "denied"); e != nil {
		e.Write(zap.Stringer("action", d.Action), zap.Stringer("reason", d.Reason), zap.String("id", d.Request), zap.Bool("violation", d.Violation))
	}
}

// account logs, at the end, what was denied and why connections closed.
func (r *Router) account() {
	r.evidence.account()
	r.log.Info("stopped", zap.Any("closed", r.clients.Closes()), zap.Any("denied", r.monitor.Counts()), zap.Object("calls", r.workers.Traffic()), zap.Int64("violations", r.monitor.Violations()))
}

// believe logs, every while, each worker as the module sees it beside what passed on its sockets.
func (r *Router) believe(ctx context.Context) {
	tick := time.NewTicker(beliefEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		view, err := r.driver.View(ctx)
		if err != nil {
			return
		}
		seen := map[string]workers.Stats{}
		for _, s := range r.workers.Stats() {
			seen[s.ID] = s
		}
		for _, v := range view {
			s := seen[string(v.ID)]
			r.log.Debug("belief", zap.String("worker", string(v.ID)), zap.Int("kind", v.Kind), zap.Int("state", int(v.State)),
				zap.Float64("freeness", v.Freeness), zap.Float64("charge", v.Charge), zap.Float64("backlog", v.Backlog),
				zap.Int("holds", v.Holds), zap.Int("out", s.InFlight), zap.Int("sent", s.Sent), zap.Int("failed", s.Failed),
				zap.Int("full", s.Rejected), zap.Duration("first", s.TimeToHead), zap.Int("kept", s.Reused), zap.Int("unused", s.Idle))
		}
	}
}
