// Package platform puts one router of the users' platform together: the module
// behind its driver, clients in, workers out, discovery beside. docs/platform.md
// has the protocol as it is met, every bound, and what an operator sees.
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

// Times of the platform's protocol.
const (
	firstList   = 300 * time.Millisecond // discovery's first answer is waited for so long, where nothing is known
	accepting   = 600 * time.Millisecond // new connections are taken for so long after SIGTERM
	lastAnswers = 300 * time.Millisecond // before the kill, all that came after SIGTERM is answered
	lastStream  = 5 * time.Minute        // streams end by themselves within this after SIGTERM

	// A stopped router is killed at the earliest after the longest time that its
	// clients wait, of which longestGrace counts at most, and killAfter more.
	longestGrace = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	lookEvery    = 50 * time.Millisecond

	beliefEvery = 2 * time.Second // lines of the log at debug
)

// Router is one router.
type Router struct {
	mu       sync.Mutex // guards cfg and list, and the order in which others are told of them
	cfg      *config.Config
	list     discovery.List // all that discovery told
	env      func(string) string
	log      *zap.Logger
	driver   *driver.Driver
	workers  *workers.Client
	clients  *clients.Server
	watch    *discovery.Watch
	monitor  *guard.Monitor
	evidence *evidence
	next     chan discovery.Source // discovery, as a new configuration has it
	ready    atomic.Bool
	reloads  chan struct{} // the configuration is to be read again
	listed   chan struct{} // closed with discovery's first answer
	once     sync.Once
}

// New builds a router; Run starts it. env is the environment, which a reload reads again.
func New(cfg *config.Config, env func(string) string, log *zap.Logger) (*Router, error) {
	r := &Router{cfg: cfg, env: env, log: log, next: make(chan discovery.Source, 1), reloads: make(chan struct{}, 1),
		listed: make(chan struct{})}
	r.monitor = guard.NewMonitor(r.denied)
	r.workers = workers.New(workerLimits(cfg), r.monitor)
	traced := log.Core().Enabled(zap.DebugLevel)
	r.evidence = newEvidence(log)
	var err error
	r.driver, err = driver.New(driver.Config{Settings: cfg.Profile.Settings, Names: names(cfg), Name: cfg.Name, Seed: cfg.Seed,
		Inbox: 4096, MaxOpen: maxConns(cfg), Engines: r.workers, Guard: r.monitor,
		Trace: traced, WantsSummary: r.evidence.tells, OnSummary: r.done, OnPendingRelease: r.evidence.owed, OnAbandoned: r.evidence.forgot, OnSilence: r.evidence.silent, OnRepeat: r.evidence.repeated})
	if err != nil {
		return nil, err
	}
	r.clients = clients.New(clients.Config{Classes: cfg.Profile.Classes, Submit: r.driver.Submit, Ready: r.ready.Load, Log: log,
		Guard: r.monitor, Limits: clientLimits(cfg)})
	r.watch = &discovery.Watch{Told: r.told, Log: log, Rev: -1}
	return r, nil
}

// told takes news of the list, first to where the workers are, then to the module.
func (r *Router) told(l *discovery.List) {
	r.take(l)
	r.once.Do(func() { close(r.listed) })
}

func (r *Router) take(l *discovery.List) {
	if faults.Broken(faults.BreakDrain) && r.monitor != nil && len(r.list.Targets) > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Merge(l)
	list := make([]workers.Worker, 0, len(l.Targets))
	m := l.Membership(r.cfg.Profile)
	for i, t := range l.Targets {
		list = append(list, workers.Worker{ID: t.UID, Addr: t.Endpoint, Boot: t.Boot,
			Draining: t.State == "DRAINING", Removed: t.State == "DELETED"})
		if m.Servers[i].Kind < 0 {
			r.log.Warn("a worker's model is not known", zap.String("worker", t.UID), zap.String("model", t.Model))
		}
	}
	r.workers.Update(l.All, list)
	r.driver.Update(m)
}

// Run serves until a signal stops it, and returns once all that it had taken is answered.
func (r *Router) Run(ctx context.Context, signals <-chan os.Signal) error {
	ln, err := listen(ctx, r.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return r.Serve(ctx, faults.Listener(ln), signals)
}

// Listening at the start, while the port is taken or this machine lacks something.
const (
	listenTries = 100
	listenPause = 50 * time.Millisecond
)

// listen listens; where that fails for a reason that passes, as while a former process is
// not gone yet, it tries again for five seconds.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	for try := 1; ; try++ {
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
		if err == nil || try == listenTries || !connpool.IsLocal(err) && !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		select {
		case <-time.After(listenPause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Serve is Run on a listener.
func (r *Router) Serve(ctx context.Context, ln net.Listener, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	cfg := r.cfg // as it was at the start
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	parts.Go(func() { r.driver.Run(ctx) })
	if cfg.Known != nil {
		known := *cfg.Known
		known.All = true
		r.take(&known)
		r.watch.Rev = known.Rev
	}
	parts.Go(func() { r.watch.Run(ctx, source(cfg), r.next) })
	parts.Go(func() { r.reloadLoop(ctx) })
	parts.Go(func() {
		if cfg.Known == nil || len(cfg.Known.Targets) == 0 { // without any list it could only refuse
			select {
			case <-r.listed:
			case <-time.After(firstList):
			case <-ctx.Done():
			}
		}
		r.ready.Store(true)
		r.log.Info("ready", zap.Stringer("listen", ln.Addr()))
	})
	if r.log.Core().Enabled(zap.DebugLevel) {
		parts.Go(func() { r.believe(ctx) })
	}
	broken := make(chan error, 1)
	parts.Go(func() { broken <- r.clients.Serve(ln) })
	defer r.workers.Close()
	err := r.obey(ctx, signals, broken)
	r.stop(ctx, ln, signals)
	return err
}

// obey follows signals until one stops the router, or something else ends it.
func (r *Router) obey(ctx context.Context, signals <-chan os.Signal, broken <-chan error) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				r.log.Info("stopping", zap.Stringer("signal", s))
				return nil
			}
			r.reload()
		case err := <-broken:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
