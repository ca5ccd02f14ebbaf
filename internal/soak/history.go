package soak

import (
	"slices"
	"sync"
	"time"
)

// History records what clients, workers and discovery observe. Times are monotonic, since the start of the run.
// Methods are safe for concurrent use, except those that are called with mu held.
type History struct {
	start    time.Time
	settings Settings

	mayCutStreams   bool // a fault of the schedule may cut streams
	strict          bool // also check what is excused as a known failure (KNOWN-RED.txt)
	notifiedAtAgent bool // routers count as notified of a change once their agent has it, rather than when its answer is written

	mu              sync.Mutex
	requests        map[string]*request
	servers         map[string]*serverIncarnation // by worker and start
	notServing      map[viewKey]time.Duration     // when a router was notified that a worker takes no new work
	startsNotified  map[startKey]time.Duration    // when a router was notified of a worker's start
	routers         []*routerIncarnation
	outages         []*outage
	silentLinks     map[string]*silentLink // by the address that the worker sees as remote
	totalTimerDelay time.Duration          // sum of the delays of this process's timers
	maxTimerDelay   time.Duration          // the longest single delay
	violations      []Violation
	releases        int // release calls that workers received
	lateKeyedRuns   int // keyed requests that ran again after their key window, in an attempt that waited in the socket of a hanging worker
	rejectedConns   int // connections reset by workers at their connection limit
	outlivedCloses  int // attempts that continued for more than the pin limit after a close that their worker did not observe
}

// Violation is a violation of an invariant.
type Violation struct {
	Invariant string
	Detail    string
	At        time.Duration
}

// Effect is what running a request twice causes.
type Effect int

// The effects.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing within the key window, in which workers recognize the request by its key
	Unsafe               // the effect happens twice
)

// request is what is known of one client request.
type request struct {
	id             string
	effect         Effect
	router         int
	incarnation    int // of the router, when the request was written
	sentAt         time.Duration
	deadline       time.Duration // from sentAt
	disconnectedAt time.Duration // 0: the client stayed connected
	outcome        outcome
	endedAt        time.Duration
	status         int
	attempts       []attempt
	idleHeldSince  time.Duration // since when something is held with no attempt in flight; 0: not the case
	stateWorker    string        // the worker that holds the state of its prompt; "": none
	placeWorker    string        // the worker that holds a place for it; "": none
	inFlight       int
}

// outcome is how a request ended for its client. Violations print its number.
type outcome int

const (
	inProgress         outcome = iota
	plainAnswer                // a complete answer without a stream
	streamCompleted            // a complete stream, with its last chunk
	streamTruncated            // a stream that ended without its last chunk
	closedUnanswered           // the connection was closed before the first byte of an answer
	malformedAnswer            // the received data is no valid answer
	timedOut                   // no answer, or no end of it, within the grace period after the deadline
	notAccepted                // the connection was closed before the request was written
	clientDisconnected         // the client disconnected first
)

// attempt is an attempt that reached a worker.
type attempt struct {
	worker           string
	reads            bool
	arrivedAt        time.Duration
	endedAt          time.Duration // 0: in flight
	timeoutMS        int64
	maxTransit       time.Duration // the longest time that it may have taken to arrive
	mayHaveRun       bool          // its effect may have happened
	notProcessed     bool          // the worker reported so
	streamDone       bool          // its stream was written completely
	passedQueue      bool          // a write that has left its writer's queue, so it no longer waits for the state
	remoteAddr       string        // of its connection, as the worker sees it
	stateReleased    bool          // a read during which everything was released: it leaves no state
	startedAfterHang bool          // it waited in the socket of a hanging worker
}

// serverIncarnation is one run of a worker, from a start to the next.
type serverIncarnation struct {
	worker    string
	reads     bool
	startedAt time.Duration // negative: before the run
	bootMS    int64         // Unix ms, as discovery reports it; 0: before the run
	calls     []workerCall
}

// workerCall is an attempt that reached a worker.
type workerCall struct {
	at                  time.Duration
	router, incarnation int
}

// startKey is a start of a worker as one router process was notified of it.
type startKey struct {
	viewKey
	bootMS int64
}

// viewKey is a worker as one router process knows it.
type viewKey struct {
	router, incarnation int
	worker              string
}

// routerIncarnation is one process of a router.
type routerIncarnation struct {
	router, number   int
	startedAt        time.Duration
	readyAt          time.Duration // 0: it never was ready
	termAt           time.Duration // of SIGTERM; 0: none
	killAt           time.Duration // of SIGKILL; 0: none
	endedAt          time.Duration
	crash            string   // how it ended without being told to; "": it did not
	loggedViolations []string // lines of its own log that report a violation
}

// NewHistory returns the history of a run that starts now and plays a schedule.
func NewHistory(schedule Schedule) *History {
	mayCutStreams := slices.ContainsFunc(schedule.Faults, func(f Fault) bool { return !slices.Contains(streamSafeKinds, f.Kind) })
	// A router that changes its agent, has a slow agent or failing system calls can't receive at once what its agent has.
	delayedUpdates := slices.ContainsFunc(schedule.Faults, func(f Fault) bool {
		return slices.Contains([]FaultKind{Reload, HalfFile, Signals, AgentSlow, Calls, Files}, f.Kind)
	})
	settings := NewSettings(schedule.Seed)
	return &History{settings: settings, mayCutStreams: mayCutStreams, notifiedAtAgent: !delayedUpdates && !settings.Subscribe, start: time.Now(), requests: map[string]*request{}, servers: map[string]*serverIncarnation{}, notServing: map[viewKey]time.Duration{},
		startsNotified: map[startKey]time.Duration{}, silentLinks: map[string]*silentLink{}}
}

// streamSafeKinds are the kinds of fault that cut no streams.
var streamSafeKinds = []FaultKind{Reload, HalfFile, AgentMute, AgentReset, AgentSlow, Drain, Leave, Flood, Idle, Freeze, Clock, Files, Stop}

// Now returns the time since the start of the run.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// RecordViolation records that an invariant was violated.
func (h *History) RecordViolation(invariant, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordViolationLocked(invariant, detail)
}

func (h *History) recordViolationLocked(invariant, detail string) {
	h.violations = append(h.violations, Violation{invariant, detail, h.Now()})
}

// timerCheckInterval is the interval at which the delay of this process's timers is measured.
const timerCheckInterval = 5 * time.Millisecond

// measureTimerDelay measures by how much timers fire late, until stop closes. The delay shows whether the machine is too
// busy to check times.
func (h *History) measureTimerDelay(stop <-chan struct{}) {
	for {
		due := time.Now().Add(timerCheckInterval)
		select {
		case <-time.After(timerCheckInterval):
		case <-stop:
			return
		}
		delay := max(time.Since(due), 0)
		h.mu.Lock()
		h.totalTimerDelay += delay
		h.maxTimerDelay = max(h.maxTimerDelay, delay)
		h.mu.Unlock()
	}
}

// starvedTimerDelay is the single timer delay above which the times of a run can't be checked: the seed is played again.
const starvedTimerDelay = 60 * time.Millisecond

// hops is how often data between a router and a worker waits for this process: at the proxy and at the worker, in each
// direction.
const hops = 4

// slack returns what is added to every time bound because of this machine's timer delays. The caller holds mu.
func (h *History) slack() time.Duration { return hops * h.maxTimerDelay }

// requestSent records that a client writes a request, or has written it completely.
func (h *History) requestSent(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q.sentAt = h.Now()
	h.requests[q.id] = q
}

// requestEnded records how a request ended for its client.
func (h *History) requestEnded(q *request, end outcome, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q.outcome, q.endedAt, q.status = end, h.Now(), status
}

// clientDisconnected records that a client is about to close its connection.
func (h *History) clientDisconnected(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q.disconnectedAt, q.outcome = h.Now(), clientDisconnected
}

// attemptArrived records an attempt that has arrived completely, and returns its number within the request.
func (h *History) attemptArrived(id string, a attempt, server *serverIncarnation) (n int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	if q == nil {
		h.recordViolationLocked("unknown", "an attempt for "+id+", which no client sent")
		return 0, false
	}
	a.arrivedAt = h.Now()
	server.calls = append(server.calls, workerCall{a.arrivedAt, q.router, q.incarnation})
	h.checkPinned(q, "an attempt at "+a.worker)
	h.checkDrain(q, a)
	q.attempts = append(q.attempts, a)
	q.inFlight++
	return len(q.attempts) - 1, true
}

// attemptEnded records the end of an attempt, as its worker sees it; change sets how it ended.
func (h *History) attemptEnded(id string, n int, change func(*attempt)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.requests[id]
	a := &q.attempts[n]
	change(a)
	a.endedAt = h.Now()
	q.inFlight--
	if link := h.silentLinks[a.remoteAddr]; link != nil && link.closedAt != 0 && a.endedAt > link.closedAt+h.settings.PinLimit {
		h.outlivedCloses++
	}
	if q.inFlight == 0 && q.held() {
		q.idleHeldSince = a.endedAt
	}
}

// connRejected records a connection that a worker at its connection limit has reset.
func (h *History) connRejected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedConns++
}

// attemptSeen reports whether an attempt of a router process has arrived.
func (h *History) attemptSeen(router, incarnation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.requests {
		if q.router == router && q.incarnation == incarnation && len(q.attempts) > 0 {
			return true
		}
	}
	return false
}

// attemptRan records that the effect of an attempt may have happened.
func (h *History) attemptRan(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id].attempts[n].mayHaveRun = true
}

// startNotified records that a router process has been notified of a worker's start. The first time counts.
func (h *History) startNotified(router, incarnation int, worker string, bootMS int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := startKey{viewKey{router, incarnation, worker}, bootMS}
	if _, ok := h.startsNotified[key]; !ok {
		h.startsNotified[key] = h.Now()
	}
}

// stateNotified records that a router process has been notified whether a worker takes new work. Of consecutive
// notifications that it does not, the first counts.
func (h *History) stateNotified(router, incarnation int, worker string, serving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := viewKey{router, incarnation, worker}
	if serving {
		delete(h.notServing, key)
	} else if _, ok := h.notServing[key]; !ok {
		h.notServing[key] = h.Now()
	}
}
