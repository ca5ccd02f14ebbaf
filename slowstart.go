package gannethook

import "math"

// Slow start: how much a server that started a short while ago is counted on for,
// and how many calls it may get from this router. router.go has the rest.

// start is when a server started, on this router's clock.
type start struct {
	told  Millis // as it was told, by wall clocks
	began Millis // 0: long ago
}

// startOf is when a server that is listed anew started. Guards rule 4 against a wall clock of this machine
// that was stepped, before this router began or since: what is told counts by others' clocks. It has started
// by now; and this clock is ahead by no more than the least age at which any newcomer was first told, so that
// this much is taken off each one's age. How old the list is that was known at the start is not known: what
// seems to have been up for long, but was not in it, may have started just now. Harms where all newcomers are
// told late, and where the list known at the start is older than a warm-up: they are used late.
func (r *Router) startOf(e Server) Millis {
	if s, ok := r.starts[e.ID]; ok && s.told == e.Since {
		return s.began
	}
	if e.Since <= 0 {
		return 0
	}
	began := min(e.Since, r.now)
	switch {
	case r.lists == 1 && r.now-began >= r.set.WarmAfter && len(r.starts) > 0:
		began = r.now
	case r.lists > 1:
		began = min(e.Since+r.ahead, r.now)
	}
	return began
}

// learnClock takes in how old the newcomers of a list seem.
func (r *Router) learnClock(list []Server) {
	if r.lists <= 1 {
		return
	}
	for _, e := range list {
		if s, ok := r.starts[e.ID]; e.Since > 0 && e.State == Ready && !(ok && s.told == e.Since) {
			r.ahead = max(min(r.ahead, r.now-e.Since), 0)
		}
	}
}

// rememberStart keeps when a server started, though it leaves the list for a while.
func (r *Router) rememberStart(s *server) {
	if len(r.starts) >= keyCap {
		clear(r.starts)
		for _, s := range r.list {
			r.starts[s.ID] = start{s.Since, s.began}
		}
	}
	r.starts[s.ID] = start{s.Since, s.began}
}

// warmth is the fraction of its capacity that a server can be counted on for.
func (r *Router) warmth(s *server) float64 {
	age := r.now - s.began
	if s.began <= 0 || age >= r.set.WarmAfter {
		return 1
	}
	return math.Min(1, r.set.ColdFrom+(1-r.set.ColdFrom)*math.Max(float64(age/r.set.WarmAfter), 0))
}

// hasCredit tells whether a server may get a request's call. Guards rule 4 for the sum over all routers: a
// cold server gets, times its warmth, the most that this router saw a warm one get done; to count sends would
// count a storm of retries. A router that sends a warm server too few to go by that draws a lot for each
// request, and is ahead by one send at most: credits under one send for most of the warm-up would leave cold
// capacity unused. Lots are fewer by what is gone, failing or full, else the rest, if cold, got it all; by
// the request's repeats: most routers have not seen yet that the others fail; and where a request is two
// calls, by what the settings allow. Harms where a fleet was made smaller.
func (r *Router) hasCredit(s *server, q *request, left float64) bool {
	w := r.warmth(s)
	if w >= 1 {
		return true
	}
	perMs := math.Min(coldPart, r.set.OverloadFactor/2) * w * r.peak[s.role] / 1000
	s.credit, s.credAt = math.Min(1, s.credit+perMs*float64(r.now-s.credAt)), r.now
	few := r.peak[s.role]*float64(r.set.WarmAfter) < enough*1000
	calls := 1.0
	if s.role == Writer && r.set.Holds {
		calls = 2 // a place, then the state
	}
	lot := unit(uint64(q.ID)^r.seed, s.hash) * float64(max(q.sent, 1))
	return s.credit >= 1 || few && s.credit >= 0 && lot < w*left*math.Min(1, r.set.OverloadFactor/2/calls)
}

// spend books a call to a server. A place and the state that follows are two calls.
func (r *Router) spend(s *server) { s.credit = math.Max(-1, s.credit-1) }

// prove counts work that a server got done: a read ended or a stream begun.
func (r *Router) prove(role Role) {
	window, fleet := r.window(), r.sum(role, r.warmth)
	r.done[role].count(r.now, window)
	r.peak[role] = math.Max(r.peak[role], r.done[role].perSecond(r.now, window)/math.Max(fleet, 1))
}
