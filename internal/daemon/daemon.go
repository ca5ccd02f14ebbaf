// Package daemon puts a router together: settings, roster, driver, engines'
// client and clients' front, in one process.
package daemon

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gannethook"
	"gannethook/internal/baseline"
	"gannethook/internal/driver"
	"gannethook/internal/engine"
	"gannethook/internal/front"
	"gannethook/internal/roster"
	"gannethook/internal/settings"
)

// Daemon is a running router.
type Daemon struct {
	cfg    *settings.File
	log    *zap.Logger
	client *engine.Client
	driver *driver.Driver
	front  *front.Server
	ln     net.Listener

	stopWork context.CancelFunc
	work     sync.WaitGroup
	listed   chan struct{} // closed at the first list
	once     sync.Once
	stopping sync.Once
}

// Start starts a router on its settings. It serves at once; requests that come
// before the first list wait as the module has them wait.
// policy names a baseline in place of the module, for comparisons; "" is the module.
func Start(cfg *settings.File, policy string, log *zap.Logger) (*Daemon, error) {
	decider, err := decider(cfg, policy)
	if err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, log: log, client: engine.NewClient(cfg.EngineLimits()), listed: make(chan struct{})}
	d.driver, err = driver.New(driver.Config{Settings: cfg.Module(), Decider: decider, Name: cfg.Name, Seed: cfg.Seed,
		Inbox: cfg.Limits.Inbox, MaxOpen: cfg.Limits.Open, Engines: d.client, Done: d.done})
	if err == nil {
		d.ln, err = net.Listen("tcp", cfg.Listen)
	}
	if err != nil {
		d.client.Close()
		return nil, err
	}
	d.front = front.NewServer(cfg, d.driver, d.done)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopWork = cancel
	d.work.Go(func() { d.driver.Run(ctx) })
	d.follow(ctx)
	d.work.Go(func() { d.front.Serve(d.ln) })
	log.Info("ready", zap.String("router", cfg.Name), zap.String("listen", d.Addr()))
	return d, nil
}

func decider(cfg *settings.File, policy string) (driver.Decider, error) {
	if policy == "" || policy == "module" {
		return nil, nil
	}
	return baseline.New(policy, cfg.Module(), cfg.Seed)
}

// follow starts to follow the roster.
func (d *Daemon) follow(ctx context.Context) {
	names := roster.Names{Zones: d.cfg.Zones}
	for _, k := range d.cfg.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	r := d.cfg.Roster
	if r.File != "" {
		f := &roster.File{Path: r.File, Every: r.Every, Names: names, Publish: d.update, Report: d.warn("roster")}
		d.work.Go(func() { f.Run(ctx) })
		return
	}
	w := &roster.Watch{Addr: r.Watch, Namespace: r.Namespace, Service: r.Service, Agent: d.cfg.Name,
		Silence: r.Silence, Seed: d.cfg.Seed, Names: names, Publish: d.update, Report: d.warn("roster")}
	if r.Cache != "" {
		var err error
		if w.Start, err = roster.LoadCache(r.Cache, names); err != nil {
			d.log.Warn("the kept list can't be used", zap.Error(err))
		}
		w.Keep = func(list []gannethook.Server) {
			if err := roster.SaveCache(r.Cache, list); err != nil {
				d.log.Warn("the list can't be kept", zap.Error(err))
			}
		}
	}
	d.work.Go(func() { w.Run(ctx) })
}

func (d *Daemon) warn(part string) func(error) {
	return func(err error) { d.log.Warn(part, zap.Error(err)) }
}

func (d *Daemon) update(m gannethook.Membership) {
	d.driver.Update(m)
	ready := 0
	for _, s := range m.Servers {
		if s.State == gannethook.Ready {
			ready++
			d.client.Warm(string(s.ID))
		}
	}
	d.log.Debug("list", zap.Bool("whole", m.Whole), zap.Int("servers", len(m.Servers)), zap.Int("ready", ready))
	d.once.Do(func() { close(d.listed) })
}

// Addr is where the router listens.
func (d *Daemon) Addr() string { return d.ln.Addr().String() }

// Listed is closed once the roster was heard.
func (d *Daemon) Listed() <-chan struct{} { return d.listed }

// done logs one line a request.
func (d *Daemon) done(s driver.Summary) {
	ends := slices.DeleteFunc(s.Ends, func(e string) bool { return e == "" })
	d.log.Info("request", zap.Uint64("id", s.ID), zap.String("session", s.Session), zap.String("class", s.Class),
		zap.String("reader", s.Reader), zap.String("writer", s.Writer), zap.Int("attempts", s.Attempts),
		zap.Stringer("outcome", s.Outcome), zap.String("reason", s.Reason), zap.Float64("prompt", s.PromptSize),
		zap.Int("tokens", s.Tokens), zap.Duration("first", s.FirstToken), zap.Duration("whole", s.Whole),
		zap.Duration("retry_after", s.RetryAfter), zap.Strings("ends", ends))
}

// Stop takes nothing new, lets open requests end within the settings' drain
// time or until the context ends, and then ends everything.
// Further calls wait for the first.
func (d *Daemon) Stop(ctx context.Context) { d.stopping.Do(func() { d.stop(ctx) }) }

func (d *Daemon) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Sessions.Drain)
	defer cancel()
	from := time.Now()
	d.ln.Close()
	d.front.Shutdown(ctx, d.driver.GiveUp)
	d.stopWork()
	d.work.Wait()
	d.client.Close()
	d.log.Info("stopped", zap.String("router", d.cfg.Name), zap.Duration("took", time.Since(from)))
}

// String names the router and its address.
func (d *Daemon) String() string { return fmt.Sprintf("%s at %s", d.cfg.Name, d.Addr()) }
