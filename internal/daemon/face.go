package daemon

import (
	"context"
	"errors"
	"maps"
	"os"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"gannethook/internal/control"
	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/lifecycle"
	"gannethook/internal/limits"
	"gannethook/internal/reload"
	"gannethook/internal/settings"
)

// face is the daemon as operators see it.
type face Daemon

func (f *face) d() *Daemon { return (*Daemon)(f) }

// Status shows the router as a whole.
func (f *face) Status() *pb.Status {
	now := time.Now()
	f.mu.Lock()
	s := &pb.Status{Name: f.cfg.Name, Boot: f.front.Boot(), Pid: int64(os.Getpid()), Release: f.opt.Release, State: f.state.String(),
		UpMs: now.Sub(f.keeper.start).Milliseconds(), InStateMs: now.Sub(f.since).Milliseconds(), WallUnixMs: now.UnixMilli(),
		Listen: f.ln.Addr().String(), NeedsRestart: f.waiting}
	if p := f.before; p != nil {
		s.Predecessor = &pb.Predecessor{Pid: int64(p.pid), Boot: p.boot, Open: int32(p.open), SinceMs: now.Sub(p.since).Milliseconds()}
	}
	f.mu.Unlock()
	s.Sessions, s.Open, s.Counts = int32(f.front.Sessions()), int32(f.driver.Open()), f.counts.list()
	select {
	case <-f.listed:
		s.Listed = true
	default:
	}
	if at := time.Duration(f.keeper.due.Load()); at > 0 {
		s.DeadlineMs = max(at-f.keeper.now(), time.Millisecond).Milliseconds()
	}
	if f.certs != nil {
		s.CertLeftMs = f.certs.Left(now).Milliseconds()
	}
	s.LogLevel, _ = f.LogLevel("")
	s.Limits = limitsOf(f.intake.View())
	return s
}

// limitsOf shows the limits, reasons in their order.
func limitsOf(v limits.View) *pb.Limits {
	out := &pb.Limits{Waiting: int32(v.Waiting), InHand: v.InHand, Room: v.Room, Level: v.Level, Routers: int32(v.Routers), Passed: v.Passed}
	for _, why := range slices.Sorted(maps.Keys(v.Turned)) {
		out.Turned = append(out.Turned, &pb.Turned{Reason: why.String(), Count: v.Turned[why]})
	}
	return out
}

// Sessions lists open sessions.
func (f *face) Sessions(most int) *pb.Sessions {
	list := &pb.Sessions{All: int32(f.front.Sessions())}
	for _, s := range f.front.Sights(most) {
		list.Sessions = append(list.Sessions, &pb.Session{Id: s.ID, AgeMs: time.Since(s.Since).Milliseconds(),
			Open: int32(s.Open), Asked: int32(s.Made), Going: s.Going})
	}
	return list
}

var (
	roleNames  = [...]string{"", "reader", "writer", "mixed"}
	stateNames = [...]string{"", "ready", "draining", "gone"}
)

// Engines lists engines as the module sees them.
func (f *face) Engines(ctx context.Context) (*pb.Engines, error) {
	view, err := f.driver.View(ctx)
	if err != nil {
		return nil, err
	}
	cfg, list := f.d().Settings(), &pb.Engines{}
	for _, v := range view {
		e := &pb.Engine{Addr: string(v.ID), Role: roleNames[v.Role], Cell: int32(v.Cell), State: stateNames[v.State],
			Freeness: v.Freeness, Charge: v.Charge, Backlog: v.Backlog, Holds: int32(v.Holds), Memory: v.Memory, HeardMs: -1}
		if v.Kind < len(cfg.Kinds) {
			e.Kind = cfg.Kinds[v.Kind].Name
		}
		if v.Zone < len(cfg.Zones) {
			e.Zone = cfg.Zones[v.Zone]
		}
		if v.Heard > 0 {
			e.HeardMs = int64(f.driver.Now() - v.Heard)
		}
		list.Engines = append(list.Engines, e)
	}
	return list, nil
}

// Diff compares the settings that run with the file's.
func (f *face) Diff() *pb.Diff {
	if f.opt.Config == "" {
		return &pb.Diff{Error: "the settings came from no file"}
	}
	next, err := settings.Load(f.opt.Config)
	if err != nil {
		return &pb.Diff{Error: err.Error()}
	}
	diff := &pb.Diff{}
	for _, c := range reload.Diff(f.d().Settings(), next) {
		diff.Changes = append(diff.Changes, &pb.Change{Path: c.Path, Old: c.Old, New: c.New, Live: c.Live})
	}
	return diff
}

// Command gives a command.
func (f *face) Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error) {
	return f.d().Command(ctx, c)
}

// Recall waits for the result of a command that was given before.
func (f *face) Recall(ctx context.Context, id string) (lifecycle.Result, error) {
	return f.keeper.command(ctx, lifecycle.Command{ID: id}, true)
}

// LogLevel sets the log's level, and tells it.
func (f *face) LogLevel(level string) (string, error) {
	if f.opt.Level == nil {
		if level != "" {
			return "", errors.New("the log's level stays as it is")
		}
		return "", nil
	}
	if level != "" {
		at, err := zapcore.ParseLevel(level)
		if err != nil {
			return "", err
		}
		f.opt.Level.SetLevel(at)
	}
	return f.opt.Level.Level().String(), nil
}

// Tape has the last events.
func (f *face) Tape() *control.Tape { return f.tape }

var _ control.Router = (*face)(nil)
