package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"gannethook/internal/handover"
	"gannethook/internal/lifecycle"
	"gannethook/internal/reload"
	"gannethook/internal/settings"
)

// daemonEffects implements effectHandler for the daemon.
type daemonEffects Daemon

func (e *daemonEffects) daemon() *Daemon { return (*Daemon)(e) }

func (e *daemonEffects) openCount() int { return e.front.OpenConnections() + e.driver.Open() }

func (e *daemonEffects) accept() { e.front.Resume() }

func (e *daemonEffects) stopAccepting() {
	if e.state != lifecycle.Stopping { // then stateChanged has called Drain; only it writes the state, on this goroutine
		e.front.Drain(false)
	}
	e.lifecycle.notifyOpenChanged()
}

func (e *daemonEffects) failOpenRequests() {
	e.events.Add("give up", fmt.Sprintf("%d requests are failed at the deadline", e.driver.Open()))
	go func() {
		e.admission.RefuseQueued()
		e.driver.FailOpenRequests() // waits until the driver takes it from its inbox
	}()
}

func (e *daemonEffects) closeConnections() {
	e.events.Add("cut", fmt.Sprintf("%d connections", e.front.OpenConnections()))
	e.front.CloseAll()
}

// stateChanged records and logs a new state. Stopping closes the listeners: a
// successor has copies of them, and without one no new connection could be served.
func (e *daemonEffects) stateChanged(s lifecycle.State) {
	e.mu.Lock()
	e.state, e.stateSince = s, time.Now()
	successor := e.successor
	e.mu.Unlock()
	e.events.Add("state", s.String())
	e.log.Info("state", zap.Stringer("state", s))
	sd.SdNotify(false, "STATUS="+s.String())
	if s != lifecycle.Stopping {
		return
	}
	e.daemon().closeListeners()
	e.front.Drain(true)
	if successor == nil {
		sd.SdNotify(false, sd.SdNotifyStopping)
		return
	}
	if e.controlServer != nil {
		e.controlServer.StopAccepting()
	}
	e.background.Go(func() { e.reportOpen(successor) })
}

// reportOpen sends the successor the number of open requests until this process ends.
func (e *daemonEffects) reportOpen(successor *handover.Successor) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		successor.ReportOpen(e.driver.Open())
		select {
		case <-tick.C:
		case <-e.lifecycle.ended:
			return
		}
	}
}

// reloadSettings reloads the settings in the background and reports the result to the machine.
func (e *daemonEffects) reloadSettings(id string) {
	e.background.Go(func() {
		sd.SdNotify(false, fmt.Sprintf("%s\nMONOTONIC_USEC=%d", sd.SdNotifyReloading, monotonicMicros()))
		err := e.daemon().reload()
		e.lifecycle.post(func() {
			e.lifecycle.apply(e.lifecycle.machine.Loaded(e.lifecycle.now(), id, err))
			sd.SdNotify(false, sd.SdNotifyReady) // ends the reload for systemd; a restart is possible from here on
		})
	})
}

// monotonicMicros returns CLOCK_MONOTONIC in microseconds, by which systemd matches reload notifications; 0 if unavailable.
func monotonicMicros() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) != nil {
		return 0
	}
	return ts.Nano() / 1000
}

// reload applies the settings file as a whole or not at all: it is read, checked
// and compared first; the front, the driver with the module, and admission then
// switch to it between two events.
func (d *Daemon) reload() error {
	if d.opt.Config == "" {
		return fmt.Errorf("the settings came from no file")
	}
	next, err := settings.Load(d.opt.Config)
	if err != nil {
		return err
	}
	old := d.Settings()
	merged := reload.Merge(old, next)
	oldModule, newModule := d.moduleSettings(old), d.moduleSettings(merged)
	if err := oldModule.Compatible(&newModule); err != nil {
		return err
	}
	var needRestart []string
	changes := reload.Diff(old, next)
	for _, c := range changes {
		d.events.Add("setting", c.String())
		if !c.Live {
			needRestart = append(needRestart, c.Path)
		}
	}
	d.mu.Lock()
	d.cfg, d.needRestart = merged, needRestart
	d.mu.Unlock()
	d.front.SetSettings(merged)
	d.driver.ReplaceSettings(newModule, merged.Limits.MaxOpen)
	d.admission.Reload(d.limiterSettings(merged))
	d.log.Info("reloaded", zap.Int("changes", len(changes)), zap.Strings("need_restart", needRestart))
	return nil
}

// startSuccessor starts a successor and reports to the machine whether it came to serve.
func (e *daemonEffects) startSuccessor(spawn lifecycle.Spawn) {
	successor, err := e.daemon().spawnSuccessor(spawn, e.lifecycle.machine.Results())
	if err == nil {
		e.mu.Lock()
		e.successor = successor
		e.mu.Unlock()
	}
	e.background.Go(func() {
		if err == nil {
			// The successor fails by itself after Control.StartTimeout; the 2 s leave it time to report that.
			_, err = successor.WaitReady(e.daemon().Settings().Control.StartTimeout + 2*time.Second)
		}
		e.lifecycle.post(func() {
			if err != nil {
				e.mu.Lock()
				e.successor = nil
				e.mu.Unlock()
			}
			e.lifecycle.apply(e.lifecycle.machine.Spawned(e.lifecycle.now(), spawn.ID, err))
		})
	})
}

// abortSuccessor kills a starting successor, which ends its WaitReady.
func (e *daemonEffects) abortSuccessor() {
	e.mu.Lock()
	successor := e.successor
	e.successor = nil
	e.mu.Unlock()
	if successor != nil {
		unix.Kill(successor.Pid, unix.SIGKILL)
	}
}

// spawnSuccessor starts the successor process with the listeners, the lock and the state.
func (d *Daemon) spawnSuccessor(spawn lifecycle.Spawn, results []lifecycle.Result) (*handover.Successor, error) {
	cfg := d.Settings()
	argv, err := d.successorArgv(cfg, spawn.Release)
	if err != nil {
		return nil, err
	}
	// The listeners are open here: they are closed when the router is stopping, and it refuses restarts then. Ports are
	// named by their settings, so that the successor claims only those that its own settings name.
	descriptors := []handover.Descriptor{{Name: listenName + cfg.Listen, Conn: d.listener.(syscall.Conn)}}
	controlNames := []string{socketName + cfg.Control.Socket(), controlName + cfg.Control.Listen}
	for i, ln := range d.controlListeners {
		descriptors = append(descriptors, handover.Descriptor{Name: controlNames[i], Conn: ln.(syscall.Conn)})
	}
	if d.files.lock != nil {
		descriptors = append(descriptors, handover.Descriptor{Name: lockName, Conn: d.files.lock})
	}
	// A successor that serves proves that this restart succeeded, so its result is passed on before it is known.
	results = append(results, lifecycle.Result{ID: spawn.ID, Done: true})
	return handover.Start(argv, handover.State{Pid: os.Getpid(), Boot: d.front.Incarnation(), Results: results, Drained: spawn.Drained}, descriptors)
}

// successorArgv returns the command line of a successor: that of this process, or with the program of a named release.
func (d *Daemon) successorArgv(cfg *settings.File, release string) ([]string, error) {
	if len(d.opt.Argv) == 0 {
		return nil, fmt.Errorf("this router can't be restarted")
	}
	if release == "" || release == d.opt.Release && cfg.Control.ReleaseDir == "" {
		return d.opt.Argv, nil
	}
	if cfg.Control.ReleaseDir == "" {
		return nil, fmt.Errorf("release %q: the settings have no (releases ...)", release)
	}
	if strings.ContainsAny(release, "/\x00") || strings.HasPrefix(release, ".") {
		return nil, fmt.Errorf("release %q: a name without / is due", release)
	}
	path := filepath.Join(cfg.Control.ReleaseDir, release, "gannethook")
	if err := unix.Access(path, unix.X_OK); err != nil {
		return nil, fmt.Errorf("release %q: %s: %w", release, path, err)
	}
	return append([]string{path}, d.opt.Argv[1:]...), nil
}
