// Package rollout decides in what order and when the routers of a fleet are
// restarted, when to wait, and when to go back. It has no I/O and no clock:
// sights of routers, results of commands and times in, effects out.
package rollout

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Router is one router of the fleet, as the fleet file gives it.
type Router struct {
	Name, Centre string
	Capacity     float64       // in any unit, the same for all
	Expect       time.Duration // a restart of it takes about so long, settling included
}

// Limits are the constraints of a rollout.
type Limits struct {
	Share       float64       // least part of all capacity that stays up
	CentreShare float64       // least part of each data centre's
	Down        int           // most routers of a data centre that are down at once
	Canaries    int           // restarted first, one after the other, and watched
	Watch       time.Duration // after each canary
	Settle      time.Duration // a restarted router counts as down for so long after it is ready
	Silence     time.Duration // a router that was not seen for so long counts as down
	Patience    time.Duration // a rollout that can't go on for so long ends
	Failures    int           // restarts that do not come up before it goes back
	Service     float64       // least share of requests served; 0: not asked
	Window      time.Duration // over which service is counted
	Enough      int           // requests that a window must have to tell
}

// Step is a restart with its time in a plan.
type Step struct {
	Router     string
	Start, End time.Duration
}

// Schedule is a plan.
type Schedule struct {
	Steps  []Step // by start
	Length time.Duration
	Bound  time.Duration // no order can be shorter under these limits
}

// Order is the priority list of a schedule.
func (s *Schedule) Order() []string {
	var list []string
	for _, st := range s.Steps {
		list = append(list, st.Router)
	}
	return list
}

// room tells whether routers fit into what may be down.
type room struct {
	lim     Limits
	all     float64 // most capacity that may be down
	centres map[string]*centre
	down    float64
}

type centre struct {
	slack, down float64
	count       int
}

// eps forgives the rounding of sums of capacities.
const eps = 1e-9

func newRoom(all []Router, lim Limits) *room {
	r := &room{lim: lim, centres: map[string]*centre{}}
	sum := 0.0
	by := map[string]float64{}
	for _, x := range all {
		sum += x.Capacity
		by[x.Centre] += x.Capacity
	}
	r.all = sum * (1 - lim.Share)
	for name, c := range by {
		r.centres[name] = &centre{slack: c * (1 - lim.CentreShare)}
	}
	return r
}

func (r *room) fits(x *Router) bool {
	c := r.centres[x.Centre]
	return r.down+x.Capacity <= r.all+eps && c.down+x.Capacity <= c.slack+eps && (r.lim.Down <= 0 || c.count < r.lim.Down)
}

func (r *room) add(x *Router, sign float64) {
	c := r.centres[x.Centre]
	r.down += sign * x.Capacity
	c.down += sign * x.Capacity
	c.count += int(sign)
}

// Impossible lists the routers that no order can restart, each with why.
func Impossible(all []Router, lim Limits) (list []string) {
	for i := range all {
		if r := newRoom(all, lim); !r.fits(&all[i]) {
			list = append(list, all[i].Name)
		}
	}
	return list
}

// ends is a heap of the restarts that run.
type ends []Step

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].End < e[j].End }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(Step)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// list runs a priority list: at each time the first that fits is started.
func list(all, todo []Router, lim Limits) Schedule {
	r, byName := newRoom(all, lim), map[string]*Router{}
	left := make([]*Router, 0, len(todo))
	for i := range todo {
		byName[todo[i].Name] = &todo[i]
		left = append(left, &todo[i])
	}
	var s Schedule
	var run ends
	now := time.Duration(0)
	for n := 0; len(left) > 0 || len(run) > 0; {
		if n < lim.Canaries && len(left) > 0 && len(run) == 0 {
			step := Step{left[0].Name, now, now + left[0].Expect + lim.Watch}
			s.Steps, left = append(s.Steps, step), left[1:]
			now, s.Length = step.End, step.End
			n++
			continue
		}
		left = slices.DeleteFunc(left, func(x *Router) bool {
			if !r.fits(x) {
				return false
			}
			r.add(x, 1)
			step := Step{x.Name, now, now + x.Expect}
			s.Steps = append(s.Steps, step)
			heap.Push(&run, step)
			return true
		})
		if len(run) == 0 {
			break // nothing fits any more: see Impossible
		}
		end := heap.Pop(&run).(Step)
		now, s.Length = end.End, max(s.Length, end.End)
		r.add(byName[end.Router], -1)
	}
	return s
}

// Bound is a time below which no order gets: the longest restart, the work in
// routers and in capacity over what may be down at once, and the routers of
// which no two may be down together.
func Bound(all, todo []Router, lim Limits) time.Duration {
	if len(todo) == 0 {
		return 0
	}
	canaries := time.Duration(0)
	rest := slices.Clone(todo)
	slices.SortStableFunc(rest, func(a, b Router) int { return cmp.Compare(a.Expect, b.Expect) })
	n := min(lim.Canaries, len(rest))
	for _, x := range rest[:n] { // at the least the shortest go first, alone
		canaries += x.Expect + lim.Watch
	}
	// Which ones are canaries is open: what is bounded below counts all restarts but the n of most work.
	r := newRoom(all, lim)
	best := groupBound(todo, n, r.all, math.MaxInt32)
	for name, c := range r.centres {
		var of []Router
		for _, x := range todo {
			if x.Centre == name {
				of = append(of, x)
			}
		}
		count := lim.Down
		if count <= 0 {
			count = math.MaxInt32
		}
		best = max(best, groupBound(of, n, c.slack, count))
	}
	return canaries + best
}

// groupBound bounds the restarts of a group, but for so many of them, of which
// at most count and at most slack may be down at once.
func groupBound(group []Router, but int, slack float64, count int) time.Duration {
	group = slices.Clone(group)
	work := func(x Router) float64 { return x.Expect.Seconds() * x.Capacity }
	drop := func(by func(a, b Router) int) []Router {
		g := slices.Clone(group)
		slices.SortStableFunc(g, by)
		return g[:max(len(g)-but, 0)]
	}
	longest, sum := time.Duration(0), time.Duration(0)
	short := drop(func(a, b Router) int { return cmp.Compare(a.Expect, b.Expect) })
	for _, x := range short {
		longest, sum = max(longest, x.Expect), sum+x.Expect
	}
	best := longest
	// Most that may be down at once, in routers: the smallest that fit together.
	caps, fit, together := []float64{}, 0.0, 0
	for _, x := range group {
		caps = append(caps, x.Capacity)
	}
	slices.Sort(caps)
	for _, c := range caps {
		if fit += c; fit > slack+eps {
			break
		}
		together++
	}
	if together = min(together, count); together > 0 && len(short) > 0 {
		best = max(best, sum/time.Duration(together))
		rounds := (len(short) + together - 1) / together
		best = max(best, time.Duration(rounds)*short[0].Expect)
	}
	area := 0.0
	for _, x := range drop(func(a, b Router) int { return cmp.Compare(work(a), work(b)) }) {
		area += work(x)
	}
	if slack > 0 {
		best = max(best, time.Duration(area/(slack+eps)*float64(time.Second)))
	}
	alone := time.Duration(0) // no two of these fit together
	var big []Router
	for _, x := range group {
		if x.Capacity > slack/2+2*eps {
			big = append(big, x)
		}
	}
	slices.SortStableFunc(big, func(a, b Router) int { return cmp.Compare(a.Expect, b.Expect) })
	for _, x := range big[:max(len(big)-but, 0)] {
		alone += x.Expect
	}
	return max(best, alone)
}

// Plan searches for a short schedule of restarts of todo among all routers: the
// shortest of several orders, then improved by moves of one router in the list
// while tries last, or until the bound is met. The search is list scheduling,
// whose schedules contain a shortest one for some order; it is seeded.
func Plan(all, todo []Router, lim Limits, tries int, seed uint64) Schedule {
	bound := Bound(all, todo, lim)
	best, order := Schedule{Length: math.MaxInt64}, []Router(nil)
	take := func(o []Router) bool {
		if s := list(all, o, lim); s.Length < best.Length {
			best, order = s, slices.Clone(o)
			return true
		}
		return false
	}
	for _, o := range orders(todo) {
		take(o)
	}
	rnd := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	for ; tries > 0 && best.Length > bound && len(order) > 1; tries-- {
		o := slices.Clone(order)
		i, j := rnd.IntN(len(o)), rnd.IntN(len(o))
		x := o[i]
		o = slices.Insert(slices.Delete(o, i, i+1), min(j, len(o)-1), x)
		take(o)
	}
	best.Bound = bound
	return best
}

// orders are the ones that list scheduling is known to do well with.
func orders(todo []Router) [][]Router {
	by := func(key func(Router) float64) []Router {
		o := slices.Clone(todo)
		slices.SortStableFunc(o, func(a, b Router) int {
			if c := cmp.Compare(key(b), key(a)); c != 0 {
				return c
			}
			return cmp.Compare(a.Name, b.Name)
		})
		return o
	}
	work := map[string]float64{}
	for _, x := range todo {
		work[x.Centre] += x.Expect.Seconds() * x.Capacity
	}
	return [][]Router{
		by(func(x Router) float64 { return x.Expect.Seconds() }),
		by(func(x Router) float64 { return x.Capacity }),
		by(func(x Router) float64 { return x.Expect.Seconds() * x.Capacity }),
		by(func(x Router) float64 { return work[x.Centre] }),
		by(func(x Router) float64 { return -x.Capacity }),
	}
}
