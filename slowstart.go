package gannethook

import "math"

// Slow start: the share of its capacity that a server which started recently is counted on for, and how many
// calls it may get from this router. The rest of the decisions is in router.go.

// startRecord is when a server started, on this router's clock.
type startRecord struct {
	reported  Millis // as listed, by other machines' wall clocks
	startedAt Millis // 0: long ago
}

// startTime returns when a newly listed server started, on this router's clock. Guards slow start against a
// wall clock of this machine that was stepped, before the router started or since, while reported times come
// from other machines' clocks. A listed server has started by now, and this clock is ahead by no more than
// the least age at which any newcomer was first seen, so that much is taken off each one's age. How old the
// first list of a router is cannot be known: a server that seems to have been up for long, but was not in it,
// may have started just now. Drawback: if all newcomers are reported late, or the first list is older than a
// warm-up, they are used late.
func (r *Router) startTime(entry Server) Millis {
	if known, ok := r.starts[entry.ID]; ok && known.reported == entry.Since {
		return known.startedAt
	}
	if entry.Since <= 0 {
		return 0
	}
	startedAt := min(entry.Since, r.now)
	switch {
	case r.updates == 1 && r.now-startedAt >= r.settings.WarmAfter && len(r.starts) > 0:
		startedAt = r.now
	case r.updates > 1:
		startedAt = min(entry.Since+r.clockAhead, r.now)
	}
	return startedAt
}

// learnClock learns from the apparent ages of the newcomers in a list by how much this clock may be ahead.
func (r *Router) learnClock(list []Server) {
	if r.updates <= 1 {
		return
	}
	for _, entry := range list {
		if known, ok := r.starts[entry.ID]; entry.Since > 0 && entry.State == Ready &&
			!(ok && known.reported == entry.Since) {
			r.clockAhead = max(min(r.clockAhead, r.now-entry.Since), 0)
		}
	}
}

// rememberStart records when a server started, so that it is known if the server leaves the list for a while.
func (r *Router) rememberStart(srv *server) {
	if len(r.starts) >= maxTrackedKeys {
		clear(r.starts)
		for _, srv := range r.listed {
			r.starts[srv.ID] = startRecord{srv.Since, srv.startedAt}
		}
	}
	r.starts[srv.ID] = startRecord{srv.Since, srv.startedAt}
}

// ramp is the share of its capacity that a server can be counted on for; it rises to 1 during slow start.
func (r *Router) ramp(srv *server) float64 {
	age := r.now - srv.startedAt
	if srv.startedAt <= 0 || age >= r.settings.WarmAfter {
		return 1
	}
	return math.Min(1,
		r.settings.ColdFrom+(1-r.settings.ColdFrom)*math.Max(float64(age/r.settings.WarmAfter), 0))
}

// hasSendToken reports whether a server may get a request's call. It bounds the sum of all routers' calls to
// a server in slow start: each router's token bucket fills at the highest rate at which it saw a warm server
// complete work, times the ramp; a rate of sends would count a retry storm. A router that sends a warm server
// too little for a rate draws for each request instead, and may be ahead by one send: buckets that stay under
// one send for most of the warm-up would leave the server unused. The chance is lower if many servers of the
// role are removed, failing or full, or the servers in slow start would get all their work; by the request's
// repeats, since most routers have not yet seen the others fail; and, where a request is two calls, by the
// overload factor. Drawback: it stays lower after a fleet was made smaller.
func (r *Router) hasSendToken(srv *server, req *request, usable float64) bool {
	ramp := r.ramp(srv)
	if ramp >= 1 {
		return true
	}
	tokensPerMs := math.Min(slowStartRateFactor, r.settings.OverloadFactor/2) * ramp *
		r.peakRate[srv.role] / 1000
	srv.sendTokens, srv.sendTokensAt =
		math.Min(1, srv.sendTokens+tokensPerMs*float64(r.now-srv.sendTokensAt)), r.now
	lowTraffic := r.peakRate[srv.role]*float64(r.settings.WarmAfter) < minSamples*1000
	callsPerRequest := 1.0
	if srv.role == Writer && r.settings.Holds {
		callsPerRequest = 2 // a hold, then the state
	}
	draw := hashUnit(uint64(req.ID)^r.seed, srv.hash) * float64(max(req.attemptsMade, 1))
	return srv.sendTokens >= 1 || lowTraffic && srv.sendTokens >= 0 &&
		draw < ramp*usable*math.Min(1, r.settings.OverloadFactor/2/callsPerRequest)
}

// takeSendToken books a call to a server. A hold and the state that follows are two calls.
func (r *Router) takeSendToken(srv *server) { srv.sendTokens = math.Max(-1, srv.sendTokens-1) }

// recordCompletion counts work that a server completed: a read ended or a stream begun.
func (r *Router) recordCompletion(role Role) {
	window, warmServers := r.rateWindow(), r.sumReady(role, r.ramp)
	r.completions[role].increment(r.now, window)
	r.peakRate[role] = math.Max(r.peakRate[role],
		r.completions[role].perSecond(r.now, window)/math.Max(warmServers, 1))
}
