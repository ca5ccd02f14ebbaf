package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gannethook/internal/record"
)

// writeFleetFile writes the file that lists the routers for the fleet tool.
func (f *fleet) writeFleetFile() error {
	var b strings.Builder
	fmt.Fprintf(&b, "(fleet day)\n(times (call 2s) (drain %v) (start 10s) (hang 2s) (again 6s))\n", f.script.Settings.Drain)
	for i, r := range f.routers {
		fmt.Fprintf(&b, "(router %s (at %q) (centre %s))\n", r.name, "unix:"+filepath.Join(r.runDir(), "control.sock"), zones[i%2])
	}
	return os.WriteFile(f.fleetPath(), []byte(b.String()), 0o644)
}

func (f *fleet) fleetPath() string { return filepath.Join(f.dir, "fleet.gann") }

// probe records a router's process and readiness, as seen from outside.
func (f *fleet) probe(r *router) {
	e := record.Event{Who: "fleet", Kind: record.Probe, Router: r.name}
	if r.alive() {
		e.N = float64(r.pid())
		if r.isReady() {
			e.Note = "ready"
		}
	}
	f.log.Add(e)
}

// runTool runs the fleet tool on one router and records its exit status and the router's state before and after.
// concurrent runs at the same time, with a context that ends when the tool exits.
func (f *fleet) runTool(r *router, verb string, concurrent func(context.Context)) int {
	f.toolMu.Lock()
	f.toolRuns++
	key := fmt.Sprintf("tool-%d", f.toolRuns)
	f.toolMu.Unlock()
	f.probe(r)
	cmd := f.command("fleet", "--fleet", f.fleetPath(), verb, r.name)
	out, err := os.OpenFile(filepath.Join(f.dir, "tool.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err == nil {
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	f.log.Add(record.Event{Who: "tool", Kind: record.ToolBegin, Router: r.name, Key: key, Note: verb})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	code, done := -1, make(chan struct{})
	go func() { defer close(done); concurrent(ctx) }()
	if err := cmd.Start(); err == nil {
		err = cmd.Wait()
		var ee *exec.ExitError
		if code = 0; errors.As(err, &ee) {
			code = ee.ExitCode()
		}
	}
	f.log.Add(record.Event{Who: "tool", Kind: record.ToolEnd, Router: r.name, Key: key, Note: verb, N: float64(code)})
	cancel()
	<-done
	f.probe(r)
	return code
}

func noop(context.Context) {}

// operate runs an operator's commands on routers, one after the other.
func (f *fleet) operate(ctx context.Context, kind string, which []int, duration time.Duration) {
	for n, i := range which {
		r, from := f.routers[i], time.Now()
		r.opsMu.Lock() // one command at a time per router, so that a change can be attributed to it
		switch kind {
		case "fleet-restart":
			f.runTool(r, "restart", noop)
		case "fleet-drain":
			r.setDown(true)
			f.runTool(r, "drain", noop)
			sleep(ctx, 200*time.Millisecond)
			f.runTool(r, "resume", noop)
			r.setDown(false)
		case "kill-restart", "kill-drain":
			f.killDuring(ctx, r, strings.TrimPrefix(kind, "kill-"), n)
		case "hang-drain":
			f.hangDuring(r)
		}
		r.opsMu.Unlock()
		if !sleep(ctx, duration/time.Duration(len(which))-time.Since(from)) {
			return
		}
	}
}

// killDuring kills a router while it carries out a command: the signal goes out after the router has reported in its events
// that it received the command.
func (f *fleet) killDuring(ctx context.Context, r *router, verb string, n int) {
	before, pid := f.commandsTaken(r, verb), r.pid()
	f.runTool(r, verb, func(during context.Context) {
		for during.Err() == nil && f.commandsTaken(r, verb) <= before && r.pid() == pid {
			sleep(during, time.Millisecond)
		}
		if during.Err() != nil {
			return // the tool finished first: nothing was interrupted
		}
		r.kill()
		if n%2 == 0 { // restarted while the tool is waiting for it
			sleep(ctx, 500*time.Millisecond)
			f.restartRouter(ctx, r)
		}
	})
	if !r.alive() {
		f.restartRouter(ctx, r)
	}
	if !r.isReady() {
		f.runTool(r, "resume", noop)
	}
}

// commandsTaken counts the events in which a router reports that it received a command.
func (f *fleet) commandsTaken(r *router, verb string) int {
	out, _ := f.command("fleet", "--fleet", f.fleetPath(), "watch", "--once", r.name).Output()
	return strings.Count(string(out), " command   "+verb+", id ")
}

// hangDuring suspends a router's processes while a drain runs, and resumes them after it.
func (f *fleet) hangDuring(r *router) {
	f.runTool(r, "drain", func(during context.Context) {
		if sleep(during, 100*time.Millisecond) {
			f.log.Add(record.Event{Who: "fleet", Kind: record.Killed, Router: r.name, Note: "hangs"})
			syscall.Kill(-r.processGroup, syscall.SIGSTOP)
		}
	})
	r.setDown(true)
	syscall.Kill(-r.processGroup, syscall.SIGCONT)
	f.log.Add(record.Event{Who: "fleet", Kind: record.Reaped, Router: r.name, Note: "goes on"})
	f.runTool(r, "resume", noop)
	r.setDown(false)
}
