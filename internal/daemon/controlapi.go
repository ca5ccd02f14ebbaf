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

// controlAPI implements control.Router for the daemon.
type controlAPI Daemon

func (a *controlAPI) daemon() *Daemon { return (*Daemon)(a) }

// Status returns the status of the router.
func (a *controlAPI) Status() *pb.Status {
	now := time.Now()
	a.mu.Lock()
	s := &pb.Status{Name: a.cfg.Name, Boot: a.front.Incarnation(), Pid: int64(os.Getpid()), Release: a.opt.Release, State: a.state.String(),
		UpMs: now.Sub(a.lifecycle.started).Milliseconds(), InStateMs: now.Sub(a.stateSince).Milliseconds(), WallUnixMs: now.UnixMilli(),
		Listen: a.listener.Addr().String(), NeedsRestart: a.needRestart}
	if p := a.predecessor; p != nil {
		s.Predecessor = &pb.Predecessor{Pid: int64(p.pid), Boot: p.boot, Open: int32(p.open), SinceMs: now.Sub(p.since).Milliseconds()}
	}
	a.mu.Unlock()
	s.Sessions, s.Open, s.Counts = int32(a.front.SessionCount()), int32(a.driver.Open()), a.counts.list()
	select {
	case <-a.listed:
		s.Listed = true
	default:
	}
	if at := time.Duration(a.lifecycle.deadline.Load()); at > 0 {
		s.DeadlineMs = max(at-a.lifecycle.now(), time.Millisecond).Milliseconds()
	}
	if a.controlCerts != nil {
		s.CertLeftMs = a.controlCerts.Remaining(now).Milliseconds()
	}
	s.LogLevel, _ = a.LogLevel("")
	s.Limits = limitsMessage(a.admission.View())
	return s
}

// limitsMessage returns the state of admission as a message, with the reasons in order.
func limitsMessage(v limits.View) *pb.Limits {
	out := &pb.Limits{Waiting: int32(v.Queued), InHand: v.InFlightSize, Room: v.ConcurrencyLimit, Level: v.BrownoutLevel, Routers: int32(v.Routers), Passed: v.Admitted}
	for _, reason := range slices.Sorted(maps.Keys(v.Refused)) {
		out.Turned = append(out.Turned, &pb.Turned{Reason: reason.String(), Count: v.Refused[reason]})
	}
	return out
}

// Sessions returns up to limit open sessions and the number of all.
func (a *controlAPI) Sessions(limit int) *pb.Sessions {
	list := &pb.Sessions{All: int32(a.front.SessionCount())}
	for _, s := range a.front.SessionInfos(limit) {
		list.Sessions = append(list.Sessions, &pb.Session{Id: s.ID, AgeMs: time.Since(s.Since).Milliseconds(),
			Open: int32(s.OpenResponses), Asked: int32(s.Responses), Going: s.Draining})
	}
	return list
}

// Names of roles and states in the Engine message, by their values in the module.
var (
	roleNames  = [...]string{"", "reader", "writer", "mixed"}
	stateNames = [...]string{"", "ready", "draining", "gone"}
)

// Engines returns the engines with the module's view of them.
func (a *controlAPI) Engines(ctx context.Context) (*pb.Engines, error) {
	view, err := a.driver.View(ctx)
	if err != nil {
		return nil, err
	}
	cfg, list := a.daemon().Settings(), &pb.Engines{}
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
			e.HeardMs = int64(a.driver.Now() - v.Heard)
		}
		list.Engines = append(list.Engines, e)
	}
	return list, nil
}

// Diff compares the settings in force with the settings file.
func (a *controlAPI) Diff() *pb.Diff {
	if a.opt.Config == "" {
		return &pb.Diff{Error: "the settings came from no file"}
	}
	next, err := settings.Load(a.opt.Config)
	if err != nil {
		return &pb.Diff{Error: err.Error()}
	}
	diff := &pb.Diff{}
	for _, c := range reload.Diff(a.daemon().Settings(), next) {
		diff.Changes = append(diff.Changes, &pb.Change{Path: c.Path, Old: c.Old, New: c.New, Live: c.Live})
	}
	return diff
}

// Command executes a command and waits for its result.
func (a *controlAPI) Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error) {
	return a.daemon().Command(ctx, c)
}

// Recall waits for the result of an earlier command.
func (a *controlAPI) Recall(ctx context.Context, id string) (lifecycle.Result, error) {
	return a.lifecycle.command(ctx, lifecycle.Command{ID: id}, true)
}

// LogLevel sets the log level unless level is "", and returns the present one.
func (a *controlAPI) LogLevel(level string) (string, error) {
	if a.opt.Level == nil {
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
		a.opt.Level.SetLevel(at)
	}
	return a.opt.Level.Level().String(), nil
}

// Events returns the log of recent events.
func (a *controlAPI) Events() *control.EventLog { return a.events }

var _ control.Router = (*controlAPI)(nil)
