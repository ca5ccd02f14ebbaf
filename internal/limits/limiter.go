package limits

import (
	"math/rand/v2"
	"time"
)

// Class configures the limits of one class of requests.
type Class struct {
	Aim        time.Duration // target latency of the first token, or of the whole answer for one-stage work
	AimPer1000 time.Duration // added to Aim for each 1,000 prompt tokens
	Worth      float64       // classes of lower worth are shed and evicted first
	Priority   int           // order within a tenant: higher first
}

// Budget is a tenant's rate limits for one class, or for all classes together.
type Budget struct {
	Class    int  // -1: all classes together
	Requests Rate // for the whole fleet of routers
	Tokens   Rate // of prompts and of answers at their maximum length
}

// Tenant configures the limits of one tenant.
type Tenant struct {
	Weight  float64 // share in the fair queue; 0 counts as 1
	Budgets []Budget
}

// Settings configures a Limiter. Tenants and classes are referred to by their indexes here.
type Settings struct {
	Routers         int // number of routers that quotas are divided among
	Classes         []Class
	Tenants         []Tenant      // requests without a tenant have no budgets and share one flow of the queue
	MaxQueued       int           // maximum length of the queue, in requests
	MaxWaitFraction float64       // fraction of its target latency that a request may wait
	MinInFlight     int           // concurrency limit: lower bound, in requests of mean size
	StartInFlight   int           // initial value
	MaxInFlight     int           // upper bound
	RetryRatio      float64       // retries per first attempt of a client; 0: unlimited
	MaxClients      int           // maximum number of clients whose retries are counted
	Shed            bool          // enables the brown-out
	MinRetryAfter   time.Duration // retry delay of refusals for lack of capacity: lower bound
	MaxRetryAfter   time.Duration // upper bound
	Seed            uint64        // differs between routers
}

// Reason is why a request was refused.
type Reason int

// The reasons.
const (
	Requests     Reason = iota + 1 // the tenant's request budget is used up
	Tokens                         // the tenant's token budget is used up
	TooLarge                       // the request exceeds the burst of its tenant's token budget
	Retries                        // the client's retry budget is used up
	Shed                           // shed by the brown-out
	Overloaded                     // the expected wait is too long, or the queue is full
	QueueTimeout                   // the request waited longer than it may
	Revoked                        // the client's API key was revoked
)

func (r Reason) String() string {
	return [...]string{"", "requests", "tokens", "too large", "retries", "shed", "crowded", "waited", "revoked"}[r]
}

// Verdict is the limiter's decision on one request, returned once.
type Verdict struct {
	ID         uint64
	Admitted   bool          // dispatch the request to the decision module now
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // advice to the client; 0 for TooLarge and Revoked: don't retry
}

// Request describes one request to the limiter.
type Request struct {
	ID       uint64
	Tenant   int           // index into Settings.Tenants; -1: none
	Class    int           // index into Settings.Classes
	Client   uint64        // whose retries are counted; 0: unknown
	Retry    bool          // the client marks the request as a retry
	Charged  bool          // a part of a batch that Charge has charged already
	PartsRun bool          // other parts of the batch have run: this one is not shed
	Prompt   float64       // tokens of the prompt
	Tokens   float64       // tokens of the prompt and of the answer at its maximum length
	Price    float64       // cost of the whole request: its size in the queue and in the concurrency limit
	TimeLeft time.Duration // until the client's deadline
}

// activeRequest is a request that is queued or dispatched.
type activeRequest struct {
	Request
	target     time.Duration // target latency
	size       float64       // in requests of mean size; set at dispatch
	since      time.Duration // arrival, or dispatch once dispatched
	dispatched bool          // passed to the decision module
	released   bool          // no longer counts as in flight: its first token has come, or it ended
}

// budgetState is the state of one Budget at this router.
type budgetState struct {
	requests, tokens Meter
	arrivals         arrivals
	initialized      bool // requests starts from initialUse
}

// Limiter decides for one router. It is not safe for concurrent use. Its memory is bounded by the queued and dispatched
// requests, the tenants' budgets and Settings.MaxClients.
type Limiter struct {
	settings      Settings
	routers       routerCount
	queue         *Queue
	concurrency   concurrencyLimit
	shedder       shedder
	active        map[uint64]*activeRequest // by request id
	inFlightSize  float64                   // in requests of mean size
	inFlight      int                       // requests
	budgetStates  map[[2]int]*budgetState   // by the indexes of the tenant and its budget
	clients       map[uint64]*retryBudget
	throughput    float64       // price per second that is dispatched while requests are queued; 0: not measured yet
	measuredSince time.Duration // start of the current measurement
	measuredSize  float64       // price dispatched in it
	refusals      map[Reason]uint64
	admitted      uint64
	decided       []Verdict // not returned yet
}

// New returns a limiter without requests.
func New(settings Settings) *Limiter {
	l := &Limiter{settings: settings, routers: routerCount{current: max(settings.Routers, 1), next: max(settings.Routers, 1)},
		concurrency: newConcurrencyLimit(float64(settings.MinInFlight), float64(settings.StartInFlight),
			float64(settings.MaxInFlight), len(settings.Classes)), shedder: newShedder(settings.Classes),
		active: map[uint64]*activeRequest{}, budgetStates: map[[2]int]*budgetState{}, clients: map[uint64]*retryBudget{},
		refusals: map[Reason]uint64{}}
	l.queue = NewQueue(settings.MaxQueued, l.weight)
	return l
}

func (l *Limiter) weight(tenant int) float64 {
	if tenant < 0 || tenant >= len(l.settings.Tenants) {
		return 1
	}
	return l.settings.Tenants[tenant].Weight
}

// takeVerdicts returns the verdicts since the last call.
func (l *Limiter) takeVerdicts() []Verdict {
	verdicts := l.decided
	l.decided = nil
	return verdicts
}

// Admit decides on a new request, or queues it. It returns the verdicts that are due, of this and of other requests, in
// order.
func (l *Limiter) Admit(now time.Duration, r Request) []Verdict {
	l.advance(now)
	if l.active[r.ID] != nil || r.Class < 0 || r.Class >= len(l.settings.Classes) {
		return l.takeVerdicts()
	}
	class := &l.settings.Classes[r.Class]
	a := &activeRequest{Request: r, since: now, target: class.Aim + time.Duration(r.Prompt/1000*float64(class.AimPer1000))}
	if v := l.Charge(now, r); v.Admitted {
		l.dispatchOrQueue(now, a)
	} else {
		l.decided = append(l.decided, v)
	}
	return l.takeVerdicts()
}

// Charge charges a request to its tenant's budgets and its client's retry budget, for instance for a batch that is then
// admitted in parts. A refused request isn't charged to the tenant. Parts that are Charged pass and aren't counted as
// retries.
func (l *Limiter) Charge(now time.Duration, r Request) Verdict {
	if r.Charged {
		return Verdict{ID: r.ID, Admitted: true}
	}
	if wait := l.checkRetry(now, r); wait > 0 {
		return l.refusal(r.ID, Retries, wait)
	}
	if reason, wait := l.checkBudgets(now, r); reason != 0 {
		return l.refusal(r.ID, reason, wait)
	}
	l.eachBudget(r, func(b *Budget, state *budgetState) {
		requests, tokens := l.routerShares(now, b, state, r)
		state.requests.Take(now, requests, 1)
		state.tokens.Take(now, tokens, r.Tokens)
	})
	return Verdict{ID: r.ID, Admitted: true}
}

// refusal counts and returns a refusal. Its retry delay is not bounded: the wait for a budget is known exactly.
func (l *Limiter) refusal(id uint64, reason Reason, retryAfter time.Duration) Verdict {
	l.refusals[reason]++
	return Verdict{ID: id, Reason: reason, RetryAfter: retryAfter}
}

// checkRetry counts an attempt of a client. For a retry beyond the budget it returns how long until the next retry is
// admitted, otherwise 0.
func (l *Limiter) checkRetry(now time.Duration, r Request) time.Duration {
	if l.settings.RetryRatio <= 0 || r.Client == 0 {
		return 0
	}
	b := l.clients[r.Client]
	if b == nil {
		if len(l.clients) >= l.settings.MaxClients {
			l.evictClients(now)
		}
		b = &retryBudget{available: minRetryBurst, at: now}
		l.clients[r.Client] = b
	}
	if r.Retry {
		return b.take(now, l.settings.RetryRatio)
	}
	b.firstAttempt(now, l.settings.RetryRatio)
	return 0
}

// evictClients bounds memory: it drops the clients with a full retry budget, or, where that is not enough, all clients,
// which gives each a full budget again.
func (l *Limiter) evictClients(now time.Duration) {
	for id, b := range l.clients {
		if b.refill(now); b.available >= minRetryBurst {
			delete(l.clients, id)
		}
	}
	if len(l.clients) >= l.settings.MaxClients {
		clear(l.clients)
	}
}

// eachBudget calls f with each budget that applies to a request.
func (l *Limiter) eachBudget(r Request, f func(b *Budget, state *budgetState)) {
	if r.Tenant < 0 || r.Tenant >= len(l.settings.Tenants) {
		return
	}
	budgets := l.settings.Tenants[r.Tenant].Budgets
	for i := range budgets {
		if b := &budgets[i]; b.Class < 0 || b.Class == r.Class {
			key := [2]int{r.Tenant, i}
			state := l.budgetStates[key]
			if state == nil {
				state = &budgetState{}
				l.budgetStates[key] = state
			}
			f(b, state)
		}
	}
}

// routerShares returns this router's shares of a budget. The burst of tokens admits any single request that the fleet's
// burst admits.
func (l *Limiter) routerShares(now time.Duration, b *Budget, state *budgetState, r Request) (requests, tokens Rate) {
	arrivals := state.arrivals.decayed(now)
	n := l.routers.current
	return routerShare(b.Requests, n, arrivals, smallShareBurst(b.Requests, n)),
		routerShare(b.Tokens, n, arrivals, min(r.Tokens, b.Tokens.Burst))
}

// checkBudgets returns which budget refuses a request and for how long, or 0 if none does.
func (l *Limiter) checkBudgets(now time.Duration, r Request) (reason Reason, wait time.Duration) {
	l.eachBudget(r, func(b *Budget, state *budgetState) {
		if !state.initialized {
			used := initialUse(b.Requests, l.routers.current, hashFraction(l.settings.Seed, uint64(r.Tenant)))
			state.initialized, state.requests.used, state.requests.at = true, used, now
		}
		state.arrivals.add(now)
		requests, tokens := l.routerShares(now, b, state, r)
		if b.Tokens.NeverAllows(r.Tokens) {
			reason, wait = TooLarge, 0
		}
		if reason == TooLarge {
			return
		}
		if d := state.requests.Wait(now, requests, 1); d > wait {
			reason, wait = Requests, d
		}
		if d := state.tokens.Wait(now, tokens, r.Tokens); d > wait {
			reason, wait = Tokens, d
		}
	})
	return reason, wait
}

// Refund returns to the tenant's budgets what Charge took for a request that did not run.
func (l *Limiter) Refund(r Request) {
	if r.Charged {
		return
	}
	l.eachBudget(r, func(_ *Budget, state *budgetState) {
		state.requests.Refund(1)
		state.tokens.Refund(r.Tokens)
	})
}

// dispatchOrQueue dispatches or queues a request, or refuses it for lack of capacity.
func (l *Limiter) dispatchOrQueue(now time.Duration, a *activeRequest) {
	if l.settings.Shed && !a.PartsRun && l.shedder.sheds(a.Class, a.Retry, hashFraction(l.settings.Seed, a.ID)) {
		l.refuse(a, Shed, l.retryAfter())
		return
	}
	if l.queue.Len() == 0 && l.hasCapacity() {
		l.shedder.count(false)
		l.dispatch(now, a)
		return
	}
	maxWait, expectedWait := l.maxWait(a), l.expectedWait(a.Tenant)
	if expectedWait > maxWait {
		l.shedder.count(true)
		l.refuse(a, Overloaded, max(expectedWait-maxWait, l.retryAfter()))
		return
	}
	l.active[a.ID] = a
	evicted := l.queue.Add(Item{ID: a.ID, Tenant: a.Tenant, Size: max(a.Price, 1e-9), Deadline: now + maxWait,
		Worth: l.settings.Classes[a.Class].Worth, Priority: l.settings.Classes[a.Class].Priority})
	l.shedder.count(evicted != nil)
	if evicted != nil {
		l.refuse(l.active[evicted.ID], Overloaded, max(expectedWait, l.retryAfter()))
	}
}

// hashFraction hashes two numbers to a fraction in [0, 1).
func hashFraction(a, b uint64) float64 {
	var p rand.PCG
	p.Seed(a, b)
	return float64(p.Uint64()>>11) / (1 << 53)
}

// maxWait returns how long a request may be queued: its target latency less the usual first-token latency, at most the
// fraction MaxWaitFraction of the target, and at most half of the time to its client's deadline.
func (l *Limiter) maxWait(a *activeRequest) time.Duration {
	fraction := min(l.settings.MaxWaitFraction, max(1-l.concurrency.meanFraction*1.2, 0))
	if a.PartsRun { // a refusal would waste the parts that have run
		return a.TimeLeft / 2
	}
	return min(time.Duration(fraction*float64(a.target)), a.TimeLeft/2)
}

// expectedWait returns how long a new request of a tenant would be queued at the measured throughput.
func (l *Limiter) expectedWait(tenant int) time.Duration {
	if l.throughput <= 0 {
		return 0
	}
	return time.Duration(l.queue.Ahead(tenant) / l.throughput * float64(time.Second))
}

// retryAfter returns the retry delay of refusals for lack of capacity; it grows with the level of the brown-out.
func (l *Limiter) retryAfter() time.Duration {
	after := time.Duration(float64(l.settings.MinRetryAfter) * (1 + l.shedder.level))
	return min(after, max(l.settings.MaxRetryAfter, l.settings.MinRetryAfter))
}

// hasCapacity reports whether another request may be dispatched. One request always may, regardless of its size.
func (l *Limiter) hasCapacity() bool {
	return l.inFlight == 0 || l.inFlightSize < l.concurrency.current
}

// refuse refuses a request that was not dispatched and refunds it. The retry delay is bounded by MaxRetryAfter.
func (l *Limiter) refuse(a *activeRequest, reason Reason, retryAfter time.Duration) {
	delete(l.active, a.ID)
	l.Refund(a.Request)
	l.decided = append(l.decided, l.refusal(a.ID, reason, min(retryAfter, max(l.settings.MaxRetryAfter, l.settings.MinRetryAfter))))
}

// dispatch admits a request, to be passed to the decision module.
func (l *Limiter) dispatch(now time.Duration, a *activeRequest) {
	a.dispatched, a.since, a.size = true, now, l.concurrency.relativeSize(max(a.Price, 1e-9))
	l.active[a.ID] = a
	l.inFlightSize += a.size
	l.inFlight++
	l.concurrency.peak = max(l.concurrency.peak, l.inFlightSize)
	l.admitted++
	l.measureThroughput(now, a.Price)
	l.decided = append(l.decided, Verdict{ID: a.ID, Admitted: true})
}

// measureThroughput updates the throughput by a dispatched request. Only times with queued requests count.
func (l *Limiter) measureThroughput(now time.Duration, size float64) {
	const period = time.Second
	if l.queue.Len() == 0 || now-l.measuredSince > 4*period { // not limited by capacity, or the measurement is out of date
		l.measuredSince, l.measuredSize = now, 0
		return
	}
	l.measuredSize += size
	if span := now - l.measuredSince; span >= period/4 {
		rate := l.measuredSize / span.Seconds()
		if l.throughput == 0 {
			l.throughput = rate
		}
		l.throughput += min(float64(span)/float64(period), 1) * (rate - l.throughput)
		l.queue.Credit = l.throughput * creditPeriod.Seconds() / max(l.queue.totalWeight, 1)
		l.measuredSince, l.measuredSize = now, 0
	}
}

// creditPeriod bounds a tenant's credit in the queue: its unused share of this time.
const creditPeriod = 5 * time.Second

// advance applies what is due at a time: it ends rounds of the brown-out, applies a lower router count, refuses expired
// requests and dispatches queued requests while there is capacity.
func (l *Limiter) advance(now time.Duration) {
	l.shedder.update(now)
	if l.routers.decreaseDue(now) {
		l.setDivisor(now, l.routers.next)
	}
	for x := l.queue.PopExpired(now); x != nil; x = l.queue.PopExpired(now) {
		l.shedder.count(true)
		l.refuse(l.active[x.ID], QueueTimeout, l.retryAfter())
	}
	for l.queue.Len() > 0 && l.hasCapacity() {
		l.dispatch(now, l.active[l.queue.Next().ID])
	}
}

// FirstToken records that a request's first token has come: the request no longer counts as in flight.
func (l *Limiter) FirstToken(now time.Duration, id uint64) []Verdict {
	if a := l.active[id]; a != nil && a.dispatched && !a.released {
		l.releaseCapacity(now, a)
		l.concurrency.firstToken(now, a.since, a.Class, float64(now-a.since)/float64(max(a.target, 1)))
	}
	l.advance(now)
	return l.takeVerdicts()
}

// releaseCapacity removes a dispatched request from the amount in flight.
func (l *Limiter) releaseCapacity(now time.Duration, a *activeRequest) {
	a.released = true
	l.inFlightSize -= a.size
	if l.inFlight--; l.inFlight == 0 {
		l.inFlightSize = 0 // drops rounding errors
	}
}

// End is how a dispatched request ended.
type End int

// The ends.
const (
	Served     End = iota + 1
	Refused        // by the decision module: nothing has run
	Failed         // it may have run
	ClientGone     // its client disconnected
)

// Ended records that a dispatched request ended, or that the client of a queued one disconnected.
func (l *Limiter) Ended(now time.Duration, id uint64, end End) []Verdict {
	a := l.active[id]
	if a == nil {
		l.advance(now)
		return l.takeVerdicts()
	}
	delete(l.active, id)
	switch {
	case !a.dispatched:
		l.queue.Remove(a.Tenant, id)
		l.Refund(a.Request)
	case !a.released:
		l.releaseCapacity(now, a)
		fraction := float64(now-a.since) / float64(max(a.target, 1))
		switch {
		case end == Served:
			l.concurrency.firstToken(now, a.since, a.Class, fraction)
		case end == Refused:
			l.concurrency.refused(now, a.since)
			l.Refund(a.Request)
		case l.concurrency.isLate(a.Class, fraction): // no first token came within that time: counts as late
			l.concurrency.firstToken(now, a.since, a.Class, fraction)
		}
	}
	l.advance(now)
	return l.takeVerdicts()
}

// Tick applies what is due; it is called at the time that Due returns.
func (l *Limiter) Tick(now time.Duration) []Verdict {
	l.advance(now)
	return l.takeVerdicts()
}

// Due returns when Tick has something to do, if ever.
func (l *Limiter) Due() (time.Duration, bool) {
	at, queued := l.queue.NextDeadline()
	if change, pending := l.routers.nextChange(); pending && (!queued || change < at) {
		return change, true
	}
	return at, queued
}

// SetRouters sets the number of routers that discovery reports. An increase takes effect at once, a decrease after
// decreaseDelay.
func (l *Limiter) SetRouters(now time.Duration, routers int) {
	before := l.routers.current
	if l.routers.update(now, routers) {
		after := l.routers.current
		l.routers.current = before
		l.setDivisor(now, after)
	}
}

// setDivisor settles the meters at their old rates, then changes the number that quotas are divided by.
func (l *Limiter) setDivisor(now time.Duration, routers int) {
	l.settleBudgets(now)
	l.routers.current = routers
}

// settleBudgets drains all meters up to now at their current rates.
func (l *Limiter) settleBudgets(now time.Duration) {
	for key, state := range l.budgetStates {
		b := &l.settings.Tenants[key[0]].Budgets[key[1]]
		requests, tokens := l.routerShares(now, b, state, Request{})
		state.requests.Settle(now, requests)
		state.tokens.Settle(now, tokens)
	}
}

// Reload applies new settings. Queued requests stay queued, by the new weights, except those beyond the new bound of the
// queue, which are refused. Budgets keep their state if the tenant has as many of them as before. The number of classes
// must not change.
func (l *Limiter) Reload(now time.Duration, settings Settings) []Verdict {
	l.settleBudgets(now)
	before := l.settings
	l.settings = settings
	for key := range l.budgetStates {
		t := key[0]
		if t >= len(settings.Tenants) || len(settings.Tenants[t].Budgets) != len(before.Tenants[t].Budgets) {
			delete(l.budgetStates, key)
		}
	}
	if settings.Routers != before.Routers { // after removed budgets were deleted: it settles the remaining ones
		l.SetRouters(now, settings.Routers)
	}
	level := l.shedder.level
	l.shedder = newShedder(settings.Classes)
	l.shedder.level, l.shedder.roundStart = min(level, l.shedder.maxLevel), now
	l.concurrency.lower, l.concurrency.upper = float64(settings.MinInFlight), float64(settings.MaxInFlight)
	l.concurrency.current = min(max(l.concurrency.current, l.concurrency.lower), l.concurrency.upper)
	for _, x := range l.queue.SetMaxItems(settings.MaxQueued) {
		l.refuse(l.active[x.ID], Overloaded, l.retryAfter())
	}
	l.advance(now)
	return l.takeVerdicts()
}

// Revoke refuses the queued requests of a client whose API key was revoked. Dispatched requests continue to their
// answer.
func (l *Limiter) Revoke(now time.Duration, client uint64) []Verdict {
	for _, x := range l.queue.Select(func(id uint64) bool { return l.active[id].Client == client }) {
		l.queue.Remove(x.Tenant, x.ID)
		l.refuse(l.active[x.ID], Revoked, 0)
	}
	l.advance(now)
	return l.takeVerdicts()
}

// Allowance is what remains of a tenant's budget: the fleet's budget, estimated from this router's share.
type Allowance struct {
	Limit, Remaining float64
	Reset            time.Duration // until the whole burst is available again
	Limited          bool          // false: no budget applies
}

// Remaining returns the tightest of the budgets of requests and of tokens that apply to a tenant and class.
func (l *Limiter) Remaining(now time.Duration, tenant, class int) (requests, tokens Allowance) {
	tighter := func(least Allowance, whole, part Rate, m *Meter) Allowance {
		if whole.PerSecond <= 0 {
			return least
		}
		own := Allowance{Limit: whole.Burst, Reset: m.TimeToFull(now, part), Limited: true}
		own.Remaining = whole.Burst * m.Available(now, part) / max(part.Burst, 1e-9)
		if least.Limited && least.Remaining <= own.Remaining {
			return least
		}
		return own
	}
	request := Request{Tenant: tenant, Class: class}
	l.eachBudget(request, func(b *Budget, state *budgetState) {
		r, t := l.routerShares(now, b, state, request)
		requests = tighter(requests, b.Requests, r, &state.requests)
		tokens = tighter(tokens, b.Tokens, t, &state.tokens)
	})
	return requests, tokens
}

// View is the state of a limiter for operators.
type View struct {
	Queued           int               // queued requests
	InFlight         int               // requests in flight
	InFlightSize     float64           // size in flight, in requests of mean size
	ConcurrencyLimit float64           // concurrency limit, in requests of mean size
	BrownoutLevel    float64           // of the brown-out
	Admitted         uint64            // requests admitted since the start
	Refused          map[Reason]uint64 // requests refused since the start
	Routers          int               // that quotas are divided by
}

// View returns the current state and changes nothing.
func (l *Limiter) View() View {
	v := View{Queued: l.queue.Len(), InFlight: l.inFlight, InFlightSize: l.inFlightSize, ConcurrencyLimit: l.concurrency.current, BrownoutLevel: l.shedder.level,
		Admitted: l.admitted, Refused: map[Reason]uint64{}, Routers: l.routers.current}
	for reason, n := range l.refusals {
		v.Refused[reason] = n
	}
	return v
}
