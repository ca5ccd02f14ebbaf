package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// nearCloseWindow is the time after the close of an attempt within which a further attempt or a refusal of the same
// request is logged at info, if the request must not run twice. Later ones are logged at debug.
const nearCloseWindow = 100 * time.Millisecond

// Rate limit of incident lines. Under overload most requests may be refused, and writing a line costs as much as
// several routing decisions.
const (
	incidentLinesPerSecond = 10  // refill rate of the token bucket
	incidentLineBurst      = 200 // its capacity
)

// incidentLog logs what operators need to analyse an incident: requests that were not served, and state that is held
// for longer than it should be. All methods but logDropped are called on the driver's goroutine.
type incidentLog struct {
	log        *zap.Logger
	logAll     bool // log every request, regardless of its outcome
	tokens     float64
	refilledAt time.Time
	dropped    atomic.Int64 // lines suppressed by the rate limit
}

func newIncidentLog(log *zap.Logger) *incidentLog {
	return &incidentLog{log: log, logAll: log.Core().Enabled(zap.DebugLevel), tokens: incidentLineBurst, refilledAt: time.Now()}
}

// wantsSummary reports whether to log a request with this outcome. Unless all are logged, one that was not served takes
// a token.
func (e *incidentLog) wantsSummary(outcome driver.Outcome) bool {
	return e.logAll || outcome != driver.Served && e.allow()
}

// allow takes a token for one line from the bucket, or counts the line as dropped.
func (e *incidentLog) allow() bool {
	now := time.Now()
	e.tokens = min(e.tokens+incidentLinesPerSecond*now.Sub(e.refilledAt).Seconds(), incidentLineBurst)
	e.refilledAt = now
	if e.tokens < 1 {
		e.dropped.Add(1)
		return false
	}
	e.tokens--
	return true
}

// summary logs one finished request.
func (e *incidentLog) summary(s driver.Summary) {
	level := zap.InfoLevel
	if s.Outcome == driver.Served {
		level = zap.DebugLevel
	}
	if line := e.log.Check(level, "request"); line != nil {
		line.Write(zap.String("id", s.Name), zap.String("class", s.Class), zap.String("session", s.Session), zap.Stringer("outcome", s.Outcome),
			zap.String("reason", s.Reason), zap.Strings("ends", s.AttemptEnds), zap.Durations("let-go", s.ReleasedAfter), zap.Float64("read", s.ReadTokens), zap.Float64("kept", s.CachedTokens), zap.String("reader", s.Reader),
			zap.String("writer", s.Writer), zap.Duration("first", s.FirstToken), zap.Duration("whole", s.Total), zap.Int64("lines-not-written", e.dropped.Load()))
	}
}

// pendingRelease logs state whose release has been pending for half of its limit.
func (e *incidentLog) pendingRelease(r heldstate.Report) {
	if e.allow() {
		e.log.Info("still held", zap.String("id", r.Request), zap.Duration("owed", r.PendingFor), zap.Int("releases", r.Releases),
			zap.Strings("at", r.Holders), zap.Strings("unheard", r.Unconfirmed))
	}
}

// silence logs a request for which workers may hold state and none has answered for half of the limit.
func (e *incidentLog) silence(r holdmonitor.Report) {
	if e.allow() {
		e.log.Info("nothing heard", zap.String("id", r.Request), zap.Duration("silent", r.UnansweredFor), zap.Strings("calls", r.Calls))
	}
}

// repeat logs an attempt or refusal of a request that must not run twice, after the close of an earlier attempt or
// while that is in flight.
func (e *incidentLog) repeat(r driver.Repeat) {
	near := r.InFlight || r.After < nearCloseWindow
	if !e.logAll && !(near && e.allow()) {
		return
	}
	level := zap.DebugLevel
	if near {
		level = zap.InfoLevel
	}
	e.log.Log(level, "behind a close", zap.String("id", r.Request), zap.String("server", r.Server), zap.Bool("reads", r.Reads),
		zap.Duration("behind", r.After), zap.Bool("in-flight", r.InFlight), zap.String("earlier", r.Earlier), zap.String("ended", r.Ended))
}

// abandoned logs held state that the router stops trying to release.
func (e *incidentLog) abandoned(f heldstate.AbandonedEntry) {
	if e.allow() {
		e.log.Warn("held, and given up", zap.String("id", f.Request), zap.Duration("owed", f.PendingFor), zap.Strings("at", f.Servers), zap.Stringer("why", f.Reason))
	}
}

// logDropped logs the number of lines that the rate limit suppressed.
func (e *incidentLog) logDropped() {
	if n := e.dropped.Load(); n > 0 {
		e.log.Info("incident lines suppressed by the rate limit", zap.Int64("lines", n))
	}
}
