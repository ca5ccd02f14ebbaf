package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Simulation simulates a rollout: a Planner restarts simulated routers in simulated time.
type Simulation struct {
	All, Todo      []Router
	Limits         Limits
	Order          []string
	Target         string
	Seed           uint64
	Spread         float64       // a restart takes RestartTime less SettleTime, plus or minus this fraction at random
	RoutersToCrash int           // routers that crash during their restart
	RecoveryTime   time.Duration // time after which they are up again, on their previous release
	BadRelease     bool          // the target release does not start
	FailureShare   float64       // fraction of requests that the target release fails to serve
	PollInterval   time.Duration // polling interval of a router's status
	CrashToolAt    time.Duration // the tool crashes then and continues from its journal; 0: never
}

// SimulationResult is the result of a simulation.
type SimulationResult struct {
	Ending      Ending
	Duration    time.Duration
	MinUpShare  float64 // lowest fraction of the capacity that was up
	MaxDown     int     // highest number of routers of a data centre down at once
	Restarts    int     // commands sent, repeated ones included
	Notes       []Note
	Violations  []string // violations of the limits
	Releases    map[string]string
	RoutersLost int
}

// simRouter is one simulated router.
type simRouter struct {
	Router
	boot      int
	release   string
	results   map[string]Outcome // of commands, by id, as a router keeps them
	upAt      time.Duration      // down until then
	settlesAt time.Duration      // counts as down until then
	served    uint64
	total     uint64
}

// event is a function called at a simulated time; seq orders those of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulator is the state of a simulation in progress.
type simulator struct {
	Simulation
	now           time.Duration
	events        eventHeap
	seq           int
	rnd           *rand.Rand
	routers       map[string]*simRouter
	planner       *Planner
	journal       []Entry
	lost          int
	fatalRestarts map[int]bool // numbers of the restarts during which the router crashes
	ended         bool
	toolRun       int // number of the tool's run; events of an earlier run are dropped
	result        *SimulationResult
}

// GenerateFleet generates a fleet of n routers spread over data centres, with a random
// capacity of 1 to 4 and a restart time of 0.75 to 1.25 times expect.
func GenerateFleet(n, centres int, expect time.Duration, seed uint64) (list []Router) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	for i := range n {
		list = append(list, Router{Name: fmt.Sprintf("r%03d", i), Centre: fmt.Sprintf("c%d", i%max(centres, 1)),
			Capacity: float64(1 + rnd.IntN(4)), RestartTime: time.Duration((0.75 + rnd.Float64()/2) * float64(expect))})
	}
	return list
}

// Run runs the simulation to its end, at most 24 hours of simulated time.
func (r Simulation) Run() *SimulationResult {
	if r.PollInterval <= 0 {
		r.PollInterval = time.Second
	}
	s := &simulator{Simulation: r, rnd: rand.New(rand.NewPCG(r.Seed, 1)), routers: map[string]*simRouter{}, result: &SimulationResult{MinUpShare: 1, Releases: map[string]string{}}}
	for _, x := range r.All {
		s.routers[x.Name] = &simRouter{Router: x, boot: 1, release: "old", results: map[string]Outcome{}}
	}
	s.fatalRestarts = map[int]bool{}
	for _, n := range s.rnd.Perm(len(r.Todo))[:min(r.RoutersToCrash, len(r.Todo))] {
		s.fatalRestarts[n+1] = true
	}
	s.startTool()
	if r.CrashToolAt > 0 {
		s.schedule(r.CrashToolAt, func() { s.toolRun++; s.startTool() })
	}
	for len(s.events) > 0 && !s.ended && s.now < 24*time.Hour {
		h := heap.Pop(&s.events).(event)
		s.now = h.at
		h.do()
		s.checkLimits()
	}
	s.result.Duration, s.result.RoutersLost = s.now, s.lost
	for name, x := range s.routers {
		s.result.Releases[name] = x.release
	}
	return s.result
}

// startTool starts a run of the tool, which continues from the journal.
func (s *simulator) startTool() {
	s.planner = New("rehearsal", s.Target, s.All, s.Todo, s.Order, s.Limits, s.now)
	s.planner.Restore(s.now, s.journal)
	for i, x := range s.All {
		s.pollStatus(s.routers[x.Name], s.now+time.Duration(i)*time.Millisecond)
	}
}

func (s *simulator) schedule(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at, s.seq, do})
}

// scheduleTool schedules an event of the current run of the tool; it is dropped if the tool crashes before.
func (s *simulator) scheduleTool(at time.Duration, do func()) {
	toolRun := s.toolRun
	s.schedule(at, func() {
		if toolRun == s.toolRun {
			do()
		}
	})
}

// pollStatus has the tool read a router's status at the polling interval, from the given time on.
func (s *simulator) pollStatus(x *simRouter, at time.Duration) {
	s.scheduleTool(at, func() {
		if s.now >= x.upAt {
			n := uint64(20 * s.PollInterval.Seconds()) // 20 requests per second
			served := n
			if x.release == s.Target && s.FailureShare > 0 {
				served = uint64(float64(n) * (1 - s.FailureShare))
			}
			x.served, x.total = x.served+served, x.total+n
			s.apply(s.planner.Observe(s.now, Observation{Router: x.Name, Boot: fmt.Sprint(x.Name, x.boot), Release: x.release,
				Ready: true, Served: x.served, Total: x.total}))
		} else {
			s.apply(s.planner.Tick(s.now))
		}
		s.pollStatus(x, s.now+s.PollInterval)
	})
}

// apply carries out effects as the tool does.
func (s *simulator) apply(list []Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case Restart:
			s.journal = append(s.journal, s.planner.JournalEntry(e))
			s.restart(e)
		case Note:
			s.result.Notes = append(s.result.Notes, e)
			if slices.Contains([]string{"done", "refused", "back"}, e.Kind) {
				s.journal = append(s.journal, Entry{Kind: e.Kind, Router: e.Router, Text: e.Text})
			}
		case End:
			s.result.Ending, s.ended = e.Ending, true
		}
	}
}

// restart simulates a router's handling of a restart command.
func (s *simulator) restart(e Restart) {
	x := s.routers[e.Router]
	s.result.Restarts++
	answer := func(after time.Duration, o Outcome) {
		s.scheduleTool(s.now+after, func() { s.apply(s.planner.CommandResult(s.now, e.Router, e.ID, o, "rehearsed")) })
	}
	if o, known := x.results[e.ID]; known {
		answer(10*time.Millisecond, o)
		return
	}
	took := time.Duration(float64(x.RestartTime-s.Limits.SettleTime) * (1 + s.Spread*(2*s.rnd.Float64()-1)))
	switch {
	case s.fatalRestarts[s.result.Restarts]:
		s.lost++
		x.upAt, x.results = s.now+s.RecoveryTime, map[string]Outcome{}
		x.boot++
		x.served, x.total = 0, 0
		answer(took, NoAnswer)
	case s.BadRelease && e.Release == s.Target:
		x.results[e.ID] = Rejected
		answer(took, Rejected)
	default:
		x.results[e.ID] = Completed
		x.upAt, x.settlesAt = s.now+took, s.now+took+s.Limits.SettleTime
		x.boot++
		x.release, x.served, x.total = e.Release, 0, 0
		answer(took, Completed)
	}
}

// checkLimits updates the extremes of the result and records violations of the
// limits. Settling routers count as down.
func (s *simulator) checkLimits() {
	upCapacity, totalCapacity, downByCentre := 0.0, 0.0, map[string]int{}
	dead := map[string]bool{}
	for _, x := range s.routers {
		totalCapacity += x.Capacity
		if s.now >= x.upAt && s.now >= x.settlesAt {
			upCapacity += x.Capacity
			continue
		}
		downByCentre[x.Centre]++
		dead[x.Name] = true
	}
	s.result.MinUpShare = min(s.result.MinUpShare, upCapacity/totalCapacity)
	for c, n := range downByCentre {
		s.result.MaxDown = max(s.result.MaxDown, n)
		if s.Limits.MaxDown > 0 && n > s.Limits.MaxDown {
			s.result.Violations = append(s.result.Violations, fmt.Sprintf("%v: %d down in %s", s.now, n, c))
		}
	}
	if upCapacity/totalCapacity < s.Limits.MinCapacity-eps {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf("%v: %.3f of the capacity up", s.now, upCapacity/totalCapacity))
	}
}
