package day

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ask is one request that a client will make.
type ask struct {
	name   string
	class  int
	prompt int
	prefix string
	think  time.Duration // before it, within a session
	drop   bool          // its client cuts the socket once the answer has begun or soon after it asked
	dropAt time.Duration
	seed   uint64
}

// visit is one session's requests, from a time on.
type visit struct {
	at    time.Duration
	name  string
	asks  []ask
	first int // router that it comes to, by the front's draw
}

// plan draws a day's sessions from its seed: the same script and seed give the
// same requests at the same times.
func (s *Script) plan() []visit {
	rnd := rand.New(rand.NewPCG(s.Seed, 0x646179))
	meanTurns := float64(1+s.Clients.TurnsMost) / 2
	var list []visit
	for at, n := time.Duration(0), 0; ; n++ {
		gap := rnd.ExpFloat64() / (s.Rate / meanTurns * s.burst(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= s.Length {
			return list
		}
		list = append(list, s.visit(rnd, at, n))
	}
}

// burst is how many times the usual traffic there is.
func (s *Script) burst(at time.Duration) float64 {
	times := 1.0
	for _, f := range s.Faults {
		if f.Kind == "burst" && at >= f.From && at < f.From+f.For {
			times *= math.Max(f.Size, 1)
		}
	}
	return times
}

func (s *Script) visit(rnd *rand.Rand, at time.Duration, n int) visit {
	v := visit{at: at, name: fmt.Sprintf("s%d", n), first: rnd.IntN(s.Routers)}
	class := s.draw(rnd)
	c := &s.Classes[class]
	prefix := ""
	if c.Prefix > 0 {
		prefix = fmt.Sprintf("b%d-%d", class, rnd.IntN(c.Prefix))
	}
	for i := range 1 + rnd.IntN(s.Clients.TurnsMost) {
		least, most := float64(c.Prompt[0]), float64(c.Prompt[1])
		a := ask{name: fmt.Sprintf("%s.%d", v.name, i), class: class, prefix: prefix, seed: rnd.Uint64(),
			prompt: int(least + rnd.Float64()*(most-least)),
			think:  time.Duration(rnd.ExpFloat64() * float64(s.Clients.Think)),
			drop:   rnd.Float64() < s.Clients.Drop, dropAt: time.Duration(rnd.Float64() * float64(500*time.Millisecond))}
		v.asks = append(v.asks, a)
	}
	return v
}

func (s *Script) draw(rnd *rand.Rand) int {
	all := 0.0
	for _, c := range s.Classes {
		all += c.Part
	}
	x := rnd.Float64() * all
	for i, c := range s.Classes {
		if x -= c.Part; x < 0 {
			return i
		}
	}
	return len(s.Classes) - 1
}

// chosen draws which of n a trouble strikes: at least one, by the day's seed and the trouble's place.
func (s *Script) chosen(trouble, n int) []int {
	f := &s.Faults[trouble]
	part := f.Part
	if part == 0 {
		part = 1
	}
	count := min(max(int(math.Round(part*float64(n))), 1), n)
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(trouble)+1))
	list := rnd.Perm(n)[:count]
	slices.Sort(list)
	return list
}

// eager tells whether clients come again at once and more often at a time.
func (s *Script) eager(at time.Duration) (retries int, on bool) {
	for _, f := range s.Faults {
		if f.Kind == "eager-retries" && at >= f.From && at < f.From+f.For {
			return max(int(f.Size), 2), true
		}
	}
	return 0, false
}
