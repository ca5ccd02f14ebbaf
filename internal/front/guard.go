package front

import (
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/keys"
	"gannethook/internal/settings"
)

// guard holds the table of keys of all sessions.
type guard struct {
	mu    sync.Mutex
	table *keys.Table
	start time.Time
	cfg   *settings.File
}

func newGuard(cfg *settings.File) *guard {
	return &guard{table: keys.New(cfg.Limits.Remember, cfg.Limits.Keys), start: time.Now(), cfg: cfg}
}

func (g *guard) begin(n keys.Name, retry bool) keys.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.cfg.Classes[n.Class]
	return g.table.Begin(time.Since(g.start), n, gannethook.Effect(c.Effect), gannethook.Group(c.Group), retry)
}

func (g *guard) end(n keys.Name, mayHaveRun bool) {
	if n.Key == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Since(g.start), n, mayHaveRun)
}
