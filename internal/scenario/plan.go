package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// plannedRequest is one request that a client will send.
type plannedRequest struct {
	name            string
	class           int
	promptTokens    int
	texts           int // number of texts of a batch
	prefix          string
	think           time.Duration // pause before the request within its session
	disconnect      bool          // the client cuts its connection disconnectAfter after sending the request
	disconnectAfter time.Duration
	seed            uint64
}

// plannedSession is one session with its requests, from a time on.
type plannedSession struct {
	at       time.Duration
	name     string
	tenant   int // -1: none
	requests []plannedRequest
	router   int // router that the front assigns at first
}

// plan draws the sessions of a scenario: the same script and seed give the same requests at the same times.
func (s *Script) plan() []plannedSession {
	rng := rand.New(rand.NewPCG(s.Seed, 0x646179))
	meanTurns := float64(1+s.Clients.MaxTurns) / 2
	var list []plannedSession
	for at, n := time.Duration(0), 0; ; n++ {
		shares, sum := s.trafficShares(at)
		interval := rng.ExpFloat64() / (s.Rate / meanTurns * sum)
		at += time.Duration(interval * float64(time.Second))
		if at >= s.Length {
			return list
		}
		tenant := -1
		if len(s.Tenants) > 0 {
			tenant = drawWeighted(rng, shares)
		}
		list = append(list, s.planSession(rng, at, n, tenant))
	}
}

// trafficShares returns the traffic of each tenant relative to the usual total, and the sum; without tenants, one entry for
// all traffic.
func (s *Script) trafficShares(at time.Duration) (shares []float64, sum float64) {
	total := 0.0
	for _, t := range s.Tenants {
		shares = append(shares, t.Share)
		total += t.Share
	}
	if len(shares) == 0 {
		shares, total = []float64{1}, 1
	}
	for i := range shares {
		shares[i] /= total
		for _, f := range s.Faults {
			if f.Kind == "burst" && at >= f.From && at < f.From+f.For && (f.Tenant == "" || s.tenantIndex(f.Tenant) == i) {
				shares[i] *= math.Max(f.Size, 1)
			}
		}
		sum += shares[i]
	}
	return shares, sum
}

func (s *Script) planSession(rng *rand.Rand, at time.Duration, n, tenant int) plannedSession {
	session := plannedSession{at: at, name: fmt.Sprintf("s%d", n), router: rng.IntN(s.Routers), tenant: tenant}
	class := s.drawClass(rng, tenant)
	c := &s.Classes[class]
	prefix := ""
	if c.Prefixes > 0 {
		prefix = fmt.Sprintf("b%d-%d", class, rng.IntN(c.Prefixes))
	}
	for i := range 1 + rng.IntN(s.Clients.MaxTurns) {
		minTokens, maxTokens := float64(c.Prompt[0]), float64(c.Prompt[1])
		r := plannedRequest{name: fmt.Sprintf("%s.%d", session.name, i), class: class, prefix: prefix, seed: rng.Uint64(),
			promptTokens: int(minTokens + rng.Float64()*(maxTokens-minTokens)),
			think:        time.Duration(rng.ExpFloat64() * float64(s.Clients.ThinkTime)),
			texts:        drawBetween(rng, c.Texts),
			disconnect:   rng.Float64() < s.Clients.DisconnectShare, disconnectAfter: time.Duration(rng.Float64() * float64(500*time.Millisecond))}
		session.requests = append(session.requests, r)
	}
	return session
}

// drawBetween draws a number from bounds, a minimum and a maximum; 0 if they are not given.
func drawBetween(rng *rand.Rand, bounds []int) int {
	if len(bounds) != 2 {
		return 0
	}
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// drawClass draws one of the classes that a tenant uses.
func (s *Script) drawClass(rng *rand.Rand, tenant int) int {
	weights := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		if tenant < 0 || len(s.Tenants[tenant].Classes) == 0 || slices.Contains(s.Tenants[tenant].Classes, c.Name) {
			weights[i] = c.Share
		}
	}
	return drawWeighted(rng, weights)
}

// drawWeighted draws an index with probability proportional to its weight.
func drawWeighted(rng *rand.Rand, weights []float64) int {
	total, last := 0.0, 0
	for i, weight := range weights {
		total += weight
		if weight > 0 {
			last = i
		}
	}
	x := rng.Float64() * total
	for i, weight := range weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return last
}

// chooseTargets draws which of n targets a fault affects: at least one, by the scenario's seed and the fault's index.
func (s *Script) chooseTargets(fault, n int) []int {
	f := &s.Faults[fault]
	share := f.Share
	if share == 0 {
		share = 1
	}
	count := min(max(int(math.Round(share*float64(n))), 1), n)
	rng := rand.New(rand.NewPCG(s.Seed, uint64(fault)+1))
	list := rng.Perm(n)[:count]
	slices.Sort(list)
	return list
}

// eagerRetries reports whether clients retry at once at a time, and how often.
func (s *Script) eagerRetries(at time.Duration) (retries int, on bool) {
	for _, f := range s.Faults {
		if f.Kind == "eager-retries" && at >= f.From && at < f.From+f.For {
			return max(int(f.Size), 2), true
		}
	}
	return 0, false
}
