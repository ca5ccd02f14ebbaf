package scenario

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
	texts  int // of a batch
	prefix string
	think  time.Duration // before it, within a session
	drop   bool          // its client cuts the socket once the answer has begun or soon after it asked
	dropAt time.Duration
	seed   uint64
}

// visit is one session's requests, from a time on.
type visit struct {
	at     time.Duration
	name   string
	tenant int // -1: none
	asks   []ask
	first  int // router that it comes to, by the front's draw
}

// plan draws a day's sessions from its seed: the same script and seed give the
// same requests at the same times.
func (s *Script) plan() []visit {
	rnd := rand.New(rand.NewPCG(s.Seed, 0x646179))
	meanTurns := float64(1+s.Clients.TurnsMost) / 2
	var list []visit
	for at, n := time.Duration(0), 0; ; n++ {
		parts, sum := s.parts(at)
		gap := rnd.ExpFloat64() / (s.Rate / meanTurns * sum)
		at += time.Duration(gap * float64(time.Second))
		if at >= s.Length {
			return list
		}
		tenant := -1
		if len(s.Tenants) > 0 {
			tenant = pick(rnd, parts)
		}
		list = append(list, s.visit(rnd, at, n, tenant))
	}
}

// parts are how many times the usual traffic there is, from each tenant, and
// their sum; where there are no tenants, of all.
func (s *Script) parts(at time.Duration) (parts []float64, sum float64) {
	all := 0.0
	for _, t := range s.Tenants {
		parts = append(parts, t.Part)
		all += t.Part
	}
	if len(parts) == 0 {
		parts, all = []float64{1}, 1
	}
	for i := range parts {
		parts[i] /= all
		for _, f := range s.Faults {
			if f.Kind == "burst" && at >= f.From && at < f.From+f.For && (f.Whom == "" || s.tenant(f.Whom) == i) {
				parts[i] *= math.Max(f.Size, 1)
			}
		}
		sum += parts[i]
	}
	return parts, sum
}

func (s *Script) visit(rnd *rand.Rand, at time.Duration, n, tenant int) visit {
	v := visit{at: at, name: fmt.Sprintf("s%d", n), first: rnd.IntN(s.Routers), tenant: tenant}
	class := s.draw(rnd, tenant)
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
			texts:  between(rnd, c.Texts),
			drop:   rnd.Float64() < s.Clients.Drop, dropAt: time.Duration(rnd.Float64() * float64(500*time.Millisecond))}
		v.asks = append(v.asks, a)
	}
	return v
}

// between draws a number from a least to a most; 0 where they are not given.
func between(rnd *rand.Rand, bounds []int) int {
	if len(bounds) != 2 {
		return 0
	}
	return bounds[0] + rnd.IntN(bounds[1]-bounds[0]+1)
}

// draw draws a class, of those that a tenant asks for.
func (s *Script) draw(rnd *rand.Rand, tenant int) int {
	parts := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		if tenant < 0 || len(s.Tenants[tenant].Only) == 0 || slices.Contains(s.Tenants[tenant].Only, c.Name) {
			parts[i] = c.Part
		}
	}
	return pick(rnd, parts)
}

// pick draws a place by the parts.
func pick(rnd *rand.Rand, parts []float64) int {
	all, last := 0.0, 0
	for i, p := range parts {
		all += p
		if p > 0 {
			last = i
		}
	}
	x := rnd.Float64() * all
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return last
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
