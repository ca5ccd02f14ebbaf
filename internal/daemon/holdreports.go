package daemon

import (
	"go.uber.org/zap"

	"gannethook/internal/guard"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// The driver and the guard call the functions below for state that engines hold too long for requests, and for actions
// that the guard denied. The messages and the conditions are those of the platform.

// onPendingRelease logs a release that has been pending for half of its time limit.
func (d *Daemon) onPendingRelease(report heldstate.Report) {
	d.log.Info("still held", zap.String("request", report.Request), zap.Duration("owed", report.PendingFor),
		zap.Int("releases", report.Releases), zap.Strings("at", report.Holders), zap.Strings("unheard", report.Unconfirmed))
}

// onSilence logs a request for which state may be held and of which no engine has answered for a while. It logs at debug
// level because long prompts can legitimately take that long.
func (d *Daemon) onSilence(report holdmonitor.Report) {
	d.log.Debug("nothing heard", zap.String("request", report.Request), zap.Duration("silent", report.UnansweredFor),
		zap.Strings("calls", report.Calls))
}

// onAbandoned logs a release that was abandoned without confirmation that nothing is held.
func (d *Daemon) onAbandoned(entry heldstate.AbandonedEntry) {
	d.log.Warn("held, and given up", zap.String("request", entry.Request), zap.Duration("owed", entry.PendingFor),
		zap.Strings("at", entry.Servers), zap.Stringer("why", entry.Reason))
}

// onDenial logs a denied action that violates an invariant, which is a fault of this program.
func (d *Daemon) onDenial(denial guard.Denial) {
	if denial.Violation {
		d.log.Error("denied", zap.Stringer("action", denial.Action), zap.Stringer("reason", denial.Reason),
			zap.String("request", denial.Request))
	}
}
