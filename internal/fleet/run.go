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

// Tool carries out commands over routers.
type Tool struct {
	File  *File
	Certs *certs.Files
	Err   io.Writer // progress
	Quiet bool

	mu   sync.Mutex
	told map[string]string // last progress of a router
}

// progress tells how long work goes on, once for each change.
func (t *Tool) progress(router, state string, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil {
		t.told = map[string]string{}
	}
	text := fmt.Sprintf("%s: %s, %d open", router, state, open)
	if t.Quiet || t.told[router] == text {
		return
	}
	t.told[router] = text
	fmt.Fprintln(t.Err, text)
}

// Each calls do for every router, at most so many at once, with a link.
func (t *Tool) Each(list []Router, atOnce int, do func(i int, l *Link, err error)) {
	slots := make(chan struct{}, max(atOnce, 1))
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

// Do gives a command to routers, in order, at most so many at once. With stop
// it goes no further after the first that is not done: the rest is told so.
func (t *Tool) Do(ctx context.Context, list []Router, o Order, atOnce int, stop bool) []Report {
	reports := make([]Report, len(list))
	var failed sync.Once
	halt := make(chan struct{})
	t.Each(list, atOnce, func(i int, l *Link, err error) {
		select {
		case <-halt:
			reports[i] = Report{Router: list[i].Name, Op: o.name(), Outcome: Refused, Note: "not tried, as one before was not done"}
			return
		default:
		}
		if err != nil {
			reports[i] = Report{Router: list[i].Name, Op: o.name(), Outcome: Unreachable, Note: err.Error()}
		} else {
			mine := o
			mine.ID = NewID()
			reports[i] = l.Do(ctx, mine, t.progress)
		}
		if reports[i].Outcome != Done && stop {
			failed.Do(func() { close(halt) })
		}
	})
	return reports
}

// Line is a router's status, or why there is none.
type Line struct {
	Router
	*Seen
	Err error
}

// Look asks routers for their status, all at once.
func (t *Tool) Look(ctx context.Context, list []Router) []Line {
	lines := make([]Line, len(list))
	t.Each(list, 64, func(i int, l *Link, err error) {
		lines[i].Router = list[i]
		if err == nil {
			lines[i].Seen, err = l.Status(ctx)
		}
		lines[i].Err = err
	})
	return lines
}

// Plan is the rollout's schedule, as far as the fleet file tells.
func (t *Tool) Plan(todo []Router) rollout.Schedule {
	return rollout.Plan(t.File.Members(t.File.Routers), t.File.Members(todo), t.File.Limits(), 2000, 1)
}

// show is what a rollout tells its operator.
type show func(at time.Duration, kind, router, text string)

// Roll carries out a rollout, or goes on with the journal's. It returns how it
// ended; an error is the tool's own, and the rollout can be gone on with.
func (t *Tool) Roll(ctx context.Context, todo []Router, release string, j *Journal, tell show) (rollout.Ending, error) {
	var names []string
	for _, r := range todo {
		names = append(names, r.Name)
	}
	switch {
	case j.Open() && !j.Same(release, names):
		return 0, fmt.Errorf("the journal has an open rollout to %q of %d routers; go on with that one or take its journal away", j.Head.Release, len(j.Head.Routers))
	case !j.Open():
		plan := t.Plan(todo)
		if err := j.Begin(Head{ID: NewID(), Fleet: t.File.Name, Release: release, Routers: names, Order: plan.Order()}); err != nil {
			return 0, err
		}
	default:
		tell(0, "on", "", fmt.Sprintf("going on with rollout %s: %d entries", j.Head.ID, len(j.Entries)))
	}
	r := &roll{t: t, j: j, tell: tell, start: time.Now(), inbox: make(chan func() []rollout.Effect, 64)}
	r.p = rollout.New(j.Head.ID, release, t.File.Members(t.File.Routers), t.File.Members(todo), j.Head.Order, t.File.Limits(), 0)
	r.p.Restore(0, j.Entries)
	return r.run(ctx)
}

// roll is a rollout under way: one goroutine owns the planner.
type roll struct {
	t     *Tool
	j     *Journal
	p     *rollout.Planner
	tell  show
	start time.Time
	inbox chan func() []rollout.Effect
	links map[string]*Link
	wg    sync.WaitGroup
	end   rollout.Ending
}

func (r *roll) now() time.Duration { return time.Since(r.start) }

func (r *roll) run(ctx context.Context) (rollout.Ending, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.links = map[string]*Link{}
	for _, x := range r.t.File.Routers {
		l, err := r.t.File.Connect(x, r.t.Certs)
		if err != nil {
			return 0, err
		}
		defer l.Close()
		r.links[x.Name] = l
		r.wg.Go(func() { r.watch(ctx, l) })
	}
	tick := time.NewTicker(r.t.File.Rollout.Look)
	defer tick.Stop()
	for {
		var list []rollout.Effect
		select {
		case f := <-r.inbox:
			list = f()
		case <-tick.C:
			list = r.p.Tick(r.now())
		case <-ctx.Done():
			return 0, fmt.Errorf("interrupted; run it again to go on: %w", ctx.Err())
		}
		if err := r.carryOut(ctx, list); err != nil {
			return 0, err
		}
		if r.end != 0 {
			return r.end, r.j.End(r.end.String())
		}
	}
}

func (r *roll) post(ctx context.Context, f func() []rollout.Effect) {
	select {
	case r.inbox <- f:
	case <-ctx.Done():
	}
}

// watch reads one router's status again and again.
func (r *roll) watch(ctx context.Context, l *Link) {
	last := ""
	for ctx.Err() == nil {
		st, err := l.Status(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && st.Name != l.Name {
			err = fmt.Errorf("it calls itself %q", st.Name)
		}
		if err != nil {
			if text := err.Error(); text != last {
				last = text
				r.post(ctx, func() []rollout.Effect {
					r.tell(r.now(), "unseen", l.Name, text)
					return nil
				})
			}
		} else {
			last = ""
			s := sight(l.Name, st)
			r.post(ctx, func() []rollout.Effect { return r.p.Seen(r.now(), s) })
		}
		pause(ctx, r.t.File.Rollout.Look)
	}
}

func sight(name string, st *Seen) rollout.Sight {
	s := rollout.Sight{Router: name, Boot: st.Boot, Release: st.Release, Ready: st.State == "ready", Ending: st.Predecessor != nil}
	for _, c := range st.Counts {
		s.Served += c.Served
		s.Total += c.Served + c.Refused + c.Failed
	}
	return s
}

// carryOut does what the planner wants. A restart is in the journal before it is sent.
func (r *roll) carryOut(ctx context.Context, list []rollout.Effect) error {
	for _, e := range list {
		switch e := e.(type) {
		case rollout.Restart:
			if err := r.j.Add(r.p.Entry(e)); err != nil {
				return err
			}
			r.tell(r.now(), "restart", e.Router, "to release "+orSame(e.Release))
			r.wg.Go(func() { r.command(ctx, e) })
		case rollout.Note:
			r.tell(r.now(), e.Kind, e.Router, e.Text)
			if e.Kind == "done" || e.Kind == "refused" || e.Kind == "back" {
				if err := r.j.Add(rollout.Entry{Kind: e.Kind, Router: e.Router, Text: e.Text}); err != nil {
					return err
				}
			}
		case rollout.End:
			r.end = e.How
		}
	}
	return nil
}

func orSame(release string) string {
	if release == "" {
		return "as it is"
	}
	return release
}

func (r *roll) command(ctx context.Context, e rollout.Restart) {
	rep := r.links[e.Router].Do(ctx, Order{Op: pb.Command_RESTART, ID: e.ID, Release: e.Release, NoWait: true}, func(string, string, int) {})
	o := map[Outcome]rollout.Outcome{Done: rollout.Commanded, Refused: rollout.Rejected, Unknown: rollout.NoAnswer,
		Unreachable: rollout.NotReached}[rep.Outcome]
	r.post(ctx, func() []rollout.Effect { return r.p.Result(r.now(), e.Router, e.ID, o, rep.Note) })
}
