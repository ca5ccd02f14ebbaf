// Package daemon puts a router together: settings, roster, driver, engines'
// client, clients' front, control plane and life, in one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"
	"go.uber.org/zap"

	"gannethook"
	"gannethook/internal/admission"
	"gannethook/internal/apikeys"
	"gannethook/internal/baseline"
	"gannethook/internal/certs"
	"gannethook/internal/control"
	"gannethook/internal/driver"
	"gannethook/internal/endpoints"
	"gannethook/internal/engine"
	"gannethook/internal/front"
	"gannethook/internal/guard"
	"gannethook/internal/handover"
	"gannethook/internal/lifecycle"
	"gannethook/internal/limits"
	"gannethook/internal/settings"
)

// Options are what a router is started with, besides its settings.
type Options struct {
	Policy  string                    // names a baseline in place of the module, for comparisons; "" is the module
	Config  string                    // the settings' file, for reloads; "" where they came from no file
	Release string                    // what this program calls itself
	Argv    []string                  // that starts a successor, the program first; nil: no restarts
	Link    *handover.Link            // the predecessor, if there is one
	Held    map[string][]net.Listener // by name, from systemd: "listen", "control"
	Level   *zap.AtomicLevel          // of the log; nil: it stays
}

// Daemon is a running router.
type Daemon struct {
	opt    Options
	log    *zap.Logger
	keeper *keeper
	tape   *control.Tape
	counts *counts
	client *engine.Client
	driver *driver.Driver
	intake *admission.Controller
	keys   *apikeys.File
	doors  *certs.Files // of the clients' port
	front  *front.Server
	run    *runFiles
	ln     net.Listener
	ctl    *control.Server
	ctlLns []net.Listener
	certs  *certs.Files

	stopWork context.CancelFunc
	stopKeys context.CancelFunc // nil: there are none
	work     sync.WaitGroup
	listed   chan struct{} // closed at the first list
	once     sync.Once
	stopping sync.Once

	mu      sync.Mutex
	cfg     *settings.File // that run
	since   time.Time      // of the state
	state   lifecycle.State
	peers   int      // routers in the roster's list; 0: not listed
	waiting []string // changed settings that wait for a restart
	before  *predecessor
	heir    *handover.Heir // that starts or has taken over
}

// predecessor is what is known of a process that ends for this one.
type predecessor struct {
	pid   int
	boot  string
	open  int
	since time.Time
}

// Start starts a router on its settings, as far as it needs no restarts.
// policy is as in Options.
func Start(cfg *settings.File, policy string, log *zap.Logger) (*Daemon, error) {
	return StartWith(cfg, Options{Policy: policy}, log)
}

// StartWith starts a router. It serves at once; requests that come before the
// first list wait as the module has them wait. A successor first waits for its
// list, for its predecessor serves meanwhile.
func StartWith(cfg *settings.File, opt Options, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, opt: opt, log: log, listed: make(chan struct{}), tape: control.NewTape(cfg.Control.Events),
		counts: newCounts(cfg), since: time.Now(), state: lifecycle.Starting}
	if err := d.open(cfg); err != nil {
		d.closeAll()
		return nil, fmt.Errorf("start: %w", err)
	}
	d.keeper = newKeeper(lifecycle.Limits{Start: cfg.Control.Start, Drain: cfg.Sessions.Drain, CloseGrace: lastWords,
		MaxResults: cfg.Control.Results}, (*hand)(d))
	ctx, cancel := context.WithCancel(context.Background())
	d.stopWork = cancel
	d.work.Go(func() { d.driver.Run(ctx) })
	d.follow(ctx)
	if err := d.inherit(); err != nil {
		d.stopWork()
		d.work.Wait()
		d.closeAll()
		return nil, fmt.Errorf("start: %w", err)
	}
	go d.keeper.run()
	d.serve()
	return d, nil
}

// lastWords is how long sessions may take to close once their answers are given.
const lastWords = time.Second

// open makes the parts and opens the ports.
func (d *Daemon) open(cfg *settings.File) (err error) {
	link := d.opt.Link
	if d.run, err = openRun(&cfg.Control, link); err != nil {
		return err
	}
	if c := cfg.Control; c.Listen != "" {
		if d.certs, err = certs.Open(c.Domain, c.Cert, c.Key, c.Authority); err != nil {
			return err
		}
	}
	decider, err := decider(cfg, d.opt.Policy)
	if err != nil {
		return err
	}
	d.client = engine.NewClient(cfg.EngineLimits())
	d.driver, err = driver.New(driver.Config{Settings: cfg.Module(), Decider: decider, Name: cfg.Name, Seed: cfg.Seed,
		Inbox: cfg.Limits.Inbox, MaxOpen: cfg.Limits.Open, Engines: d.client, OnSummary: d.done,
		Guard: guard.NewMonitor(d.denied), OnPendingRelease: d.owed, OnAbandoned: d.forgot, OnSilence: d.silent})
	if err != nil {
		return err
	}
	d.intake = admission.New(d.driver, cfg.Limiter(), d.done)
	if err := d.openDoors(cfg); err != nil {
		return err
	}
	if d.ln, err = port(link, d.opt.Held, "tcp", listenName, cfg.Listen); err != nil {
		return err
	}
	if cfg.Control.Run != "" {
		ln, err := port(link, nil, "unix", socketName, cfg.Control.Socket())
		if err != nil {
			return err
		}
		d.ctlLns = append(d.ctlLns, ln)
	}
	if d.certs != nil {
		ln, err := port(link, d.opt.Held, "tcp", controlName, cfg.Control.Listen)
		if err != nil {
			return err
		}
		d.ctlLns = append(d.ctlLns, ln)
	}
	return nil
}

// inherit takes what a predecessor hands on and waits to be its equal.
func (d *Daemon) inherit() error {
	link := d.opt.Link
	if link == nil {
		return nil
	}
	d.keeper.m.Inherit(link.Results, link.Drained)
	select {
	case <-d.listed:
		return nil
	case <-time.After(d.cfg.Control.Start):
		return errors.New("the roster was not heard in time")
	}
}

// serve opens the doors and tells the life so.
func (d *Daemon) serve() {
	d.front = front.NewServer(d.cfg, d.intake, d.done)
	d.guardDoors()
	d.front.OnLeave(d.keeper.changed)
	if len(d.ctlLns) > 0 {
		d.ctl = control.NewServer((*face)(d), d.certs)
	}
	// Before the ports: a successor of a drained router turns its sessions away from the first one on.
	started := make(chan struct{})
	d.keeper.post(func() {
		d.keeper.do(d.keeper.m.Started(d.keeper.now(), nil))
		close(started)
	})
	<-started
	d.work.Go(func() { d.front.Serve(d.ln) })
	for i, ln := range d.ctlLns {
		secure := i > 0
		d.work.Go(func() {
			if err := d.ctl.Serve(ln, secure); err != nil && !errors.Is(err, net.ErrClosed) {
				d.log.Error("control", zap.Error(err))
			}
		})
	}
	if err := d.run.own(); err != nil {
		d.log.Warn("run folder", zap.Error(err))
	}
	if l := d.opt.Link; l != nil {
		d.before = &predecessor{pid: l.Pid, boot: l.Boot, since: time.Now()}
		l.Ready(d.front.Boot())
		d.work.Go(func() { d.watchPredecessor(l) })
	}
	sd.SdNotify(false, fmt.Sprintf("READY=1\nMAINPID=%d\nSTATUS=%v", os.Getpid(), d.State()))
	d.log.Info("ready", zap.String("router", d.cfg.Name), zap.String("listen", d.Addr()), zap.String("boot", d.front.Boot()))
}

func (d *Daemon) watchPredecessor(l *handover.Link) {
	l.Follow(func(n int) {
		d.mu.Lock()
		d.before.open = n
		d.mu.Unlock()
	})
	d.mu.Lock()
	d.before = nil
	d.mu.Unlock()
	d.tape.Add("handover", fmt.Sprintf("process %d has ended", l.Pid))
}

func decider(cfg *settings.File, policy string) (driver.Decider, error) {
	if policy == "" || policy == "module" {
		return nil, nil
	}
	return baseline.New(policy, cfg.Module(), cfg.Seed)
}

// follow starts to follow the roster.
func (d *Daemon) follow(ctx context.Context) {
	names := endpoints.Names{Zones: d.cfg.Zones}
	for _, k := range d.cfg.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	r := d.cfg.Roster
	if r.Routers != "" {
		w := &endpoints.Watch{Addr: r.Watch, Namespace: r.Namespace, Service: r.Routers, Agent: d.cfg.Name, Silence: r.Silence,
			Seed: d.cfg.Seed + 1, Names: endpoints.Names{Any: true}, Report: d.warn("routers"), Keep: d.routers,
			Publish: func(gannethook.Membership) {}}
		d.work.Go(func() { w.Run(ctx) })
	}
	if r.File != "" {
		f := &endpoints.File{Path: r.File, Every: r.Every, Names: names, Publish: d.update, Report: d.warn("roster")}
		d.work.Go(func() { f.Run(ctx) })
		return
	}
	w := &endpoints.Watch{Addr: r.Watch, Namespace: r.Namespace, Service: r.Service, Agent: d.cfg.Name,
		Silence: r.Silence, Seed: d.cfg.Seed, Names: names, Publish: d.update, Report: d.warn("roster")}
	if r.Cache != "" {
		var err error
		if w.Start, err = endpoints.LoadCache(r.Cache, names); err != nil {
			d.log.Warn("the kept list can't be used", zap.Error(err))
		}
		w.Keep = func(list []gannethook.Server) {
			if err := endpoints.SaveCache(r.Cache, list); err != nil {
				d.log.Warn("the list can't be kept", zap.Error(err))
			}
		}
	}
	d.work.Go(func() { w.Run(ctx) })
}

func (d *Daemon) warn(part string) func(error) {
	return func(err error) {
		d.log.Warn(part, zap.Error(err))
		d.tape.Add(part, err.Error())
	}
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

// Ended is closed once the life has ended; Stop is then due.
func (d *Daemon) Ended() <-chan struct{} { return d.keeper.ended }

// State is where the router is in its life.
func (d *Daemon) State() lifecycle.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// Settings are those that run.
func (d *Daemon) Settings() *settings.File {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}

// done logs one line a request, and counts it.
func (d *Daemon) done(s driver.Summary) {
	d.counts.add(d.Settings(), s)
	d.keeper.changed()
	ends := slices.DeleteFunc(s.AttemptEnds, func(e string) bool { return e == "" })
	d.log.Info("request", zap.Uint64("id", s.ID), zap.String("session", s.Session), zap.String("class", s.Class),
		zap.String("reader", s.Reader), zap.String("writer", s.Writer), zap.Int("attempts", s.Attempts),
		zap.Stringer("outcome", s.Outcome), zap.String("reason", s.Reason), zap.Float64("prompt", s.PromptSize),
		zap.Int("tokens", s.Tokens), zap.Duration("first", s.FirstToken), zap.Duration("whole", s.Total),
		zap.Duration("retry_after", s.RetryAfter), zap.Strings("ends", ends))
}

// Command gives a command and waits for its result, or for the context.
func (d *Daemon) Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error) {
	if c.Limit <= 0 { // as the settings have it now, not as at the start
		c.Limit = d.Settings().Sessions.Drain
	}
	d.tape.Add("command", fmt.Sprintf("%v, id %s", c.Op, c.ID))
	r, err := d.keeper.command(ctx, c, false)
	switch {
	case err != nil:
		d.log.Warn("command", zap.Stringer("op", c.Op), zap.String("command", c.ID), zap.Error(err))
	default:
		d.tape.Add("result", fmt.Sprintf("%v, id %s: done %v, cut %v %s", c.Op, c.ID, r.Done, r.Cut, r.Note))
		d.log.Info("command", zap.Stringer("op", c.Op), zap.String("command", c.ID), zap.Bool("done", r.Done),
			zap.Bool("cut", r.Cut), zap.String("note", r.Note))
	}
	return r, err
}

// Stop takes nothing new, lets open requests end within the settings' drain
// time or until the context ends, and then ends everything.
// Further calls wait for the first.
func (d *Daemon) Stop(ctx context.Context) { d.stopping.Do(func() { d.stop(ctx) }) }

func (d *Daemon) stop(ctx context.Context) {
	from := time.Now()
	limit := d.Settings().Sessions.Drain
	go d.keeper.command(context.Background(), lifecycle.Command{ID: "stop", Op: lifecycle.Stop, Limit: limit}, false)
	select {
	case <-d.keeper.ended:
	case <-ctx.Done(): // a second stop cuts the first short
		go d.keeper.command(context.Background(), lifecycle.Command{ID: "stop now", Op: lifecycle.Stop, Limit: limit}, false)
		<-d.keeper.ended
	}
	d.closeListeners()
	d.front.End()
	d.intake.Stop()
	if d.ctl != nil {
		d.ctl.Stop()
	}
	d.stopWork()
	if d.stopKeys != nil {
		d.stopKeys()
	}
	if d.opt.Link != nil {
		d.opt.Link.Close()
	}
	d.work.Wait()
	d.keeper.stop()
	d.closeAll()
	d.log.Info("stopped", zap.String("router", d.cfg.Name), zap.Duration("took", time.Since(from)))
}

// Code is the process's exit code once Ended is closed.
func (d *Daemon) Code() int { return d.keeper.code }

// routers takes the list of routers: quotas are divided by how many are ready,
// by the module as well.
func (d *Daemon) routers(list []gannethook.Server) {
	n := 0
	for _, s := range list {
		if s.State == gannethook.Ready {
			n++
		}
	}
	d.mu.Lock()
	d.peers = n
	cfg := d.cfg
	d.mu.Unlock()
	d.intake.SetRouters(n)
	d.driver.Swap(d.module(cfg), cfg.Limits.Open)
	d.tape.Add("routers", fmt.Sprint(n))
}

// module is what the module is told: the number of routers is the list's, where there is one.
func (d *Daemon) module(cfg *settings.File) gannethook.Settings {
	set := cfg.Module()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers > 0 {
		set.Routers = d.peers
	}
	return set
}

// limiter is what limits are told, with the same number.
func (d *Daemon) limiter(cfg *settings.File) limits.Settings {
	set := cfg.Limiter()
	set.Routers = d.module(cfg).Routers
	return set
}

// closeListeners closes this process's copies of the ports.
func (d *Daemon) closeListeners() {
	if d.ln != nil {
		d.ln.Close()
	}
}

func (d *Daemon) closeAll() {
	d.closeListeners()
	for _, ln := range d.ctlLns {
		ln.Close()
	}
	if d.intake != nil {
		d.intake.Stop()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.run != nil {
		d.run.close(d.handedOn())
	}
}

func (d *Daemon) handedOn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heir != nil
}

// String names the router and its address.
func (d *Daemon) String() string { return fmt.Sprintf("%s at %s", d.cfg.Name, d.Addr()) }
