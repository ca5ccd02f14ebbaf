// Package workers is the HTTP/1.1 client for the platform's workers. It forwards
// requests unchanged, and sends place and release requests under the request's own
// id, over pooled connections. A call carries out one attempt and reports how it
// ended; routing and retries are decided by the caller. Only a release is sent to
// several workers.
package workers

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
	"gannethook/internal/connreuse"
	"gannethook/internal/guard"
	"gannethook/internal/jsonscan"
)

// HoldsPath, followed by a request's id, is the path for requesting a place (POST) and for a release (DELETE).
const HoldsPath = "/v1/holds/"

// Bounds of a response and of its head.
const (
	maxChunk            = 64 << 10    // bytes of one chunk of a stream
	maxResponse         = 64 << 10    // bytes of a response that is not a stream
	maxInterimResponses = 8           // 1xx responses before the final one
	headTimeout         = time.Second // from a head's first byte to its end
	headCapacity        = 256         // bytes allocated for a request's head besides its path and header fields
)

// worker is the state kept for a listed worker, from its listing until it moves, restarts or is removed.
type worker struct {
	addr             string
	startTime        float64   // Worker.StartTime: a change means that the worker restarted
	draining         bool      // takes no new work, only releases
	lastAnswer       time.Time // when its last response head arrived
	lastSent         time.Time // when the most recently sent call that it answered was sent,
	lastSentAnswered time.Time // and when it was answered
	releaseFailed    time.Time // when a release sent to it last failed
	redial           redialBackoff
	answerLog        answerLog
	stats            Stats
}

// Client carries out attempts at workers and keeps the connections to them. It is safe for concurrent use.
type Client struct {
	pool         pool
	limits       *atomic.Pointer[Limits]
	mu           sync.Mutex
	byID         map[string]*worker
	lastAnswered string           // the worker that answered last; guarded by mu
	reusePolicy  connreuse.Policy // guarded by mu
	start        time.Time        // origin of reusePolicy's times
	stop         chan struct{}    // closed by Close
	wg           sync.WaitGroup

	traffic traffic
	monitor *guard.Monitor // checks and counts what the guard denies; may be nil
}

// New returns a client; Close ends it. The monitor may be nil.
func New(limits Limits, monitor *guard.Monitor) *Client {
	c := &Client{monitor: monitor, limits: &atomic.Pointer[Limits]{}, byID: map[string]*worker{}, start: time.Now(), stop: make(chan struct{})}
	c.pool = pool{limits: c.limits, conns: connLimiter{recheckInterval: connRecheckInterval}, idle: connpool.NewIdle(limits.Idle, limits.ReuseDelay, limits.IdlePerWorker)}
	c.limits.Store(&limits)
	c.wg.Go(func() { c.pool.idle.Run(max(limits.Idle/8, 100*time.Millisecond), c.stop) })
	return c
}

// Reconfigure sets the limits for attempts and connections that begin from now on.
func (c *Client) Reconfigure(limits Limits) {
	c.limits.Store(&limits)
	c.pool.idle.SetLimits(limits.Idle, limits.ReuseDelay, limits.IdlePerWorker)
}

// Close closes idle connections; those in use are closed when their attempts end.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
	c.pool.idle.Close()
}

// Worker is a worker's entry in the list from discovery.
type Worker struct {
	ID, Addr  string
	StartTime float64 // start time, Unix ms; 0: long ago
	Draining  bool
	Removed   bool // only ID counts
}

// Update applies an update of the worker list; with full set, workers that are not in
// it are removed. Idle connections to workers that moved, restarted or were removed
// are closed.
func (c *Client) Update(full bool, list []Worker) {
	if !full && len(list) == 0 {
		return
	}
	if stale := c.applyUpdate(full, list); len(stale) > 0 {
		c.pool.idle.Sweep(func(addr string) bool { return stale[addr] })
	}
}

// applyUpdate applies an update of the list and returns the stale addresses: their connections lead to no listed worker.
func (c *Client) applyUpdate(full bool, list []Worker) (stale map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stale = map[string]bool{}
	added := map[*worker]bool{} // new to the list, moved or restarted: no connection to them exists yet
	old := c.byID
	if full {
		c.byID = make(map[string]*worker, len(list))
		for _, w := range old {
			stale[w.addr] = true
		}
	}
	for _, w := range list {
		o := old[w.ID]
		if !w.Removed && o != nil && o.addr == w.Addr && o.startTime == w.StartTime {
			c.byID[w.ID] = o
			o.draining = w.Draining
			continue
		}
		if o != nil {
			stale[o.addr] = true
		}
		delete(c.byID, w.ID)
		if !w.Removed {
			c.byID[w.ID] = &worker{addr: w.Addr, startTime: w.StartTime, draining: w.Draining}
			added[c.byID[w.ID]] = true
		}
	}
	if len(stale) == 0 {
		return nil
	}
	for _, w := range c.byID { // an address may belong to another worker by now
		if !added[w] {
			delete(stale, w.addr)
		}
	}
	return stale
}

func (c *Client) addr(id string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.addr, nil
	}
	return "", attempt.NotSent{Err: fmt.Errorf("worker %s is not listed", id)}
}

// Read sends a read (prefill) to a reader, which then holds the request's state.
func (c *Client) Read(ctx context.Context, call *attempt.Call) attempt.Result {
	return c.countAttempt(call, func() attempt.Result { return c.read(ctx, call) })
}

func (c *Client) read(ctx context.Context, call *attempt.Call) attempt.Result {
	from := time.Now()
	x, err := c.open(ctx, call.Addr, "POST", call.Path, call)
	if err != nil {
		return failureResult(ctx, err)
	}
	if x.res.Status != 202 {
		return x.statusResult()
	}
	text, err := x.readAll()
	if err != nil {
		return failureResult(ctx, err)
	}
	c.recordTimeToHead(call.Addr, time.Since(from))
	return attempt.Result{Outcome: gannethook.ReadDone, CachedTokens: cachedTokens(text)}
}

// cachedTokens parses the number of prompt tokens that a reader had cached; a missing or invalid number counts as 0.
func cachedTokens(text []byte) float64 {
	raw, found, err := jsonscan.Find(text, "cached_tokens")
	if err != nil || !found {
		return 0
	}
	n, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || !(n >= 0 && n <= maxCachedTokens) {
		return 0
	}
	return n
}

const maxCachedTokens = 1 << 40 // tokens; the decision module caps the number at the prompt's size

// Do fails: the platform's protocol has no one-stage work.
func (c *Client) Do(context.Context, *attempt.Call) attempt.Result {
	return attempt.Result{Outcome: gannethook.Moot, Detail: "one-stage work is not part of the platform's protocol"}
}

// Write sends a write (decode) and streams its events. started is called once the
// first whole event has arrived; token receives whole events, valid during the call.
// If either returns false, the attempt ends as cancelled.
func (c *Client) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	return c.countAttempt(call, func() attempt.Result { return c.write(ctx, call, started, token) })
}

func (c *Client) write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	from := time.Now()
	x, err := c.open(ctx, call.Addr, "POST", call.Path, call)
	if err != nil {
		return failureResult(ctx, err)
	}
	if x.res.Status != 200 {
		return x.statusResult()
	}
	c.recordTimeToHead(call.Addr, time.Since(from))
	r := x.stream(ctx, started, token)
	x.close(r.Outcome == gannethook.Served)
	return r
}
