package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"gannethook/internal/certs"
	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/rollout"
)

// Tool runs commands and rollouts on the routers of a fleet.
type Tool struct {
	File  *File
	Certs *certs.Files
	Err   io.Writer // for progress
	Quiet bool      // no progress

	mu           sync.Mutex
	lastProgress map[string]string // last line printed, by router
}

// reportProgress prints the progress of a command at a router, if it changed.
func (t *Tool) reportProgress(router, state string, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastProgress == nil {
		t.lastProgress = map[string]string{}
	}
	text := fmt.Sprintf("%s: %s, %d open", router, state, open)
	if t.Quiet || t.lastProgress[router] == text {
		return
	}
	t.lastProgress[router] = text
	fmt.Fprintln(t.Err, text)
}

// Each calls do with a link for every router, at most concurrency at once. It returns after all calls.
func (t *Tool) Each(list []Router, concurrency int, do func(i int, l *ControlClient, err error)) {
	slots := make(chan struct{}, max(concurrency, 1))
	var wg sync.WaitGroup
	for i, r := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l, err := t.File.Connect(r, t.Certs)
			if err == nil {
				defer l.Close()
			}
			do(i, l, err)
		})
	}
	wg.Wait()
}

// Do sends a command to routers, in order, at most concurrency at once. With stop,
// no more routers are tried after one that is not Done; they are reported Refused.
func (t *Tool) Do(ctx context.Context, list []Router, o Command, concurrency int, stop bool) []Report {
	reports := make([]Report, len(list))
	var failed sync.Once
	stopped := make(chan struct{})
	t.Each(list, concurrency, func(i int, l *ControlClient, err error) {
		select {
		case <-stopped:
			reports[i] = Report{Router: list[i].Name, Op: o.opName(), Outcome: Refused, Note: "not sent: the command failed at an earlier router"}
			return
		default:
		}
		if err != nil {
			reports[i] = Report{Router: list[i].Name, Op: o.opName(), Outcome: Unreachable, Note: err.Error()}
		} else {
			command := o
			command.ID = NewCommandID()
			reports[i] = l.Do(ctx, command, t.reportProgress)
		}
		if reports[i].Outcome != Done && stop {
			failed.Do(func() { close(stopped) })
		}
	})
	return reports
}

// StatusLine is a router with its status, or the error of the query.
type StatusLine struct {
	Router
	*RouterStatus
	Err error
}

// QueryStatus queries the status of routers, 64 at a time.
func (t *Tool) QueryStatus(ctx context.Context, list []Router) []StatusLine {
	lines := make([]StatusLine, len(list))
	t.Each(list, 64, func(i int, l *ControlClient, err error) {
		lines[i].Router = list[i]
		if err == nil {
			lines[i].RouterStatus, err = l.Status(ctx)
		}
		lines[i].Err = err
	})
	return lines
}

// Plan returns a schedule of a rollout, based on the expected restart times of the fleet file.
func (t *Tool) Plan(todo []Router) rollout.Schedule {
	return rollout.Plan(t.File.RolloutRouters(t.File.Routers), t.File.RolloutRouters(todo), t.File.Limits(), 2000, 1)
}

// eventFunc reports an event of a rollout to the operator.
type eventFunc func(at time.Duration, kind, router, text string)

// RunRollout runs a rollout, or continues the open one of the journal. It returns how
// the rollout ended. After an error, another call with the same journal continues
// the rollout.
func (t *Tool) RunRollout(ctx context.Context, todo []Router, release string, j *Journal, report eventFunc) (rollout.Ending, error) {
	var names []string
	for _, r := range todo {
		names = append(names, r.Name)
	}
	switch {
	case j.Open() && !j.Matches(release, names):
		return 0, fmt.Errorf("the journal has an open rollout to release %q of %d routers; continue that rollout or remove the journal", j.Head.Release, len(j.Head.Routers))
	case !j.Open():
		plan := t.Plan(todo)
		if err := j.Begin(Head{ID: NewCommandID(), Fleet: t.File.Name, Release: release, Routers: names, Order: plan.Order()}); err != nil {
			return 0, err
		}
	default:
		report(0, "on", "", fmt.Sprintf("going on with rollout %s: %d entries", j.Head.ID, len(j.Entries)))
	}
	r := &rolloutRun{tool: t, journal: j, report: report, start: time.Now(), inbox: make(chan func() []rollout.Effect, 64)}
	r.planner = rollout.New(j.Head.ID, release, t.File.RolloutRouters(t.File.Routers), t.File.RolloutRouters(todo), j.Head.Order, t.File.Limits(), 0)
	r.planner.Restore(0, j.Entries)
	return r.run(ctx)
}

// rolloutRun is a rollout in progress. The goroutine of run owns the planner; others send it functions by inbox.
type rolloutRun struct {
	tool    *Tool
	journal *Journal
	planner *rollout.Planner
	report  eventFunc
	start   time.Time
	inbox   chan func() []rollout.Effect
	links   map[string]*ControlClient
	wg      sync.WaitGroup
	ending  rollout.Ending
}

func (r *rolloutRun) now() time.Duration { return time.Since(r.start) }

func (r *rolloutRun) run(ctx context.Context) (rollout.Ending, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.links = map[string]*ControlClient{}
	for _, x := range r.tool.File.Routers {
		l, err := r.tool.File.Connect(x, r.tool.Certs)
		if err != nil {
			return 0, err
		}
		defer l.Close()
		r.links[x.Name] = l
		r.wg.Go(func() { r.pollStatus(ctx, l) })
	}
	tick := time.NewTicker(r.tool.File.Rollout.Look)
	defer tick.Stop()
	for {
		var list []rollout.Effect
		select {
		case f := <-r.inbox:
			list = f()
		case <-tick.C:
			list = r.planner.Tick(r.now())
		case <-ctx.Done():
			return 0, fmt.Errorf("interrupted; run the same command again to continue: %w", ctx.Err())
		}
		if err := r.apply(ctx, list); err != nil {
			return 0, err
		}
		if r.ending != 0 {
			return r.ending, r.journal.End(r.ending.String())
		}
	}
}

// post has the goroutine of run call f and apply its effects.
func (r *rolloutRun) post(ctx context.Context, f func() []rollout.Effect) {
	select {
	case r.inbox <- f:
	case <-ctx.Done():
	}
}

// pollStatus passes a router's status to the planner at the polling interval, and reports errors once.
func (r *rolloutRun) pollStatus(ctx context.Context, l *ControlClient) {
	last := ""
	for ctx.Err() == nil {
		st, err := l.Status(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && st.Name != l.Name {
			err = fmt.Errorf("the router there calls itself %q", st.Name)
		}
		if err != nil {
			if text := err.Error(); text != last {
				last = text
				r.post(ctx, func() []rollout.Effect {
					r.report(r.now(), "unseen", l.Name, text)
					return nil
				})
			}
		} else {
			last = ""
			s := observation(l.Name, st)
			r.post(ctx, func() []rollout.Effect { return r.planner.Observe(r.now(), s) })
		}
		sleep(ctx, r.tool.File.Rollout.Look)
	}
}

// observation converts a status for the planner.
func observation(name string, st *RouterStatus) rollout.Observation {
	s := rollout.Observation{Router: name, Boot: st.Boot, Release: st.Release, Ready: st.State == "ready", PredecessorEnding: st.Predecessor != nil}
	for _, c := range st.Counts {
		s.Served += c.Served
		s.Total += c.Served + c.Refused + c.Failed
	}
	return s
}

// apply carries out the planner's effects. A restart is written to the journal before it is sent.
func (r *rolloutRun) apply(ctx context.Context, list []rollout.Effect) error {
	for _, e := range list {
		switch e := e.(type) {
		case rollout.Restart:
			if err := r.journal.Append(r.planner.JournalEntry(e)); err != nil {
				return err
			}
			r.report(r.now(), "restart", e.Router, "to release "+releaseOrCurrent(e.Release))
			r.wg.Go(func() { r.sendRestart(ctx, e) })
		case rollout.Note:
			r.report(r.now(), e.Kind, e.Router, e.Text)
			if e.Kind == "done" || e.Kind == "refused" || e.Kind == "back" {
				if err := r.journal.Append(rollout.Entry{Kind: e.Kind, Router: e.Router, Text: e.Text}); err != nil {
					return err
				}
			}
		case rollout.End:
			r.ending = e.Ending
		}
	}
	return nil
}

func releaseOrCurrent(release string) string {
	if release == "" {
		return "as it is"
	}
	return release
}

// sendRestart sends a restart command and passes its outcome to the planner.
func (r *rolloutRun) sendRestart(ctx context.Context, e rollout.Restart) {
	rep := r.links[e.Router].Do(ctx, Command{Op: pb.Command_RESTART, ID: e.ID, Release: e.Release, NoWait: true}, func(string, string, int) {})
	o := map[Outcome]rollout.Outcome{Done: rollout.Completed, Refused: rollout.Rejected, Unknown: rollout.NoAnswer,
		Unreachable: rollout.Unreachable}[rep.Outcome]
	r.post(ctx, func() []rollout.Effect { return r.planner.CommandResult(r.now(), e.Router, e.ID, o, rep.Note) })
}
