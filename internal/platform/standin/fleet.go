// Package standin is a stand-in for the users' platform on loopback, for tests: the
// discovery agent, readers and writers with their states and places, and faults
// injected on command. It uses net/http, so that it shares no parser with the router,
// and records violations of the platform's rules as seen from the workers' side.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The kinds of workers: readers are of kind Prompt, writers of kind Answer.
const (
	Prompt = "prompt"
	Answer = "answer"
)

// Unsafe is the prefix of ids of requests that must not run twice.
const Unsafe = "u-"

// Settings is the settings object for routers on the stand-in platform.
const Settings = `{"ceilings":{"cancel":true,"connIdleMs":30000,"dialTimeoutMs":250,"maxAttempts":4,"maxRetryAfterMs":500,"retryAfter":true},
"classes":[{"aimMs":1500,"effect":"pure","importance":3,"name":"question","streamed":true,"deadlineMs":6000},
{"aimMs":2500,"effect":"side_effect","importance":2,"name":"adjustment","streamed":true,"deadlineMs":12000}],
"discovery":"automatic","domain":{"holdsAllowed":true,"kindRole":["read","write"],"pinLimitMs":500,"resume":true,"tokensByKind":[200000,200000]},
"guarantees":{"coldFrom":0.3,"overloadFactor":3,"warmAfterMs":10000},"kinds":["prompt","answer"],"peersTotal":1,"quantumMs":4,
"report":{"fields":[]},"tenants":[],"zones":["north"]}`

// Script describes how a worker answers one request.
type Script struct {
	Delay           time.Duration // before it answers
	Until           chan struct{} // if not nil, it answers once this is closed
	Status          int           // sent instead of a state or stream; 0: none
	NotProcessed    bool          // with Status: tell that the request never ran
	Raw             string        // written instead of the answer; the connection stays open
	Disconnect      bool          // close the connection instead of answering
	Step            chan struct{} // if not nil, each event is written after a receive from it
	Events          int           // number of events of the stream; 0: three
	RawAfter        string        // written raw after the events; the stream stays open
	RawBefore       string        // written raw before the answer
	RawTail         string        // written raw after the last chunk
	EventGap        time.Duration // between two events
	DisconnectAfter bool          // close the connection after the events

	Freeze bool // the worker freezes with the attempt in its queue (see Worker.Freeze)
}

// Fleet is the stand-in platform. Its methods are safe for concurrent use.
type Fleet struct {
	agent *httptest.Server

	mu            sync.Mutex
	listChanged   chan struct{} // closed and replaced at each change of the list
	rev           int64         // of the list
	workers       []*Worker
	muted         bool                 // discovery does not answer
	states        map[string]string    // by request: UID of the worker that has its state
	places        map[string]string    // by request: UID of the worker that holds a place for it
	inFlight      map[string]int       // by request: attempts in flight
	readsInFlight map[string]int       // of these, the reads
	queuedWrites  map[string]int       // of these, the writes in a writer's queue, which have not fetched the state yet
	started       map[string][]*Worker // by request: workers that started an attempt of it
	idle          map[string]idleSince // by request: since when no attempt is in flight
	executions    map[string]int       // by request: attempts at writers that may have run
	bodies        map[string]string    // by request: target and body, the same for all attempts
	violations    []string
	closed        chan struct{}
	lateness      atomic.Int64 // ns by which timers of this process were late, in total

	closeDelay     time.Duration               // after which a worker observes that a connection was closed
	unsafeAttempts map[string][]*unsafeAttempt // by request
	discardedReads map[string]bool             // requests with a read in flight whose state was released meanwhile: the read leaves none
	denyUnknown    bool                        // hold no place for a read that is not known
}

// idleSince records when the last attempt of a request ended, and the lateness of the process at that time.
type idleSince struct {
	at       time.Time
	lateness time.Duration
}

// Worker is a worker of the stand-in platform.
type Worker struct {
	UID, Kind       string
	fleet           *Fleet
	server          *httptest.Server
	state           string // in the list: SERVING, DRAINING or DELETED
	boot            int64  // start time in Unix ms; 0: long ago
	rev             int64  // of the list when the state last changed
	script          func(n int, id string) Script
	onStreamEnd     func(id string) // called after a stream is written completely
	frozen          chan struct{}   // closed at the thaw; nil: not frozen
	resetOnThaw     bool            // reset connections that got data while the worker was frozen
	Requests        int             // calls received; guarded by the fleet's lock, as the fields below
	Holds           int
	Releases        int
	Timeouts        []string      // X-Timeout-Ms of the requests received
	ReceivedHeaders []http.Header // of the requests received, including Host
}

// New starts a platform without workers, with a discovery agent.
func New() *Fleet {
	f := &Fleet{listChanged: make(chan struct{}), rev: 1, states: map[string]string{}, places: map[string]string{},
		inFlight: map[string]int{}, readsInFlight: map[string]int{}, started: map[string][]*Worker{}, queuedWrites: map[string]int{}, idle: map[string]idleSince{}, executions: map[string]int{}, bodies: map[string]string{}, closed: make(chan struct{}), unsafeAttempts: map[string][]*unsafeAttempt{}, discardedReads: map[string]bool{}}
	f.agent = httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	go f.measureLateness()
	return f
}

// NewAgent starts another discovery agent, which serves the same list at another address.
func (f *Fleet) NewAgent() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
}

// Addr returns the address of the discovery agent.
func (f *Fleet) Addr() string { return f.agent.Listener.Addr().String() }

// Close stops the agent and all workers.
func (f *Fleet) Close() {
	close(f.closed)
	f.agent.CloseClientConnections()
	f.agent.Close()
	for _, w := range f.workers {
		w.server.CloseClientConnections()
		w.server.Close()
	}
}

// Add starts a worker. script returns how it answers its nth request, counted from 0; nil: normally.
func (f *Fleet) Add(kind string, script func(n int, id string) Script) *Worker {
	if script == nil {
		script = func(int, string) Script { return Script{} }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{UID: fmt.Sprintf("s-%d", len(f.workers)), Kind: kind, fleet: f, script: script}
	w.server = httptest.NewServer(w)
	f.workers = append(f.workers, w)
	f.setState(w, "SERVING")
	return w
}

// AddSilent starts a worker whose machine is cut off: connections are established,
// but nothing written to them arrives.
func (f *Fleet) AddSilent(kind string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{UID: fmt.Sprintf("s-%d", len(f.workers)), Kind: kind, fleet: f}
	w.server = httptest.NewUnstartedServer(w)
	w.server.Listener = &silentListener{w.server.Listener}
	w.server.Start()
	f.workers = append(f.workers, w)
	f.setState(w, "SERVING")
	return w
}

// silentListener accepts connections and reads nothing from them.
type silentListener struct{ net.Listener }

func (l *silentListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: nc, closed: make(chan struct{})}, nil
}

type silentConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Set changes a worker's state in the list and notifies discovery's callers.
func (f *Fleet) Set(w *Worker, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setState(w, state)
}

func (f *Fleet) setState(w *Worker, state string) {
	f.rev++
	w.state, w.rev = state, f.rev
	close(f.listChanged)
	f.listChanged = make(chan struct{})
}

// SetMuted makes discovery stop answering, or answer again.
func (f *Fleet) SetMuted(muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muted = muted
}

// Kill closes a worker's listener and connections, as the end of its process does.
func (w *Worker) Kill() {
	w.server.Listener.Close()
	w.server.CloseClientConnections()
}

// Addr returns the address where a worker listens.
func (w *Worker) Addr() string { return w.server.Listener.Addr().String() }

// Count returns the numbers of requests, of calls for holds and of releases that a worker got.
func (w *Worker) Count() (requests, holds, releases int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.Requests, w.Holds, w.Releases
}

// OnStreamEnd sets a function that is called after the worker has written a stream completely.
func (w *Worker) OnStreamEnd(call func(id string)) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.onStreamEnd = call
}

// RequestHeaders returns the header fields of the requests that a worker got.
func (w *Worker) RequestHeaders() []http.Header {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return slices.Clone(w.ReceivedHeaders)
}

// Held lists the states and places that are still held.
func (f *Fleet) Held() (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.states {
		list = append(list, "state of "+id)
	}
	for id := range f.places {
		list = append(list, "place of "+id)
	}
	slices.Sort(list)
	return list
}

// Started reports whether a worker has started an attempt of a request.
func (f *Fleet) Started(id string, w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.started[id], w)
}

// WriteQueued reports whether a write of a request waits in a writer's queue.
func (f *Fleet) WriteQueued(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queuedWrites[id] > 0
}

// Violations lists the violations of the platform's rules.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Executions returns the number of attempts of a request at writers that may have run.
func (f *Fleet) Executions(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[id]
}

// KnownList returns the list of workers in the format of configuration files.
func (f *Fleet) KnownList() json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := json.Marshal(f.list(-1))
	return text
}

// Config returns a configuration file for a router that listens at an address. change, if not nil, edits it.
func (f *Fleet) Config(listen string, change func(map[string]any)) []byte {
	c := map[string]any{"name": "n0", "listen": listen, "discovery": f.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 256}, "known": f.KnownList(),
		"settings": json.RawMessage(Settings)}
	if change != nil {
		change(c)
	}
	text, _ := json.Marshal(c)
	return text
}

func (f *Fleet) list(since int64) map[string]any {
	targets := []map[string]any{}
	for _, w := range f.workers {
		if since < 0 && w.state == "DELETED" || w.rev <= since {
			continue
		}
		targets = append(targets, map[string]any{"uid": w.UID, "endpoint": w.Addr(), "az": "north",
			"model": w.Kind, "pod_group": 0, "state": w.state, "capacity_hint": 1.0, "boot_ms": w.boot})
	}
	return map[string]any{"rev": f.rev, "all": since < 0, "targets": targets}
}

// serveDiscovery answers long polls as the discovery agent does.
func (f *Fleet) serveDiscovery(rw http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	ms, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		f.mu.Lock()
		list, changed, muted, news := f.list(since), f.listChanged, f.muted, f.rev > since
		f.mu.Unlock()
		if !muted && (expired || news) {
			json.NewEncoder(rw).Encode(list)
			return
		}
		timer := timeout.C
		if muted || expired {
			timer = nil
		}
		select {
		case <-changed:
		case <-timer:
			expired = true
		case <-f.closed:
			return
		case <-req.Context().Done():
			return
		}
	}
}

// beginAttempt records the start of an attempt, endAttempt its end. While one is in flight, what the request holds does
// not count as pinned.
func (f *Fleet) beginAttempt(w *Worker, id, body string, isRead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.bodies[id]; ok && old != body {
		f.violations = append(f.violations, "the body of "+id+" changed")
	}
	f.bodies[id] = body
	f.checkPinned(id)
	f.started[id] = append(f.started[id], w)
	f.inFlight[id]++
	if isRead {
		f.readsInFlight[id]++
		delete(f.discardedReads, id)
	} else {
		f.queuedWrites[id]++
	}
}

func (f *Fleet) endAttempt(id string, isRead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isRead {
		f.readsInFlight[id]--
	} else if f.queuedWrites[id] > 0 {
		f.queuedWrites[id]--
	}
	if f.inFlight[id]--; f.inFlight[id] == 0 {
		f.idle[id] = idleSince{time.Now(), f.Lateness()}
	}
}

// unsafeAttempt is an attempt of a request that must not run twice. It is kept until its worker has observed its end.
type unsafeAttempt struct {
	worker   *Worker
	closedAt time.Time // when the router closed its connection; zero: open
}

// beginUnsafe records the start of an attempt of a request that must not run twice. It is a violation if an earlier
// attempt is in flight, which it is until its worker has observed its close. end records the end of the attempt.
func (f *Fleet) beginUnsafe(w *Worker, id string, req *http.Request) (end func()) {
	if !isUnsafe(id) || req.Context().Err() != nil {
		return func() {}
	}
	current := &unsafeAttempt{worker: w}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, earlier := range f.unsafeAttempts[id] {
		if earlier.closedAt.IsZero() || time.Since(earlier.closedAt) < f.closeDelay {
			f.violations = append(f.violations, fmt.Sprintf("%s began at %s while an attempt at %s was in flight", id, w.UID, earlier.worker.UID))
		}
	}
	f.unsafeAttempts[id] = append(f.unsafeAttempts[id], current)
	stop := context.AfterFunc(req.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		current.closedAt = time.Now()
	})
	return func() {
		stop()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unsafeAttempts[id] = slices.DeleteFunc(f.unsafeAttempts[id], func(o *unsafeAttempt) bool { return o == current })
	}
}

// SetCloseDelay makes workers observe a closed connection only after a delay, as when the bytes of another
// connection overtake the close.
func (f *Fleet) SetCloseDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeDelay = delay
}

// awaitCloseObserved waits out the close delay if the connection of an attempt was closed.
func (f *Fleet) awaitCloseObserved(req *http.Request) {
	if req.Context().Err() == nil {
		return
	}
	f.mu.Lock()
	delay := f.closeDelay
	f.mu.Unlock()
	time.Sleep(delay)
}

// storeState records that a read has left its state at the reader, or at the worker that holds a place for it.
func (f *Fleet) storeState(id string, w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discardedReads[id] {
		delete(f.discardedReads, id)
		return
	}
	f.states[id] = w.UID
	if place := f.places[id]; place != "" {
		f.states[id] = place
	}
}

// fetchState moves a request's state to a writer when the write leaves its queue. It returns false if there is no state
// or another writer has it.
func (f *Fleet) fetchState(id string, w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queuedWrites[id] > 0 {
		f.queuedWrites[id]--
	}
	holder, ok := f.states[id]
	if !ok || holder != w.UID && f.kindOf(holder) == Answer {
		return false
	}
	delete(f.states, id)
	delete(f.places, id)
	return true
}

func (f *Fleet) kindOf(uid string) string {
	for _, w := range f.workers {
		if w.UID == uid {
			return w.Kind
		}
	}
	return ""
}

// release releases everything held for a request but what an attempt waits for: a queued write waits for the state and
// the place, a read for the place that is to receive its state. The state that a read in flight would leave is
// released too, as on the platform.
func (f *Fleet) release(id string) {
	if f.queuedWrites[id] > 0 {
		return
	}
	f.checkPinned(id)
	delete(f.states, id)
	if f.readsInFlight[id] == 0 {
		delete(f.places, id)
	} else {
		f.discardedReads[id] = true
	}
}

// reservePlace holds a place for a request at a worker, in place of another worker's. If no attempt is in flight, the
// time that it is pinned starts.
func (f *Fleet) reservePlace(id string, w *Worker) {
	f.places[id] = w.UID
	if _, idle := f.idle[id]; !idle && f.inFlight[id] == 0 {
		f.idle[id] = idleSince{time.Now(), f.Lateness()}
	}
}

// DenyUnknown makes workers hold no place for a read that is not known.
func (f *Fleet) DenyUnknown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.denyUnknown = true
}

// maxPinned is the settings' pin limit, 500 ms, plus 300 ms for delays of sockets.
const maxPinned = 800 * time.Millisecond

// latenessInterval is the period of the timer that measures lateness.
const latenessInterval = 5 * time.Millisecond

// measureLateness sums up how late timers of this process fire: in that time a router
// in the same process could not run either.
func (f *Fleet) measureLateness() {
	for due := time.Now().Add(latenessInterval); ; due = time.Now().Add(latenessInterval) {
		select {
		case <-time.After(time.Until(due)):
			f.lateness.Add(int64(max(time.Since(due)-latenessInterval, 0)))
		case <-f.closed:
			return
		}
	}
}

// Lateness returns the total time by which timers of this process have been late so far.
func (f *Fleet) Lateness() time.Duration { return time.Duration(f.lateness.Load()) }

func (f *Fleet) checkPinned(id string) {
	held := f.states[id] != "" || f.places[id] != ""
	if idle, ok := f.idle[id]; ok && held && f.inFlight[id] == 0 {
		// On a busy machine this process is late, and so is the router in it.
		if lateness := f.Lateness() - idle.lateness; time.Since(idle.at)-lateness > maxPinned {
			f.violations = append(f.violations, fmt.Sprintf("%s was pinned for %v; timers of the process were late for %v of it", id, time.Since(idle.at), lateness))
		}
	}
	delete(f.idle, id)
}

func isUnsafe(id string) bool { return strings.HasPrefix(id, Unsafe) }

// awaitDisconnect waits until the router closes the connection.
func awaitDisconnect(nc net.Conn) {
	var b [1]byte
	for {
		if _, err := nc.Read(b[:]); err != nil {
			return
		}
	}
}
