package gannethook

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStart is one case of the property below.
type slowStart struct {
	routers int
	uneven  bool   // one router in ten sees six times what the others see
	load    string // "steady", "burst" or "repeats"
	rules   slowStartRules
}

// slowStartRules are the settings that bound a server in slow start.
type slowStartRules struct {
	coldFrom       float64
	warmAfter      Millis
	overloadFactor float64
	fall           Millis // the span in which too many calls make it fall
	holds          bool   // a place is asked for ahead of a state
}

const (
	usedPart  = 0.6  // of a warm server's capacity that is used when all is well
	perServer = 3.0  // requests a second for each prefill server, and for each decode server
	burstSize = 2.3  // times the usual load
	readTime  = 60   // ms
	tokenTime = 40   // ms to the first token
	writeTime = 250  // ms of a stream
	warmUp    = 15e3 // ms that the routers run before anything is cold
)

// due is an event on its way to a router.
type due struct {
	at     Millis
	turn   int
	router int
	event  Event
}

type dueQueue []due

func (q dueQueue) Len() int      { return len(q) }
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q dueQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q *dueQueue) Push(x any) { *q = append(*q, x.(due)) }
func (q *dueQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slowStartFleet is many routers in front of the same servers, which share nothing but these.
type slowStartFleet struct {
	slowStart
	rnd     *rand.Rand
	routers []*Router
	parts   []float64 // of the traffic, summed up
	queue   dueQueue
	turn    int
	now     Millis
	id      RequestID
	failing map[ServerID]bool                               // these fail whatever they get, at once
	calls   map[ServerID][]Millis                           // every call: prompts, reservations, states
	vary    func(*Request)                                  // if not nil, changes a request before it is handed in
	answer  func(*Ended)                                    // the same for an outcome of a server that is well
	trace   func(router int, event Event, actions []Action) // if not nil, told of all that is handed in and done
}

func newSlowStartFleet(c slowStart, seed uint64, servers []Server) *slowStartFleet {
	f := &slowStartFleet{slowStart: c, rnd: rand.New(rand.NewPCG(seed, uint64(c.routers))), now: 1e6,
		failing: map[ServerID]bool{}, calls: map[ServerID][]Millis{}}
	set := fleet(func(set *Settings) {
		set.Holds = c.rules.holds
		set.Routers, set.ColdFrom, set.WarmAfter, set.OverloadFactor = c.routers, c.rules.coldFrom, c.rules.warmAfter,
			c.rules.overloadFactor
	})
	total := 0.0
	for i := range c.routers {
		r, _ := New(set, f.rnd.Uint64())
		f.routers = append(f.routers, r)
		part := 1.0
		if c.uneven && i%10 == 0 {
			part = 6
		}
		total += part
		f.parts = append(f.parts, total)
	}
	f.tell(servers...)
	return f
}

// tell brings every router news of servers.
func (f *slowStartFleet) tell(servers ...Server) {
	for i := range f.routers {
		f.hand(i, Membership{Servers: servers})
	}
}

func (f *slowStartFleet) after(in Millis, router int, ev Event) {
	f.turn++
	heap.Push(&f.queue, due{f.now + in, f.turn, router, ev})
}

// hand gives a router one event and has the servers answer what it does.
func (f *slowStartFleet) hand(i int, ev Event) {
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
			q := f.routers[i].requests[a.ID]
			f.after(2, i, Held{ID: a.ID, Attempt: q.attemptsMade - 1, OK: true})
		case Wake:
			f.after(a.In, i, Wakeup{Ref: a.Ref})
		case Cancel:
			f.after(1, i, Ended{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
		}
	}
}

func (f *slowStartFleet) send(i int, a Send) {
	f.calls[a.Server] = append(f.calls[a.Server], f.now)
	end := Ended{ID: a.ID, Attempt: f.routers[i].requests[a.ID].attemptsMade - 1, Server: a.Server}
	switch {
	case f.failing[a.Server]:
		end.Outcome = Failed
		f.after(5, i, end)
	case f.routers[i].servers[a.Server].role == Reader:
		end.Outcome = ReadDone
		f.change(&end)
		f.after(readTime, i, end)
	default:
		end.Outcome, end.Done = Served, true
		f.change(&end)
		if end.Outcome == Served {
			f.after(tokenTime, i, Streaming{ID: a.ID, Attempt: end.Attempt, Server: a.Server})
		}
		f.after(writeTime, i, end)
	}
}

// change lets the case change an outcome.
func (f *slowStartFleet) change(end *Ended) {
	if f.answer != nil {
		f.answer(end)
	}
}

// play has requests arrive for a while, so many a second over all routers.
func (f *slowStartFleet) play(length Millis, rate float64) {
	end, next := f.now+length, f.now
	for {
		for len(f.queue) > 0 && f.queue[0].at <= min(next, end) {
			d := heap.Pop(&f.queue).(due)
			f.now = d.at
			f.hand(d.router, d.event)
		}
		if next >= end {
			f.now = end
			return
		}
		f.now = next
		f.id++
		q := ask(f.id, 0)
		q.Budget, q.Prefix, q.PrefixLen, q.Session = 5000, Key(1+f.id%7), 500, Key(f.rnd.Uint64())
		if f.vary != nil {
			f.vary(&q)
		}
		at := f.rnd.Float64() * f.parts[len(f.parts)-1]
		i, _ := slices.BinarySearch(f.parts, at)
		f.hand(min(i, len(f.parts)-1), q)
		next += Millis(f.rnd.ExpFloat64() * 1000 / rate)
	}
}

// allowed is how many calls a server that started at since may get in a span from at on.
func (c slowStartRules) allowed(since, at Millis, capacity float64) float64 {
	warmth := math.Min(1, c.coldFrom+(1-c.coldFrom)*float64((at-since)/c.warmAfter))
	n := c.overloadFactor * warmth * capacity * float64(c.fall) / 1000
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// run plays a case and returns the most that any span had of what it was allowed, by server, and how much of its
// fair share each cold server got while it was cold.
func (c slowStart) run(seed uint64) (worst, used map[ServerID]float64) {
	each := min(5+c.routers/10, 30) // servers of each role
	var servers []Server
	for i := range each {
		servers = append(servers, at(fmt.Sprint("r", i), 0, 0, i/4), at(fmt.Sprint("w", i), 1, 0, i/4))
	}
	f := newSlowStartFleet(c, seed, servers)
	rate := perServer * float64(each)
	f.play(warmUp, rate)
	since := f.now
	var cold []ServerID
	for i := range 1 + each/5 { // some of each role start again
		for _, s := range []Server{at(fmt.Sprint("r", i), 0, 0, i/4), at(fmt.Sprint("w", i), 1, 0, i/4)} {
			s.Since = since
			cold = append(cold, s.ID)
			f.tell(s)
			f.calls[s.ID] = nil
		}
	}
	length := min(c.rules.warmAfter, 12e3)
	switch c.load {
	case "burst":
		f.play(3000, burstSize*rate)
		f.play(length-3000, rate)
	case "repeats":
		for i := each / 2; i < each; i++ {
			f.failing[ServerID(fmt.Sprint("r", i))], f.failing[ServerID(fmt.Sprint("w", i))] = true, true
		}
		f.play(length, rate)
	default:
		f.play(length, rate)
	}
	worst, used = map[ServerID]float64{}, map[ServerID]float64{}
	for _, id := range cold {
		calls, from := f.calls[id], 0
		for to, at := range calls {
			for calls[from] <= at-c.rules.fall {
				from++
			}
			worst[id] = max(worst[id], float64(to-from+1)/c.rules.allowed(since, max(calls[from], since), perServer/usedPart))
		}
		warmth := c.rules.coldFrom + (1-c.rules.coldFrom)*float64(length/c.rules.warmAfter)/2
		used[id] = float64(len(calls)) / (warmth * perServer * float64(length) / 1000)
	}
	return worst, used
}

// slowStartRounds tells how often a load is played, each time with another seed. Chance is largest where servers fail
// and requests go again.
var slowStartRounds = map[string]uint64{"steady": 1, "burst": 2, "repeats": 6}

// Slow start holds for the sum of all routers, whatever their number, the split of the traffic and the load: no span
// of the settings' length brings a cold server more calls than N + 2 sqrt(N) + 2 (N + 3 sqrt(N) + 3 where N is under
// 30), N being what the settings allow then. All calls count: prompts, reservations, states, and every repeat.
// And cold servers are used: together they get half of their share by warmth at the least.
func TestSlowStartOfTheSum(t *testing.T) {
	rules := []slowStartRules{{0.25, 10000, 3, 3000, true}, {0.15, 20000, 2.2, 1500, true}, {0.25, 14000, 2, 1000, true},
		{0.4, 6000, 4, 4000, true}, {0.25, 14000, 2, 1000, false}, {0.25, 10000, 2.5, 1500, false}}
	for _, routers := range []int{1, 3, 10, 30, 100, 300} {
		for load, rounds := range slowStartRounds {
			for i, rule := range rules {
				high, share := 0.0, 0.0
				for seed := range rounds {
					worst, used := slowStart{routers, seed%2 == 0, load, rule}.run(seed + 11)
					for id := range used {
						high = max(high, worst[id])
						share += used[id] / float64(len(used)) / float64(rounds)
					}
				}
				if high > 1 {
					t.Errorf("%d routers, %s, rules %d: %.2f times what a cold server is allowed", routers, load, i, high)
				}
				if share < 0.5 {
					t.Errorf("%d routers, %s, rules %d: cold servers get %.2f of their share", routers, load, i, share)
				}
			}
		}
	}
}
