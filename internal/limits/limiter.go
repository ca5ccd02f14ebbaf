package limits

import (
	"math/rand/v2"
	"time"
)

// Class is what the limiter needs of a class of requests.
type Class struct {
	Aim        time.Duration // first token, or the whole of one-stage work, wanted within this
	AimPer1000 time.Duration // and so much more for each 1,000 prompt tokens
	Worth      float64
	Priority   int // within a tenant: the higher first
}

// Budget bounds what a tenant may ask for of one class, or of all.
type Budget struct {
	Class    int  // -1: all together
	Requests Rate // over all routers
	Tokens   Rate // of prompts and, at the most, answers
}

// Tenant is one tenant's terms.
type Tenant struct {
	Weight  float64 // of its turn where work has to wait; 0 counts as 1
	Budgets []Budget
}

// Settings are all that a Limiter is told at its start.
type Settings struct {
	Routers       int // that quotas are divided among
	Classes       []Class
	Tenants       []Tenant      // requests of no tenant have none of their terms, and share one turn
	MaxWaiting    int           // requests that may wait
	WaitPart      float64       // part of its aim that a request may wait
	MinInFlight   int           // requests in hand at the least,
	StartInFlight int           // at first,
	MaxInFlight   int           // and at the most
	Retries       float64       // tries again for each first try of a client; 0: not limited
	MaxClients    int           // whose tries are counted, at the most
	Shed          bool          // work of least worth is shed where there is no room
	MinRetryAfter time.Duration // the least wait that a refusal for want of room advises
	MaxRetryAfter time.Duration // and the most
	Seed          uint64        // of this router
}

// Reason tells why work was turned away.
type Reason int

// The reasons.
const (
	Requests Reason = iota + 1 // its tenant's budget of requests is used up
	Tokens                     // its tenant's budget of tokens is
	TooLarge                   // it is larger than its tenant may ever ask for at once
	Retries                    // its client tries again too often
	Shed                       // it is worth least, and there is no room
	Crowded                    // it would wait too long, or too many wait
	Waited                     // it has waited too long
	Revoked                    // its client's key was taken back
)

func (r Reason) String() string {
	return [...]string{"", "requests", "tokens", "too large", "retries", "shed", "crowded", "waited", "revoked"}[r]
}

// Verdict is the limiter's word on one request, given once.
type Verdict struct {
	ID         uint64
	Admitted   bool // it is to be handed to the module now
	Reason     Reason
	RetryAfter time.Duration // when to come again; 0 of TooLarge and Revoked: never
}

// Request is work that is asked for.
type Request struct {
	ID       uint64
	Tenant   int // -1: none
	Class    int
	Client   uint64        // whose tries are counted; 0: not known
	Retry    bool          // the client marks it as a try again
	Charged  bool          // a part of what Charge has charged
	PartsRun bool          // and others of its parts have run: it is not shed
	Prompt   float64       // tokens
	Tokens   float64       // of prompt and, at the most, answer
	Price    float64       // of it all: its size in turns
	TimeLeft time.Duration // until its client gives up
}

// work is a request that waits or is in hand.
type work struct {
	Request
	aim   time.Duration
	size  float64 // in requests of mean size, while in hand
	since time.Duration
	hand  bool // handed to the module
	begun bool // and begun: it counts no more
}

// pair is a tenant's budget, and the meter at this router.
type pair struct {
	requests, tokens Meter
	own              arrivals
	known            bool
}

// Limiter decides for one router. It is not safe for concurrent use. What it
// keeps is bounded by what waits or is in hand, by the tenants that have
// budgets, and by Clients.
type Limiter struct {
	set     Settings
	fleet   routers
	queue   *Queue
	room    room
	shed    shed
	works   map[uint64]*work
	inHand  float64
	hands   int
	meters  map[[2]int]*pair // by tenant and place of the budget
	clients map[uint64]*retries
	pace    float64 // size a second that was handed on while work waited
	paceAt  time.Duration
	paced   float64
	turned  map[Reason]uint64
	passed  uint64
	out     []Verdict
}

// New returns a limiter that has seen nothing.
func New(set Settings) *Limiter {
	l := &Limiter{set: set, fleet: routers{now: max(set.Routers, 1), next: max(set.Routers, 1)},
		room: newRoom(float64(set.MinInFlight), float64(set.StartInFlight), float64(set.MaxInFlight), len(set.Classes)), shed: newShed(set.Classes),
		works: map[uint64]*work{}, meters: map[[2]int]*pair{}, clients: map[uint64]*retries{}, turned: map[Reason]uint64{}}
	l.queue = NewQueue(set.MaxWaiting, l.weight)
	return l
}

func (l *Limiter) weight(tenant int) float64 {
	if tenant < 0 || tenant >= len(l.set.Tenants) {
		return 1
	}
	return l.set.Tenants[tenant].Weight
}

// verdicts gives what was decided since the last time.
func (l *Limiter) verdicts() []Verdict {
	out := l.out
	l.out = nil
	return out
}

// Admit takes a request in and gives its verdict, or none while it waits; others
// may come with it, in order.
func (l *Limiter) Admit(now time.Duration, a Request) []Verdict {
	l.drain(now)
	if l.works[a.ID] != nil || a.Class < 0 || a.Class >= len(l.set.Classes) {
		return l.verdicts()
	}
	class := &l.set.Classes[a.Class]
	w := &work{Request: a, since: now, aim: class.Aim + time.Duration(a.Prompt/1000*float64(class.AimPer1000))}
	if v := l.Charge(now, a); v.Admitted {
		l.admit(now, w)
	} else {
		l.out = append(l.out, v)
	}
	return l.verdicts()
}

// Charge takes a request's budgets, as for a batch that then comes in parts.
// What it refuses has taken nothing. Charging counts no try again of a part.
func (l *Limiter) Charge(now time.Duration, a Request) Verdict {
	if a.Charged {
		return Verdict{ID: a.ID, Admitted: true}
	}
	if wait := l.tries(now, a); wait > 0 {
		return l.refuse(a.ID, Retries, wait)
	}
	if why, wait := l.budgets(now, a); why != 0 {
		return l.refuse(a.ID, why, wait)
	}
	l.each(a, func(b *Budget, p *pair) {
		requests, tokens := l.shares(now, b, p, a)
		p.requests.Take(now, requests, 1)
		p.tokens.Take(now, tokens, a.Tokens)
	})
	return Verdict{ID: a.ID, Admitted: true}
}

// refuse words a refusal; the advice is bounded, but for budgets, whose wait is known.
func (l *Limiter) refuse(id uint64, why Reason, after time.Duration) Verdict {
	l.turned[why]++
	return Verdict{ID: id, Reason: why, RetryAfter: after}
}

// tries counts a client's try; it tells how long the next one again is away.
func (l *Limiter) tries(now time.Duration, a Request) time.Duration {
	if l.set.Retries <= 0 || a.Client == 0 {
		return 0
	}
	b := l.clients[a.Client]
	if b == nil {
		if len(l.clients) >= l.set.MaxClients {
			l.forget(now)
		}
		b = &retries{left: retriesMost, at: now}
		l.clients[a.Client] = b
	}
	if a.Retry {
		return b.again(now, l.set.Retries)
	}
	b.first(now, l.set.Retries)
	return 0
}

// forget drops the clients whose budgets are full again, and where that is not
// enough all: memory is bounded. That gives each client a full budget anew.
func (l *Limiter) forget(now time.Duration) {
	for id, b := range l.clients {
		if b.settle(now); b.left >= retriesMost {
			delete(l.clients, id)
		}
	}
	if len(l.clients) >= l.set.MaxClients {
		clear(l.clients)
	}
}

// each calls f with each budget that a request falls under.
func (l *Limiter) each(a Request, f func(b *Budget, p *pair)) {
	if a.Tenant < 0 || a.Tenant >= len(l.set.Tenants) {
		return
	}
	list := l.set.Tenants[a.Tenant].Budgets
	for i := range list {
		if b := &list[i]; b.Class < 0 || b.Class == a.Class {
			key := [2]int{a.Tenant, i}
			p := l.meters[key]
			if p == nil {
				p = &pair{}
				l.meters[key] = p
			}
			f(b, p)
		}
	}
}

// shares are this router's parts of a budget. The tokens' burst lets one
// request pass that the whole fleet's would.
func (l *Limiter) shares(now time.Duration, b *Budget, p *pair, a Request) (requests, tokens Rate) {
	own := p.own.left(now)
	n := l.fleet.now
	return share(b.Requests, n, own, together(b.Requests, n)), share(b.Tokens, n, own, min(a.Tokens, b.Tokens.Burst))
}

// budgets tells which budget turns a request away, and for how long.
func (l *Limiter) budgets(now time.Duration, a Request) (why Reason, wait time.Duration) {
	l.each(a, func(b *Budget, p *pair) {
		if !p.known {
			used := first(b.Requests, l.fleet.now, unit(l.set.Seed, uint64(a.Tenant)))
			p.known, p.requests.used, p.requests.at = true, used, now
		}
		p.own.count(now)
		requests, tokens := l.shares(now, b, p, a)
		if b.Tokens.Never(a.Tokens) {
			why, wait = TooLarge, 0
		}
		if why == TooLarge {
			return
		}
		if d := p.requests.Wait(now, requests, 1); d > wait {
			why, wait = Requests, d
		}
		if d := p.tokens.Wait(now, tokens, a.Tokens); d > wait {
			why, wait = Tokens, d
		}
	})
	return why, wait
}

// Refund gives back what Charge took for work that did not run.
func (l *Limiter) Refund(a Request) {
	if a.Charged {
		return
	}
	l.each(a, func(_ *Budget, p *pair) {
		p.requests.Refund(1)
		p.tokens.Refund(a.Tokens)
	})
}

// admit hands a request on, has it wait, or turns it away for want of room.
func (l *Limiter) admit(now time.Duration, w *work) {
	if l.set.Shed && !w.PartsRun && l.shed.drops(w.Class, w.Retry, unit(l.set.Seed, w.ID)) {
		l.turn(w, Shed, l.back())
		return
	}
	if l.queue.Len() == 0 && l.free() {
		l.shed.count(false)
		l.hand(now, w)
		return
	}
	most, ahead := l.patience(w), l.wait(w.Tenant)
	if ahead > most {
		l.shed.count(true)
		l.turn(w, Crowded, max(ahead-most, l.back()))
		return
	}
	l.works[w.ID] = w
	out := l.queue.Add(Item{ID: w.ID, Tenant: w.Tenant, Size: max(w.Price, 1e-9), Deadline: now + most,
		Worth: l.set.Classes[w.Class].Worth, Priority: l.set.Classes[w.Class].Priority})
	l.shed.count(out != nil)
	if out != nil {
		l.turn(l.works[out.ID], Crowded, max(ahead, l.back()))
	}
}

// unit mixes two numbers into one from 0 to under 1, always the same.
func unit(a, b uint64) float64 {
	var p rand.PCG
	p.Seed(a, b)
	return float64(p.Uint64()>>11) / (1 << 53)
}

// patience is how long a request may wait: what it asks, its aim less the time
// that a first token usually takes, and its client's own.
func (l *Limiter) patience(w *work) time.Duration {
	part := min(l.set.WaitPart, max(1-l.room.usual*1.2, 0))
	if w.PartsRun { // what has run of it would be lost
		return w.TimeLeft / 2
	}
	return min(time.Duration(part*float64(w.aim)), w.TimeLeft/2)
}

// wait is how long a tenant's work that came now would wait, at the pace of late.
func (l *Limiter) wait(tenant int) time.Duration {
	if l.pace <= 0 {
		return 0
	}
	return time.Duration(l.queue.Ahead(tenant) / l.pace * float64(time.Second))
}

func (l *Limiter) back() time.Duration {
	back := time.Duration(float64(l.set.MinRetryAfter) * (1 + l.shed.level))
	return min(back, max(l.set.MaxRetryAfter, l.set.MinRetryAfter))
}

func (l *Limiter) free() bool { return l.hands == 0 || l.inHand < l.room.now }

// turn gives the final word on work that is not handed on.
func (l *Limiter) turn(w *work, why Reason, after time.Duration) {
	delete(l.works, w.ID)
	l.Refund(w.Request)
	l.out = append(l.out, l.refuse(w.ID, why, min(after, max(l.set.MaxRetryAfter, l.set.MinRetryAfter))))
}

// hand gives a request to the module.
func (l *Limiter) hand(now time.Duration, w *work) {
	w.hand, w.since, w.size = true, now, l.room.sized(max(w.Price, 1e-9))
	l.works[w.ID] = w
	l.inHand += w.size
	l.hands++
	l.room.top = max(l.room.top, l.inHand)
	l.passed++
	l.measure(now, w.Price)
	l.out = append(l.out, Verdict{ID: w.ID, Admitted: true})
}

// measure learns the pace at which work goes through while some waits.
func (l *Limiter) measure(now time.Duration, size float64) {
	const over = time.Second
	if l.queue.Len() == 0 || now-l.paceAt > 4*over { // nothing held it back, or it is long ago
		l.paceAt, l.paced = now, 0
		return
	}
	l.paced += size
	if span := now - l.paceAt; span >= over/4 {
		rate := l.paced / span.Seconds()
		if l.pace == 0 {
			l.pace = rate
		}
		l.pace += min(float64(span)/float64(over), 1) * (rate - l.pace)
		l.queue.Credit = l.pace * creditOver.Seconds() / max(l.queue.shares, 1)
		l.paceAt, l.paced = now, 0
	}
}

// creditOver is the time in which a tenant may save up what it asks for less than its share.
const creditOver = 5 * time.Second

// drain turns away what is late and hands on what there is room for.
func (l *Limiter) drain(now time.Duration) {
	l.shed.round(now)
	if l.fleet.tick(now) {
		l.divide(now, l.fleet.next)
	}
	for x := l.queue.Late(now); x != nil; x = l.queue.Late(now) {
		l.shed.count(true)
		l.turn(l.works[x.ID], Waited, l.back())
	}
	for l.queue.Len() > 0 && l.free() {
		l.hand(now, l.works[l.queue.Next().ID])
	}
}

// FirstToken tells that a request's first token has come: it is out of hand.
func (l *Limiter) FirstToken(now time.Duration, id uint64) []Verdict {
	if w := l.works[id]; w != nil && w.hand && !w.begun {
		l.begin(now, w)
		l.room.took(now, w.since, w.Class, float64(now-w.since)/float64(max(w.aim, 1)))
	}
	l.drain(now)
	return l.verdicts()
}

func (l *Limiter) begin(now time.Duration, w *work) {
	w.begun = true
	l.inHand -= w.size
	if l.hands--; l.hands == 0 {
		l.inHand = 0 // no error of sums stays
	}
}

// End tells how a request ended that was handed on.
type End int

// The ends.
const (
	Served     End = iota + 1
	Refused        // the module did: nothing has run
	Failed         // it may have run
	ClientGone     // its client left
)

// Ended tells that a request is over, or that its client left while it waited.
func (l *Limiter) Ended(now time.Duration, id uint64, how End) []Verdict {
	w := l.works[id]
	if w == nil {
		l.drain(now)
		return l.verdicts()
	}
	delete(l.works, id)
	switch {
	case !w.hand:
		l.queue.Remove(w.Tenant, id)
		l.Refund(w.Request)
	case !w.begun:
		l.begin(now, w)
		part := float64(now-w.since) / float64(max(w.aim, 1))
		switch {
		case how == Served:
			l.room.took(now, w.since, w.Class, part)
		case how == Refused:
			l.room.turned(now, w.since)
			l.Refund(w.Request)
		case l.room.slow(w.Class, part): // no first token came: that was late as well
			l.room.took(now, w.since, w.Class, part)
		}
	}
	l.drain(now)
	return l.verdicts()
}

// Tick is called when Due is; it turns away what is late.
func (l *Limiter) Tick(now time.Duration) []Verdict {
	l.drain(now)
	return l.verdicts()
}

// Due is when Tick has something to do.
func (l *Limiter) Due() (time.Duration, bool) {
	at, some := l.queue.Due()
	if then, waits := l.fleet.due(); waits && (!some || then < at) {
		return then, true
	}
	return at, some
}

// SetRouters tells how many routers the list has. More count at once, fewer once
// that has stood for three seconds.
func (l *Limiter) SetRouters(now time.Duration, routers int) {
	before := l.fleet.now
	if l.fleet.tell(now, routers) {
		after := l.fleet.now
		l.fleet.now = before
		l.divide(now, after)
	}
}

// divide settles the meters at their old rates before the divisor changes.
func (l *Limiter) divide(now time.Duration, routers int) {
	l.settle(now)
	l.fleet.now = routers
}

func (l *Limiter) settle(now time.Duration) {
	for key, p := range l.meters {
		b := &l.set.Tenants[key[0]].Budgets[key[1]]
		requests, tokens := l.shares(now, b, p, Request{})
		p.requests.Settle(now, requests)
		p.tokens.Settle(now, tokens)
	}
}

// Reload takes new settings while requests wait: they keep their places, by the
// new weights, but those that are too many now. Budgets keep what they owe where
// a tenant's list of them has as many as before; classes stay as many.
func (l *Limiter) Reload(now time.Duration, set Settings) []Verdict {
	l.settle(now)
	before := l.set
	l.set = set
	for key := range l.meters {
		t := key[0]
		if t >= len(set.Tenants) || len(set.Tenants[t].Budgets) != len(before.Tenants[t].Budgets) {
			delete(l.meters, key)
		}
	}
	if set.Routers != before.Routers { // by the budgets that are left
		l.SetRouters(now, set.Routers)
	}
	level := l.shed.level
	l.shed = newShed(set.Classes)
	l.shed.level, l.shed.since = min(level, l.shed.top), now
	l.room.least, l.room.most = float64(set.MinInFlight), float64(set.MaxInFlight)
	l.room.now = min(max(l.room.now, l.room.least), l.room.most)
	for _, x := range l.queue.Limit(set.MaxWaiting) {
		l.turn(l.works[x.ID], Crowded, l.back())
	}
	l.drain(now)
	return l.verdicts()
}

// Revoke turns away what waits for a client whose key was taken back. What is in
// hand goes on to its one answer.
func (l *Limiter) Revoke(now time.Duration, client uint64) []Verdict {
	for _, x := range l.queue.Select(func(id uint64) bool { return l.works[id].Client == client }) {
		l.queue.Remove(x.Tenant, x.ID)
		l.turn(l.works[x.ID], Revoked, 0)
	}
	l.drain(now)
	return l.verdicts()
}

// Allowance is what a tenant may still ask for, of the fleet's budgets as this router
// sees its part of them.
type Allowance struct {
	Limit, Remaining float64
	Reset            time.Duration // until all of it may come again
	Limited          bool
}

// Remaining tells the tightest budgets of requests and of tokens.
func (l *Limiter) Remaining(now time.Duration, tenant, class int) (requests, tokens Allowance) {
	tighter := func(was Allowance, whole, part Rate, m *Meter) Allowance {
		if whole.PerSecond <= 0 {
			return was
		}
		left := Allowance{Limit: whole.Burst, Reset: m.Full(now, part), Limited: true}
		left.Remaining = whole.Burst * m.Left(now, part) / max(part.Burst, 1e-9)
		if was.Limited && was.Remaining <= left.Remaining {
			return was
		}
		return left
	}
	a := Request{Tenant: tenant, Class: class}
	l.each(a, func(b *Budget, p *pair) {
		r, t := l.shares(now, b, p, a)
		requests = tighter(requests, b.Requests, r, &p.requests)
		tokens = tighter(tokens, b.Tokens, t, &p.tokens)
	})
	return requests, tokens
}

// View is the limiter as operators see it.
type View struct {
	Waiting int
	Hands   int
	InHand  float64 // in requests of mean size
	Room    float64
	Level   float64 // of the brown-out
	Passed  uint64
	Turned  map[Reason]uint64
	Routers int
}

// View shows the limiter; it changes nothing.
func (l *Limiter) View() View {
	v := View{Waiting: l.queue.Len(), Hands: l.hands, InHand: l.inHand, Room: l.room.now, Level: l.shed.level,
		Passed: l.passed, Turned: map[Reason]uint64{}, Routers: l.fleet.now}
	for why, n := range l.turned {
		v.Turned[why] = n
	}
	return v
}
