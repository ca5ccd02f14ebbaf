package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Rehearsal plays a rollout against simulated routers, in simulated time.
type Rehearsal struct {
	All, Todo []Router
	Lim       Limits
	Order     []string
	Target    string
	Seed      uint64
	Spread    float64       // restarts take Expect less settling, times 1 plus or minus this part
	Lose      int           // routers that die in the middle of their command
	Back      time.Duration // and are back after so long, as they were
	Bad       bool          // the target does not come up
	Worse     float64       // the target serves this part fewer
	Every     time.Duration // between two looks at a router
	Kill      time.Duration // the tool dies then and goes on from its journal; 0: never
}

// Played is what a rehearsal showed.
type Played struct {
	How        Ending
	Took       time.Duration
	LeastUp    float64 // least share of capacity that was up
	MostDown   int     // most routers of a centre that were down
	Restarts   int
	Notes      []Note
	Broken     []string // limits that were not kept
	Releases   map[string]string
	LostRouter int
}

// sim is one simulated router.
type sim struct {
	Router
	boot    int
	release string
	results map[string]Outcome // of commands, as a router remembers them
	upAt    time.Duration      // down before it
	settled time.Duration
	served  uint64
	total   uint64
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}
type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type stage struct {
	Rehearsal
	now     time.Duration
	queue   happenings
	seq     int
	rnd     *rand.Rand
	sims    map[string]*sim
	planner *Planner
	journal []Entry
	lost    int
	fatal   map[int]bool // restarts, by number, in which the router dies
	over    bool
	tool    int // life of the tool; happenings of an earlier one are nothing
	res     *Played
}

// MadeUp is a fleet of n routers in so many centres, of one to four units of
// capacity each, whose restarts take three quarters to five quarters of expect.
func MadeUp(n, centres int, expect time.Duration, seed uint64) (list []Router) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	for i := range n {
		list = append(list, Router{Name: fmt.Sprintf("r%03d", i), Centre: fmt.Sprintf("c%d", i%max(centres, 1)),
			Capacity: float64(1 + rnd.IntN(4)), Expect: time.Duration((0.75 + rnd.Float64()/2) * float64(expect))})
	}
	return list
}

// Play plays it. The most simulated time is a day.
func (r Rehearsal) Play() *Played {
	if r.Every <= 0 {
		r.Every = time.Second
	}
	s := &stage{Rehearsal: r, rnd: rand.New(rand.NewPCG(r.Seed, 1)), sims: map[string]*sim{}, res: &Played{LeastUp: 1, Releases: map[string]string{}}}
	for _, x := range r.All {
		s.sims[x.Name] = &sim{Router: x, boot: 1, release: "old", results: map[string]Outcome{}}
	}
	s.fatal = map[int]bool{}
	for _, n := range s.rnd.Perm(len(r.Todo))[:min(r.Lose, len(r.Todo))] {
		s.fatal[n+1] = true
	}
	s.raise()
	if r.Kill > 0 {
		s.at(r.Kill, func() { s.tool++; s.raise() })
	}
	for len(s.queue) > 0 && !s.over && s.now < 24*time.Hour {
		h := heap.Pop(&s.queue).(happening)
		s.now = h.at
		h.do()
		s.measure()
	}
	s.res.Took, s.res.LostRouter = s.now, s.lost
	for name, x := range s.sims {
		s.res.Releases[name] = x.release
	}
	return s.res
}

// raise starts the tool, on the journal as it is.
func (s *stage) raise() {
	s.planner = New("rehearsal", s.Target, s.All, s.Todo, s.Order, s.Lim, s.now)
	s.planner.Restore(s.now, s.journal)
	for i, x := range s.All {
		s.look(s.sims[x.Name], s.now+time.Duration(i)*time.Millisecond)
	}
}

func (s *stage) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, happening{t, s.seq, do})
}

// tools has something done by the tool, if that one still lives.
func (s *stage) tools(t time.Duration, do func()) {
	tool := s.tool
	s.at(t, func() {
		if tool == s.tool {
			do()
		}
	})
}

// look has the tool read a router's status again and again.
func (s *stage) look(x *sim, t time.Duration) {
	s.tools(t, func() {
		if s.now >= x.upAt {
			n := uint64(20 * s.Every.Seconds())
			served := n
			if x.release == s.Target && s.Worse > 0 {
				served = uint64(float64(n) * (1 - s.Worse))
			}
			x.served, x.total = x.served+served, x.total+n
			s.carryOut(s.planner.Seen(s.now, Sight{Router: x.Name, Boot: fmt.Sprint(x.Name, x.boot), Release: x.release,
				Ready: true, Served: x.served, Total: x.total}))
		} else {
			s.carryOut(s.planner.Tick(s.now))
		}
		s.look(x, s.now+s.Every)
	})
}

func (s *stage) carryOut(list []Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case Restart:
			s.journal = append(s.journal, s.planner.Entry(e))
			s.restart(e)
		case Note:
			s.res.Notes = append(s.res.Notes, e)
			if slices.Contains([]string{"done", "refused", "back"}, e.Kind) {
				s.journal = append(s.journal, Entry{Kind: e.Kind, Router: e.Router, Text: e.Text})
			}
		case End:
			s.res.How, s.over = e.How, true
		}
	}
}

func (s *stage) restart(e Restart) {
	x := s.sims[e.Router]
	s.res.Restarts++
	answer := func(in time.Duration, o Outcome) {
		s.tools(s.now+in, func() { s.carryOut(s.planner.Result(s.now, e.Router, e.ID, o, "rehearsed")) })
	}
	if o, known := x.results[e.ID]; known {
		answer(10*time.Millisecond, o)
		return
	}
	took := time.Duration(float64(x.Expect-s.Lim.Settle) * (1 + s.Spread*(2*s.rnd.Float64()-1)))
	switch {
	case s.fatal[s.res.Restarts]:
		s.lost++
		x.upAt, x.results = s.now+s.Back, map[string]Outcome{}
		x.boot++
		x.served, x.total = 0, 0
		answer(took, NoAnswer)
	case s.Bad && e.Release == s.Target:
		x.results[e.ID] = Rejected
		answer(took, Rejected)
	default:
		x.results[e.ID] = Commanded
		x.upAt, x.settled = s.now+took, s.now+took+s.Lim.Settle
		x.boot++
		x.release, x.served, x.total = e.Release, 0, 0
		answer(took, Commanded)
	}
}

// measure keeps the least that was up, counting what settles as down, and
// tells where a limit was not kept by what the planner itself did.
func (s *stage) measure() {
	up, all, down := 0.0, 0.0, map[string]int{}
	dead := map[string]bool{}
	for _, x := range s.sims {
		all += x.Capacity
		if s.now >= x.upAt && s.now >= x.settled {
			up += x.Capacity
			continue
		}
		down[x.Centre]++
		dead[x.Name] = true
	}
	s.res.LeastUp = min(s.res.LeastUp, up/all)
	for c, n := range down {
		s.res.MostDown = max(s.res.MostDown, n)
		if s.Lim.Down > 0 && n > s.Lim.Down {
			s.res.Broken = append(s.res.Broken, fmt.Sprintf("%v: %d down in %s", s.now, n, c))
		}
	}
	if up/all < s.Lim.Share-eps {
		s.res.Broken = append(s.res.Broken, fmt.Sprintf("%v: %.3f of the capacity up", s.now, up/all))
	}
}
