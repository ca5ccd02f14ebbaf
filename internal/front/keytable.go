package front

import (
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/idempotency"
	"gannethook/internal/settings"
)

// keyTable is the idempotency-key table shared by all sessions and HTTP requests.
type keyTable struct {
	mu       sync.Mutex
	table    *idempotency.Table
	start    time.Time
	settings gannethook.Settings
}

func newKeyTable(cfg *settings.File) *keyTable {
	return &keyTable{table: idempotency.New(cfg.Limits.KeyRetention, cfg.Limits.MaxKeys), start: time.Now(), settings: cfg.Module()}
}

func (g *keyTable) begin(scope idempotency.Scope, retry bool) idempotency.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(time.Since(g.start), scope, &g.settings.Classes[scope.Class], retry)
}

func (g *keyTable) end(scope idempotency.Scope, mayHaveRun bool) {
	if scope.Key == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Since(g.start), scope, mayHaveRun)
}
