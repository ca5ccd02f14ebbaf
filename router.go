// Decisions of a gannethook router. The interface (Settings, events, actions, outcomes) is in api.go,
// slow start in slowstart.go, the list of servers in membership.go.
// Order: constants, state, life of a request, choice of reader and writer, headroom, health.

package gannethook

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	squaredTokenPrice = 4.25e-5 // price of a prompt token squared
	tokenPrice        = 6.80e-3 // price of a prompt token
	modelFactor       = 1.0     // P_m of Phasor's formula: relative cost of the model
	localityWeight    = 100     // per step of distance: cell and zone outweigh the draw among equal writers
	headroomBand      = 0.1     // headroom within which preferences decide between servers

	initialReadSpeed = 0.5  // price read per ms assumed until the first read has ended
	readerSpeedDecay = 0.9  // weight that a read leaves the older ones in its reader's speed
	meanSpeedDecay   = 0.98 // the same for the mean speed of all readers
	meanSpeedWeight  = 0.06 // weight of that mean, some fifty reads, in each reader's speed
	memorySizeGain   = 0.1  // weight of one report, over all routers, in a writer's learned memory size
	minMemoryTokens  = 1e4  // tokens that a writer is assumed to hold at least
	reportLagMs      = 1000 // streams booked up to so long before a report arrives may be missing from it
	slowFactor       = 4    // multiple of the expected time that an attempt may take
	minTimeoutShare  = 0.5  // least share of the target latency that an attempt may take
	minMeanGain      = 0.1  // least weight of one sample in the mean times to read and to the first token
	maxHoldsPerRead  = 2    // writers asked for a place per read

	bestPaceDrift       = 1.001 // factor by which each read raises the best pace, to forget an old one
	shareGain           = 0.25  // weight of one sample in the shares of failed dials and rejected sends
	maxRejectedShare    = 0.2   // share of a flow's sends that writers reject above which no place is held
	maxDialFailureShare = 0.4   // share of failed dials above which open connections are preferred
	unconnectedPenalty  = 0.5   // headroom that a server without one loses then
	maxPenalty          = 4.0   // most headroom that failures take off a server
	penaltyDecayMs      = 6000  // least time in which a penalty decays to 1/e
	holdRefusedPenalty  = 0.3   // headroom taken off a writer that refused a place
	rejectionWindows    = 3     // rate windows in which rejections and failed dials decay to 1/e
	latenessPenalty     = 0.5   // penalty of a success that is late by a whole target latency
	penaltyAfterSuccess = 0.7   // share of its penalty that a success leaves a server

	admissionFloor      = 0.6   // headroom of the best reader below which requests are refused
	admissionRamp       = 0.5   // headroom below the floor at which all are refused
	quotaSlack          = 1.2   // multiple of its share that a tenant may seem to ask for by chance
	worthDiscount       = 0.4   // how much lower the floor is for a class worth far more than the least
	finalAnswerMargin   = 2     // batches of events before the deadline at which the final answer goes out
	serverWaitShare     = 0.5   // share of the target latency that a request waits for a usable server
	stateWaitShare      = 0.6   // share of the pin limit that a read state waits for a writer
	retryAfterShare     = 0.5   // share of the longest honoured wait that a refusal advises
	minWindowMs         = 4000  // shortest window of this router's own rates
	maxWindowMs         = 20000 // longest window of these
	minSamples          = 10    // own requests that a rate or a mean has to rest on
	slowStartRateFactor = 1.2   // share of a warm server's peak rate, times its ramp, in slow start
	sweepIntervalMs     = 20    // time between two attempts to route the waiting requests
	resubscribeDelayMs  = 1000  // time before a failed subscription is repeated
	maxTrackedKeys      = 32768 // most sessions, shared prefixes and start times remembered, each
	minAffinityReaders  = 3     // readers that share a prefix's sessions at least
	affinityFleetShare  = 0.1   // share of the readers added to these
	affinityPerLoad     = 2     // readers added for each reader's worth of reads that a prefix makes up
	maxCountWindowMs    = 60000 // window of the prefix counts, and longest of the tenant counts
)

// Timer references: a request's are id*refsPerRequest plus one of these; no request has the id 0.
const (
	refSweep = iota // this and refSubscribe are the router's
	refSubscribe
	refDeadline // this and refReadCheck are a request's
	refReadCheck
	refsPerRequest
)

// server is what the router knows of one server.
type server struct {
	Server
	hash               uint64 // of its id
	role               Role
	inFlightPrice      float64               // price of this router's reads in flight here
	speed              weightedRate          // of this router's reads here
	streams            []*request            // this router's held places and streams here
	memoryShare        float64               // share of memory in use as last reported
	reportedAt         Millis                // time of that report; 0: none yet
	memoryTokens       float64               // learned memory size
	lastConnectedAt    Millis                // last success, which shows a connection to it
	lastEndedAt        Millis                // last time that a read of this router ended here
	newestSentAt       Millis                // send time of the youngest read that has ended here
	firstSends         decayingValue         // count of first attempts sent here
	repeats            decayingValue         // count of repeats sent here
	rejectionPenalties map[int]decayingValue // by flow index, headroom lost to rejections of the flow
	penalty            decayingValue         // headroom lost to failures and lateness
	fastPenalty        decayingValue         // the part of it for failures that took no time
	sendTokens         float64               // token bucket of the sends in slow start, as of sendTokensAt
	sendTokensAt       Millis
	cacheLostAt        Millis // prompts sent before are not counted on as cached
	startedAt          Millis // on this router's clock; 0: long ago
}

// weightedRate sums up the prices of timed reads and the ms that they took, with decaying weights.
type weightedRate struct{ work, elapsed float64 }

func (rate *weightedRate) add(decay, work, elapsed float64) {
	*rate = weightedRate{rate.work*decay + work, rate.elapsed*decay + math.Max(elapsed, 1)}
}

// attempt is one attempt in flight.
type attempt struct {
	number                      int // counted from 0 within the request
	server                      *server
	readOnly                    bool    // it reads only: it has no effect, however it ends
	price                       float64 // of the tokens probably not cached, as booked at the server
	queued                      float64 // of all own reads in flight there when it was sent, itself included
	sentAt                      Millis
	progressSeenAt, nextCheckAt Millis // the last check that found progress, and the next one
	exemptFromCancel            bool   // an overdue check penalizes the reader, but does not cancel the read
}

// request is one request until its last attempt has ended.
type request struct {
	Request
	settings                 *Settings // under which it was accepted; they hold to its end
	deadline, aim            Millis    // aim is the target latency, a span
	attemptsMade             int
	inFlight                 []attempt
	stateReader, placeWriter *server   // reader that keeps the read state, writer asked for a place
	bookedAt                 Millis    // when its tokens were last booked at a writer
	holdsAsked               int       // writers asked for a place during this read
	excluded                 []*server // servers that failed or refused it, out of choice until a sweep
	lastOutcomeAt            Millis
	mayHaveRunOn             *server // first server on which it may have run
	mayHaveRunAt             Millis  // when it was sent there; else the last send that may take effect
	streaming, ended         bool
	isRepeat                 bool // an attempt gave no answer: those that follow are repeats
}

// lastTurn is a session's last read.
type lastTurn struct {
	reader       *server
	promptTokens float64
	at           Millis
}

// cachedPrefix is a shared prompt prefix at a reader.
type cachedPrefix struct {
	prefix Key
	reader *server
}

// decayingValue is a mean or a count of this router's observations that decays while none comes in.
type decayingValue struct {
	value float64
	at    Millis
}

// Router makes the decisions of one router. It is not safe for concurrent use.
type Router struct {
	settings                 *Settings
	seed                     uint64
	now                      Millis
	startedAt                Millis  // first event; 0: none yet
	arrivals                 float64 // requests received
	servers                  map[ServerID]*server
	starts                   map[ServerID]startRecord // also of servers that are no longer listed
	updates                  int                      // lists and changes received
	clockAhead               Millis                   // least seen age of a newcomer, see startTime
	listed                   []*server                // in order of id
	withoutRole              [Mixed + 1][]*server     // by role, the listed servers of the other roles
	scratch                  []candidate              // reused by candidates
	requests                 map[RequestID]*request
	waiting                  []*request               // for a usable server
	lastTurns                map[Key]lastTurn         // by session
	prefixCounts             map[Key]decayingValue    // reads by shared prefix
	cachedPrefixes           map[cachedPrefix]Millis  // when a shared prefix was last sent to a reader
	readCount                decayingValue            // all reads
	tenantCounts             []decayingValue          // requests by tenant
	completions              [Mixed + 1]decayingValue // reads ended or streams begun, by role
	peakRate                 [Mixed + 1]float64       // most of these per second and warm server, by role
	maxReady                 [Mixed + 1]float64       // most servers that were ready at once, by role
	fleetSpeed               weightedRate             // of all readers' reads
	dialFailures             decayingValue            // share of recent dials that failed
	rejectedSends            []decayingValue          // by flow index, share of sends that writers rejected
	meanShare                float64                  // mean memory share of the writers that reported
	bestPace                 float64                  // least ms per uncached token; 0: no read yet
	unqueuedReadTime         decayingValue            // mean ms of a read at the best pace, without a queue
	readTime, firstTokenTime decayingValue            // mean ms of a read, of a writer's time to first token
	actions                  []Action                 // of the event being handled
}

// New returns a router that knows no server yet.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		settings: &set, seed: seed, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		lastTurns: map[Key]lastTurn{}, prefixCounts: map[Key]decayingValue{},
		cachedPrefixes: map[cachedPrefix]Millis{}, starts: map[ServerID]startRecord{},
		clockAhead: Millis(math.Inf(1)),
	}
	r.reconfigure(set)
	return r, nil
}

// Handle processes one event at time now and returns the actions to carry out, in order. Events that are
// late, repeated or about unknown requests cause no action.
func (r *Router) Handle(now Millis, event Event) []Action {
	r.now = max(r.now, now)
	if r.startedAt == 0 {
		r.startedAt = r.now
		if r.settings.AskDiscovery {
			r.emit(Subscribe{})
		}
	}
	switch ev := event.(type) {
	case Membership:
		r.handleMembership(ev)
	case Request:
		r.handleRequest(ev)
	case Streaming:
		r.handleStreaming(ev)
	case Held:
		r.handleHeld(ev)
	case Ended:
		r.handleEnded(ev)
	case ClientGone:
		if req := r.requests[ev.ID]; req != nil && !req.ended {
			r.endRequest(req)
		}
	case Reconfigure:
		if ev.Settings.Validate() == nil {
			r.reconfigure(ev.Settings)
		}
	case Wakeup:
		switch req := r.requests[RequestID(ev.Ref/refsPerRequest)]; ev.Ref % refsPerRequest {
		case refSweep:
			r.routeWaiting()
		case refSubscribe:
			r.emit(Subscribe{})
		case refDeadline: // the final answer goes out before the deadline, whether or not attempts ended
			r.finish(req)
		case refReadCheck:
			r.checkRead(req)
		}
	}
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// handleRequest accepts or refuses a new request.
func (r *Router) handleRequest(ev Request) {
	if r.requests[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(r.settings.Classes) {
		return
	}
	r.arrivals++
	class := &r.settings.Classes[ev.Class]
	aim := cmp.Or(class.Aim, ev.Budget) + class.AimPer1000*Millis(ev.Prompt/1000)
	req := &request{Request: ev, settings: r.settings, deadline: r.now + ev.Budget, lastOutcomeAt: r.now,
		aim: aim, mayHaveRunAt: Millis(math.Inf(1))}
	r.requests[ev.ID] = req
	answerIn := ev.Budget - finalAnswerMargin*r.settings.Quantum - 1
	r.emit(Wake{In: max(answerIn, 0), Ref: uint64(ev.ID)*refsPerRequest + refDeadline})
	if reader, ok := r.admit(req); ok && answerIn > 0 {
		r.routeToReader(req, reader)
	} else {
		r.finish(req)
	}
}

// admit reports whether a request is accepted, and which reader was picked for it, if any. Its headroom is
// the best reader's, or the best writer's of memory, or, as the load of other routers is unseen, what recent
// times to read and to the first token leave of the target latency, whichever is least. The floor is lower
// for more worth and higher for a tenant beyond its share. The time that recent reads would have taken
// without queueing is no load and left out of both spans: a target may not be much longer than a read.
// Drawback: readers slow from the first read on go unnoticed. Penalties for fast failures are left out:
// servers that all fail a part at once still have capacity. Refusals rise as headroom falls, so that routers
// that see the same load do not swing between all and nothing.
func (r *Router) admit(req *request) (reader *server, ok bool) {
	floor := 1 - (1-admissionFloor)/r.quotaExcess(req.Tenant)
	lowestWorth := slices.MinFunc(r.settings.Classes, func(a, b Class) int {
		return cmp.Compare(a.Worth, b.Worth)
	}).Worth
	if worth := r.settings.Classes[req.Class].Worth; worth > 0 {
		floor -= worthDiscount * (1 - lowestWorth/worth)
	}
	window := r.rateWindow()
	expected := r.readTime.decayed(r.now, window)
	if !r.oneStage(req) {
		expected += r.firstTokenTime.decayed(r.now, window)
	}
	unqueued := math.Min(r.unqueuedReadTime.decayed(r.now, window), expected)
	headroom := 1 - (expected-unqueued)/math.Max(float64(min(req.aim, req.Budget))-unqueued, 1)
	if reader = r.pickReader(req); reader != nil {
		headroom = math.Min(headroom, r.readerHeadroom(reader, req)+r.fastPenaltyOf(reader))
		if writer := r.pickWriter(req, reader); writer != nil && !r.oneStage(req) {
			headroom = math.Min(headroom,
				(r.writerHeadroom(writer, req)+r.fastPenaltyOf(writer))/(2*headroomBand))
		}
	}
	return reader, (floor-headroom)/admissionRamp <= hashUnit(uint64(req.ID), r.seed)
}

// quotaExcess counts a tenant's request and returns how many times its share here it asks for, at least 1.
// The window holds minSamples requests at that share; an excess within quotaSlack counts as chance.
func (r *Router) quotaExcess(tenant int) float64 {
	if tenant < 0 || tenant >= len(r.tenantCounts) || r.settings.Tenants[tenant].QuotaPerS <= 0 {
		return 1
	}
	quota := r.settings.Tenants[tenant].QuotaPerS / float64(r.settings.Routers)
	window := min(max(minWindowMs, Millis(minSamples*1000/quota)), maxCountWindowMs)
	r.tenantCounts[tenant].increment(r.now, window)
	return math.Max(1, r.tenantCounts[tenant].perSecond(r.now, window)/quota/quotaSlack)
}

// route takes the next step for a request that has no attempt in flight.
func (r *Router) route(req *request) {
	if req.stateReader != nil {
		r.sendToWriter(req)
		return
	}
	r.routeToReader(req, r.pickReader(req))
}

// routeToReader sends a request to the server picked to read it; without one it waits.
func (r *Router) routeToReader(req *request, srv *server) {
	if srv == nil && req.settings.WritersRead && !r.oneStage(req) {
		srv = r.pickWriter(req, nil)
	}
	switch {
	case srv == nil:
		r.waitForServer(req)
	case srv.role == Reader && !r.oneStage(req) && !r.hasAttemptsLeft(req, 2) || !r.hasAttemptsLeft(req, 1):
		r.finish(req)
	default:
		r.sendRead(req, srv)
	}
}

// hasAttemptsLeft reports whether n more attempts are allowed.
func (r *Router) hasAttemptsLeft(req *request, n int) bool {
	return req.settings.MaxAttempts == 0 || req.attemptsMade+n <= req.settings.MaxAttempts
}

// oneStage reports whether a request's work ends where its prompt is read.
func (r *Router) oneStage(req *request) bool { return req.class().OneStage }

// class returns the request's class as it was when the request arrived.
func (req *request) class() *Class { return &req.settings.Classes[req.Class] }

// sendRead sends a prompt to a reader and asks a writer for a place; a mixed server gets the whole request at
// once. One-stage work is read, timed and checked like any prompt, at a mixed server too, but holds nothing.
func (r *Router) sendRead(req *request, srv *server) {
	att := attempt{server: srv, readOnly: srv.role == Reader || r.oneStage(req),
		price: price(req.Prompt - r.cachedTokens(req, srv))}
	srv.inFlightPrice += att.price
	att.queued = srv.inFlightPrice
	r.takeSendToken(srv)
	r.rememberRead(req, srv)
	if !att.readOnly {
		req.book(srv, r.now)
		r.sendAttempt(req, att, 0)
		return
	}
	timeout := r.scheduleReadCheck(req, &att)
	r.sendAttempt(req, att, timeout)
	req.holdsAsked = 0
	if !r.oneStage(req) {
		r.requestHold(req, srv)
	}
}

// scheduleReadCheck sets when the reader of an attempt is next checked for progress; where nothing may be
// cancelled it returns a timeout instead. A read that leaves no attempts for another one is not checked.
func (r *Router) scheduleReadCheck(req *request, att *attempt) Millis {
	if !r.hasAttemptsLeft(req, 3) {
		return 0
	}
	wait := r.timeoutFor(req, att.server.role, math.Max(att.queued/r.speedOf(att.server), r.readTime.value))
	// One-stage work that is cancelled may have run, and then only safe work may run again.
	if wait == 0 || r.oneStage(req) && req.class().Effect != Safe {
		att.exemptFromCancel, wait = true, req.aim
	} else if !req.settings.Cancel {
		return wait
	}
	att.nextCheckAt = r.now + wait
	r.emit(Wake{In: wait, Ref: uint64(req.ID)*refsPerRequest + refReadCheck})
	return 0
}

// checkRead cancels a read whose reader has ended nothing since the last check. Guards against hung and
// silent readers. A reader that still ends reads is slow or full like all others, and reading elsewhere what
// it has half read would only add load; but if it has ended reads that were sent after this one, this one is
// stuck, as on a connection that fell silent. Where silence proves nothing, an overdue read penalizes its
// reader and goes on: other requests then go elsewhere, early, as guards against servers that become slow.
func (r *Router) checkRead(req *request) {
	if req == nil || req.ended || len(req.inFlight) != 1 || !req.inFlight[0].readOnly ||
		r.now < req.inFlight[0].nextCheckAt {
		return
	}
	att := &req.inFlight[0]
	if att.exemptFromCancel {
		r.recordFailure(att.server, false)
		return
	}
	if att.server.lastEndedAt > max(att.sentAt, att.progressSeenAt) &&
		att.server.newestSentAt <= att.sentAt && req.deadline-r.now > 10*sweepIntervalMs {
		att.progressSeenAt = r.now
		r.scheduleReadCheck(req, att)
		return
	}
	r.emit(Cancel{ID: req.ID, Attempt: att.number})
	r.recordFailure(att.server, att.server.newestSentAt > att.sentAt)
}

// requestHold asks the writer of highest headroom for a place as a read starts, unless writers reject the
// flow: a granted place does not mean that the answer is let in, but takes the state from the reader, so that
// the next writer misses it and the prompt is read again. Guards against throttling of a class or tenant, and
// full queues, where places are few anyway. Drawback: if few writers throttle, states move late.
func (r *Router) requestHold(req *request, reader *server) {
	rejected := r.rejectedSends[r.flowIndex(req)].decayed(r.now, rejectionWindows*r.rateWindow())
	if !req.settings.Holds || req.holdsAsked >= maxHoldsPerRead || rejected > maxRejectedShare {
		return
	}
	if writer := r.pickWriter(req, reader); writer != nil {
		req.holdsAsked++
		req.placeWriter = writer
		req.book(writer, r.now)
		r.takeSendToken(writer)
		r.emit(Hold{ID: req.ID, Server: writer.ID})
	}
}

// handleHeld handles the answer to a hold; if it was refused the next writer is asked.
func (r *Router) handleHeld(ev Held) {
	req := r.requests[ev.ID]
	if req == nil || ev.OK || req.ended || req.placeWriter == nil || len(req.inFlight) == 0 ||
		req.inFlight[0].number != ev.Attempt {
		return
	}
	req.excluded = append(req.excluded, req.placeWriter)
	if req.placeWriter.reportedAt == 0 { // no slot or memory is free, and no report shows it
		req.placeWriter.rejectionPenalties[r.flowIndex(req)] = decayingValue{holdRefusedPenalty, r.now}
	}
	req.forgetPlace()
	r.requestHold(req, req.inFlight[0].server)
}

// sendToWriter sends a read state to the writer that holds a place, else to the one of highest headroom. One
// timeout guards against hung writers; a second would refetch the state while links or writers are only full.
func (r *Router) sendToWriter(req *request) {
	writer := req.placeWriter
	if writer == nil || writer.State != Ready || !r.groupAllows(writer, req) {
		req.forgetPlace()
		if writer = r.pickWriter(req, req.stateReader); writer == nil {
			r.waitForServer(req)
			return
		}
	}
	if !r.hasAttemptsLeft(req, 1) {
		r.finish(req)
		return
	}
	r.takeSendToken(writer)
	req.forgetPlace()
	req.book(writer, r.now)
	timeout := Millis(0)
	class := req.class()
	if class.Effect == Safe && class.Streamed && req.mayHaveRunOn == nil && r.hasAttemptsLeft(req, 2) {
		timeout = r.timeoutFor(req, writer.role, r.firstTokenTime.value)
	}
	r.sendAttempt(req, attempt{server: writer}, timeout)
}

// timeoutFor limits an attempt that is expected to take so many ms; 0 means no limit: where all are slow, or
// a server ends own work so seldom that silence proves nothing. Guards against cancelling what is only
// queued: it is done all the same, and again elsewhere. Drawback: hung servers are left late.
func (r *Router) timeoutFor(req *request, role Role, expected float64) Millis {
	if wait := max(minTimeoutShare*req.aim, slowFactor*Millis(expected),
		Millis(1000/r.peakRate[role])); wait < req.aim {
		return wait
	}
	return 0
}

func (r *Router) sendAttempt(req *request, att attempt, timeout Millis) {
	att.number, att.sentAt = req.attemptsMade, r.now
	if req.isRepeat {
		att.server.repeats.increment(r.now, r.rateWindow())
	} else {
		att.server.firstSends.increment(r.now, r.rateWindow())
	}
	req.attemptsMade++
	req.inFlight = append(req.inFlight, att)
	within := Millis(0)
	if req.mayHaveRunOn == nil && (!att.readOnly || r.oneStage(req)) {
		req.mayHaveRunAt = r.now
	} else if req.mayHaveRunOn != nil && req.class().Effect == Keyed {
		// Keyed work must not be written after the group has forgotten the attempt that may have run.
		within = req.mayHaveRunAt + req.class().Window - r.now
	}
	r.emit(Send{ID: req.ID, Server: att.server.ID, Timeout: timeout, Within: within})
}

// handleStreaming records that the answer has started.
func (r *Router) handleStreaming(ev Streaming) {
	req := r.requests[ev.ID]
	if req == nil || req.streaming || req.findAttempt(ev.Attempt) < 0 {
		return
	}
	att := req.inFlight[req.findAttempt(ev.Attempt)]
	req.streaming, req.stateReader = true, nil
	r.rejectedSends[r.flowIndex(req)].average(r.now, rejectionWindows*r.rateWindow(), 0)
	r.recordCompletion(att.server.role)
	r.recordSuccess(att.server, (r.now-att.sentAt-Millis(slowFactor*r.firstTokenTime.value))/max(req.aim, 1))
	r.firstTokenTime.learnTime(r.now, min(r.now-att.sentAt, req.aim))
}

// findAttempt returns the index of an attempt in flight, or -1.
func (req *request) findAttempt(number int) int {
	return slices.IndexFunc(req.inFlight, func(att attempt) bool { return att.number == number })
}

// learnTime adds a sample to a geometric mean, which a few failing servers hardly move.
func (mean *decayingValue) learnTime(now, sample Millis) {
	gain := math.Max(minMeanGain, 1-math.Exp(-float64((now-mean.at)/minWindowMs)))
	previous := math.Max(mean.value, 1)
	mean.value, mean.at = previous*math.Pow(math.Max(float64(sample), 1)/previous, gain), now
}

// decayed falls while no observation comes in, so that a router that refuses all requests tries again.
func (val decayingValue) decayed(now, decayTime Millis) float64 {
	if val.value == 0 { // saves the exponential: so are most servers of a large fleet
		return 0
	}
	return val.value * math.Exp(-float64((now-val.at)/decayTime))
}

func (r *Router) handleEnded(ev Ended) {
	if srv := r.servers[ev.Server]; srv != nil {
		r.learnReport(srv, ev)
	}
	req := r.requests[ev.ID]
	if req == nil || req.findAttempt(ev.Attempt) < 0 {
		return
	}
	att := req.inFlight[req.findAttempt(ev.Attempt)]
	req.inFlight = slices.DeleteFunc(req.inFlight, func(o attempt) bool { return o.number == att.number })
	if att.readOnly || !ev.Outcome.unconnected() {
		req.lastOutcomeAt = r.now
	}
	r.settleAttempt(req, att, ev)
	switch {
	case ev.Done || req.streaming || req.ended:
		req.ended = true
		r.forgetIfDone(req)
	case ev.Outcome == ReadDone:
		req.stateReader = att.server
		r.route(req)
	case ev.Outcome == Moot, ev.Outcome == Served:
		r.finish(req)
	default:
		r.retry(req, att, ev)
	}
}

// settleAttempt removes an attempt from the router's books and learns from its outcome.
func (r *Router) settleAttempt(req *request, att attempt, ev Ended) {
	att.server.inFlightPrice = max(0, att.server.inFlightPrice-att.price)
	if !att.readOnly {
		req.unbook(att.server)
	}
	mean, elapsed := &r.firstTokenTime, r.now-att.sentAt
	if att.readOnly {
		mean = &r.readTime
	}
	// An attempt that was cancelled, also by its client, after more than the mean time took at least that
	// long. If only finished attempts counted, an overload would look fast.
	outlastedMean := (ev.Outcome == TimedOut || ev.Outcome == Cancelled) && !req.streaming &&
		float64(elapsed) > mean.value
	if att.readOnly && ev.Outcome == ReadDone || outlastedMean {
		// Capped at the target latency, or one hung server among few samples had all refused for 20 s.
		mean.learnTime(r.now, min(elapsed, req.aim))
	}
	switch ev.Outcome {
	case ReadDone, Served:
		if att.readOnly {
			att.server.lastEndedAt, att.server.newestSentAt = r.now, max(att.server.newestSentAt, att.sentAt)
			r.recordCompletion(att.server.role)
			r.recordSuccess(att.server, (elapsed-Millis(att.queued/r.speedOf(att.server)))/max(req.aim, 1))
			uncached := req.Prompt
			if ev.Kept > 0 { // a reported count may be NaN, or more than the prompt
				uncached = math.Max(uncached-ev.Kept, 0)
			}
			work := att.queued - att.price + price(uncached)
			att.server.speed.add(readerSpeedDecay, work, float64(elapsed))
			r.fleetSpeed.add(meanSpeedDecay, work, float64(elapsed))
			r.learnPace(uncached, elapsed)
			if uncached == req.Prompt && att.price < price(uncached) { // cache lost, or never reported
				att.server.cacheLostAt = att.sentAt
			}
		}
	case Full:
		// No headroom, despite the bookings: the queue is full of others' or abandoned work, or the server
		// rejects this class or tenant alone. So it counts for this flow; the others find out for themselves.
		if !ev.NoState {
			att.server.rejectionPenalties[r.flowIndex(req)] = decayingValue{1, r.now}
			if !att.readOnly {
				r.rejectedSends[r.flowIndex(req)].average(r.now, rejectionWindows*r.rateWindow(), 1)
			}
		}
	case Failed, TimedOut, ConnectFailed, Broken:
		// The books of a failing server empty at once, those of a silent one when its attempts time out:
		// either would seem to have headroom. The penalty stands for the work that did not come back.
		if ev.Outcome == ConnectFailed && !req.ended { // else it was cancelled while connecting
			r.recordDial(1)
		}
		// A malformed stream began well, and the next one may again. Guards against streams malformed from
		// all writers alike: penalized for each, all writers but one looked bad, and that one was overloaded.
		if !req.ended && !(req.streaming && ev.Outcome == Failed) {
			r.recordFailure(att.server, ev.Outcome != TimedOut)
		}
	}
}

// unconnected reports whether nothing of an attempt reached its server. NotTried is not the server's fault:
// penalized for a router's own lack of connections, all servers would look bad.
func (o Outcome) unconnected() bool { return o == ConnectFailed || o == NotTried }

// retry decides what follows an attempt that gave no answer.
func (r *Router) retry(req *request, att attempt, ev Ended) {
	if (!att.readOnly || r.oneStage(req)) && ev.Outcome != Full && !ev.Outcome.unconnected() {
		if req.mayHaveRunOn == nil {
			req.mayHaveRunOn, req.mayHaveRunAt = att.server, att.sentAt
		}
		if req.class().Effect == Unsafe {
			r.finish(req)
			return
		}
	}
	req.excluded, req.isRepeat = append(req.excluded, att.server), true
	// A writer that failed or fell silent may have fetched the state. Guards against a last attempt at a
	// state that is no longer there: if a miss would leave no other read, the prompt is read again.
	fetched := !att.readOnly && ev.Outcome != Full && !ev.Outcome.unconnected() && !r.hasAttemptsLeft(req, 3)
	// Writers that were not reached leave the state at its reader, where the pin limit goes on. Drawback:
	// where a third writer would have been reached, the prompt is read again or the request refused.
	pinExpired := ev.Outcome.unconnected() && r.now-req.lastOutcomeAt > req.settings.PinLimit
	if att.readOnly || ev.NoState || fetched || pinExpired {
		// A held place may have the state although its reader has not; it must not stay pinned.
		req.forgetPlace()
		req.stateReader = nil
		r.emit(Release{ID: req.ID})
	}
	r.route(req)
}

// finish gives the final answer: a refusal if it can promise that trying again is harmless, else a failure.
// An attempt without an outcome proves nothing yet, a read in flight included.
func (r *Router) finish(req *request) {
	if req == nil || req.ended || req.streaming {
		return
	}
	class, retryAfter := req.class(), retryAfterShare*req.settings.MaxRetryAfter
	// A repeat of a keyed request that may have run is dropped only while its servers remember the key.
	deduplicated := class.Effect == Keyed && class.Group == GroupAll &&
		r.now+retryAfter-req.mayHaveRunAt <= class.Window
	if class.Effect == Safe || deduplicated || req.mayHaveRunOn == nil && len(req.inFlight) == 0 {
		r.emit(Refuse{ID: req.ID, RetryAfter: retryAfter})
	} else {
		r.emit(Fail{ID: req.ID})
	}
	r.endRequest(req)
}

// endRequest ends a request and cancels its attempts; a stream that has begun belongs to the client.
func (r *Router) endRequest(req *request) {
	req.ended = true
	for _, att := range req.inFlight {
		if req.settings.Cancel && !req.streaming {
			r.emit(Cancel{ID: req.ID, Attempt: att.number})
		}
	}
	r.forgetIfDone(req)
}

// forgetIfDone removes an ended request once no attempt is in flight, and releases what it holds.
func (r *Router) forgetIfDone(req *request) {
	if len(req.inFlight) > 0 {
		return
	}
	req.forgetPlace()
	if req.attemptsMade > 0 && !req.streaming {
		r.emit(Release{ID: req.ID})
	}
	delete(r.requests, req.ID)
}

// waitForServer keeps a request until a server is usable for it, or refuses it after its limit.
func (r *Router) waitForServer(req *request) {
	limit := serverWaitShare * req.aim
	if req.stateReader != nil {
		limit = stateWaitShare * req.settings.PinLimit // so that the state is released in time
	}
	if r.now-req.lastOutcomeAt > limit {
		r.finish(req)
		return
	}
	if len(r.waiting) == 0 {
		r.emit(Wake{In: sweepIntervalMs, Ref: refSweep})
	}
	req.forgetPlace()
	r.waiting = append(r.waiting, req)
}

func (r *Router) routeWaiting() {
	waiting := r.waiting
	r.waiting = nil
	for _, req := range waiting {
		if !req.ended {
			req.excluded = req.excluded[:0]
			r.route(req)
		}
	}
}

// highestRanked returns the server of highest rank and that rank; of equal ones the first.
func highestRanked(list []*server, rank func(*server) float64) (top *server, highest float64) {
	highest = math.Inf(-1)
	for _, srv := range list {
		if value := rank(srv); value > highest {
			top, highest = srv, value
		}
	}
	return top, highest
}

// candidate is a server that a request may be sent to, with the headroom that it is chosen by.
type candidate struct {
	server   *server
	headroom float64
}

// candidates returns the servers that the rules and a request's earlier attempts allow, those of one role
// excluded, and the first of highest headroom. The list is valid until the next call.
func (r *Router) candidates(req *request, excluded Role,
	headroom func(*server, *request) float64) (list []candidate, top candidate) {
	var usable [Mixed + 1]float64 // by role, computed once a server in slow start needs it
	list, top = r.scratch[:0], candidate{nil, math.Inf(-1)}
	for _, srv := range r.withoutRole[excluded] {
		if srv.State != Ready || slices.Contains(req.excluded, srv) || !r.groupAllows(srv, req) ||
			!r.mayRepeat(srv, req) {
			continue
		}
		if r.ramp(srv) < 1 {
			if usable[srv.role] == 0 {
				usable[srv.role] = r.usableShare(req, srv.role)
			}
			if !r.hasSendToken(srv, req, usable[srv.role]) {
				continue
			}
		}
		cand := candidate{srv, headroom(srv, req)}
		if cand.headroom > top.headroom {
			top = cand
		}
		list = append(list, cand)
	}
	r.scratch = list
	return list, top
}

// withinBand returns the servers whose headroom is not below a bound.
func withinBand(list []candidate, bound float64) []*server {
	within := make([]*server, 0, len(list))
	for _, cand := range list {
		if !(cand.headroom < bound) {
			within = append(within, cand.server)
		}
	}
	return within
}

// usableShare is the usable part, by ramp and penalties, of the most servers of a role ready at once.
func (r *Router) usableShare(req *request, role Role) float64 {
	usable := r.sumReady(role, func(srv *server) float64 {
		return r.ramp(srv) * math.Max(1-r.totalPenalty(srv, req), 0)
	})
	return math.Min(usable/math.Max(r.maxReady[role], 1), 1)
}

// sumReady adds up a value of the role's ready servers.
func (r *Router) sumReady(role Role, value func(*server) float64) (total float64) {
	for _, srv := range r.listed {
		if srv.role == role && srv.State == Ready {
			total += value(srv)
		}
	}
	return total
}

// pickReader returns the last turn's reader if its headroom is near the highest, else one by affinity.
func (r *Router) pickReader(req *request) *server {
	list, top := r.candidates(req, Writer, r.readerHeadroom)
	if top.server == nil {
		return nil
	}
	last := r.lastTurns[req.Session]
	bound := top.headroom - headroomBand - r.cachedHeadroom(top.server, req, req.PrefixLen)
	for _, cand := range list {
		if cand.server == last.reader &&
			cand.headroom >= top.headroom-headroomBand-r.cachedHeadroom(top.server, req, last.promptTokens) {
			return last.reader
		}
	}
	return r.affinityReader(req, withinBand(list, bound))
}

// cachedHeadroom is the headroom that a cached prefix saves, which widens the band of preferences. Guards
// against a loop under load: prompts left the readers that had them cached, and slowed all when read in full.
func (r *Router) cachedHeadroom(srv *server, req *request, cached float64) float64 {
	return (price(req.Prompt) - price(req.Prompt-cached)) / r.priceBudget(srv, req)
}

// cachedTokens is what a reader probably has cached of a prompt: the session's last prompt, or a shared
// prefix that it was sent, unless it lost its cache since.
func (r *Router) cachedTokens(req *request, srv *server) float64 {
	if last := r.lastTurns[req.Session]; last.reader == srv && last.at >= srv.cacheLostAt {
		return last.promptTokens
	} else if sentAt, ok := r.cachedPrefixes[cachedPrefix{req.Prefix, srv}]; ok && sentAt >= srv.cacheLostAt {
		return req.PrefixLen
	}
	return 0
}

// price is the cost of reading a prompt, quadratic in its tokens (Phasor's formula).
func price(tokens float64) float64 {
	tokens = math.Max(tokens, 0)
	// Each product is rounded by itself: fused with the sum, equal prices could differ in their last bit.
	return float64(squaredTokenPrice*tokens*tokens) + float64(tokenPrice*modelFactor*tokens)
}

// affinityReader chooses by two hashes, the same at every router: the prefix selects its affinity readers
// (more for a larger share of own reads), the session one of these. One reader for each prefix is not enough:
// at many routers each turn of a session comes to another one, which does not know its last reader, and own
// backlog, nearly nil, does not spread the reads of a common prefix.
func (r *Router) affinityReader(req *request, list []*server) *server {
	count := len(list)
	if req.Prefix != 0 {
		share := r.prefixCounts[req.Prefix].decayed(r.now, maxCountWindowMs) /
			(minSamples + r.readCount.decayed(r.now, maxCountWindowMs))
		total := float64(count)
		count = min(count, minAffinityReaders+int(affinityFleetShare*total)+int(affinityPerLoad*share*total))
	}
	list = lowestRanked(list, count, func(s *server) float64 { return hashUnit(uint64(req.Prefix), s.hash) })
	top, _ := highestRanked(list, func(s *server) float64 { return hashUnit(uint64(req.Session), s.hash) })
	return top
}

// lowestRanked returns the n servers of lowest rank in its order; a list of no more than n stays as it is.
func lowestRanked(list []*server, n int, rank func(*server) float64) []*server {
	type ranked struct {
		server *server
		rank   float64
	}
	if n >= len(list) {
		return list
	}
	first := make([]ranked, 0, n+1)
	for _, srv := range list {
		entry := ranked{srv, rank(srv)}
		if len(first) == n && entry.rank >= first[n-1].rank {
			continue
		}
		index, _ := slices.BinarySearchFunc(first, entry, func(a, b ranked) int {
			return cmp.Compare(a.rank, b.rank)
		})
		first = slices.Insert(first, index, entry)[:min(len(first)+1, n)]
	}
	top := make([]*server, len(first))
	for i, entry := range first {
		top[i] = entry.server
	}
	return top
}

// hashUnit hashes two numbers to one in [0, 1).
func hashUnit(a, b uint64) float64 { return float64(rand.NewPCG(a, b).Uint64()>>11) / (1 << 53) }

// pickWriter returns a writer within the band of the highest headroom: the nearest one, else by draw.
func (r *Router) pickWriter(req *request, reader *server) *server {
	list, top := r.candidates(req, Reader, r.writerHeadroom)
	if top.server == nil || reader == nil {
		return top.server
	}
	chosen, _ := highestRanked(withinBand(list, top.headroom-headroomBand), func(srv *server) float64 {
		return hashUnit(uint64(req.ID)^r.seed, srv.hash) - localityWeight*distance(srv, reader)
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

// groupAllows keeps a keyed request that may have run in the group and window that drop its repeats.
func (r *Router) groupAllows(srv *server, req *request) bool {
	class := req.class()
	if req.mayHaveRunOn == nil || class.Effect != Keyed {
		return true
	}
	sameGroup := class.Group == GroupAll || class.Group == GroupZone && srv.Zone == req.mayHaveRunOn.Zone ||
		class.Group == GroupCell && srv.Cell == req.mayHaveRunOn.Cell
	return sameGroup && r.now-req.mayHaveRunAt < class.Window
}

// readerHeadroom is 1 - price of own reads in flight / price read within the target latency - penalties.
func (r *Router) readerHeadroom(srv *server, req *request) float64 {
	return 1 - srv.inFlightPrice/r.priceBudget(srv, req) - r.totalPenalty(srv, req)
}

// flowIndex numbers class and tenant pairs, which servers reject separately; older settings share the last.
func (r *Router) flowIndex(req *request) int {
	if req.settings != r.settings {
		return len(r.rejectedSends) - 1
	}
	return req.Class*(len(r.tenantCounts)+1) + min(max(req.Tenant, 0), len(r.tenantCounts))
}

// totalPenalty is the headroom lost to failures, rejections of this flow and a missing connection.
func (r *Router) totalPenalty(srv *server, req *request) float64 {
	penalty := r.penaltyOf(srv)
	if len(srv.rejectionPenalties) > 0 {
		penalty += srv.rejectionPenalties[r.flowIndex(req)].decayed(r.now, rejectionWindows*r.rateWindow())
	}
	if r.now-srv.lastConnectedAt > r.settings.ConnIdle && r.dialsFailing() {
		penalty += unconnectedPenalty
	}
	return penalty
}

// dialsFailing reports whether the recent share of failed dials is over maxDialFailureShare.
func (r *Router) dialsFailing() bool {
	return r.dialFailures.value > maxDialFailureShare &&
		r.dialFailures.decayed(r.now, rejectionWindows*r.rateWindow()) > maxDialFailureShare
}

// priceBudget is the price that a reader reads within the request's target latency.
func (r *Router) priceBudget(srv *server, req *request) float64 {
	return math.Max(r.speedOf(srv)*float64(req.aim), 1e-9)
}

// speedOf is a reader's learned price per ms. A few mean reads are mixed in: a new reader counts as average,
// and one odd read (a long prompt, another router's queue) does not drive its sessions away.
func (r *Router) speedOf(srv *server) float64 {
	elapsed := srv.speed.elapsed + meanSpeedWeight*r.fleetSpeed.elapsed
	if elapsed == 0 {
		return initialReadSpeed
	}
	return math.Max((srv.speed.work+meanSpeedWeight*r.fleetSpeed.work)/elapsed, 1e-6)
}

// writerHeadroom is 1 - memory share - own streams since its report / memory - penalties. An old report
// decays to the writers' mean, which unreported writers start from; without reports own streams decide.
func (r *Router) writerHeadroom(srv *server, req *request) float64 {
	unreported := 0.0
	share := r.meanShare
	if srv.memoryShare != r.meanShare {
		share += (srv.memoryShare - r.meanShare) * math.Exp(-float64((r.now-srv.reportedAt)/r.rateWindow()))
	}
	for _, other := range srv.streams {
		if srv.reportedAt == 0 || other.bookedAt > srv.reportedAt-reportLagMs {
			unreported += other.memoryTokens()
		}
	}
	return 1 - share - unreported/math.Max(srv.memoryTokens, minMemoryTokens) - r.totalPenalty(srv, req)
}

// memoryTokens is the memory that an answer may need: the prompt and the hinted length, else the maximum.
func (req *request) memoryTokens() float64 {
	if req.Hint > 0 {
		return req.Prompt + req.Hint
	}
	return req.Prompt + req.MaxOut
}

// book counts the request's tokens at a writer, once.
func (req *request) book(srv *server, now Millis) {
	req.unbook(srv)
	srv.streams, req.bookedAt = append(srv.streams, req), now
}

func (req *request) unbook(srv *server) {
	srv.streams = slices.DeleteFunc(srv.streams, func(o *request) bool { return o == req })
}

func (req *request) forgetPlace() {
	if req.placeWriter != nil {
		req.unbook(req.placeWriter)
		req.placeWriter = nil
	}
}

// learnPace learns the best pace from a read of so many tokens that were not cached.
func (r *Router) learnPace(uncached float64, elapsed Millis) {
	if uncached < 1 {
		return
	}
	if pace := math.Max(float64(elapsed), 1) / uncached; r.bestPace == 0 || pace < r.bestPace {
		r.bestPace = pace
	}
	r.bestPace *= bestPaceDrift
	r.unqueuedReadTime.learnTime(r.now, Millis(uncached*r.bestPace))
}

// learnReport learns a server's memory share, and a writer's memory size, from a load report.
func (r *Router) learnReport(srv *server, ev Ended) {
	if !ev.Reported || srv.role == Reader {
		return
	}
	booked := 0.0
	for _, req := range srv.streams {
		booked += req.memoryTokens()
	}
	if estimate := booked * float64(r.settings.Routers) / ev.Memory; ev.Memory > headroomBand && booked > 0 {
		srv.memoryTokens += memorySizeGain / float64(r.settings.Routers) * (estimate - srv.memoryTokens)
	}
	r.meanShare += minMeanGain * (ev.Memory - r.meanShare)
	srv.memoryShare, srv.reportedAt = ev.Memory, r.now
}

// recordFailure penalizes a server. Fast failures show its health, not a lack of capacity: counted apart too.
func (r *Router) recordFailure(srv *server, fast bool) {
	if fast {
		srv.fastPenalty = decayingValue{math.Min(r.fastPenaltyOf(srv)+1, maxPenalty), r.now}
	}
	srv.penalty = decayingValue{math.Min(r.penaltyOf(srv)+1, maxPenalty), r.now}
}

// recordSuccess reduces a server's penalty and adds one for lateness, a share of the target latency: servers
// may become slower by load that is not in this router's books.
func (r *Router) recordSuccess(srv *server, lateness Millis) {
	if r.now-srv.lastConnectedAt > r.settings.ConnIdle {
		r.recordDial(0)
	}
	srv.lastConnectedAt = r.now
	srv.fastPenalty = decayingValue{r.fastPenaltyOf(srv) * penaltyAfterSuccess, r.now}
	srv.penalty = decayingValue{
		r.penaltyOf(srv)*penaltyAfterSuccess + latenessPenalty*math.Max(float64(lateness), 0), r.now}
}

// recordDial counts a new connection, 1 if it failed, else 0. Guards against slow connection setup at healthy
// servers, when most dials fail. Where servers are down most dials succeed, and preferring open connections
// would overload the servers that have them.
func (r *Router) recordDial(failed float64) {
	r.dialFailures.average(r.now, rejectionWindows*r.rateWindow(), failed)
}

// penaltyOf returns a server's penalty, decayed to now.
func (r *Router) penaltyOf(srv *server) float64 {
	if srv.penalty.value == 0 {
		return 0
	}
	return srv.penalty.decayed(r.now, max(penaltyDecayMs, r.rateWindow()))
}

func (r *Router) fastPenaltyOf(srv *server) float64 {
	return srv.fastPenalty.decayed(r.now, max(penaltyDecayMs, r.rateWindow()))
}

// mayRepeat limits repeats at a server to a share of recent first sends. Guards against retry storms that
// keep slow servers down. Drawback: with few requests and one server in two failing, some are refused.
func (r *Router) mayRepeat(srv *server, req *request) bool {
	if r.settings.RepeatPart <= 0 || !req.isRepeat {
		return true
	}
	window := r.rateWindow()
	return srv.repeats.decayed(r.now, window) < 1+r.settings.RepeatPart*srv.firstSends.decayed(r.now, window)
}

// rateWindow is the span of own observations: long enough, at this request rate, for minSamples of them.
// Guards against reading a rate or a trend from one event, where many routers see little each.
func (r *Router) rateWindow() Millis {
	return min(max(minWindowMs, minSamples*(r.now-r.startedAt)/Millis(math.Max(r.arrivals, 1))), maxWindowMs)
}

func (val *decayingValue) increment(now, decayTime Millis) {
	val.value, val.at = val.decayed(now, decayTime)+1, now
}

// average adds a sample of 0 or 1 to a decaying share.
func (val *decayingValue) average(now, decayTime Millis, sample float64) {
	val.value, val.at = (1-shareGain)*val.decayed(now, decayTime)+shareGain*sample, now
}

// perSecond returns the rate of a decaying count; it starts low.
func (val *decayingValue) perSecond(now, decayTime Millis) float64 {
	return val.decayed(now, decayTime) / float64(decayTime) * 1000
}

// rememberRead records a session's reader and its prefix; past maxTrackedKeys, all records are cleared first.
func (r *Router) rememberRead(req *request, srv *server) {
	if max(len(r.lastTurns), len(r.prefixCounts), len(r.cachedPrefixes)) >= maxTrackedKeys {
		clear(r.lastTurns)
		clear(r.prefixCounts)
		clear(r.cachedPrefixes)
	}
	if req.Session != 0 {
		r.lastTurns[req.Session] = lastTurn{srv, req.Prompt, r.now}
	}
	if req.Prefix != 0 {
		r.cachedPrefixes[cachedPrefix{req.Prefix, srv}] = r.now
	}
	count := r.prefixCounts[req.Prefix]
	count.increment(r.now, maxCountWindowMs)
	r.prefixCounts[req.Prefix] = count
	r.readCount.increment(r.now, maxCountWindowMs)
}

// View returns the servers in order of id, as the router sees them at time now. It changes nothing.
func (r *Router) View(now Millis) []View {
	savedNow := r.now
	defer func() { r.now = savedNow }()
	r.now = max(savedNow, now)
	list := make([]View, 0, len(r.listed))
	for _, srv := range r.listed {
		view := View{Server: srv.Server, Role: srv.role, Charge: r.penaltyOf(srv), Backlog: srv.inFlightPrice,
			Holds: len(srv.streams), Memory: srv.memoryShare, Heard: srv.reportedAt}
		req := &request{settings: r.settings, aim: r.settings.Classes[0].Aim} // headroom is a request's
		req.Budget = req.aim
		if view.Freeness = r.readerHeadroom(srv, req); srv.role == Writer {
			view.Freeness = r.writerHeadroom(srv, req)
		} else if srv.role == Mixed {
			view.Freeness = math.Min(view.Freeness, r.writerHeadroom(srv, req))
		}
		list = append(list, view)
	}
	return list
}
