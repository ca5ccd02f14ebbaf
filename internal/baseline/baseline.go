// Package baseline has two simple deciders to set beside the module: one draws
// servers at random, one takes them in turn. They keep the rules by the same
// means (one attempt at a time, last answer by a timer) but know no load, no
// health, no places and no warmth. They are for comparison only.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"gannethook"
)

// Names of the deciders.
const (
	Random     = "random"
	RoundRobin = "round-robin"
)

// Decider has the module's Handle.
type Decider struct {
	set  gannethook.Settings
	turn func(n int) int
	list []gannethook.Server
	open map[gannethook.RequestID]*request
	acts []gannethook.Action
}

type request struct {
	gannethook.Request
	sent    int
	out     int // the attempt that is out, or -1
	reads   bool
	state   bool
	stream  bool
	ended   bool
	mayRun  bool
	visited []gannethook.ServerID
}

// New returns a decider by its name.
func New(name string, set gannethook.Settings, seed uint64) (*Decider, error) {
	d := &Decider{set: set, open: map[gannethook.RequestID]*request{}}
	rnd, next := rand.New(rand.NewPCG(seed, 1)), 0
	switch name {
	case Random:
		d.turn = rnd.IntN
	case RoundRobin:
		d.turn = func(n int) int { next++; return next % n }
	default:
		return nil, fmt.Errorf("policy %q is not known; known are module, %s and %s", name, Random, RoundRobin)
	}
	return d, nil
}

// Handle takes an event and returns what is to be done, in order.
func (d *Decider) Handle(_ gannethook.Millis, event gannethook.Event) []gannethook.Action {
	d.acts = nil
	switch ev := event.(type) {
	case gannethook.Membership:
		d.membership(ev)
	case gannethook.Request:
		q := &request{Request: ev, out: -1}
		d.open[ev.ID] = q
		d.do(gannethook.Wake{In: max(ev.Budget-2*d.set.Quantum-1, 0), Ref: uint64(ev.ID) * 4})
		d.next(q)
	case gannethook.Streaming:
		if q := d.open[ev.ID]; q != nil {
			q.stream = true
		}
	case gannethook.Ended:
		d.attemptEnded(ev)
	case gannethook.ClientGone:
		if q := d.open[ev.ID]; q != nil {
			d.end(q)
		}
	case gannethook.Wakeup:
		if q := d.open[gannethook.RequestID(ev.Ref/4)]; q != nil && !q.stream && !q.ended {
			d.finish(q)
		}
	}
	return d.acts
}

func (d *Decider) do(a gannethook.Action) { d.acts = append(d.acts, a) }

func (d *Decider) membership(ev gannethook.Membership) {
	if ev.Whole {
		d.list = nil
	}
	for _, s := range ev.Servers {
		d.list = slices.DeleteFunc(d.list, func(o gannethook.Server) bool { return o.ID == s.ID })
		if s.State == gannethook.Ready {
			d.list = append(d.list, s)
		}
	}
	slices.SortFunc(d.list, func(a, b gannethook.Server) int { return cmp.Compare(a.ID, b.ID) })
}

func (d *Decider) pick(q *request, not gannethook.Role) (gannethook.Server, bool) {
	list := slices.DeleteFunc(slices.Clone(d.list), func(s gannethook.Server) bool {
		return d.set.Kinds[s.Kind].Role == not || slices.Contains(q.visited, s.ID)
	})
	if len(list) == 0 {
		return gannethook.Server{}, false
	}
	return list[d.turn(len(list))], true
}

func (d *Decider) next(q *request) {
	not := gannethook.Writer
	if q.state {
		not = gannethook.Reader
	}
	s, ok := d.pick(q, not)
	if !ok || d.set.MaxAttempts > 0 && q.sent >= d.set.MaxAttempts {
		d.finish(q)
		return
	}
	q.out, q.reads = q.sent, d.set.Kinds[s.Kind].Role == gannethook.Reader
	q.sent++
	q.visited = append(q.visited, s.ID)
	d.do(gannethook.Send{ID: q.ID, Server: s.ID})
}

func (d *Decider) attemptEnded(ev gannethook.Ended) {
	q := d.open[ev.ID]
	if q == nil || ev.Attempt != q.out {
		return
	}
	q.out = -1
	switch {
	case ev.Done || q.stream || q.ended:
		d.end(q)
	case ev.Outcome == gannethook.ReadDone:
		q.state = true
		d.next(q)
	default:
		if !q.reads && ev.Outcome != gannethook.Full && ev.Outcome != gannethook.ConnectFailed {
			q.mayRun = true
		}
		if q.mayRun && d.set.Classes[q.Class].Effect != gannethook.Safe {
			d.finish(q)
			return
		}
		if q.reads || ev.NoState {
			q.state = false
			d.do(gannethook.Release{ID: q.ID})
		}
		d.next(q)
	}
}

func (d *Decider) finish(q *request) {
	if d.set.Classes[q.Class].Effect == gannethook.Safe || !q.mayRun && q.out < 0 {
		d.do(gannethook.Refuse{ID: q.ID, RetryAfter: d.set.MaxRetryAfter / 2})
	} else {
		d.do(gannethook.Fail{ID: q.ID})
	}
	d.end(q)
}

func (d *Decider) end(q *request) {
	q.ended = true
	if q.out >= 0 {
		if !q.stream {
			d.do(gannethook.Cancel{ID: q.ID, Attempt: q.out})
		}
		return
	}
	if !q.stream {
		d.do(gannethook.Release{ID: q.ID})
	}
	delete(d.open, q.ID)
}
