// Package platform assembles a router for the users' platform: the HTTP server for
// clients, the HTTP client for workers, the discovery watch and the driver that runs
// the routing module. It owns startup, reload of the configuration and shutdown.
// docs/platform.md describes the protocol, its limits, and logs for operators.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/connpool"
	"gannethook/internal/driver"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/platform/clients"
	"gannethook/internal/platform/config"
	"gannethook/internal/platform/discovery"
	"gannethook/internal/platform/workers"
)

// Times of startup, shutdown and logging.
const (
	firstListTimeout   = 300 * time.Millisecond // wait for the first list before the router is ready, if no worker is known
	streamDrainTimeout = 5 * time.Minute        // wait for open streams to end after the listener has closed

	// The platform kills a router after SIGTERM no sooner than after the longest client
	// deadline, of which it counts at most maxGrace, plus killMargin.
	maxGrace            = 3 * time.Second
	killMargin          = 700 * time.Millisecond
	streamCheckInterval = 50 * time.Millisecond // between checks which streams to end

	viewLogInterval = 2 * time.Second // of the workers' lines at debug
)

// Router is a router of the platform.
type Router struct {
	mu         sync.Mutex // guards cfg and list, and orders their updates to workers, clients and driver
	cfg        *config.Config
	list       discovery.List // the full list, merged from all updates
	env        func(string) string
	log        *zap.Logger
	driver     *driver.Driver
	workers    *workers.Client
	clients    *clients.Server
	watch      *discovery.Watch
	monitor    *guard.Monitor
	incidents  *incidentLog
	sources    chan discovery.Source // the discovery agent of a new configuration
	ready      atomic.Bool
	reloads    chan struct{} // requests to reload the configuration
	listed     chan struct{} // closed at the first answer of discovery
	listedOnce sync.Once
}

// New builds a router; Run starts it. env looks up environment variables, also on reload.
func New(cfg *config.Config, env func(string) string, log *zap.Logger) (*Router, error) {
	r := &Router{cfg: cfg, env: env, log: log, sources: make(chan discovery.Source, 1), reloads: make(chan struct{}, 1),
		listed: make(chan struct{})}
	r.monitor = guard.NewMonitor(r.logDenial)
	r.workers = workers.New(workerLimits(cfg), r.monitor)
	logAll := log.Core().Enabled(zap.DebugLevel)
	r.incidents = newIncidentLog(log)
	var err error
	r.driver, err = driver.New(driver.Config{Settings: cfg.Profile.Settings, Names: names(cfg), Name: cfg.Name, Seed: cfg.Seed,
		InboxSize: 4096, MaxOpen: maxConns(cfg), Engines: r.workers, Guard: r.monitor,
		Trace: logAll, WantsSummary: r.incidents.wantsSummary, OnSummary: r.logSummary, OnPendingRelease: r.incidents.pendingRelease, OnAbandoned: r.incidents.abandoned, OnUnanswered: r.incidents.silence, OnRepeat: r.incidents.repeat})
	if err != nil {
		return nil, err
	}
	r.clients = clients.New(clients.Config{Classes: cfg.Profile.Classes, Submit: r.driver.Submit, Ready: r.ready.Load, Log: log,
		Guard: r.monitor, Limits: clientLimits(cfg)})
	r.watch = &discovery.Watch{OnList: r.onList, Log: log, Rev: -1}
	return r, nil
}

// onList applies a list from discovery and marks the first one.
func (r *Router) onList(l *discovery.List) {
	r.applyList(l)
	r.listedOnce.Do(func() { close(r.listed) })
}

// applyList merges a list and passes it on: first to the client for workers, so that it has their addresses, then to
// the module.
func (r *Router) applyList(l *discovery.List) {
	if faults.GuardDisabled(faults.BreakDrain) && r.monitor != nil && len(r.list.Targets) > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l = r.list.Merge(l, time.Now())
	workerList := make([]workers.Worker, 0, len(l.Targets))
	membership := l.Membership(r.cfg.Profile)
	for i, t := range l.Targets {
		workerList = append(workerList, workers.Worker{ID: t.UID, Addr: t.Endpoint, StartTime: t.Boot,
			Draining: t.State == "DRAINING", Removed: t.State == "DELETED"})
		if membership.Servers[i].Kind < 0 {
			r.log.Warn("a worker's model is not known", zap.String("worker", t.UID), zap.String("model", t.Model))
		}
	}
	r.workers.Update(l.All, workerList)
	r.driver.Update(membership)
}

// Run serves until a signal stops it, and returns once all accepted requests are answered.
func (r *Router) Run(ctx context.Context, signals <-chan os.Signal) error {
	ln, err := listen(ctx, r.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return r.Serve(ctx, faults.Listener(ln), signals)
}

// Retries of listening at startup, for 5 s in all.
const (
	listenAttempts   = 100
	listenRetryDelay = 50 * time.Millisecond
)

// listen opens the listener. It retries while the port is in use, as by a previous process that has not exited yet, or
// the machine is short of a resource.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
		if err == nil || attempt == listenAttempts || !connpool.IsLocal(err) && !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		select {
		case <-time.After(listenRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Serve is Run on an open listener.
func (r *Router) Serve(ctx context.Context, ln net.Listener, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	cfg := r.cfg // of the start; a reload replaces r.cfg
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { r.driver.Run(ctx) })
	if cfg.Known != nil {
		known := *cfg.Known
		known.All = true
		r.applyList(&known)
		r.watch.Rev = known.Rev
	}
	tasks.Go(func() { r.watch.Run(ctx, discoverySource(cfg), r.sources) })
	tasks.Go(func() { r.reloadLoop(ctx) })
	tasks.Go(func() {
		if cfg.Known == nil || len(cfg.Known.Targets) == 0 { // without any worker it would refuse all requests
			select {
			case <-r.listed:
			case <-time.After(firstListTimeout):
			case <-ctx.Done():
			}
		}
		r.ready.Store(true)
		r.log.Info("ready", zap.Stringer("listen", ln.Addr()))
	})
	if r.log.Core().Enabled(zap.DebugLevel) {
		tasks.Go(func() { r.logWorkerViews(ctx) })
	}
	serveErr := make(chan error, 1)
	tasks.Go(func() { serveErr <- r.clients.Serve(ln) })
	defer r.workers.Close()
	err := r.handleSignals(ctx, signals, serveErr)
	r.stop(ctx, ln, signals)
	return err
}

// handleSignals reloads on SIGHUP and returns at any other signal, when the server for clients has ended (with its
// error), or when the context is done.
func (r *Router) handleSignals(ctx context.Context, signals <-chan os.Signal, serveErr <-chan error) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				r.log.Info("stopping", zap.Stringer("signal", s))
				return nil
			}
			r.reload()
		case err := <-serveErr:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
