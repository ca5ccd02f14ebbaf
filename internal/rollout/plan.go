// Package rollout plans and controls rolling restarts of a fleet's routers: in
// which order and when routers are restarted, when the rollout pauses, and when
// it is rolled back. It does no I/O and reads no clock: the caller passes router
// statuses, command results and the time, and carries out the returned effects.
//
// Plan computes a schedule before a rollout, Planner runs one, and Simulation runs
// a Planner against simulated routers.
package rollout

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Router is a router of the fleet, as configured in the fleet file.
type Router struct {
	Name, Centre string
	Capacity     float64       // in any unit, as long as all routers use the same
	RestartTime  time.Duration // expected duration of a restart, settle time included
}

// Limits are the constraints of a rollout.
type Limits struct {
	MinCapacity       float64       // fraction of the fleet's capacity that must stay up
	MinCentreCapacity float64       // the same for each data centre
	MaxDown           int           // routers of a data centre that may be down at once; 0: unlimited
	Canaries          int           // routers restarted first, one at a time
	CanaryWatch       time.Duration // pause after each canary
	SettleTime        time.Duration // a restarted router counts as down for this long after it is ready
	StatusTimeout     time.Duration // a router without a status for this long counts as down
	ProgressDeadline  time.Duration // the rollout ends as stuck after this long without progress; 0: never
	MaxFailures       int           // failed restarts that trigger a rollback
	MinServed         float64       // fraction of requests that must be served; 0: not checked
	ServedWindow      time.Duration // sliding window over which requests are counted
	MinRequests       int           // requests that a window needs for its fraction to be significant
}

// Step is a planned restart; its times count from the start of the rollout.
type Step struct {
	Router     string
	Start, End time.Duration
}

// Schedule is a planned rollout.
type Schedule struct {
	Steps  []Step // ordered by start
	Length time.Duration
	Bound  time.Duration // lower bound of the length of any schedule under the same limits
}

// Order returns the routers by priority, for New.
func (s *Schedule) Order() []string {
	var list []string
	for _, st := range s.Steps {
		list = append(list, st.Router)
	}
	return list
}

// budget tracks the capacity and the routers that are down, against what the limits allow.
type budget struct {
	limits  Limits
	maxDown float64 // capacity that may be down in the whole fleet
	centres map[string]*centreBudget
	down    float64
}

type centreBudget struct {
	maxDown, down float64
	routersDown   int
}

// eps absorbs rounding errors in sums of capacities.
const eps = 1e-9

func newBudget(all []Router, lim Limits) *budget {
	b := &budget{limits: lim, centres: map[string]*centreBudget{}}
	sum := 0.0
	by := map[string]float64{}
	for _, x := range all {
		sum += x.Capacity
		by[x.Centre] += x.Capacity
	}
	b.maxDown = sum * (1 - lim.MinCapacity)
	for name, c := range by {
		b.centres[name] = &centreBudget{maxDown: c * (1 - lim.MinCentreCapacity)}
	}
	return b
}

func (b *budget) fits(x *Router) bool {
	c := b.centres[x.Centre]
	return b.down+x.Capacity <= b.maxDown+eps && c.down+x.Capacity <= c.maxDown+eps && (b.limits.MaxDown <= 0 || c.routersDown < b.limits.MaxDown)
}

func (b *budget) add(x *Router, sign float64) {
	c := b.centres[x.Centre]
	b.down += sign * x.Capacity
	c.down += sign * x.Capacity
	c.routersDown += int(sign)
}

// Infeasible returns the names of routers that exceed the limits even if no other router is down.
func Infeasible(all []Router, lim Limits) (list []string) {
	for i := range all {
		if b := newBudget(all, lim); !b.fits(&all[i]) {
			list = append(list, all[i].Name)
		}
	}
	return list
}

// runningRestarts is a heap of the restarts in progress, by end.
type runningRestarts []Step

func (e runningRestarts) Len() int           { return len(e) }
func (e runningRestarts) Less(i, j int) bool { return e[i].End < e[j].End }
func (e runningRestarts) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runningRestarts) Push(x any)        { *e = append(*e, x.(Step)) }
func (e *runningRestarts) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// listSchedule is list scheduling: at the start and after each restart, it starts
// the routers of todo that fit, by priority. Canaries come first, one at a time.
func listSchedule(all, todo []Router, lim Limits) Schedule {
	b, byName := newBudget(all, lim), map[string]*Router{}
	pending := make([]*Router, 0, len(todo))
	for i := range todo {
		byName[todo[i].Name] = &todo[i]
		pending = append(pending, &todo[i])
	}
	var s Schedule
	var running runningRestarts
	now := time.Duration(0)
	for n := 0; len(pending) > 0 || len(running) > 0; {
		if n < lim.Canaries && len(pending) > 0 && len(running) == 0 {
			step := Step{pending[0].Name, now, now + pending[0].RestartTime + lim.CanaryWatch}
			s.Steps, pending = append(s.Steps, step), pending[1:]
			now, s.Length = step.End, step.End
			n++
			continue
		}
		pending = slices.DeleteFunc(pending, func(x *Router) bool {
			if !b.fits(x) {
				return false
			}
			b.add(x, 1)
			step := Step{x.Name, now, now + x.RestartTime}
			s.Steps = append(s.Steps, step)
			heap.Push(&running, step)
			return true
		})
		if len(running) == 0 {
			break // none of the pending routers fits: see Infeasible
		}
		end := heap.Pop(&running).(Step)
		now, s.Length = end.End, max(s.Length, end.End)
		b.add(byName[end.Router], -1)
	}
	return s
}

// Bound returns a lower bound of the length of any schedule: the time of the
// canaries plus the largest groupBound of the fleet and of each data centre.
func Bound(all, todo []Router, lim Limits) time.Duration {
	if len(todo) == 0 {
		return 0
	}
	canaries := time.Duration(0)
	sorted := slices.Clone(todo)
	slices.SortStableFunc(sorted, func(a, b Router) int { return cmp.Compare(a.RestartTime, b.RestartTime) })
	n := min(lim.Canaries, len(sorted))
	for _, x := range sorted[:n] { // the canaries run alone; the shortest n give the lowest sum
		canaries += x.RestartTime + lim.CanaryWatch
	}
	// Any n routers can be the canaries, so groupBound leaves out the n largest.
	b := newBudget(all, lim)
	best := groupBound(todo, n, b.maxDown, math.MaxInt32)
	for name, c := range b.centres {
		var inCentre []Router
		for _, x := range todo {
			if x.Centre == name {
				inCentre = append(inCentre, x)
			}
		}
		maxRouters := lim.MaxDown
		if maxRouters <= 0 {
			maxRouters = math.MaxInt32
		}
		best = max(best, groupBound(inCentre, n, c.maxDown, maxRouters))
	}
	return canaries + best
}

// groupBound returns a lower bound of the time to restart all but exclude routers
// of a group, of which at most maxRouters, with a capacity of at most maxDown, may
// be down at once. It is the largest of: the longest restart; the sum of restart
// times over the routers that may be down at once, and the number of rounds times
// the shortest restart; the sum of restart time times capacity over maxDown; and
// the sum of restart times of routers no two of which may be down together.
func groupBound(group []Router, exclude int, maxDown float64, maxRouters int) time.Duration {
	group = slices.Clone(group)
	work := func(x Router) float64 { return x.RestartTime.Seconds() * x.Capacity }
	dropLargest := func(by func(a, b Router) int) []Router {
		g := slices.Clone(group)
		slices.SortStableFunc(g, by)
		return g[:max(len(g)-exclude, 0)]
	}
	longest, total := time.Duration(0), time.Duration(0)
	shortest := dropLargest(func(a, b Router) int { return cmp.Compare(a.RestartTime, b.RestartTime) })
	for _, x := range shortest {
		longest, total = max(longest, x.RestartTime), total+x.RestartTime
	}
	best := longest
	// The number of routers that may be down at once is that of the smallest ones that fit together.
	caps, sum, parallel := []float64{}, 0.0, 0
	for _, x := range group {
		caps = append(caps, x.Capacity)
	}
	slices.Sort(caps)
	for _, c := range caps {
		if sum += c; sum > maxDown+eps {
			break
		}
		parallel++
	}
	if parallel = min(parallel, maxRouters); parallel > 0 && len(shortest) > 0 {
		best = max(best, total/time.Duration(parallel))
		rounds := (len(shortest) + parallel - 1) / parallel
		best = max(best, time.Duration(rounds)*shortest[0].RestartTime)
	}
	totalWork := 0.0
	for _, x := range dropLargest(func(a, b Router) int { return cmp.Compare(work(a), work(b)) }) {
		totalWork += work(x)
	}
	if maxDown > 0 {
		best = max(best, time.Duration(totalWork/(maxDown+eps)*float64(time.Second)))
	}
	serial := time.Duration(0) // restarts of routers of which no two fit together
	var big []Router
	for _, x := range group {
		if x.Capacity > maxDown/2+2*eps {
			big = append(big, x)
		}
	}
	slices.SortStableFunc(big, func(a, b Router) int { return cmp.Compare(a.RestartTime, b.RestartTime) })
	for _, x := range big[:max(len(big)-exclude, 0)] {
		serial += x.RestartTime
	}
	return max(best, serial)
}

// Plan searches for a short schedule that restarts todo, routers of the fleet all.
// It takes the shortest list schedule of several priority orders and improves it
// by moving one random router in the order, at most tries times or until the
// length equals the lower bound. For some order, list scheduling gives a shortest
// schedule. The same seed gives the same result.
func Plan(all, todo []Router, lim Limits, tries int, seed uint64) Schedule {
	bound := Bound(all, todo, lim)
	best, order := Schedule{Length: math.MaxInt64}, []Router(nil)
	keepIfShorter := func(o []Router) bool {
		if s := listSchedule(all, o, lim); s.Length < best.Length {
			best, order = s, slices.Clone(o)
			return true
		}
		return false
	}
	for _, o := range priorityOrders(todo) {
		keepIfShorter(o)
	}
	rnd := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	for ; tries > 0 && best.Length > bound && len(order) > 1; tries-- {
		o := slices.Clone(order)
		i, j := rnd.IntN(len(o)), rnd.IntN(len(o))
		x := o[i]
		o = slices.Insert(slices.Delete(o, i, i+1), min(j, len(o)-1), x)
		keepIfShorter(o)
	}
	best.Bound = bound
	return best
}

// priorityOrders returns orders with which list scheduling usually gives short
// schedules: by restart time, capacity, their product and the centre's sum of
// products, largest first, and by capacity, smallest first.
func priorityOrders(todo []Router) [][]Router {
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
		work[x.Centre] += x.RestartTime.Seconds() * x.Capacity
	}
	return [][]Router{
		by(func(x Router) float64 { return x.RestartTime.Seconds() }),
		by(func(x Router) float64 { return x.Capacity }),
		by(func(x Router) float64 { return x.RestartTime.Seconds() * x.Capacity }),
		by(func(x Router) float64 { return work[x.Centre] }),
		by(func(x Router) float64 { return -x.Capacity }),
	}
}
