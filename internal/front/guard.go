package front

import (
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/idempotency"
	"gannethook/internal/settings"
)

// guard holds the table of keys of all sessions.
type guard struct {
	mu    sync.Mutex
	table *idempotency.Table
	start time.Time
	set   gannethook.Settings
}

func newGuard(cfg *settings.File) *guard {
	return &guard{table: idempotency.New(cfg.Limits.Remember, cfg.Limits.Keys), start: time.Now(), set: cfg.Module()}
}

func (g *guard) begin(n idempotency.Scope, retry bool) idempotency.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(time.Since(g.start), n, &g.set.Classes[n.Class], retry)
}

func (g *guard) end(n idempotency.Scope, mayHaveRun bool) {
	if n.Key == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Since(g.start), n, mayHaveRun)
}
