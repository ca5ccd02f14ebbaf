package gannethook

import "math"

// Slow start: how much a server that started a short while ago is counted on for,
// and how many calls it may get from this router. router.go has the rest.

// warmth is the fraction of its capacity that a server can be counted on for.
func (r *Router) warmth(s *server) float64 {
	age := r.now - s.Since
	if s.Since <= 0 || age >= r.set.WarmAfter {
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
