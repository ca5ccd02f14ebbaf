// Package workers is the way out to the platform's workers: requests passed on
// as they came, places and releases by the request's own id, over pooled
// connections. It carries out one attempt and tells how it ended; it decides
// nothing and sends nothing again.
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

// HoldsPath is where places are asked for and let go, followed by the request's id.
const HoldsPath = "/v1/holds/"

// Bounds of an answer.
const (
	maxChunk     = 64 << 10 // bytes of one chunk of a stream
	maxAnswer    = 64 << 10 // bytes of an answer that is no stream
	maxInterim   = 8        // 1xx answers ahead of the answer
	headTimeout  = time.Second
	headCapacity = 256
)

// worker is what is known of one.
type worker struct {
	addr       string
	boot       float64
	draining   bool      // nothing new may begin
	heard      time.Time // when it last answered anything
	asked      time.Time // when the last call was sent that it has answered,
	askedHeard time.Time // and when it was answered
	missed     time.Time // when it last failed to take a release
	redial     redial
	answers    answerLog
	stats      Stats
}

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	pool      pool
	lim       *atomic.Pointer[Limits]
	mu        sync.Mutex
	byID      map[string]*worker
	heardLast string           // the worker that answered last; guarded by mu
	reuse     connreuse.Policy // guarded by mu
	from      time.Time
	stop      chan struct{}
	wg        sync.WaitGroup

	traffic traffic
	monitor *guard.Monitor // counts what may not be written
}

// New returns a client; Close ends it. The monitor may be nil.
func New(lim Limits, monitor *guard.Monitor) *Client {
	c := &Client{monitor: monitor, lim: &atomic.Pointer[Limits]{}, byID: map[string]*worker{}, from: time.Now(), stop: make(chan struct{})}
	c.pool = pool{lim: c.lim, room: room{lookAgain: lookAgain}, idle: connpool.NewIdle(lim.Idle, lim.ReuseDelay, lim.IdlePerWorker)}
	c.lim.Store(&lim)
	c.wg.Go(func() { c.pool.idle.Run(max(lim.Idle/8, 100*time.Millisecond), c.stop) })
	return c
}

// Reconfigure sets the limits of what begins from now on.
func (c *Client) Reconfigure(lim Limits) {
	c.lim.Store(&lim)
	c.pool.idle.SetLimits(lim.Idle, lim.ReuseDelay, lim.IdlePerWorker)
}

// Close closes unused connections; those in use close when their attempts end.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
	c.pool.idle.Close()
}

// Worker is a worker's address, as discovery has it.
type Worker struct {
	ID, Addr string
	Boot     float64
	Draining bool
	Removed  bool
}

// Update takes news of the list; whole tells that who is not in it is gone.
// Connections to one that moved, restarted or went are of no more use.
func (c *Client) Update(whole bool, list []Worker) {
	if !whole && len(list) == 0 {
		return
	}
	if left := c.relist(whole, list); len(left) > 0 {
		c.pool.idle.Sweep(func(addr string) bool { return left[addr] })
	}
}

// relist takes news of the list, and returns the addresses whose connections lead to nobody that is listed.
func (c *Client) relist(whole bool, list []Worker) (left map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left = map[string]bool{}
	fresh := map[*worker]bool{} // listed for the first time, moved or started again
	old := c.byID
	if whole {
		c.byID = make(map[string]*worker, len(list))
		for _, w := range old {
			left[w.addr] = true
		}
	}
	for _, w := range list {
		o := old[w.ID]
		if !w.Removed && o != nil && o.addr == w.Addr && o.boot == w.Boot {
			c.byID[w.ID] = o
			o.draining = w.Draining
			continue
		}
		if o != nil {
			left[o.addr] = true
		}
		delete(c.byID, w.ID)
		if !w.Removed {
			c.byID[w.ID] = &worker{addr: w.Addr, boot: w.Boot, draining: w.Draining}
			fresh[c.byID[w.ID]] = true
		}
	}
	if len(left) == 0 {
		return nil
	}
	for _, w := range c.byID { // an address may be another's by now
		if !fresh[w] {
			delete(left, w.addr)
		}
	}
	return left
}

func (c *Client) addr(id string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.addr, nil
	}
	return "", attempt.NotSent{Err: fmt.Errorf("worker %s is not listed", id)}
}

// Read has a prompt read by a reader, whose state then waits there.
func (c *Client) Read(ctx context.Context, call *attempt.Call) attempt.Result {
	return c.counted(call, func() attempt.Result { return c.read(ctx, call) })
}

func (c *Client) read(ctx context.Context, call *attempt.Call) attempt.Result {
	from := time.Now()
	x, err := c.open(ctx, call.Addr, "POST", call.Path, call)
	if err != nil {
		return failed(ctx, err)
	}
	if x.res.Status != 202 {
		return x.statusResult()
	}
	text, err := x.readAll()
	if err != nil {
		return failed(ctx, err)
	}
	c.took(call.Addr, time.Since(from))
	return attempt.Result{Outcome: gannethook.ReadDone, CachedTokens: cachedTokens(text)}
}

// cachedTokens reads how many tokens of a prompt a reader had kept. What is no such number counts as none.
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

const maxCachedTokens = 1 << 40 // tokens; whoever decides by them bounds them by the prompt

// Do is not part of the platform's protocol.
func (c *Client) Do(context.Context, *attempt.Call) attempt.Result {
	return attempt.Result{Outcome: gannethook.Moot, Detail: "one-stage work is not part of the platform's protocol"}
}

// Write streams an answer. started is called with the first whole event in
// hand; where it says no, the attempt is over. token gets whole events,
// valid during the call, and may say no as well.
func (c *Client) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	return c.counted(call, func() attempt.Result { return c.write(ctx, call, started, token) })
}

func (c *Client) write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	from := time.Now()
	x, err := c.open(ctx, call.Addr, "POST", call.Path, call)
	if err != nil {
		return failed(ctx, err)
	}
	if x.res.Status != 200 {
		return x.statusResult()
	}
	c.took(call.Addr, time.Since(from))
	r := x.stream(ctx, started, token)
	x.close(r.Outcome == gannethook.Served)
	return r
}
