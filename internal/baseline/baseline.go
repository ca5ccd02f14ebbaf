// Package baseline has two simple routing policies for comparison with the module: one picks servers at random, one
// round-robin. They keep the five rules by the same means (one attempt at a time, the final answer by a timer) but know no
// load, no health, no places and no slow start.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"gannethook"
)

// Names of the policies.
const (
	Random     = "random"
	RoundRobin = "round-robin"
)

// Policy implements the module's Handle.
type Policy struct { // Policy implements the module's Handle.
	settings  gannethook.Settings
	pickIndex func(n int) int
	ready     []gannethook.Server
	requests  map[gannethook.RequestID]*request
	actions   []gannethook.Action
}

type request struct {
	gannethook.Request
	sent       int
	inFlight   int // number of the attempt in flight, or -1
	atReader   bool
	hasState   bool
	streaming  bool
	ended      bool
	mayHaveRun bool
	tried      []gannethook.ServerID
}

// New returns a policy by its name.
func New(name string, set gannethook.Settings, seed uint64) (*Policy, error) {
	p := &Policy{settings: set, requests: map[gannethook.RequestID]*request{}}
	rng, next := rand.New(rand.NewPCG(seed, 1)), 0
	switch name {
	case Random:
		p.pickIndex = rng.IntN
	case RoundRobin:
		p.pickIndex = func(n int) int { next++; return next % n }
	default:
		return nil, fmt.Errorf("policy %q is not known; known are module, %s and %s", name, Random, RoundRobin)
	}
	return p, nil
}

// Handle takes an event and returns the actions to perform, in order.
func (p *Policy) Handle(_ gannethook.Millis, event gannethook.Event) []gannethook.Action {
	p.actions = nil
	switch ev := event.(type) {
	case gannethook.Membership:
		p.membership(ev)
	case gannethook.Request:
		q := &request{Request: ev, inFlight: -1}
		p.requests[ev.ID] = q
		p.emit(gannethook.Wake{In: max(ev.Budget-2*p.settings.Quantum-1, 0), Ref: uint64(ev.ID) * 4})
		p.sendNext(q)
	case gannethook.Streaming:
		if q := p.requests[ev.ID]; q != nil {
			q.streaming = true
		}
	case gannethook.Ended:
		p.attemptEnded(ev)
	case gannethook.ClientGone:
		if q := p.requests[ev.ID]; q != nil {
			p.closeRequest(q)
		}
	case gannethook.Wakeup:
		if q := p.requests[gannethook.RequestID(ev.Ref/4)]; q != nil && !q.streaming && !q.ended {
			p.refuseOrFail(q)
		}
	}
	return p.actions
}

func (p *Policy) emit(a gannethook.Action) { p.actions = append(p.actions, a) }

func (p *Policy) membership(ev gannethook.Membership) {
	if ev.Whole {
		p.ready = nil
	}
	for _, s := range ev.Servers {
		p.ready = slices.DeleteFunc(p.ready, func(o gannethook.Server) bool { return o.ID == s.ID })
		if s.State == gannethook.Ready {
			p.ready = append(p.ready, s)
		}
	}
	slices.SortFunc(p.ready, func(a, b gannethook.Server) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *Policy) pick(q *request, excluded gannethook.Role) (gannethook.Server, bool) {
	candidates := slices.DeleteFunc(slices.Clone(p.ready), func(s gannethook.Server) bool {
		return p.settings.Kinds[s.Kind].Role == excluded || slices.Contains(q.tried, s.ID)
	})
	if len(candidates) == 0 {
		return gannethook.Server{}, false
	}
	return candidates[p.pickIndex(len(candidates))], true
}

func (p *Policy) sendNext(q *request) {
	excluded := gannethook.Writer
	if q.hasState {
		excluded = gannethook.Reader
	}
	server, ok := p.pick(q, excluded)
	if !ok || p.settings.MaxAttempts > 0 && q.sent >= p.settings.MaxAttempts {
		p.refuseOrFail(q)
		return
	}
	q.inFlight, q.atReader = q.sent, p.settings.Kinds[server.Kind].Role == gannethook.Reader
	q.sent++
	q.tried = append(q.tried, server.ID)
	p.emit(gannethook.Send{ID: q.ID, Server: server.ID})
}

func (p *Policy) attemptEnded(ev gannethook.Ended) {
	q := p.requests[ev.ID]
	if q == nil || ev.Attempt != q.inFlight {
		return
	}
	q.inFlight = -1
	switch {
	case ev.Done || q.streaming || q.ended:
		p.closeRequest(q)
	case ev.Outcome == gannethook.ReadDone:
		q.hasState = true
		p.sendNext(q)
	default:
		if !q.atReader && ev.Outcome != gannethook.Full && ev.Outcome != gannethook.ConnectFailed {
			q.mayHaveRun = true
		}
		if q.mayHaveRun && p.settings.Classes[q.Class].Effect != gannethook.Safe {
			p.refuseOrFail(q)
			return
		}
		if q.atReader || ev.NoState {
			q.hasState = false
			p.emit(gannethook.Release{ID: q.ID})
		}
		p.sendNext(q)
	}
}

func (p *Policy) refuseOrFail(q *request) {
	if p.settings.Classes[q.Class].Effect == gannethook.Safe || !q.mayHaveRun && q.inFlight < 0 {
		p.emit(gannethook.Refuse{ID: q.ID, RetryAfter: p.settings.MaxRetryAfter / 2})
	} else {
		p.emit(gannethook.Fail{ID: q.ID})
	}
	p.closeRequest(q)
}

func (p *Policy) closeRequest(q *request) {
	q.ended = true
	if q.inFlight >= 0 {
		if !q.streaming {
			p.emit(gannethook.Cancel{ID: q.ID, Attempt: q.inFlight})
		}
		return
	}
	if !q.streaming {
		p.emit(gannethook.Release{ID: q.ID})
	}
	delete(p.requests, q.ID)
}
