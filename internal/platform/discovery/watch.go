package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/faults"
	"gannethook/internal/http1"
)

// Watch polls the discovery agent for updates. Its fields are set before Run.
type Watch struct {
	OnList func(*List) // receives every full list and update, in order, on Run's goroutine
	Log    *zap.Logger
	Rev    int64 // last known revision; negative: none
}

// Timing holds the timeouts of a watch. The platform counts an update as received a
// few seconds after the connection fell silent, or after the wait of a call that got
// no answer. A silent agent is detected after PollWait plus Grace at the latest.
type Timing struct {
	PollWait        time.Duration // how long the agent may hold a call until there is an update
	Grace           time.Duration // timeout for the first byte of a response that is due, and between its parts
	ResponseTimeout time.Duration // from the first byte of a response to its last

	// FirstCallSpread bounds the random delay of the first call, which asks for updates only,
	// if a list is known. Zero: the first call is made at once and asks for the full list.
	FirstCallSpread time.Duration

	RetryDelay, MaxRetryDelay time.Duration // backoff after failed calls: doubled each time, less up to half at random
}

// PushTiming applies where updates are pushed: the agent runs on this machine and
// answers at once, at no cost.
var PushTiming = Timing{PollWait: 1500 * time.Millisecond, Grace: 500 * time.Millisecond, ResponseTimeout: 3 * time.Second,
	RetryDelay: 50 * time.Millisecond, MaxRetryDelay: 400 * time.Millisecond}

// Timing where routers subscribe to updates: each call costs work at a discovery
// service that all routers share, so they call rarely, wait longer and back off. The
// platform counts updates missed by a silent call as received 2 s after its wait;
// pollGrace leaves time for one more call before that.
const (
	pollWaitMin       = 3 * time.Second
	pollWaitMax       = 20 * time.Second
	pollWaitPerRouter = 400 * time.Millisecond // 8 to 50 routers together make 2.5 calls a second
	pollGrace         = 1200 * time.Millisecond

	// Spread of the first calls after a simultaneous start of the fleet, and of those
	// to a new address. The platform counts the list as received 10 s after a start
	// and 4 s after SIGHUP.
	firstCallPerRouter = 200 * time.Millisecond
	maxFirstCallSpread = 8 * time.Second
	maxSwitchSpread    = 2 * time.Second
)

// PollTiming returns the timing where so many routers subscribe to updates.
func PollTiming(routers int) Timing {
	wait := min(max(time.Duration(routers)*pollWaitPerRouter, pollWaitMin), pollWaitMax)
	spread := min(time.Duration(routers)*firstCallPerRouter, maxFirstCallSpread)
	return Timing{PollWait: wait, Grace: pollGrace, ResponseTimeout: 3 * time.Second, FirstCallSpread: spread,
		RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 2 * time.Second}
}

// Source is the address of a discovery agent and the timing of calls to it.
type Source struct {
	Addr string
	Timing
}

const (
	dialTimeout = 500 * time.Millisecond
	maxBody     = 32 << 20 // bytes of a list

	maxTimeoutFactor = 8 // bound of the response timeout after slow responses, in multiples of ResponseTimeout
)

// Run polls the agent at source, or at the last address received from sources, until
// the context ends. The first call to an address asks for the full list or, if it is
// spread, for the changes since Rev.
func (w *Watch) Run(ctx context.Context, source Source, sources <-chan Source) {
	spread := source.FirstCallSpread
	for {
		sourceCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.poll(sourceCtx, source, spread)
		}()
		select {
		case source = <-sources:
			spread = min(source.FirstCallSpread, maxSwitchSpread)
			w.Log.Info("discovery has another address", zap.String("discovery", source.Addr))
		case <-ctx.Done():
		}
		cancel()
		<-done
		if ctx.Err() != nil {
			return
		}
	}
}

// poll calls one agent repeatedly, for the first time after a random part of spread.
func (w *Watch) poll(ctx context.Context, source Source, spread time.Duration) {
	c := &connection{addr: source.Addr, timing: source.Timing, timeout: source.ResponseTimeout}
	defer c.close()
	full, delay, failed := spread == 0 || w.Rev < 0, source.RetryDelay, false
	if !full {
		w.sleep(ctx, rand.N(spread))
	}
	for ctx.Err() == nil {
		wait := source.PollWait
		if failed { // missed updates are requested without a wait, to detect sooner that the agent is still silent
			wait = time.Millisecond
		}
		target := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=%d", w.Rev, wait.Milliseconds())
		if full || w.Rev < 0 {
			target, wait = "/v1/endpoints", 0
		}
		list, err := c.get(ctx, target, wait)
		if err == nil && !list.All && list.Rev < w.Rev { // the agent restarted its revisions, so Rev means nothing to it
			full, err = true, fmt.Errorf("update to revision %d although %d is known: requesting the full list", list.Rev, w.Rev)
		}
		if err == nil {
			if failed {
				w.Log.Info("discovery answers again", zap.Int64("rev", list.Rev))
			}
			full, failed, delay, c.timeout = false, false, source.RetryDelay, source.ResponseTimeout
			w.Rev = list.Rev
			w.OnList(list)
			continue
		}
		if c.timedOut() { // the same timeout would fail again
			c.timeout = min(2*c.timeout, maxTimeoutFactor*source.ResponseTimeout)
		}
		c.close()
		if ctx.Err() == nil && !failed {
			w.Log.Warn("discovery does not answer", zap.Error(err))
		}
		failed = true
		w.sleep(ctx, delay-rand.N(delay/2)) // random: other routers failed at the same moment
		delay = min(2*delay, source.MaxRetryDelay)
	}
}

func (w *Watch) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// connection is a persistent connection to an agent.
type connection struct {
	addr     string
	timing   Timing
	nc       net.Conn
	br       *bufio.Reader
	timeout  time.Duration // from the first byte of a response to its last
	deadline time.Time     // of the current response; zero: no byte of it has come
}

// Read is the source of br. The first byte of a response starts its timeout, and each
// further read may take Grace at most.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	if n > 0 {
		if c.deadline.IsZero() {
			c.deadline = time.Now().Add(c.timeout)
		}
		next := time.Now().Add(c.timing.Grace)
		if next.After(c.deadline) {
			next = c.deadline
		}
		c.nc.SetReadDeadline(next)
	}
	return n, err
}

// timedOut reports whether the last response was still arriving at its deadline.
func (c *connection) timedOut() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

func (c *connection) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// get makes one call, which the agent is to answer within wait. If the persistent
// connection was closed meanwhile the call fails; the next one opens a new connection.
func (c *connection) get(ctx context.Context, target string, wait time.Duration) (*List, error) {
	if c.nc == nil {
		d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, c.addr)
		if err != nil {
			return nil, err
		}
		c.nc, c.br = nc, bufio.NewReaderSize(c, 4096)
	}
	nc := c.nc
	c.deadline = time.Time{}
	nc.SetDeadline(time.Now().Add(wait + c.timing.Grace))
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr); err != nil {
		return nil, err
	}
	res, err := http1.ReadResponse(c.br)
	if err != nil {
		return nil, err
	}
	body, err := http1.ResponseBody(c.br, res)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err != nil {
		return nil, err
	}
	switch {
	case len(text) > maxBody:
		return nil, http1.ErrTooLarge
	case res.Status != 200:
		return nil, fmt.Errorf("%s: status %d", target, res.Status)
	}
	if !body.Complete() || res.Header.Has("Connection", "close") {
		c.close()
	}
	list, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", target, err)
	}
	return list, nil
}
