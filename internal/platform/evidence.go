package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
	"gannethook/internal/heldstate"
	"gannethook/internal/holdmonitor"
)

// nearClose is how near behind a close a further attempt or a refusal is told of at the default level, where the effect counts.
const nearClose = 100 * time.Millisecond

// Lines of requests that ended badly, at the level that the router ships with. They are bounded: on an overloaded day
// most requests may be refused, and a line costs as much as some decisions.
const (
	evidencePerSecond = 10  // lines in the mean
	evidenceBurst     = 200 // lines at once, after a quiet time
)

// evidence writes what an incident is worked from: each request that was not served, and what is held for longer than
// it should be. All but account is the driver's goroutine's.
type evidence struct {
	log    *zap.Logger
	traced bool // every request has its line
	budget float64
	at     time.Time
	missed atomic.Int64 // lines that were not written for want of budget
}

func newEvidence(log *zap.Logger) *evidence {
	return &evidence{log: log, traced: log.Core().Enabled(zap.DebugLevel), budget: evidenceBurst, at: time.Now()}
}

// tells whether a request that ended so has a line.
func (e *evidence) tells(kind driver.Outcome) bool {
	return e.traced || kind != driver.Served && e.allows()
}

// allows takes one line from the budget.
func (e *evidence) allows() bool {
	now := time.Now()
	e.budget = min(e.budget+evidencePerSecond*now.Sub(e.at).Seconds(), evidenceBurst)
	e.at = now
	if e.budget < 1 {
		e.missed.Add(1)
		return false
	}
	e.budget--
	return true
}

// request writes one request's line.
func (e *evidence) request(s driver.Summary) {
	level := zap.InfoLevel
	if s.Outcome == driver.Served {
		level = zap.DebugLevel
	}
	if line := e.log.Check(level, "request"); line != nil {
		line.Write(zap.String("id", s.Name), zap.String("class", s.Class), zap.String("session", s.Session), zap.Stringer("outcome", s.Outcome),
			zap.String("reason", s.Reason), zap.Strings("ends", s.AttemptEnds), zap.Durations("let-go", s.ReleasedAfter), zap.Float64("read", s.Read), zap.Float64("kept", s.CachedTokens), zap.String("reader", s.Reader),
			zap.String("writer", s.Writer), zap.Duration("first", s.FirstToken), zap.Duration("whole", s.Total), zap.Int64("lines-not-written", e.missed.Load()))
	}
}

// owed writes what has been owed for half of its time.
func (e *evidence) owed(r heldstate.Report) {
	if e.allows() {
		e.log.Info("still held", zap.String("id", r.Request), zap.Duration("owed", r.PendingFor), zap.Int("releases", r.Releases),
			zap.Strings("at", r.Holders), zap.Strings("unheard", r.Unconfirmed))
	}
}

// silent writes of which request nothing was heard although something may be held for it.
func (e *evidence) silent(r holdmonitor.Report) {
	if e.allows() {
		e.log.Info("nothing heard", zap.String("id", r.Request), zap.Duration("silent", r.SilentFor), zap.Strings("calls", r.Calls))
	}
}

// repeated writes which attempt or refusal came behind the close of an earlier attempt, where the effect counts.
func (e *evidence) repeated(r driver.Repeat) {
	near := r.InFlight || r.After < nearClose
	if !e.traced && !(near && e.allows()) {
		return
	}
	level := zap.DebugLevel
	if near {
		level = zap.InfoLevel
	}
	e.log.Log(level, "behind a close", zap.String("id", r.Request), zap.String("server", r.Server), zap.Bool("reads", r.Reads),
		zap.Duration("behind", r.After), zap.Bool("in-flight", r.InFlight), zap.String("earlier", r.Earlier), zap.String("ended", r.Ended))
}

// forgot writes what is given up.
func (e *evidence) forgot(f heldstate.AbandonedEntry) {
	if e.allows() {
		e.log.Warn("held, and given up", zap.String("id", f.Request), zap.Duration("owed", f.PendingFor), zap.Strings("at", f.Servers), zap.Stringer("why", f.Reason))
	}
}

// account writes how many lines the bound left out.
func (e *evidence) account() {
	if n := e.missed.Load(); n > 0 {
		e.log.Info("lines of requests not written", zap.Int64("lines", n))
	}
}
