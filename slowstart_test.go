package gannethook

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartCase is one case of TestSlowStartAcrossRouters.
type slowStartCase struct {
	routers       int
	unevenTraffic bool   // one router in ten gets six times the traffic of the others
	load          string // "steady", "burst" or "repeats"
	limits        slowStartLimits
}

// slowStartLimits are the settings that bound a server in slow start.
type slowStartLimits struct {
	coldFrom       float64
	warmAfter      Millis
	overloadFactor float64
	overloadWindow Millis // the span in which too many calls make it fail
	holds          bool   // a place is asked for before a state is sent
}

const (
	usedShare         = 0.6  // share of a warm server's capacity in use when all servers are healthy
	requestsPerServer = 3.0  // requests per second for each reader, and for each writer
	burstFactor       = 2.3  // multiple of the usual load
	readMs            = 60   // time of a read
	firstTokenMs      = 40   // time to the first token
	streamMs          = 250  // time of a stream
	warmUpMs          = 15e3 // time that the routers run before any server is in slow start
)

// timedEvent is an event on its way to a router.
type timedEvent struct {
	at     Millis
	order  int
	router int
	event  Event
}

type eventQueue []timedEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slowStartFleet simulates many routers in front of the same servers; they share nothing else.
type slowStartFleet struct {
	slowStartCase
	rnd               *rand.Rand
	routers           []*Router
	cumulativeTraffic []float64 // shares of the traffic, summed up
	queue             eventQueue
	nextOrder         int
	now               Millis
	id                RequestID
	failing           map[ServerID]bool                               // servers that fail every call at once
	calls             map[ServerID][]Millis                           // every call: prompts, holds, states
	varyRequest       func(*Request)                                  // if not nil, changes a request before it is delivered
	varyOutcome       func(*Ended)                                    // if not nil, changes an outcome of a healthy server
	trace             func(router int, event Event, actions []Action) // if not nil, called with every event and its actions
}

func newSlowStartFleet(tc slowStartCase, seed uint64, servers []Server) *slowStartFleet {
	sim := &slowStartFleet{slowStartCase: tc, rnd: rand.New(rand.NewPCG(seed, uint64(tc.routers))), now: 1e6,
		failing: map[ServerID]bool{}, calls: map[ServerID][]Millis{}}
	set := testSettings(func(set *Settings) {
		set.Holds = tc.limits.holds
		set.Routers, set.ColdFrom, set.WarmAfter, set.OverloadFactor = tc.routers, tc.limits.coldFrom, tc.limits.warmAfter,
			tc.limits.overloadFactor
	})
	total := 0.0
	for i := range tc.routers {
		r, _ := New(set, sim.rnd.Uint64())
		sim.routers = append(sim.routers, r)
		part := 1.0
		if tc.unevenTraffic && i%10 == 0 {
			part = 6
		}
		total += part
		sim.cumulativeTraffic = append(sim.cumulativeTraffic, total)
	}
	sim.updateServers(servers...)
	return sim
}

// updateServers delivers a change of servers to every router.
func (f *slowStartFleet) updateServers(servers ...Server) {
	for i := range f.routers {
		f.deliver(i, Membership{Servers: servers})
	}
}

func (f *slowStartFleet) schedule(in Millis, router int, ev Event) {
	f.nextOrder++
	heap.Push(&f.queue, timedEvent{f.now + in, f.nextOrder, router, ev})
}

// deliver gives a router one event and plays the servers' part in its actions.
func (f *slowStartFleet) deliver(i int, ev Event) {
	actions := f.routers[i].Handle(f.now, ev)
	if f.trace != nil {
		f.trace(i, ev, actions)
	}
	for _, act := range actions {
		switch a := act.(type) {
		case Send:
			f.send(i, a)
		case Hold:
			f.calls[a.Server] = append(f.calls[a.Server], f.now)
			req := f.routers[i].requests[a.ID]
			f.schedule(2, i, Held{ID: a.ID, Attempt: req.attemptsMade - 1, OK: true})
		case Wake:
			f.schedule(a.In, i, Wakeup{Ref: a.Ref})
		case Cancel:
			f.schedule(1, i, Ended{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
		}
	}
}

func (f *slowStartFleet) send(i int, send Send) {
	f.calls[send.Server] = append(f.calls[send.Server], f.now)
	end := Ended{ID: send.ID, Attempt: f.routers[i].requests[send.ID].attemptsMade - 1, Server: send.Server}
	switch {
	case f.failing[send.Server]:
		end.Outcome = Failed
		f.schedule(5, i, end)
	case f.routers[i].servers[send.Server].role == Reader:
		end.Outcome = ReadDone
		f.adjustOutcome(&end)
		f.schedule(readMs, i, end)
	default:
		end.Outcome, end.Done = Served, true
		f.adjustOutcome(&end)
		if end.Outcome == Served {
			f.schedule(firstTokenMs, i, Streaming{ID: send.ID, Attempt: end.Attempt, Server: send.Server})
		}
		f.schedule(streamMs, i, end)
	}
}

// adjustOutcome lets the case change an outcome.
func (f *slowStartFleet) adjustOutcome(end *Ended) {
	if f.varyOutcome != nil {
		f.varyOutcome(end)
	}
}

// play has requests arrive for a while, at a rate per second over all routers.
func (f *slowStartFleet) play(length Millis, rate float64) {
	end, next := f.now+length, f.now
	for {
		for len(f.queue) > 0 && f.queue[0].at <= min(next, end) {
			event := heap.Pop(&f.queue).(timedEvent)
			f.now = event.at
			f.deliver(event.router, event.event)
		}
		if next >= end {
			f.now = end
			return
		}
		f.now = next
		f.id++
		req := newRequest(f.id, 0)
		req.Budget, req.Prefix, req.PrefixLen, req.Session = 5000, Key(1+f.id%7), 500, Key(f.rnd.Uint64())
		if f.varyRequest != nil {
			f.varyRequest(&req)
		}
		at := f.rnd.Float64() * f.cumulativeTraffic[len(f.cumulativeTraffic)-1]
		i, _ := slices.BinarySearch(f.cumulativeTraffic, at)
		f.deliver(min(i, len(f.cumulativeTraffic)-1), req)
		next += Millis(f.rnd.ExpFloat64() * 1000 / rate)
	}
}

// allowedCalls returns how many calls a server that started at since may get in a window that begins at at.
func (c slowStartLimits) allowedCalls(since, at Millis, capacity float64) float64 {
	ramp := math.Min(1, c.coldFrom+(1-c.coldFrom)*float64((at-since)/c.warmAfter))
	calls := c.overloadFactor * ramp * capacity * float64(c.overloadWindow) / 1000
	if calls < 30 {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}

// run plays a case. By server, worst is the largest number of calls in any window over what was allowed, and used the
// share that a server got of its fair part while it was in slow start.
func (c slowStartCase) run(seed uint64) (worst, used map[ServerID]float64) {
	each := min(5+c.routers/10, 30) // servers of each role
	var servers []Server
	for i := range each {
		servers = append(servers, newServer(fmt.Sprint("r", i), 0, 0, i/4), newServer(fmt.Sprint("w", i), 1, 0, i/4))
	}
	sim := newSlowStartFleet(c, seed, servers)
	rate := requestsPerServer * float64(each)
	sim.play(warmUpMs, rate)
	since := sim.now
	var starting []ServerID
	for i := range 1 + each/5 { // some servers of each role start again
		for _, srv := range []Server{newServer(fmt.Sprint("r", i), 0, 0, i/4), newServer(fmt.Sprint("w", i), 1, 0, i/4)} {
			srv.Since = since
			starting = append(starting, srv.ID)
			sim.updateServers(srv)
			sim.calls[srv.ID] = nil
		}
	}
	length := min(c.limits.warmAfter, 12e3)
	switch c.load {
	case "burst":
		sim.play(3000, burstFactor*rate)
		sim.play(length-3000, rate)
	case "repeats":
		for i := each / 2; i < each; i++ {
			sim.failing[ServerID(fmt.Sprint("r", i))], sim.failing[ServerID(fmt.Sprint("w", i))] = true, true
		}
		sim.play(length, rate)
	default:
		sim.play(length, rate)
	}
	worst, used = map[ServerID]float64{}, map[ServerID]float64{}
	for _, id := range starting {
		calls, from := sim.calls[id], 0
		for to, at := range calls {
			for calls[from] <= at-c.limits.overloadWindow {
				from++
			}
			worst[id] = max(worst[id], float64(to-from+1)/c.limits.allowedCalls(since, max(calls[from], since), requestsPerServer/usedShare))
		}
		ramp := c.limits.coldFrom + (1-c.limits.coldFrom)*float64(length/c.limits.warmAfter)/2
		used[id] = float64(len(calls)) / (ramp * requestsPerServer * float64(length) / 1000)
	}
	return worst, used
}

// slowStartSeeds is the number of seeds for each load. The random variation is largest where servers fail and requests
// are repeated.
var slowStartSeeds = map[string]uint64{"steady": 1, "burst": 2, "repeats": 6}

// Slow start holds for the sum of all routers, for any number of them, split of the traffic and load: no window
// of the settings' length brings a server in slow start more calls than N + 2 sqrt(N) + 2 (N + 3 sqrt(N) + 3 if N is
// under 30), where N is what the settings allow then. All calls count: prompts, holds, states, and every repeat. And
// the servers are used: together they get at least half of their share by ramp.
func TestSlowStartAcrossRouters(t *testing.T) {
	limitSets := []slowStartLimits{{0.25, 10000, 3, 3000, true}, {0.15, 20000, 2.2, 1500, true}, {0.25, 14000, 2, 1000, true},
		{0.4, 6000, 4, 4000, true}, {0.25, 14000, 2, 1000, false}, {0.25, 10000, 2.5, 1500, false}}
	for _, routers := range []int{1, 3, 10, 30, 100, 300} {
		for load, seeds := range slowStartSeeds {
			for i, limits := range limitSets {
				high, share := 0.0, 0.0
				for seed := range seeds {
					worst, used := slowStartCase{routers, seed%2 == 0, load, limits}.run(seed + 11)
					for id := range used {
						high = max(high, worst[id])
						share += used[id] / float64(len(used)) / float64(seeds)
					}
				}
				if high > 1 {
					t.Errorf("%d routers, %s, limits %d: %.2f times the calls allowed to a server in slow start", routers, load, i, high)
				}
				if share < 0.5 {
					t.Errorf("%d routers, %s, limits %d: servers in slow start get %.2f of their share", routers, load, i, share)
				}
			}
		}
	}
}
