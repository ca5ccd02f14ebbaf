package day

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gannethook/internal/record"
	"gannethook/internal/standin"
)

// Command makes the command that runs a router on a settings file.
type Command func(config, policy string) *exec.Cmd

// router is one router over its lives, each a process.
type router struct {
	name, addr, config, dir string
	f                       *fleet

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	lost time.Time // when it last died; the front notices later
}

// fleet is all that a day runs.
type fleet struct {
	s       *Script
	log     *record.Log
	command Command
	policy  string
	dir     string
	roster  *standin.Roster
	api     string
	readers []*standin.Engine
	writers []*standin.Engine
	routers []*router
	start   time.Time
	seconds sync.WaitGroup
}

var zones = [...]string{"north", "south"}

func (s *Script) engine(e Engine, writes bool, seed uint64) standin.Config {
	return standin.Config{Addr: "127.0.0.1:0", Writes: writes, Slots: e.Slots, Queue: e.Queue, Memory: float64(e.Memory),
		ReadRate: float64(e.ReadRate), FetchRate: float64(e.FetchRate), TokenGap: e.TokenGap, Early: 0.7,
		ColdFrom: e.ColdFrom, WarmAfter: e.WarmAfter, Overload: 3, Fall: 3 * time.Second, Keep: 5 * time.Second,
		Extended: true, Seed: seed}
}

func (s *Script) keyed() []string {
	var names []string
	for _, c := range s.Classes {
		if c.Effect == "keyed" {
			names = append(names, c.Name)
		}
	}
	return names
}

// raise starts engines, roster and routers.
func (f *fleet) raise(ctx context.Context) error {
	group := &standin.Dedupe{}
	f.roster = standin.NewRoster("engines", f.log)
	delay := f.s.Notice
	f.roster.Delay = func(router string, n int) time.Duration { return late(delay, router, n, f.s.Seed) }
	for i := range f.s.Readers + f.s.Writers {
		writes := i >= f.s.Readers
		cfg := f.s.engine(f.s.Reader, false, f.s.Seed)
		if writes {
			cfg = f.s.engine(f.s.Writer, true, f.s.Seed)
		}
		e := standin.NewEngine(cfg, f.log, group, f.s.keyed()...)
		if err := e.Start(false); err != nil {
			return err
		}
		if writes {
			f.writers = append(f.writers, e)
		} else {
			f.readers = append(f.readers, e)
		}
		f.list(e, "ready", time.Time{})
	}
	var err error
	if f.api, err = f.roster.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range f.s.Routers {
		r, err := f.newRouter(i)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		if err := r.up(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// late is between half the notice and one and a half, by router and change.
func late(mean time.Duration, router string, n int, seed uint64) time.Duration {
	h := seed
	for _, c := range fmt.Sprintf("%s/%d", router, n) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return mean/2 + time.Duration(float64(mean)*float64(h>>40)/float64(1<<24))
}

func (f *fleet) engines() []*standin.Engine {
	return append(append([]*standin.Engine{}, f.readers...), f.writers...)
}

// place is where engine i of its kind stands.
func (f *fleet) place(e *standin.Engine) (kind, zone string, cell int) {
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

func (f *fleet) list(e *standin.Engine, state string, started time.Time) {
	kind, zone, cell := f.place(e)
	f.roster.Set(standin.Listed{Addr: e.Addr(), Kind: kind, Zone: zone, Cell: cell, Started: started, State: state})
}

// newRouter writes a router's settings; its port is one that the kernel just gave.
func (f *fleet) newRouter(i int) (*router, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := ln.Addr().String()
	ln.Close()
	r := &router{name: fmt.Sprintf("r%d", i), addr: addr, f: f, dir: f.dir}
	r.config = filepath.Join(f.dir, r.name+".gann")
	os.Remove(r.list()) // of an earlier day in the same folder
	return r, os.WriteFile(r.config, []byte(f.s.settings(r, f.api, i)), 0o644)
}

// list is where the router keeps its last list.
func (r *router) list() string { return filepath.Join(r.dir, r.name+".list") }

// settings are a router's, as text.
func (s *Script) settings(r *router, api string, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "(name %s)\n(routers %d)\n(seed %d)\n(listen %q)\n(zones north south)\n", r.name, s.Routers,
		s.Seed*1000+uint64(i), r.addr)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "(class %s (aim %v) (aim-per-1000 %v) (give-up %v) (worth %g) (effect %s) (max-tokens %d)",
			c.Name, c.Aim, c.PerKilo, c.GiveUp, c.Worth, c.Effect, c.Out)
		if c.Effect == "keyed" {
			fmt.Fprintf(&b, " (group %s) (window %v)", c.Group, c.Window)
		}
		b.WriteString(")\n")
	}
	holds := "no"
	if s.Settings.Holds {
		holds = "yes"
	}
	fmt.Fprintf(&b, "(kind prompt (role reader) (memory %g))\n(kind answer (role writer) (memory %g))\n",
		float64(s.Reader.Memory), float64(s.Writer.Memory))
	fmt.Fprintf(&b, "(rules (cold-from %g) (warm-after %v) (overload 3) (pin-limit %v))\n", s.Writer.ColdFrom,
		s.Writer.WarmAfter, s.Settings.PinLimit)
	fmt.Fprintf(&b, "(engines (holds %s) (stream-idle 3s))\n(sessions (drain %v))\n", holds, s.Settings.Drain)
	fmt.Fprintf(&b, "(roster (watch %q) (service engines) (cache %q))\n", api, r.list())
	return b.String()
}

// up starts a life.
func (r *router) up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := r.f.command(r.config, r.f.policy)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	r.cmd, r.done = cmd, done
	r.f.log.Add(record.Event{Who: "fleet", Kind: record.RouterUp, Router: r.name})
	return nil
}

// ready waits until the router takes connections.
func (r *router) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", r.addr)
		if err == nil {
			nc.Close()
			return nil
		}
		r.mu.Lock()
		done := r.done
		r.mu.Unlock()
		select {
		case <-done:
			return fmt.Errorf("router %s ended as it started; see %s.log", r.name, filepath.Join(r.dir, r.name))
		case <-ctx.Done():
			return fmt.Errorf("router %s does not listen: %w", r.name, err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// kill ends a life outright.
func (r *router) kill() {
	r.mu.Lock()
	cmd, done := r.cmd, r.done
	r.lost = time.Now()
	r.mu.Unlock()
	r.f.log.Add(record.Event{Who: "fleet", Kind: record.Killed, Router: r.name})
	cmd.Process.Kill()
	<-done
	r.f.log.Add(record.Event{Who: "fleet", Kind: record.Reaped, Router: r.name})
}

// stop asks a life to end and waits for it.
func (r *router) stop(limit time.Duration) error {
	r.mu.Lock()
	cmd, done := r.cmd, r.done
	r.lost = time.Now()
	r.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("router %s ended with %d", r.name, code)
		}
		return nil
	case <-time.After(limit):
		cmd.Process.Kill()
		<-done
		return fmt.Errorf("router %s did not stop within %v", r.name, limit)
	}
}

// lower ends everything that was started.
func (f *fleet) lower() (err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, r := range f.routers {
		wg.Go(func() {
			if e := r.stop(f.s.Settings.Drain + 5*time.Second); e != nil {
				mu.Lock()
				err = e
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, e := range f.engines() {
		e.Kill()
	}
	if f.roster != nil {
		f.roster.Stop()
	}
	return err
}
