// Package daemon assembles a router process from its parts: settings, discovery,
// the driver of the module, admission, the client for engines, the front for
// clients, the control plane and the lifecycle. It owns the process's listeners and
// run files, and it carries out what the lifecycle machine decides.
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

// Options are the parameters of a router besides its settings.
type Options struct {
	Policy           string                    // baseline policy that replaces the module in comparisons; "" is the module
	Config           string                    // path of the settings file, for reloads; "" if there is none
	Release          string                    // release name of this program
	Argv             []string                  // command line of a successor, the program first; nil disables restarts
	Predecessor      *handover.Predecessor     // connection to the predecessor; nil if there is none
	SystemdListeners map[string][]net.Listener // listeners from systemd socket activation, by name: "listen", "control"
	Level            *zap.AtomicLevel          // of the log; nil if it can't be changed
}

// Daemon is a running router.
type Daemon struct {
	opt              Options
	log              *zap.Logger
	lifecycle        *lifecycleRunner
	events           *control.EventLog
	counts           *counts
	client           *engine.Client
	driver           *driver.Driver
	admission        *admission.Controller
	keys             *apikeys.File
	clientCerts      *certs.Files // of the port for clients; nil: plain TCP
	front            *front.Server
	files            *runFiles
	listener         net.Listener
	controlServer    *control.Server
	controlListeners []net.Listener // the unix socket, then the TCP port
	controlCerts     *certs.Files   // nil: no TCP port

	stopBackground context.CancelFunc
	stopKeys       context.CancelFunc // ends the watch of the key file; nil: no keys
	background     sync.WaitGroup
	listed         chan struct{} // closed at the first membership from discovery
	listedOnce     sync.Once
	stopOnce       sync.Once

	mu           sync.Mutex
	cfg          *settings.File // in force
	stateSince   time.Time
	state        lifecycle.State
	readyRouters int      // ready routers in discovery; 0: unknown
	needRestart  []string // paths of changed settings that need a restart
	predecessor  *predecessorInfo
	successor    *handover.Successor // starting, or serving in place of this process
}

// predecessorInfo describes the predecessor process while it drains.
type predecessorInfo struct {
	pid   int
	boot  string
	open  int
	since time.Time
}

// Start starts a router without reloads, restarts and predecessor. policy is as in
// Options.
func Start(cfg *settings.File, policy string, log *zap.Logger) (*Daemon, error) {
	return StartWith(cfg, Options{Policy: policy}, log)
}

// StartWith starts a router. It serves at once; requests that arrive before the
// first membership wait in the module. A successor first waits for the membership,
// because its predecessor serves meanwhile.
func StartWith(cfg *settings.File, opt Options, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, opt: opt, log: log, listed: make(chan struct{}), events: control.NewEventLog(cfg.Control.MaxEvents),
		counts: newCounts(cfg), stateSince: time.Now(), state: lifecycle.Starting}
	if err := d.build(cfg); err != nil {
		d.closeAll()
		return nil, fmt.Errorf("start: %w", err)
	}
	d.lifecycle = newLifecycleRunner(lifecycle.Limits{Start: cfg.Control.StartTimeout, Drain: cfg.Sessions.DrainTimeout, CloseGrace: closeGrace,
		MaxResults: cfg.Control.MaxResults}, (*daemonEffects)(d))
	ctx, cancel := context.WithCancel(context.Background())
	d.stopBackground = cancel
	d.background.Go(func() { d.driver.Run(ctx) })
	d.followDiscovery(ctx)
	if err := d.inheritState(); err != nil {
		d.stopBackground()
		d.background.Wait()
		d.closeAll()
		return nil, fmt.Errorf("start: %w", err)
	}
	go d.lifecycle.run()
	d.serve()
	return d, nil
}

// closeGrace is the time that sessions have to close once their open requests were failed.
const closeGrace = time.Second

// build creates the parts and opens the ports.
func (d *Daemon) build(cfg *settings.File) (err error) {
	link := d.opt.Predecessor
	if d.files, err = openRunFiles(&cfg.Control, link); err != nil {
		return err
	}
	if c := cfg.Control; c.Listen != "" {
		if d.controlCerts, err = certs.Open(c.Domain, c.Cert, c.Key, c.Authority); err != nil {
			return err
		}
	}
	decider, err := newDecider(cfg, d.opt.Policy)
	if err != nil {
		return err
	}
	d.client = engine.NewClient(cfg.EngineLimits())
	d.driver, err = driver.New(driver.Config{Settings: cfg.Module(), Decider: decider, Name: cfg.Name, Seed: cfg.Seed,
		InboxSize: cfg.Limits.InboxSize, MaxOpen: cfg.Limits.MaxOpen, Engines: d.client, OnSummary: d.onSummary,
		Guard: guard.NewMonitor(d.onDenial), OnPendingRelease: d.onPendingRelease, OnAbandoned: d.onAbandoned, OnUnanswered: d.onSilence})
	if err != nil {
		return err
	}
	d.admission = admission.New(d.driver, cfg.Limiter(), d.onSummary)
	if err := d.openClientAuth(cfg); err != nil {
		return err
	}
	if d.listener, err = openPort(link, d.opt.SystemdListeners, "tcp", listenName, cfg.Listen); err != nil {
		return err
	}
	if cfg.Control.RunDir != "" {
		ln, err := openPort(link, nil, "unix", socketName, cfg.Control.Socket())
		if err != nil {
			return err
		}
		d.controlListeners = append(d.controlListeners, ln)
	}
	if d.controlCerts != nil {
		ln, err := openPort(link, d.opt.SystemdListeners, "tcp", controlName, cfg.Control.Listen)
		if err != nil {
			return err
		}
		d.controlListeners = append(d.controlListeners, ln)
	}
	return nil
}

// inheritState takes over the predecessor's state and waits for the first membership.
func (d *Daemon) inheritState() error {
	link := d.opt.Predecessor
	if link == nil {
		return nil
	}
	d.lifecycle.machine.Inherit(link.Results, link.Drained)
	select {
	case <-d.listed:
		return nil
	case <-time.After(d.cfg.Control.StartTimeout):
		return errors.New("the roster was not heard in time")
	}
}

// serve starts the servers and enters the first state after Starting.
func (d *Daemon) serve() {
	d.front = front.NewServer(d.cfg, d.admission, d.onSummary)
	d.enableClientAuth()
	d.front.OnConnectionEnd(d.lifecycle.notifyOpenChanged)
	if len(d.controlListeners) > 0 {
		d.controlServer = control.NewServer((*controlAPI)(d), d.controlCerts)
	}
	// Before the ports are served: the successor of a drained router must refuse sessions from the first one on.
	started := make(chan struct{})
	d.lifecycle.post(func() {
		d.lifecycle.apply(d.lifecycle.machine.Started(d.lifecycle.now(), nil))
		close(started)
	})
	<-started
	d.background.Go(func() { d.front.Serve(d.listener) })
	for i, ln := range d.controlListeners {
		secure := i > 0
		d.background.Go(func() {
			if err := d.controlServer.Serve(ln, secure); err != nil && !errors.Is(err, net.ErrClosed) {
				d.log.Error("control", zap.Error(err))
			}
		})
	}
	if err := d.files.writePID(); err != nil {
		d.log.Warn("run folder: writing the pid file failed", zap.Error(err))
	}
	if link := d.opt.Predecessor; link != nil {
		d.predecessor = &predecessorInfo{pid: link.Pid, boot: link.Boot, since: time.Now()}
		link.Ready(d.front.Incarnation())
		d.background.Go(func() { d.watchPredecessor(link) })
	}
	sd.SdNotify(false, fmt.Sprintf("READY=1\nMAINPID=%d\nSTATUS=%v", os.Getpid(), d.State()))
	d.log.Info("ready", zap.String("router", d.cfg.Name), zap.String("listen", d.Addr()), zap.String("boot", d.front.Incarnation()))
}

// watchPredecessor follows the predecessor's number of open requests until it has ended.
func (d *Daemon) watchPredecessor(link *handover.Predecessor) {
	link.Follow(func(n int) {
		d.mu.Lock()
		d.predecessor.open = n
		d.mu.Unlock()
	})
	d.mu.Lock()
	d.predecessor = nil
	d.mu.Unlock()
	d.events.Add("handover", fmt.Sprintf("process %d has ended", link.Pid))
}

// newDecider returns the decider of a baseline policy, or nil for the module.
func newDecider(cfg *settings.File, policy string) (driver.Decider, error) {
	if policy == "" || policy == "module" {
		return nil, nil
	}
	return baseline.New(policy, cfg.Module(), cfg.Seed)
}

// followDiscovery starts to follow the lists of engines and routers.
func (d *Daemon) followDiscovery(ctx context.Context) {
	names := endpoints.Names{Zones: d.cfg.Zones}
	for _, k := range d.cfg.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	roster := d.cfg.Roster
	if roster.RouterService != "" {
		watch := &endpoints.Watch{Addr: roster.Watch, Namespace: roster.Namespace, Service: roster.RouterService, RouterName: d.cfg.Name,
			IdleTimeout: roster.SilenceLimit, Seed: d.cfg.Seed + 1, Names: endpoints.Names{AnyKind: true}, Report: d.reportFault("routers"), SaveList: d.onRouters,
			Publish: func(gannethook.Membership) {}}
		d.background.Go(func() { watch.Run(ctx) })
	}
	if roster.File != "" {
		file := &endpoints.File{Path: roster.File, PollInterval: roster.PollInterval, Names: names, Publish: d.onMembership, Report: d.reportFault("roster")}
		d.background.Go(func() { file.Run(ctx) })
		return
	}
	watch := &endpoints.Watch{Addr: roster.Watch, Namespace: roster.Namespace, Service: roster.Service, RouterName: d.cfg.Name,
		IdleTimeout: roster.SilenceLimit, Seed: d.cfg.Seed, Names: names, Publish: d.onMembership, Report: d.reportFault("roster")}
	if roster.Cache != "" {
		var err error
		if watch.Cached, err = endpoints.LoadCache(roster.Cache, names); err != nil {
			d.log.Warn("the cached list of engines can't be used", zap.Error(err))
		}
		watch.SaveList = func(list []gannethook.Server) {
			if err := endpoints.SaveCache(roster.Cache, list); err != nil {
				d.log.Warn("the list of engines can't be cached", zap.Error(err))
			}
		}
	}
	d.background.Go(func() { watch.Run(ctx) })
}

// reportFault returns a function that logs errors of a part and adds them to the events.
func (d *Daemon) reportFault(part string) func(error) {
	return func(err error) {
		d.log.Warn(part, zap.Error(err))
		d.events.Add(part, err.Error())
	}
}

// onMembership passes a membership to the driver and opens connections to the ready engines.
func (d *Daemon) onMembership(membership gannethook.Membership) {
	d.driver.Update(membership)
	ready := 0
	for _, s := range membership.Servers {
		if s.State == gannethook.Ready {
			ready++
			d.client.Warm(string(s.ID))
		}
	}
	d.log.Debug("list", zap.Bool("whole", membership.Whole), zap.Int("servers", len(membership.Servers)), zap.Int("ready", ready))
	d.listedOnce.Do(func() { close(d.listed) })
}

// Addr returns the address of the port for clients.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Listed returns a channel that is closed at the first membership from discovery.
func (d *Daemon) Listed() <-chan struct{} { return d.listed }

// Ended returns a channel that is closed when the process is to end; the caller then calls Stop.
func (d *Daemon) Ended() <-chan struct{} { return d.lifecycle.ended }

// State returns the lifecycle state.
func (d *Daemon) State() lifecycle.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// Settings returns the settings in force.
func (d *Daemon) Settings() *settings.File {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}

// onSummary logs a request that has ended and counts its outcome.
func (d *Daemon) onSummary(s driver.Summary) {
	d.counts.add(d.Settings(), s)
	d.lifecycle.notifyOpenChanged()
	attemptEnds := slices.DeleteFunc(s.AttemptEnds, func(e string) bool { return e == "" })
	d.log.Info("request", zap.Uint64("id", s.ID), zap.String("session", s.Session), zap.String("class", s.Class),
		zap.String("reader", s.Reader), zap.String("writer", s.Writer), zap.Int("attempts", s.Attempts),
		zap.Stringer("outcome", s.Outcome), zap.String("reason", s.Reason), zap.Float64("prompt", s.PromptSize),
		zap.Int("tokens", s.Tokens), zap.Duration("first", s.FirstToken), zap.Duration("whole", s.Total),
		zap.Duration("retry_after", s.RetryAfter), zap.Strings("ends", attemptEnds))
}

// Command executes a command and waits for its result or the end of the context.
func (d *Daemon) Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error) {
	if c.Limit <= 0 { // the settings in force; the machine has those of the start
		c.Limit = d.Settings().Sessions.DrainTimeout
	}
	d.events.Add("command", fmt.Sprintf("%v, id %s", c.Op, c.ID))
	r, err := d.lifecycle.command(ctx, c, false)
	switch {
	case err != nil:
		d.log.Warn("command", zap.Stringer("op", c.Op), zap.String("command", c.ID), zap.Error(err))
	default:
		d.events.Add("result", fmt.Sprintf("%v, id %s: done %v, cut %v %s", c.Op, c.ID, r.Done, r.Cut, r.Note))
		d.log.Info("command", zap.Stringer("op", c.Op), zap.String("command", c.ID), zap.Bool("done", r.Done),
			zap.Bool("cut", r.Cut), zap.String("note", r.Note))
	}
	return r, err
}

// Stop drains the router and then ends all its parts. Open requests that have not
// finished after the drain time of the settings, or when the context ends, are
// failed. Further calls wait for the first.
func (d *Daemon) Stop(ctx context.Context) { d.stopOnce.Do(func() { d.stop(ctx) }) }

func (d *Daemon) stop(ctx context.Context) {
	started := time.Now()
	limit := d.Settings().Sessions.DrainTimeout
	go d.lifecycle.command(context.Background(), lifecycle.Command{ID: "stop", Op: lifecycle.Stop, Limit: limit}, false)
	select {
	case <-d.lifecycle.ended:
	case <-ctx.Done(): // a second stop fails the open requests at once
		go d.lifecycle.command(context.Background(), lifecycle.Command{ID: "stop now", Op: lifecycle.Stop, Limit: limit}, false)
		<-d.lifecycle.ended
	}
	d.closeListeners()
	d.front.Shutdown()
	d.admission.Stop()
	if d.controlServer != nil {
		d.controlServer.Stop()
	}
	d.stopBackground()
	if d.stopKeys != nil {
		d.stopKeys()
	}
	if d.opt.Predecessor != nil {
		d.opt.Predecessor.Close()
	}
	d.background.Wait()
	d.lifecycle.stop()
	d.closeAll()
	d.log.Info("stopped", zap.String("router", d.cfg.Name), zap.Duration("took", time.Since(started)))
}

// ExitCode returns the exit code of the process once Ended is closed.
func (d *Daemon) ExitCode() int { return d.lifecycle.exitCode }

// onRouters takes a list of routers. Admission and the module divide the quotas by
// the number of ready ones.
func (d *Daemon) onRouters(list []gannethook.Server) {
	ready := 0
	for _, s := range list {
		if s.State == gannethook.Ready {
			ready++
		}
	}
	d.mu.Lock()
	d.readyRouters = ready
	cfg := d.cfg
	d.mu.Unlock()
	d.admission.SetRouters(ready)
	d.driver.ReplaceSettings(d.moduleSettings(cfg), cfg.Limits.MaxOpen)
	d.events.Add("routers", fmt.Sprint(ready))
}

// moduleSettings returns the module's settings, with the number of routers from discovery if it is known.
func (d *Daemon) moduleSettings(cfg *settings.File) gannethook.Settings {
	set := cfg.Module()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readyRouters > 0 {
		set.Routers = d.readyRouters
	}
	return set
}

// limiterSettings returns the settings of admission, with the same number of routers.
func (d *Daemon) limiterSettings(cfg *settings.File) limits.Settings {
	set := cfg.Limiter()
	set.Routers = d.moduleSettings(cfg).Routers
	return set
}

// closeListeners closes this process's copy of the port for clients.
func (d *Daemon) closeListeners() {
	if d.listener != nil {
		d.listener.Close()
	}
}

func (d *Daemon) closeAll() {
	d.closeListeners()
	for _, ln := range d.controlListeners {
		ln.Close()
	}
	if d.admission != nil {
		d.admission.Stop()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.files != nil {
		d.files.close(d.hasSuccessor())
	}
}

// hasSuccessor reports whether a successor process is starting or serving.
func (d *Daemon) hasSuccessor() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.successor != nil
}

// String returns the name of the router and its address.
func (d *Daemon) String() string { return fmt.Sprintf("%s at %s", d.cfg.Name, d.Addr()) }
