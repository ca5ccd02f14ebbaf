package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gannethook/internal/front"
	"gannethook/internal/record"
	"gannethook/internal/standin"
)

// Command builds the command that runs this program with arguments.
type Command func(args ...string) *exec.Cmd

// router is one router over its restarts. Each incarnation is a process; processes that took over from one another are in
// one process group.
type router struct {
	name, addr, config, dir string
	fleet                   *fleet
	opsMu                   sync.Mutex // held during an operator's command

	mu           sync.Mutex
	processGroup int
	done         chan struct{} // closed when the first process of the group has ended
	down         bool
	downSince    time.Time // when it last went down or came back; the front notices it after a delay
}

// fleet is everything that a scenario runs: engines, roster and routers.
type fleet struct {
	script       *Script
	log          *record.Log
	command      Command
	policy       string
	dir          string
	roster       *standin.Roster
	rosterAddr   string
	readers      []*standin.Engine
	writers      []*standin.Engine
	routers      []*router
	start        time.Time
	faultsDone   sync.WaitGroup
	toolMu       sync.Mutex
	toolRuns     int // number of tool runs so far
	releasePorts []func()
}

var zones = [...]string{"north", "south"}

func (s *Script) engineConfig(e Engine, writes bool, seed uint64) standin.Config {
	return standin.Config{Addr: "127.0.0.1:0", Writes: writes, Slots: e.Slots, Queue: e.Queue, Memory: float64(e.Memory),
		ReadRate: float64(e.ReadRate), FetchRate: float64(e.FetchRate), TokenGap: e.TokenGap, EarlyShare: 0.7,
		ColdFrom: e.ColdFrom, WarmAfter: e.WarmAfter, OverloadFactor: 3, OverloadWindow: 3 * time.Second, StateLifetime: 5 * time.Second,
		Extended: true, IgnoreCancel: e.IgnoreCancel, Seed: seed}
}

func (s *Script) keyedClasses() []string {
	var names []string
	for _, c := range s.Classes {
		if c.Effect == "keyed" {
			names = append(names, c.Name)
		}
	}
	return names
}

// setUp starts engines, roster and routers, and waits until the routers accept connections.
func (f *fleet) setUp(ctx context.Context) error {
	group := &standin.Dedupe{}
	f.roster = standin.NewRoster("engines", f.log)
	delay := f.script.NoticeDelay
	f.roster.Delay = func(router string, n int) time.Duration { return noticeDelay(delay, router, n, f.script.Seed) }
	for i := range f.script.Readers + f.script.Writers {
		writes := i >= f.script.Readers
		cfg := f.script.engineConfig(f.script.Reader, false, f.script.Seed)
		if writes {
			cfg = f.script.engineConfig(f.script.Writer, true, f.script.Seed)
		}
		e := standin.NewEngine(cfg, f.log, group, f.script.keyedClasses()...)
		if err := e.Start(false); err != nil {
			return err
		}
		if writes {
			f.writers = append(f.writers, e)
		} else {
			f.readers = append(f.readers, e)
		}
		f.listEngine(e, "ready", time.Time{})
	}
	var err error
	if f.rosterAddr, err = f.roster.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range f.script.Routers {
		r, err := f.newRouter(i)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.waitListening(ctx); err != nil {
			return err
		}
	}
	return f.writeFleetFile()
}

// noticeDelay returns a delay from half the mean to one and a half times the mean, by router and change.
func noticeDelay(mean time.Duration, router string, n int, seed uint64) time.Duration {
	h := seed
	for _, c := range fmt.Sprintf("%s/%d", router, n) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return mean/2 + time.Duration(float64(mean)*float64(h>>40)/float64(1<<24))
}

func (f *fleet) engines() []*standin.Engine {
	return append(append([]*standin.Engine{}, f.readers...), f.writers...)
}

// location returns the kind, zone and cell of an engine.
func (f *fleet) location(e *standin.Engine) (kind, zone string, cell int) {
	for i, r := range f.readers {
		if r == e {
			return "prompt", zones[i%2], i % 4
		}
	}
	for i, w := range f.writers {
		if w == e {
			return "answer", zones[i%2], i % 4
		}
	}
	return "", "", 0
}

func (f *fleet) listEngine(e *standin.Engine, state string, started time.Time) {
	kind, zone, cell := f.location(e)
	f.roster.Set(standin.Listing{Addr: e.Addr(), Kind: kind, Zone: zone, Cell: cell, Started: started, State: state})
}

// newRouter writes a router's settings. Its port is held for the whole run.
func (f *fleet) newRouter(i int) (*router, error) {
	addr, release, err := standin.HoldPort()
	if err != nil {
		return nil, err
	}
	f.releasePorts = append(f.releasePorts, release)
	r := &router{name: fmt.Sprintf("r%d", i), addr: addr, fleet: f, dir: f.dir}
	r.config = filepath.Join(f.dir, r.name+".gann")
	os.Remove(r.cachePath()) // of an earlier run in the same folder
	return r, os.WriteFile(r.config, []byte(f.script.settingsText(r, f.rosterAddr, i)), 0o644)
}

// cachePath is the file in which the router keeps its last server list.
func (r *router) cachePath() string { return filepath.Join(r.dir, r.name+".list") }

// runDir is the router's folder for pid, lock and control socket.
func (r *router) runDir() string { return filepath.Join(r.dir, r.name) }

// pid returns the process id of the serving process, or of the last one.
func (r *router) pid() int {
	text, _ := os.ReadFile(filepath.Join(r.runDir(), "pid"))
	n, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return n
}

// alive reports whether a process of the router runs: it holds the lock.
func (r *router) alive() bool {
	lock, err := os.Open(filepath.Join(r.runDir(), "lock"))
	if err != nil {
		return false
	}
	defer lock.Close()
	return unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil
}

// waitExit waits until no process of the router runs.
func (r *router) waitExit(limit time.Duration) bool {
	for end := time.Now().Add(limit); r.alive(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// isReady reports whether the router's readiness probe succeeds.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + r.addr + front.ReadyPath)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// settingsText returns a router's settings file.
func (s *Script) settingsText(r *router, api string, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "(name %s)\n(routers %d)\n(seed %d)\n(listen %q)\n(zones north south)\n", r.name, s.Routers,
		s.Seed*1000+uint64(i), r.addr)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "(class %s (work %v) (aim %v) (aim-per-1000 %v) (give-up %v) (worth %g) (effect %s) (max-tokens %d) (priority %d)",
			c.Name, c.Work, c.Aim, c.AimPer1000, c.Timeout, c.Worth, c.Effect, c.MaxTokens, c.Priority)
		if c.Effect == "keyed" {
			fmt.Fprintf(&b, " (group %s) (window %v)", c.Group, c.Window)
		}
		b.WriteString(")\n")
	}
	for _, t := range s.Tenants {
		fmt.Fprintf(&b, "(tenant %s (weight %g)", t.Name, t.Weight)
		for _, l := range t.Budgets {
			fmt.Fprintf(&b, " (budget (class %q) (requests %g/s) (tokens %g/s)", l.Class, float64(l.Requests), float64(l.Tokens))
			if l.Burst > 0 {
				fmt.Fprintf(&b, " (burst %g)", l.Burst)
			}
			b.WriteString(")")
		}
		b.WriteString(")\n")
	}
	fmt.Fprintf(&b, "(admit (on %s) (back %v) (in-hand-start %d))\n", yesNo(s.Settings.Limits), s.Settings.MinRetryAfter, s.Settings.InitialLimit)
	fmt.Fprintf(&b, "(kind prompt (role reader) (memory %g))\n(kind answer (role writer) (memory %g))\n",
		float64(s.Reader.Memory), float64(s.Writer.Memory))
	fmt.Fprintf(&b, "(rules (cold-from %g) (warm-after %v) (overload 3) (pin-limit %v))\n", s.Writer.ColdFrom,
		s.Writer.WarmAfter, s.Settings.PinLimit)
	fmt.Fprintf(&b, "(engines (holds %s) (cancel %s) (stream-idle 3s))\n(sessions (drain %v))\n(http (write 3s))\n(limits (attempts %d))\n",
		yesNo(s.Settings.Holds), yesNo(!s.Reader.IgnoreCancel), s.Settings.Drain, s.Settings.Attempts)
	fmt.Fprintf(&b, "(control (run %q))\n", r.runDir())
	fmt.Fprintf(&b, "(roster (watch %q) (service engines) (cache %q)", api, r.cachePath())
	if s.Settings.ListRouters {
		b.WriteString(" (routers routers)")
	}
	b.WriteString(")\n")
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// start starts a router process.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := r.fleet.command("serve", "--config", r.config, "--policy", r.fleet.policy)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.fleet.log.Add(record.Event{Who: "fleet", Kind: record.RouterUp, Router: r.name})
	r.listRouter("ready")
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	r.processGroup, r.done, r.down = cmd.Process.Pid, done, false
	return nil
}

// waitListening waits until the router accepts connections.
func (r *router) waitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", r.addr)
		if err == nil {
			nc.Close()
			r.fleet.log.Add(record.Event{Who: "fleet", Kind: record.RouterReady, Router: r.name})
			return nil
		}
		r.mu.Lock()
		done := r.done
		r.mu.Unlock()
		select {
		case <-done:
			return fmt.Errorf("router %s exited during startup; see %s.log", r.name, filepath.Join(r.dir, r.name))
		case <-ctx.Done():
			return fmt.Errorf("router %s does not accept connections: %w", r.name, err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// setDown marks the router as down or up, for the front to notice.
func (r *router) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.downSince = down, time.Now()
}

// kill kills all processes of the router.
func (r *router) kill() {
	r.setDown(true)
	r.fleet.log.Add(record.Event{Who: "fleet", Kind: record.Killed, Router: r.name})
	syscall.Kill(-r.processGroup, syscall.SIGKILL)
	r.waitExit(10 * time.Second)
	r.fleet.log.Add(record.Event{Who: "fleet", Kind: record.Reaped, Router: r.name})
	r.listRouter("gone")
}

// listRouter lists the router in the roster, if the scenario lists routers there.
func (r *router) listRouter(state string) {
	if r.fleet.script.Settings.ListRouters {
		r.fleet.roster.Set(standin.Listing{Addr: r.addr, Service: "routers", State: state})
	}
}

// stop asks a router to end and waits for it.
func (r *router) stop(limit time.Duration) error {
	r.setDown(true)
	r.fleet.log.Add(record.Event{Who: "fleet", Kind: record.Stopped, Router: r.name})
	if pid := r.pid(); pid > 0 && r.alive() {
		syscall.Kill(pid, syscall.SIGTERM)
	}
	if !r.waitExit(limit) {
		syscall.Kill(-r.processGroup, syscall.SIGKILL)
		r.waitExit(10 * time.Second)
		return fmt.Errorf("router %s did not stop within %v", r.name, limit)
	}
	return nil
}

// tearDown stops everything that was started.
func (f *fleet) tearDown() (err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, r := range f.routers {
		wg.Go(func() {
			if e := r.stop(f.script.Settings.Drain + 5*time.Second); e != nil {
				mu.Lock()
				err = e
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, release := range f.releasePorts {
		release()
	}
	for _, e := range f.engines() {
		e.Kill()
	}
	if f.roster != nil {
		f.roster.Stop()
	}
	return err
}
