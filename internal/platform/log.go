package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
	"gannethook/internal/guard"
	"gannethook/internal/platform/workers"
)

// logSummary logs one finished request.
func (r *Router) logSummary(s driver.Summary) { r.incidents.summary(s) }

// logDenial logs an action that the guard denied. A violation is a bug in the router, so it is logged as an error.
func (r *Router) logDenial(d guard.Denial) {
	level := zap.DebugLevel
	if d.Violation {
		level = zap.ErrorLevel
	}
	if e := r.log.Check(level, "denied"); e != nil {
		e.Write(zap.Stringer("action", d.Action), zap.Stringer("reason", d.Reason), zap.String("id", d.Request), zap.Bool("violation", d.Violation))
	}
}

// logTotals logs the totals of the run as the router ends: close reasons, denials, calls to workers and violations.
func (r *Router) logTotals() {
	r.incidents.logDropped()
	r.log.Info("stopped", zap.Any("closed", r.clients.Closes()), zap.Any("denied", r.monitor.Counts()), zap.Object("calls", r.workers.Traffic()), zap.Int64("violations", r.monitor.Violations()))
}

// logWorkerViews periodically logs the module's view of each worker with the statistics of its connections.
func (r *Router) logWorkerViews(ctx context.Context) {
	tick := time.NewTicker(viewLogInterval)
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
		stats := map[string]workers.Stats{}
		for _, s := range r.workers.Stats() {
			stats[s.ID] = s
		}
		for _, v := range view {
			s := stats[string(v.ID)]
			r.log.Debug("belief", zap.String("worker", string(v.ID)), zap.Int("kind", v.Kind), zap.Int("state", int(v.State)),
				zap.Float64("freeness", v.Freeness), zap.Float64("charge", v.Charge), zap.Float64("backlog", v.Backlog),
				zap.Int("holds", v.Holds), zap.Int("out", s.InFlight), zap.Int("sent", s.Sent), zap.Int("failed", s.Failed),
				zap.Int("full", s.Rejected), zap.Duration("first", s.TimeToHead), zap.Int("kept", s.Reused), zap.Int("unused", s.Idle))
		}
	}
}
