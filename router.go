// The decisions of a gannethook router. Its interface (Settings, events, actions, outcomes) is in
// api.go; slow start and the list of servers have files of their own.
// Order: constants, state, life of a request, the two choices, freeness, health.

package gannethook

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	alpha       = 4.25e-5 // paper, table of symbols: price of a prompt token squared
	beta        = 6.80e-3 // paper, same table: price of a prompt token
	modelFactor = 1.0     // design page: the paper's P_m
	far         = 100     // design page: cell and zone go before freeness among near writers
	nearBand    = 0.1     // design page: freeness within which preferences decide

	firstSpeed = 0.5  // ours: price read per ms before any reader was heard
	speedKeep  = 0.9  // ours: what a read leaves of the older reads' weight in a reader's speed
	meanKeep   = 0.98 // ours: the same for the mean speed of all readers
	meanPart   = 0.06 // ours: part of all readers' fifty last reads or so that each one's speed starts from
	sizeGain   = 0.1  // ours: weight of one report in a writer's learned memory size
	minSize    = 1e4  // ours: tokens that a writer is taken to hold at the least
	reportLag  = 1000 // ours: ms before a report's arrival whose streams it may not show yet
	usualTimes = 4    // ours: multiple of the usual time that an attempt may take
	patience   = 0.5  // ours: part of the aim that an attempt may take at the least
	meanGain   = 0.1  // ours: least weight of one sample in the mean times to read and to the first token
	holdTries  = 2    // ours: writers asked for a place per read

	paceLoss   = 1.001 // ours: by how much each read raises the best pace, so that an old one is forgotten
	partGain   = 0.25  // ours: weight of one dial, or one send to a writer, in the part of them that fails
	turnedBad  = 0.2   // ours: part of a flow's sends to writers turned away above which no place is held
	dialsBad   = 0.4   // ours: part of the dials that fail above which open connections are preferred
	dialCost   = 0.5   // ours: freeness taken off a server without one then
	chargeMax  = 4.0   // ours: most that failures take off a server's freeness
	chargeFade = 6000  // ours: ms in which a charge fades to 1/e
	heldBack   = 0.3   // ours: freeness taken off a writer that refused a place
	fullFade   = 3     // ours: windows in which being turned away fades to 1/e
	lateGain   = 0.5   // ours: charge for a success that is a whole aim late
	chargeKeep = 0.7   // ours: what a success leaves of a charge

	admitFloor = 0.6   // ours: freeness of the best reader below which a request is refused
	admitRamp  = 0.5   // ours: freeness below the floor at which all are refused
	overSlack  = 1.2   // ours: times its share that a tenant may seem to ask for by chance
	worthPart  = 0.4   // ours: how much lower the floor is for a class worth far more than the least
	lastCall   = 2     // ours: batches before the deadline at which the last answer goes out
	waitPart   = 0.5   // ours: part of the aim for which a request waits for a usable server
	pinPart    = 0.6   // ours: part of the pin limit for which a read state waits for a writer
	retryPart  = 0.5   // ours: part of the longest honoured wait that a refusal advises
	rateWindow = 4000  // ours: ms over which own rates are counted at the least
	windowCap  = 20000 // ours: and at the most
	enough     = 10    // ours: own requests that a count or a mean rests on
	coldPart   = 1.2   // ours: part of a warm server's proven rate, times its warmth, for a cold one
	sweepEvery = 20    // ours: ms between two looks at waiting requests
	askEvery   = 1000  // ours: ms before a failed subscription is asked for again
	keyCap     = 32768 // ours: sessions and shared beginnings remembered at most
	leastHomes = 3     // ours: readers that share a beginning's sessions at the least
	fleetPart  = 0.1   // ours: part of the readers that share them besides
	homesPart  = 2     // ours: homes for each reader's worth of reads that a beginning makes up
	longest    = 60000 // ours: ms over which beginnings are counted, and tenants at the most
)

// References of timers. A request's are its id times refStep plus the timer's; no request has the id 0.
const (
	refSweep = iota // of the router, as refAsk
	refAsk
	refDeadline // of a request, as the others
	refPatience
	refStep
)

// server is what the router knows of one server.
type server struct {
	Server
	hash    uint64 // of its id
	role    Role
	out     float64 // price of own reads out
	speed   tally
	streams []*request // own places and streams
	share   float64    // memory share as last reported
	heard   Millis     // when; 0: never
	size    float64    // learned memory size in tokens
	linked  Millis     // last time that it answered on a connection
	moved   Millis     // last time that an own read ended here
	passed  Millis     // when the youngest of these was sent
	firsts  fading     // first attempts sent here, and repeats
	repeats fading
	full    map[int]fading // freeness taken off for a flow that it turned away
	charge  fading         // freeness taken off for failures and lateness
	quick   fading         // of this, for failures that took no time
	credit  float64        // sends that a cold server may still get, as of credAt
	credAt  Millis
	lost    Millis // what was sent before is not counted on as kept
	began   Millis // when it started, on this router's clock; 0: long ago
}

// tally sums up timed reads, older ones fading: their prices, and the ms that they took.
type tally struct{ work, took float64 }

func (t *tally) add(keep, work, took float64) {
	*t = tally{t.work*keep + work, t.took*keep + math.Max(took, 1)}
}

// attempt is one attempt that is out.
type attempt struct {
	n           int
	on          *server
	reads       bool    // it reads only: it has no effect, however it ends
	price       float64 // of what was likely left to read, as booked
	queue       float64 // own price out at the reader when it was sent, itself included
	sent        Millis
	seen, check Millis // when the reader was last looked at for progress, and when it is next
	letBe       bool   // the look charges the reader, but takes nothing away
}

// request is one request until its last attempt has ended.
type request struct {
	Request
	set           *Settings // under which it was taken, to its end
	deadline, aim Millis    // the aim is a span
	sent          int       // attempts made
	out           []attempt
	state, place  *server   // reader at which the state waits, writer at which a place was asked for
	bookedAt      Millis    // when its tokens were last booked at a writer
	asked         int       // writers asked during this read
	tried         []*server // servers not to try again
	idle          Millis    // last outcome
	ranOn         *server   // where it may have run first
	ranAt         Millis    // and when; where it is not known to, when it was last sent to where it may
	stream, ended bool
	repeat        bool // an attempt gave no answer: what follows repeats it
}

// visit is a session's last read.
type visit struct {
	on     *server
	prompt float64
	at     Millis
}

// text is a shared beginning at a reader.
type text struct {
	prefix Key
	on     *server
}

// fading is a value that fades while nothing comes in: a mean of times, or a count of own events.
type fading struct {
	v  float64
	at Millis
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set              *Settings
	seed             uint64
	now              Millis
	begun            Millis  // first event; 0: none yet
	arrived          float64 // requests taken
	servers          map[ServerID]*server
	starts           map[ServerID]start   // also of those that are listed no more
	lists            int                  // lists and changes told
	ahead            Millis               // by which this clock may be ahead of those that tell start times
	list             []*server            // in order of id
	without          [Mixed + 1][]*server // the same, without those of one role
	scratch          []candidate          // of the last choice
	requests         map[RequestID]*request
	waiting          []*request
	visits           map[Key]visit   // last read of a session
	begins           map[Key]fading  // requests of a shared beginning, and of all
	texts            map[text]Millis // when a shared beginning was last sent to a reader
	all              fading
	tenants          []fading
	done             [Mixed + 1]fading  // reads ended or streams begun, by role
	peak             [Mixed + 1]float64 // most of these a second for each warm server
	most             [Mixed + 1]float64 // most servers that were ready at once
	reads            tally              // all readers' reads
	dials            fading             // part of the dials that failed of late
	turned           []fading           // by flow, part of the sends to writers that were turned away of late
	share            float64            // mean memory share of the writers that reported
	pace             float64            // least ms for a token that was left to read; 0: none was read yet
	alone            fading             // ms that reads of late take at this pace, with nothing before them
	reading, opening fading             // ms of late to read, and from a writer's send to the first token
	acts             []Action
}

// New returns a router that knows nothing but its settings.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		set: &set, seed: seed, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		visits: map[Key]visit{}, begins: map[Key]fading{}, texts: map[text]Millis{},
		starts: map[ServerID]start{}, ahead: Millis(math.Inf(1)),
	}
	r.reconfigure(set)
	return r, nil
}

// Handle takes one event at time now and returns what is to be done, in order.
// Events that are late, repeated or about unknown requests cause no action.
func (r *Router) Handle(now Millis, event Event) []Action {
	r.now = max(r.now, now)
	if r.begun == 0 {
		r.begun = r.now
		if r.set.AskDiscovery {
			r.do(Subscribe{})
		}
	}
	switch ev := event.(type) {
	case Membership:
		r.membership(ev)
	case Request:
		r.arrive(ev)
	case Streaming:
		r.streaming(ev)
	case Held:
		r.held(ev)
	case Ended:
		r.attemptEnded(ev)
	case ClientGone:
		if q := r.requests[ev.ID]; q != nil && !q.ended {
			r.end(q)
		}
	case Reconfigure:
		if ev.Settings.Validate() == nil {
			r.reconfigure(ev.Settings)
		}
	case Wakeup:
		switch q := r.requests[RequestID(ev.Ref/refStep)]; ev.Ref % refStep {
		case refSweep:
			r.sweep()
		case refAsk:
			r.do(Subscribe{})
		case refDeadline: // guards rule 1: whatever became of the attempts, the last answer goes out in time
			r.finish(q)
		case refPatience:
			r.checkRead(q)
		}
	}
	acts := r.acts
	r.acts = nil
	return acts
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

// arrive takes a request in.
func (r *Router) arrive(ev Request) {
	if r.requests[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(r.set.Classes) {
		return
	}
	r.arrived++
	class := &r.set.Classes[ev.Class]
	aim := cmp.Or(class.Aim, ev.Budget) + class.AimPer1000*Millis(ev.Prompt/1000)
	q := &request{Request: ev, set: r.set, deadline: r.now + ev.Budget, idle: r.now, aim: aim,
		ranAt: Millis(math.Inf(1))}
	r.requests[ev.ID] = q
	r.do(Wake{In: max(ev.Budget-lastCall*r.set.Quantum-1, 0), Ref: uint64(ev.ID)*refStep + refDeadline})
	if s, ok := r.admits(q); ok {
		r.routeTo(q, s)
	} else {
		r.finish(q)
	}
}

// admits tells whether a request is taken on, and which reader was picked for it, if any. Its freeness is
// the best reader's or, as other routers' load is unseen, that of the times to read and to the first token
// seen of late, or that of the best writer's memory, whichever is least. What is worth more is refused
// later, what a tenant asks beyond its share sooner. What reads of late would have taken alone is no load,
// and left out of their time and of the aim: the aim may not be much longer than a read. Harms where all
// readers are slow from the first read on. Charges for what failed at once are left out: where all servers
// fail a part, they refused what had room. Refusals rise as freeness falls, so that routers that see the
// same do not swing between all and nothing.
func (r *Router) admits(q *request) (s *server, ok bool) {
	floor := 1 - (1-admitFloor)/r.overShare(q.Tenant)
	low := slices.MinFunc(r.set.Classes, func(a, b Class) int { return cmp.Compare(a.Worth, b.Worth) }).Worth
	if worth := r.set.Classes[q.Class].Worth; worth > 0 {
		floor -= worthPart * (1 - low/worth)
	}
	span := r.window()
	usual := r.reading.left(r.now, span)
	if !r.oneStage(q) {
		usual += r.opening.left(r.now, span)
	}
	alone := math.Min(r.alone.left(r.now, span), usual)
	free := 1 - (usual-alone)/math.Max(float64(min(q.aim, q.Budget))-alone, 1)
	if s = r.pickReader(q); s != nil {
		free = math.Min(free, r.freeness(s, q)+r.quickOf(s))
		if w := r.pickWriter(q, s); w != nil && !r.oneStage(q) {
			free = math.Min(free, (r.memory(w, q)+r.quickOf(w))/(2*nearBand))
		}
	}
	return s, (floor-free)/admitRamp <= unit(uint64(q.ID), r.seed)
}

// overShare counts a tenant's request and tells how many times its share here the tenant asks for, 1 at the
// least. The count runs over enough requests at its share, and a little more is chance.
func (r *Router) overShare(tenant int) float64 {
	if tenant < 0 || tenant >= len(r.tenants) || r.set.Tenants[tenant].QuotaPerS <= 0 {
		return 1
	}
	quota := r.set.Tenants[tenant].QuotaPerS / float64(r.set.Routers)
	window := min(max(rateWindow, Millis(enough*1000/quota)), longest)
	r.tenants[tenant].count(r.now, window)
	return math.Max(1, r.tenants[tenant].perSecond(r.now, window)/quota/overSlack)
}

// route takes the next step for a request that has no attempt out.
func (r *Router) route(q *request) {
	if q.state != nil {
		r.toWriter(q)
		return
	}
	r.routeTo(q, r.pickReader(q))
}

// routeTo has a request read by the reader that was picked for it, if there is one.
func (r *Router) routeTo(q *request, s *server) {
	if s == nil && q.set.WritersRead && !r.oneStage(q) {
		s = r.pickWriter(q, nil)
	}
	switch {
	case s == nil:
		r.wait(q)
	case s.role == Reader && !r.oneStage(q) && !r.attemptsLeft(q, 2) || !r.attemptsLeft(q, 1):
		r.finish(q)
	default:
		r.read(q, s)
	}
}

// attemptsLeft tells whether n more attempts are allowed.
func (r *Router) attemptsLeft(q *request, n int) bool {
	return q.set.MaxAttempts == 0 || q.sent+n <= q.set.MaxAttempts
}

// oneStage tells whether a request's work ends where its prompt is read.
func (r *Router) oneStage(q *request) bool { return q.class().OneStage }

// class is the request's class, as it was when the request came.
func (q *request) class() *Class { return &q.set.Classes[q.Class] }

// read sends a prompt to a reader and holds a place for its answer; a mixed server gets the whole at once.
// One-stage work is read, timed and watched as any prompt, at a mixed server too, but holds nothing.
func (r *Router) read(q *request, s *server) {
	a := attempt{on: s, reads: s.role == Reader || r.oneStage(q), price: price(q.Prompt - r.kept(q, s))}
	s.out += a.price
	a.queue = s.out
	r.spend(s)
	r.remember(q, s)
	if !a.reads {
		q.book(s, r.now)
		r.send(q, a, 0)
		return
	}
	timeout := r.watch(q, &a)
	r.send(q, a, timeout)
	q.asked = 0
	if !r.oneStage(q) {
		r.hold(q, s)
	}
}

// watch sets when a read's reader is looked at for progress; where nothing may be cancelled it returns
// a time-out instead. A read that leaves no attempt for another is let be.
func (r *Router) watch(q *request, a *attempt) Millis {
	if !r.attemptsLeft(q, 3) {
		return 0
	}
	wait := r.span(q, a.on.role, math.Max(a.queue/r.speed(a.on), r.reading.v))
	// Rule 2: one-stage work taken away from its server may have run, and then may not go again.
	if wait == 0 || r.oneStage(q) && q.class().Effect != Safe {
		a.letBe, wait = true, q.aim
	} else if !q.set.Cancel {
		return wait
	}
	a.check = r.now + wait
	r.do(Wake{In: wait, Ref: uint64(q.ID)*refStep + refPatience})
	return 0
}

// checkRead takes a read away from a reader that has ended nothing since the last look. Guards against
// hung and silent readers; one that still ends reads, in turn, is slow or full like all others, and
// to read elsewhere what it has half read would only add load; unless younger reads have passed this one,
// which then is stuck, as on a connection that fell silent. Where silence tells nothing, an overdue read
// charges its reader and is let be: others then go elsewhere, and early, against servers that grow slow.
func (r *Router) checkRead(q *request) {
	if q == nil || q.ended || len(q.out) != 1 || !q.out[0].reads || r.now < q.out[0].check {
		return
	}
	a := &q.out[0]
	if a.letBe {
		r.blame(a.on, false)
		return
	}
	if a.on.moved > max(a.sent, a.seen) && a.on.passed <= a.sent && q.deadline-r.now > 10*sweepEvery {
		a.seen = r.now
		r.watch(q, a)
		return
	}
	r.do(Cancel{ID: q.ID, Attempt: a.n})
	r.blame(a.on, a.on.passed > a.sent)
}

// hold asks the writer of highest freeness for a place, as a read starts, but not while writers turn the flow
// away: a place granted does not tell whether the answer is let in, and with the place the state is gone from
// the reader, so that the next writer finds none and it is read again. Guards against throttles of a class or
// tenant; also full queues, where places are few anyway. Harms where few writers throttle: states move late.
func (r *Router) hold(q *request, reader *server) {
	turned := r.turned[r.flow(q)].left(r.now, fullFade*r.window())
	if !q.set.Holds || q.asked >= holdTries || turned > turnedBad {
		return
	}
	if w := r.pickWriter(q, reader); w != nil {
		q.asked++
		q.place = w
		q.book(w, r.now)
		r.spend(w)
		r.do(Hold{ID: q.ID, Server: w.ID})
	}
}

// held takes the answer to a hold; without a place the next writer is asked.
func (r *Router) held(ev Held) {
	q := r.requests[ev.ID]
	if q == nil || ev.OK || q.ended || q.place == nil || len(q.out) == 0 || q.out[0].n != ev.Attempt {
		return
	}
	q.tried = append(q.tried, q.place)
	if q.place.heard == 0 { // no slot or memory free, and no report ever says how little
		q.place.full[r.flow(q)] = fading{heldBack, r.now}
	}
	q.unplace()
	r.hold(q, q.out[0].on)
}

// toWriter sends a read state to the held writer, else to the freest. One time-out guards against hung
// writers; a second would have the state fetched over and over when links or writers are only full.
func (r *Router) toWriter(q *request) {
	w := q.place
	if w == nil || w.State != Ready || !r.inGroup(w, q) {
		q.unplace()
		if w = r.pickWriter(q, q.state); w == nil {
			r.wait(q)
			return
		}
	}
	if !r.attemptsLeft(q, 1) {
		r.finish(q)
		return
	}
	r.spend(w)
	q.unplace()
	q.book(w, r.now)
	timeout := Millis(0)
	class := q.class()
	if class.Effect == Safe && class.Streamed && q.ranOn == nil && r.attemptsLeft(q, 2) {
		timeout = r.span(q, w.role, r.opening.v)
	}
	r.send(q, attempt{on: w}, timeout)
}

// span is how long an attempt may take that usually takes so many ms, or 0 to let it be: where all are slow,
// or a server ends own work so seldom that silence tells nothing within the aim. Guards against giving up
// what only waits its turn: it is done all the same, and again elsewhere. Hung servers are left late.
func (r *Router) span(q *request, role Role, usual float64) Millis {
	if wait := max(patience*q.aim, usualTimes*Millis(usual), Millis(1000/r.peak[role])); wait < q.aim {
		return wait
	}
	return 0
}

func (r *Router) send(q *request, a attempt, timeout Millis) {
	a.n, a.sent = q.sent, r.now
	if q.repeat {
		a.on.repeats.count(r.now, r.window())
	} else {
		a.on.firsts.count(r.now, r.window())
	}
	q.sent++
	q.out = append(q.out, a)
	within := Millis(0)
	if q.ranOn == nil && (!a.reads || r.oneStage(q)) {
		q.ranAt = r.now
	} else if q.ranOn != nil && q.class().Effect == Keyed {
		// Rule 2: a connection may come up when the group has forgotten the attempt that may have run.
		within = q.ranAt + q.class().Window - r.now
	}
	r.do(Send{ID: q.ID, Server: a.on.ID, Timeout: timeout, Within: within})
}

// streaming notes that the answer has started.
func (r *Router) streaming(ev Streaming) {
	q := r.requests[ev.ID]
	if q == nil || q.stream || q.find(ev.Attempt) < 0 {
		return
	}
	a := q.out[q.find(ev.Attempt)]
	q.stream, q.state = true, nil
	r.turned[r.flow(q)].mix(r.now, fullFade*r.window(), 0)
	r.prove(a.on.role)
	r.praise(a.on, (r.now-a.sent-Millis(usualTimes*r.opening.v))/max(q.aim, 1))
	r.opening.learn(r.now, min(r.now-a.sent, q.aim))
}

// find is the place of an attempt among those out, or -1.
func (q *request) find(n int) int {
	return slices.IndexFunc(q.out, func(a attempt) bool { return a.n == n })
}

// learn takes one time into a geometric mean: most requests' time, which a few sick servers do not move.
func (m *fading) learn(now, took Millis) {
	gain := math.Max(meanGain, 1-math.Exp(-float64((now-m.at)/rateWindow)))
	was := math.Max(m.v, 1)
	m.v, m.at = was*math.Pow(math.Max(float64(took), 1)/was, gain), now
}

// left is less the longer nothing came in: a router that refuses all must try again.
func (m fading) left(now, span Millis) float64 {
	if m.v == 0 { // as for most servers of a large fleet
		return 0
	}
	return m.v * math.Exp(-float64((now-m.at)/span))
}

// attemptEnded takes the outcome of an attempt.
func (r *Router) attemptEnded(ev Ended) {
	if s := r.servers[ev.Server]; s != nil {
		r.learnReport(s, ev)
	}
	q := r.requests[ev.ID]
	if q == nil || q.find(ev.Attempt) < 0 {
		return
	}
	a := q.out[q.find(ev.Attempt)]
	q.out = slices.DeleteFunc(q.out, func(o attempt) bool { return o.n == a.n })
	if a.reads || !ev.Outcome.unconnected() {
		q.idle = r.now
	}
	r.settle(q, a, ev)
	switch {
	case ev.Done || q.stream || q.ended:
		q.ended = true
		r.drop(q)
	case ev.Outcome == ReadDone:
		q.state = a.on
		r.route(q)
	case ev.Outcome == Moot, ev.Outcome == Served:
		r.finish(q)
	default:
		r.again(q, a, ev)
	}
}

// settle takes an attempt out of the books and learns from its outcome.
func (r *Router) settle(q *request, a attempt, ev Ended) {
	a.on.out = max(0, a.on.out-a.price)
	if !a.reads {
		q.unbook(a.on)
	}
	mean, took := &r.opening, r.now-a.sent
	if a.reads {
		mean = &r.reading
	}
	// An attempt that was called off, by its client too, and had outlasted the mean tells at least that: else
	// only what ends would count, and a jam would look quick.
	ranOut := (ev.Outcome == TimedOut || ev.Outcome == Cancelled) && !q.stream && float64(took) > mean.v
	if a.reads && ev.Outcome == ReadDone || ranOut {
		// Up to the aim: late is late. Guards against few samples: one hung server had all refused for 20 s.
		mean.learn(r.now, min(took, q.aim))
	}
	switch ev.Outcome {
	case ReadDone, Served:
		if a.reads {
			a.on.moved, a.on.passed = r.now, max(a.on.passed, a.sent)
			r.prove(a.on.role)
			r.praise(a.on, (took-Millis(a.queue/r.speed(a.on)))/max(q.aim, 1))
			left := q.Prompt
			if ev.Kept > 0 { // what a reader tells may be no number, or over the prompt
				left = math.Max(left-ev.Kept, 0)
			}
			work := a.queue - a.price + price(left)
			a.on.speed.add(speedKeep, work, float64(took))
			r.reads.add(meanKeep, work, float64(took))
			r.learnPace(left, took)
			if left == q.Prompt && a.price < price(left) { // it lost its text, or never tells
				a.on.lost = a.sent
			}
		}
	case Full:
		// No headroom, whatever own books say: its queue is full of others' or dead work, or it turns away
		// this class or tenant alone. So it counts for these alone; others find out for themselves.
		if !ev.NoState {
			a.on.full[r.flow(q)] = fading{1, r.now}
			if !a.reads {
				r.turned[r.flow(q)].mix(r.now, fullFade*r.window(), 1)
			}
		}
	case Failed, TimedOut, ConnectFailed, Broken:
		// A failing server's books empty at once, a silent one's when its attempts run out: either would
		// look free. The charge stands for the work that did not come back.
		if ev.Outcome == ConnectFailed && !q.ended { // else it was called off as it connected
			r.dialled(1)
		}
		// An answer spoilt on its way was begun well, as the next may be. Guards against streams spoilt from
		// all writers alike: charged for each, all but one looked bad, and that one drowned.
		if !q.ended && !(q.stream && ev.Outcome == Failed) {
			r.blame(a.on, ev.Outcome != TimedOut)
		}
	}
}

// unconnected tells whether nothing of an attempt reached its server. Of NotTried the server is not to blame:
// charged to servers that were never called, a router's own want of connections would make all look bad.
func (o Outcome) unconnected() bool { return o == ConnectFailed || o == NotTried }

// again decides what follows an attempt that gave no answer.
func (r *Router) again(q *request, a attempt, ev Ended) {
	if (!a.reads || r.oneStage(q)) && ev.Outcome != Full && !ev.Outcome.unconnected() {
		if q.ranOn == nil {
			q.ranOn, q.ranAt = a.on, a.sent
		}
		if q.class().Effect == Unsafe {
			r.finish(q)
			return
		}
	}
	q.tried, q.repeat = append(q.tried, a.on), true
	// A writer that failed or fell silent may have fetched the state. Guards against giving up with the last
	// attempt spent on a state that is gone: where a miss leaves no other read, the prompt is read anew.
	taken := !a.reads && ev.Outcome != Full && !ev.Outcome.unconnected() && !r.attemptsLeft(q, 3)
	// Rule 5, where whole zones fall silent: writers that are not reached leave the state where it is, and
	// its time goes on. Harms where a third writer would have been reached: it is read anew, or refused.
	pinned := ev.Outcome.unconnected() && r.now-q.idle > q.set.PinLimit
	if a.reads || ev.NoState || taken || pinned {
		// Rule 5: a held place may have the state although its reader has not.
		q.unplace()
		q.state = nil
		r.do(Release{ID: q.ID})
	}
	r.route(q)
}

// finish gives the last answer: a refusal where it may promise that trying again is harmless. An attempt
// without an outcome proves nothing yet, a read that is out included.
func (r *Router) finish(q *request) {
	if q == nil || q.ended || q.stream {
		return
	}
	class, wait := q.class(), retryPart*q.set.MaxRetryAfter
	// A keyed one that may have run is dropped as a repeat only while its servers remember it.
	known := class.Effect == Keyed && class.Group == GroupAll && r.now+wait-q.ranAt <= class.Window
	if class.Effect == Safe || known || q.ranOn == nil && len(q.out) == 0 {
		r.do(Refuse{ID: q.ID, RetryAfter: wait})
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.end(q)
}

// end closes a request and calls off what is out; a stream that has begun is the client's.
func (r *Router) end(q *request) {
	q.ended = true
	for _, a := range q.out {
		if q.set.Cancel && !q.stream {
			r.do(Cancel{ID: q.ID, Attempt: a.n})
		}
	}
	r.drop(q)
}

// drop forgets an ended request once no attempt is out, and frees what it holds.
func (r *Router) drop(q *request) {
	if len(q.out) > 0 {
		return
	}
	q.unplace()
	if q.sent > 0 && !q.stream {
		r.do(Release{ID: q.ID})
	}
	delete(r.requests, q.ID)
}

// wait keeps a request until a server can take it.
func (r *Router) wait(q *request) {
	limit := waitPart * q.aim
	if q.state != nil {
		limit = pinPart * q.set.PinLimit // rule 5: a state with no writer in sight is let go in time
	}
	if r.now-q.idle > limit {
		r.finish(q)
		return
	}
	if len(r.waiting) == 0 {
		r.do(Wake{In: sweepEvery, Ref: refSweep})
	}
	q.unplace()
	r.waiting = append(r.waiting, q)
}

func (r *Router) sweep() {
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		if !q.ended {
			q.tried = q.tried[:0]
			r.route(q)
		}
	}
}

// best is the server of highest rank, with it; the first of equal ones.
func best(list []*server, rank func(*server) float64) (top *server, high float64) {
	high = math.Inf(-1)
	for _, s := range list {
		if f := rank(s); f > high {
			top, high = s, f
		}
	}
	return top, high
}

// candidate is a server that may get a request, with the freeness that it is chosen by.
type candidate struct {
	s    *server
	free float64
}

// candidates are the servers, but those of one role, that the rules and a request's past let it go to, and
// the first of highest freeness. They are valid until it is called again.
func (r *Router) candidates(q *request, not Role, free func(*server, *request) float64) (list []candidate,
	top candidate) {
	var left [Mixed + 1]float64 // by role, sought where a cold server asks for it
	list, top = r.scratch[:0], candidate{nil, math.Inf(-1)}
	for _, s := range r.without[not] {
		if s.State != Ready || slices.Contains(q.tried, s) || !r.inGroup(s, q) || !r.mayRepeat(s, q) {
			continue
		}
		if r.warmth(s) < 1 {
			if left[s.role] == 0 {
				left[s.role] = r.partLeft(q, s.role)
			}
			if !r.hasCredit(s, q, left[s.role]) {
				continue
			}
		}
		c := candidate{s, free(s, q)}
		if c.free > top.free {
			top = c
		}
		list = append(list, c)
	}
	r.scratch = list
	return list, top
}

// near are the servers whose freeness is not under a bound.
func near(list []candidate, least float64) []*server {
	within := make([]*server, 0, len(list))
	for _, c := range list {
		if !(c.free < least) {
			within = append(within, c.s)
		}
	}
	return within
}

// partLeft is the part of a role's servers, of the most that this router knew, that can take a request, each
// by its warmth and what is taken off it.
func (r *Router) partLeft(q *request, role Role) float64 {
	well := r.sum(role, func(s *server) float64 { return r.warmth(s) * math.Max(1-r.takenOff(s, q), 0) })
	return math.Min(well/math.Max(r.most[role], 1), 1)
}

// sum adds up a figure of the role's servers that are ready.
func (r *Router) sum(role Role, figure func(*server) float64) (total float64) {
	for _, s := range r.list {
		if s.role == role && s.State == Ready {
			total += figure(s)
		}
	}
	return total
}

// pickReader chooses the reader of highest freeness; among those near it the session's last, else a home.
func (r *Router) pickReader(q *request) *server {
	list, top := r.candidates(q, Writer, r.freeness)
	if top.s == nil {
		return nil
	}
	last := r.visits[q.Session]
	home := top.free - nearBand - r.saved(top.s, q, q.PrefixLen)
	for _, c := range list {
		if c.s == last.on && c.free >= top.free-nearBand-r.saved(top.s, q, last.prompt) {
			return last.on
		}
	}
	return r.home(q, near(list, home))
}

// saved is the freeness that kept text is worth; it widens the band of the preferences. Guards against a loop
// under load: prompts left the readers that keep their text, were read in full, and slowed all.
func (r *Router) saved(s *server, q *request, kept float64) float64 {
	return (price(q.Prompt) - price(q.Prompt-kept)) / r.budget(s, q)
}

// kept is how many of a prompt's tokens a reader likely has: a session's last prompt, or a shared beginning
// that it was sent, unless it was found to have kept nothing of a later one.
func (r *Router) kept(q *request, s *server) float64 {
	if last := r.visits[q.Session]; last.on == s && last.at >= s.lost {
		return last.prompt
	} else if at, ok := r.texts[text{q.Prefix, s}]; ok && at >= s.lost {
		return q.PrefixLen
	}
	return 0
}

// price is what reading so many prompt tokens costs.
func price(tokens float64) float64 {
	tokens = math.Max(tokens, 0)
	return alpha*tokens*tokens + beta*modelFactor*tokens
}

// home chooses among near readers by two hashes, the same at every router: the shared beginning's first few
// are its homes (more, the more own reads have it), and of these the session's first. Departs from the design
// page, where a beginning has one home: at many routers each turn of a session comes to another, so its last
// reader is unknown, and own backlog, nearly nil, does not send the reads of a common beginning on.
func (r *Router) home(q *request, list []*server) *server {
	homes := len(list)
	if q.Prefix != 0 {
		part := r.begins[q.Prefix].left(r.now, longest) / (enough + r.all.left(r.now, longest))
		all := float64(homes)
		homes = min(homes, leastHomes+int(fleetPart*all)+int(homesPart*part*all))
	}
	list = firstBy(list, homes, func(s *server) float64 { return unit(uint64(q.Prefix), s.hash) })
	top, _ := best(list, func(s *server) float64 { return unit(uint64(q.Session), s.hash) })
	return top
}

// firstBy is the n servers of the lowest rank, in its order. Where n is all of them the order is of no use,
// and is left as it is.
func firstBy(list []*server, n int, rank func(*server) float64) []*server {
	type ranked struct {
		s    *server
		rank float64
	}
	if n >= len(list) {
		return list
	}
	first := make([]ranked, 0, n+1)
	for _, s := range list {
		x := ranked{s, rank(s)}
		if len(first) == n && x.rank >= first[n-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, x, func(a, b ranked) int {
			return cmp.Compare(a.rank, b.rank)
		})
		first = slices.Insert(first, at, x)[:min(len(first)+1, n)]
	}
	top := make([]*server, len(first))
	for i, x := range first {
		top[i] = x.s
	}
	return top
}

// unit mixes two numbers into one from 0 to under 1, always the same.
func unit(a, b uint64) float64 { return float64(rand.NewPCG(a, b).Uint64()>>11) / (1 << 53) }

// pickWriter chooses the writer of highest memory freeness; those near it go by the reader's cell, then zone.
func (r *Router) pickWriter(q *request, reader *server) *server {
	list, top := r.candidates(q, Reader, r.memory)
	if top.s == nil || reader == nil {
		return top.s
	}
	chosen, _ := best(near(list, top.free-nearBand), func(s *server) float64 {
		return unit(uint64(q.ID)^r.seed, s.hash) - far*distance(s, reader)
	})
	return chosen
}

// distance is 0 within a cell, 1 within a zone, else 2.
func distance(a, b *server) float64 {
	if a.Zone != b.Zone {
		return 2
	} else if a.Cell != b.Cell {
		return 1
	}
	return 0
}

// inGroup keeps a keyed request that may have run inside the group that drops its repeats.
func (r *Router) inGroup(s *server, q *request) bool {
	class := q.class()
	if q.ranOn == nil || class.Effect != Keyed {
		return true
	}
	same := class.Group == GroupAll || class.Group == GroupZone && s.Zone == q.ranOn.Zone ||
		class.Group == GroupCell && s.Cell == q.ranOn.Cell
	return same && r.now-q.ranAt < class.Window
}

// freeness is a reader's: one minus the price of own reads out over what it reads within the aim.
func (r *Router) freeness(s *server, q *request) float64 {
	return 1 - s.out/r.budget(s, q) - r.takenOff(s, q)
}

// flow is what a server may turn away by itself: a class and a tenant. Those of older settings are the last.
func (r *Router) flow(q *request) int {
	if q.set != r.set {
		return len(r.turned) - 1
	}
	return q.Class*(len(r.tenants)+1) + min(max(q.Tenant, 0), len(r.tenants))
}

// takenOff is the freeness that a server loses to its charge and to having turned this flow away.
func (r *Router) takenOff(s *server, q *request) float64 {
	off := r.chargeOf(s)
	if len(s.full) > 0 {
		off += s.full[r.flow(q)].left(r.now, fullFade*r.window())
	}
	if r.now-s.linked > r.set.ConnIdle && r.dialsFail() {
		off += dialCost
	}
	return off
}

// dialsFail tells whether most new connections have failed of late.
func (r *Router) dialsFail() bool {
	return r.dials.v > dialsBad && r.dials.left(r.now, fullFade*r.window()) > dialsBad
}

// budget is the price that a reader works off within the request's aim.
func (r *Router) budget(s *server, q *request) float64 {
	return math.Max(r.speed(s)*float64(q.aim), 1e-9)
}

// speed is a reader's learned price per ms. It starts from a few mean reads: an unheard reader counts as
// average, and one odd read (a long prompt, another router's queue) does not drive its sessions away.
func (r *Router) speed(s *server) float64 {
	took := s.speed.took + meanPart*r.reads.took
	if took == 0 {
		return firstSpeed
	}
	return math.Max((s.speed.work+meanPart*r.reads.work)/took, 1e-6)
}

// memory is a writer's freeness: one minus the reported share and own streams since, over its memory.
// Unreported writers count average; without reports own streams alone decide.
func (r *Router) memory(s *server, q *request) float64 {
	since := 0.0
	share := r.share
	if s.share != r.share {
		share += (s.share - r.share) * math.Exp(-float64((r.now-s.heard)/r.window()))
	}
	for _, o := range s.streams {
		if s.heard == 0 || o.bookedAt > s.heard-reportLag {
			since += o.tokens()
		}
	}
	return 1 - share - since/math.Max(s.size, minSize) - r.takenOff(s, q)
}

// tokens is the memory that an answer may need: prompt and hint, else the told maximum.
func (q *request) tokens() float64 {
	if q.Hint > 0 {
		return q.Prompt + q.Hint
	}
	return q.Prompt + q.MaxOut
}

// book counts the request's tokens at a writer.
func (q *request) book(s *server, now Millis) {
	q.unbook(s)
	s.streams, q.bookedAt = append(s.streams, q), now
}

func (q *request) unbook(s *server) {
	s.streams = slices.DeleteFunc(s.streams, func(o *request) bool { return o == q })
}

// unplace forgets a place asked for.
func (q *request) unplace() {
	if q.place != nil {
		q.unbook(q.place)
		q.place = nil
	}
}

// learnPace takes a read of so many tokens that were not kept.
func (r *Router) learnPace(left float64, took Millis) {
	if left < 1 {
		return
	}
	if pace := math.Max(float64(took), 1) / left; r.pace == 0 || pace < r.pace {
		r.pace = pace
	}
	r.pace *= paceLoss
	r.alone.learn(r.now, Millis(left*r.pace))
}

// learnReport takes a load report.
func (r *Router) learnReport(s *server, ev Ended) {
	if !ev.Reported || s.role == Reader {
		return
	}
	own := 0.0
	for _, q := range s.streams {
		own += q.tokens()
	}
	if size := own * float64(r.set.Routers) / ev.Memory; ev.Memory > nearBand && own > 0 {
		s.size += sizeGain / float64(r.set.Routers) * (size - s.size)
	}
	r.share += meanGain * (ev.Memory - r.share)
	s.share, s.heard = ev.Memory, r.now
}

// blame charges a failure to a server's freeness. What fails at once tells of its health, not of its room.
func (r *Router) blame(s *server, quick bool) {
	if quick {
		s.quick = fading{math.Min(r.quickOf(s)+1, chargeMax), r.now}
	}
	s.charge = fading{math.Min(r.chargeOf(s)+1, chargeMax), r.now}
}

// praise lightens a server's charge after a success, but for the part of the aim that it came late by. That
// guards against servers that grow slower with nothing in the books: load that this router does not see.
func (r *Router) praise(s *server, late Millis) {
	if r.now-s.linked > r.set.ConnIdle {
		r.dialled(0)
	}
	s.linked = r.now
	s.quick = fading{r.quickOf(s) * chargeKeep, r.now}
	s.charge = fading{r.chargeOf(s)*chargeKeep + lateGain*math.Max(float64(late), 0), r.now}
}

// dialled counts a new connection, failed or not. Guards against connections slow to set up at servers that
// are well: most dials fail then. Where servers are down most go well; what is open would be crowded.
func (r *Router) dialled(failed float64) {
	r.dials.mix(r.now, fullFade*r.window(), failed)
}

// chargeOf is a server's charge, faded to now.
func (r *Router) chargeOf(s *server) float64 {
	if s.charge.v == 0 {
		return 0
	}
	return s.charge.left(r.now, max(chargeFade, r.window()))
}

func (r *Router) quickOf(s *server) float64 { return s.quick.left(r.now, max(chargeFade, r.window())) }

// mayRepeat tells whether a request that was sent before may go to a server. Guards against storms of repeats
// that keep servers down which have only slowed: each repeat needs enough first attempts of late. Harms where
// few requests come and one server in two fails: some are refused.
func (r *Router) mayRepeat(s *server, q *request) bool {
	if r.set.RepeatPart <= 0 || !q.repeat {
		return true
	}
	window := r.window()
	return s.repeats.left(r.now, window) < 1+r.set.RepeatPart*s.firsts.left(r.now, window)
}

// window is the span that own observations rest on: long enough, at this router's pace, for enough of them.
// Guards against reading a rate or a trend from one event, where many routers see little each.
func (r *Router) window() Millis {
	return min(max(rateWindow, enough*(r.now-r.begun)/Millis(math.Max(r.arrived, 1))), windowCap)
}

func (t *fading) count(now, window Millis) { t.v, t.at = t.left(now, window)+1, now }

// mix takes a one or a nought into a part of late.
func (t *fading) mix(now, span Millis, one float64) {
	t.v, t.at = (1-partGain)*t.left(now, span)+partGain*one, now
}

// perSecond is the rate; it starts low.
func (t *fading) perSecond(now, w Millis) float64 { return t.left(now, w) / float64(w) * 1000 }

// remember notes a session's reader and counts its beginning; past keyCap all start anew: memory is bounded.
func (r *Router) remember(q *request, s *server) {
	if max(len(r.visits), len(r.begins), len(r.texts)) >= keyCap {
		clear(r.visits)
		clear(r.begins)
		clear(r.texts)
	}
	if q.Session != 0 {
		r.visits[q.Session] = visit{s, q.Prompt, r.now}
	}
	if q.Prefix != 0 {
		r.texts[text{q.Prefix, s}] = r.now
	}
	b := r.begins[q.Prefix]
	b.count(r.now, longest)
	r.begins[q.Prefix] = b
	r.all.count(r.now, longest)
}

// View shows the servers in order of id, as the router sees them now. It changes nothing.
func (r *Router) View(now Millis) []View {
	at := r.now
	defer func() { r.now = at }()
	r.now = max(at, now)
	list := make([]View, 0, len(r.list))
	for _, s := range r.list {
		v := View{Server: s.Server, Role: s.role, Charge: r.chargeOf(s), Backlog: s.out,
			Holds: len(s.streams), Memory: s.share, Heard: s.heard}
		q := &request{set: r.set, aim: r.set.Classes[0].Aim} // of the first class: freeness is a request's
		q.Budget = q.aim
		if v.Freeness = r.freeness(s, q); s.role == Writer {
			v.Freeness = r.memory(s, q)
		} else if s.role == Mixed {
			v.Freeness = math.Min(v.Freeness, r.memory(s, q))
		}
		list = append(list, v)
	}
	return list
}
