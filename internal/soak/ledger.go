package soak

import (
	"slices"
	"sync"
	"time"
)

// Ledger keeps what clients, workers and discovery saw, by monotonic times since
// the run's start. Its methods may be called from anywhere.
type Ledger struct {
	start time.Time
	terms Terms

	breaksStreams bool // a trouble of the plan may break streams
	strict        bool // what is excused as a known failure is judged too
	countsAtAgent bool // a change counts as told once the agent has it, not as it is written

	mu       sync.Mutex
	requests map[string]*request
	served   map[string]*serverLife // by worker and life
	told     map[toldKey]time.Duration
	starts   map[startKey]time.Duration
	lives    []*routerLife
	cuts     []*cut
	mutes    map[string]*mutedLink // by the address that the worker sees
	late     time.Duration         // sum by which this process's timers went off late
	latest   time.Duration         // the most at once
	breaks   []Break
	releases int // calls that let go of what is held
	lateRuns int // keyed requests that ran again behind their window, in an attempt that waited in the socket of a worker that hung
	turned   int // connections that workers which hold too many have reset
	wentOn   int // attempts that went on for the pin limit at least behind a close that was lost
}

// Break is a promise that was not kept.
type Break struct {
	Invariant string
	Detail    string
	At        time.Duration
}

// Effect is what running a request twice does.
type Effect int

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// request is one request's story.
type request struct {
	id       string
	effect   Effect
	router   int
	life     int // of the router, as the request was written
	sentAt   time.Duration
	deadline time.Duration // from sentAt
	leftAt   time.Duration // 0: its client stayed
	end      ending
	endAt    time.Duration
	status   int
	arrived  []arrival
	heldAt   time.Duration // since when something is held with no attempt out; 0: nothing is
	stateAt  string        // where the state of its prompt waits; "": there is none
	placeAt  string        // where a place is held for it
	out      int
}

// ending is how a request ended for its client.
type ending int

const (
	open       ending = iota
	answered          // an answer without a stream, whole
	streamed          // a stream to its last chunk
	streamCut         // a stream that ended without it
	closedOn          // the connection ended before any byte of an answer
	garbled           // what came can't be an answer
	timedOut          // nothing came for long after the deadline
	notTaken          // the connection was refused, or closed before the request was written
	clientLeft        // its client left
)

// arrival is an attempt that reached a worker.
type arrival struct {
	worker    string
	reads     bool
	at        time.Duration
	over      time.Duration // 0: it is out
	toldMS    int64
	transit   time.Duration // for which it may have been on its way
	ran       bool          // it may have had its effect
	neverRan  bool          // the worker said so
	wroteLast bool          // its stream was written to its end
	fetched   bool          // a write that has passed its writer's queue: it waits for the state no more
	conn      string        // its connection, as the worker sees it
	voided    bool          // a read beside which all was let go: it leaves no state
	lateBegun bool          // it waited in the socket of a worker that hung
}

// serverLife is a worker from one start to the next.
type serverLife struct {
	worker string
	reads  bool
	bootAt time.Duration // negative: long ago
	boot   int64         // as it is told; 0: long ago
	calls  []call
}

// call is an attempt that reached a server.
type call struct {
	at           time.Duration
	router, life int
}

// startKey is a server's start as a router's process was told it.
type startKey struct {
	toldKey
	boot int64
}

type toldKey struct {
	router, life int
	worker       string
}

// routerLife is a router's process from its start to its end.
type routerLife struct {
	router, life int
	startedAt    time.Duration
	readyAt      time.Duration // 0: it never was
	termAt       time.Duration // 0: none
	killAt       time.Duration // 0: none
	endedAt      time.Duration
	crashed      string
	violations   []string // told in its own log
}

// NewLedger returns a ledger whose times start now, for a run by a plan.
func NewLedger(plan Plan) *Ledger {
	breaks := slices.ContainsFunc(plan.Troubles, func(t Trouble) bool { return !slices.Contains(harmless, t.Kind) })
	// Where a router is led to another agent, its agent is slow or its calls fail, it can't have what its agent has at once.
	late := slices.ContainsFunc(plan.Troubles, func(t Trouble) bool {
		return slices.Contains([]Kind{Reload, HalfFile, Signals, AgentSlow, Calls, Files}, t.Kind)
	})
	terms := NewTerms(plan.Seed)
	return &Ledger{terms: terms, breaksStreams: breaks, countsAtAgent: !late && !terms.Asked, start: time.Now(), requests: map[string]*request{}, served: map[string]*serverLife{}, told: map[toldKey]time.Duration{},
		starts: map[startKey]time.Duration{}, mutes: map[string]*mutedLink{}}
}

// harmless are the kinds of trouble that break no stream.
var harmless = []Kind{Reload, HalfFile, AgentMute, AgentReset, AgentSlow, Drain, Leave, Flood, Idle, Freeze, Clock, Files, Stop}

// Now is the time since the run's start.
func (l *Ledger) Now() time.Duration { return time.Since(l.start) }

// Break notes a promise that was seen not to be kept.
func (l *Ledger) Break(invariant, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakLocked(invariant, detail)
}

func (l *Ledger) breakLocked(invariant, detail string) {
	l.breaks = append(l.breaks, Break{invariant, detail, l.Now()})
}

// lateTick is how often this process looks whether it is late.
const lateTick = 5 * time.Millisecond

// measure sums up by how much timers go off late until stop closes: the measure
// of a machine that is too busy to judge by.
func (l *Ledger) measure(stop <-chan struct{}) {
	for {
		due := time.Now().Add(lateTick)
		select {
		case <-time.After(lateTick):
		case <-stop:
			return
		}
		by := max(time.Since(due), 0)
		l.mu.Lock()
		l.late += by
		l.latest = max(l.latest, by)
		l.mu.Unlock()
	}
}

// mostLate is a lateness at once above which a run judges nothing: it is played again.
const mostLate = 60 * time.Millisecond

// hops are the times that what passes between a router and a worker waits for this
// process: at the proxy, at the worker, and the same way back.
const hops = 4

// slack is what the machine's lateness allows to every bound.
func (l *Ledger) slack() time.Duration { return hops * l.latest }

// written notes that a client has written a request whole.
func (l *Ledger) written(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.sentAt = l.Now()
	l.requests[q.id] = q
}

// ended notes how a request ended for its client.
func (l *Ledger) ended(q *request, how ending, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.end, q.endAt, q.status = how, l.Now(), status
}

// left notes that a client is about to close its connection.
func (l *Ledger) left(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.leftAt, q.end = l.Now(), clientLeft
}

// begin notes an attempt that has arrived whole, and returns its number.
func (l *Ledger) begin(id string, a arrival, life *serverLife) (n int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		l.breakLocked("unknown", "an attempt for "+id+", which no client sent")
		return 0, false
	}
	a.at = l.Now()
	life.calls = append(life.calls, call{a.at, q.router, q.life})
	l.unpin(q, "an attempt at "+a.worker)
	l.judgeDrain(q, a)
	q.arrived = append(q.arrived, a)
	q.out++
	return len(q.arrived) - 1, true
}

// over notes how an attempt ended, as its worker sees it.
func (l *Ledger) over(id string, n int, change func(*arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	a := &q.arrived[n]
	change(a)
	a.over = l.Now()
	q.out--
	if link := l.mutes[a.conn]; link != nil && link.closed != 0 && a.over > link.closed+l.terms.Pin {
		l.wentOn++
	}
	if q.out == 0 && q.held() {
		q.heldAt = a.over
	}
}

// turnAway notes a connection that a worker which holds too many has reset.
func (l *Ledger) turnAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turned++
}

// hasAsked tells whether an attempt of a router's process has arrived.
func (l *Ledger) hasAsked(router, life int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.requests {
		if q.router == router && q.life == life && len(q.arrived) > 0 {
			return true
		}
	}
	return false
}

// ran notes that an attempt may have had its effect.
func (l *Ledger) ran(id string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].arrived[n].ran = true
}

// notifyStart notes that a router's process has been told a server's start. The first time counts.
func (l *Ledger) notifyStart(router, life int, worker string, boot int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := startKey{toldKey{router, life, worker}, boot}
	if _, ok := l.starts[key]; !ok {
		l.starts[key] = l.Now()
	}
}

// notify notes that a router has been told whether a worker takes new work. Of
// several words in a row that it does not, the first counts.
func (l *Ledger) notify(router, life int, worker string, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := toldKey{router, life, worker}
	if serving {
		delete(l.told, key)
	} else if _, ok := l.told[key]; !ok {
		l.told[key] = l.Now()
	}
}
