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

// hand is the daemon as the keeper moves it. Its methods do not wait.
type hand Daemon

func (h *hand) d() *Daemon { return (*Daemon)(h) }

func (h *hand) open() int { return h.front.Open() + h.driver.Open() }

func (h *hand) accept() { h.front.Accept() }

func (h *hand) turn() {
	if h.state != lifecycle.Stopping { // announce has turned it then; it alone, on this goroutine, writes the state
		h.front.Turn(false)
	}
	h.keeper.changed()
}

func (h *hand) giveUp() {
	h.tape.Add("give up", fmt.Sprintf("%d requests are failed at the deadline", h.driver.Open()))
	go func() {
		h.intake.Refuse()
		h.driver.FailOpenRequests() // it waits its turn in the inbox
	}()
}

func (h *hand) cut() {
	h.tape.Add("cut", fmt.Sprintf("%d connections", h.front.Open()))
	h.front.Cut()
}

// announce tells of a state. With Stopping the ports close: a successor has
// copies, and without one there is nobody to serve what would come.
func (h *hand) announce(s lifecycle.State) {
	h.mu.Lock()
	h.state, h.since = s, time.Now()
	heir := h.heir
	h.mu.Unlock()
	h.tape.Add("state", s.String())
	h.log.Info("state", zap.Stringer("state", s))
	sd.SdNotify(false, "STATUS="+s.String())
	if s != lifecycle.Stopping {
		return
	}
	h.d().closeListeners()
	h.front.Turn(true)
	if heir == nil {
		sd.SdNotify(false, sd.SdNotifyStopping)
		return
	}
	if h.ctl != nil {
		h.ctl.Turn()
	}
	h.work.Go(func() { h.report(heir) })
}

// report tells the successor how much is open here until the end.
func (h *hand) report(heir *handover.Heir) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		heir.Tell(h.driver.Open())
		select {
		case <-tick.C:
		case <-h.keeper.ended:
			return
		}
	}
}

// load reads the settings again and swaps what may change at once.
func (h *hand) load(id string) {
	h.work.Go(func() {
		sd.SdNotify(false, fmt.Sprintf("%s\nMONOTONIC_USEC=%d", sd.SdNotifyReloading, monotonic()))
		err := h.d().reload()
		h.keeper.post(func() {
			h.keeper.do(h.keeper.m.Loaded(h.keeper.now(), id, err))
			sd.SdNotify(false, sd.SdNotifyReady) // from now on a restart may come
		})
	})
}

// monotonic is the clock that systemd compares reloads by, in microseconds.
func monotonic() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) != nil {
		return 0
	}
	return ts.Nano() / 1000
}

// reload is all or nothing: the file is read, checked and compared first; the
// module, the driver and the front then go over to it between two events.
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
	was, is := d.module(old), d.module(merged)
	if err := was.Compatible(&is); err != nil {
		return err
	}
	var waiting []string
	changes := reload.Diff(old, next)
	for _, c := range changes {
		d.tape.Add("setting", c.String())
		if !c.Live {
			waiting = append(waiting, c.Path)
		}
	}
	d.mu.Lock()
	d.cfg, d.waiting = merged, waiting
	d.mu.Unlock()
	d.front.Swap(merged)
	d.driver.Swap(is, merged.Limits.Open)
	d.intake.Reload(d.limiter(merged))
	d.log.Info("reloaded", zap.Int("changes", len(changes)), zap.Strings("need_restart", waiting))
	return nil
}

// spawn starts a successor; the keeper learns how that ended.
func (h *hand) spawn(e lifecycle.Spawn) {
	heir, err := h.d().startHeir(e, h.keeper.m.Results())
	if err == nil {
		h.mu.Lock()
		h.heir = heir
		h.mu.Unlock()
	}
	h.work.Go(func() {
		if err == nil {
			// The successor has a limit of its own; the margin is its way to tell.
			_, err = heir.Wait(h.d().Settings().Control.Start + 2*time.Second)
		}
		h.keeper.post(func() {
			if err != nil {
				h.mu.Lock()
				h.heir = nil
				h.mu.Unlock()
			}
			h.keeper.do(h.keeper.m.Spawned(h.keeper.now(), e.ID, err))
		})
	})
}

// abort kills the successor that starts; its Wait then ends.
func (h *hand) abort() {
	h.mu.Lock()
	heir := h.heir
	h.heir = nil
	h.mu.Unlock()
	if heir != nil {
		unix.Kill(heir.Pid, unix.SIGKILL)
	}
}

func (d *Daemon) startHeir(e lifecycle.Spawn, results []lifecycle.Result) (*handover.Heir, error) {
	cfg := d.Settings()
	argv, err := d.program(cfg, e.Release)
	if err != nil {
		return nil, err
	}
	// What was closed before is not handed on; a restart names each port by its settings.
	files := []handover.Named{{Name: listenName + cfg.Listen, Conn: d.ln.(syscall.Conn)}}
	names := []string{socketName + cfg.Control.Socket(), controlName + cfg.Control.Listen}
	for i, ln := range d.ctlLns {
		files = append(files, handover.Named{Name: names[i], Conn: ln.(syscall.Conn)})
	}
	if d.run.lock != nil {
		files = append(files, handover.Named{Name: lockName, Conn: d.run.lock})
	}
	// The result of this very restart is known to the successor, whose life is its proof.
	results = append(results, lifecycle.Result{ID: e.ID, Done: true})
	return handover.Start(argv, handover.Parcel{Pid: os.Getpid(), Boot: d.front.Boot(), Results: results, Drained: e.Drained}, files)
}

// program is what a successor runs: the same again, or a release by its name.
func (d *Daemon) program(cfg *settings.File, release string) ([]string, error) {
	if len(d.opt.Argv) == 0 {
		return nil, fmt.Errorf("this router can't be restarted")
	}
	if release == "" || release == d.opt.Release && cfg.Control.Releases == "" {
		return d.opt.Argv, nil
	}
	if cfg.Control.Releases == "" {
		return nil, fmt.Errorf("release %q: the settings have no (releases ...)", release)
	}
	if strings.ContainsAny(release, "/\x00") || strings.HasPrefix(release, ".") {
		return nil, fmt.Errorf("release %q: a name without / is due", release)
	}
	path := filepath.Join(cfg.Control.Releases, release, "gannethook")
	if err := unix.Access(path, unix.X_OK); err != nil {
		return nil, fmt.Errorf("release %q: %s: %w", release, path, err)
	}
	return append([]string{path}, d.opt.Argv[1:]...), nil
}
