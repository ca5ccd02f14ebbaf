package daemon

import (
	"go.uber.org/zap"

	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// What engines may hold for requests is told where it is not let go in time, and what the router may not do is counted
// and told as on the platform.

// owed logs what has been owed for half of its time.
func (d *Daemon) owed(r heldstate.Report) {
	d.log.Info("still held", zap.String("request", r.Request), zap.Duration("owed", r.PendingFor), zap.Int("releases", r.Releases),
		zap.Strings("at", r.Holders), zap.Strings("unheard", r.Unconfirmed))
}

// silent logs of which request nothing was heard although something may be held for it. Prompts may take long here, so it
// is told at debug alone.
func (d *Daemon) silent(r holdmonitor.Report) {
	d.log.Debug("nothing heard", zap.String("request", r.Request), zap.Duration("silent", r.SilentFor), zap.Strings("calls", r.Calls))
}

// forgot logs what is given up without proof that nothing is held.
func (d *Daemon) forgot(f heldstate.AbandonedEntry) {
	d.log.Warn("held, and given up", zap.String("request", f.Request), zap.Duration("owed", f.PendingFor), zap.Strings("at", f.Servers),
		zap.Stringer("why", f.Reason))
}

// denied logs what the guard denied that should never have been asked for: a fault of this program.
func (d *Daemon) denied(denial guard.Denial) {
	if denial.Violation {
		d.log.Error("denied", zap.Stringer("action", denial.Action), zap.Stringer("reason", denial.Reason), zap.String("request", denial.Request))
	}
}
