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

// Watch follows discovery. Its fields are set before Run.
type Watch struct {
	Told func(*List) // every list and change, in order, from Run's goroutine
	Log  *zap.Logger
	Rev  int64 // known at the start; negative: nothing
}

// Times are those of the watch. What discovery tells counts as told some seconds
// after the watch fell silent, or after a call's wait: that an agent says nothing
// is noticed one Wait and one Grace later, whatever the call.
type Times struct {
	Wait  time.Duration // a watch's call waits so long for news
	Grace time.Duration // for the first byte of an answer that is due, and between two parts of one
	Whole time.Duration // for all of an answer from its first byte on

	First           time.Duration // the first call is spread over this, where a list is known; zero: at once, for the whole list
	Retry, RetryMax time.Duration // the pause after a failed call, doubled up to RetryMax, less a random half
}

// Pushed are the times where lists are pushed: the agent is on this machine and
// answers at once, at no cost.
var Pushed = Times{Wait: 1500 * time.Millisecond, Grace: 500 * time.Millisecond, Whole: 3 * time.Second,
	Retry: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond}

// Times where lists are asked for: each call costs discovery work that all routers
// share, so they call seldom, wait longer and back off. What a silent call missed
// counts as told 2 s after its wait; askedGrace is under that by a call's time.
const (
	askedWaitMin   = 3 * time.Second
	askedWaitMax   = 20 * time.Second
	askedPerRouter = 400 * time.Millisecond // of wait: together they call two or three times a second
	askedGrace     = 1200 * time.Millisecond

	// The first calls of a fleet that starts at once, and those at another address:
	// what is listed counts as told 10 s after a start, and 4 s after SIGHUP.
	askedFirstPerRouter = 200 * time.Millisecond
	askedFirstMax       = 8 * time.Second
	askedSwitchMax      = 2 * time.Second
)

// Asked are the times where lists are asked for by so many routers.
func Asked(routers int) Times {
	wait := min(max(time.Duration(routers)*askedPerRouter, askedWaitMin), askedWaitMax)
	first := min(time.Duration(routers)*askedFirstPerRouter, askedFirstMax)
	return Times{Wait: wait, Grace: askedGrace, Whole: 3 * time.Second, First: first,
		Retry: 200 * time.Millisecond, RetryMax: 2 * time.Second}
}

// Source is an agent's address and how it is called.
type Source struct {
	Addr string
	Times
}

const (
	dial     = 500 * time.Millisecond
	mostBody = 32 << 20

	longestAnswer = 8 // times Whole: for so long an answer that goes on coming is heard out at the most
)

// Run follows the agent at the address until another comes or the context ends.
// The first call at an address asks for the whole list, or, where it is spread, for
// what has changed since Rev.
func (w *Watch) Run(ctx context.Context, from Source, next <-chan Source) {
	first := from.First
	for {
		here, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.follow(here, from, first)
		}()
		select {
		case from = <-next:
			first = min(from.First, askedSwitchMax)
			w.Log.Info("discovery has another address", zap.String("discovery", from.Addr))
		case <-ctx.Done():
		}
		cancel()
		<-done
		if ctx.Err() != nil {
			return
		}
	}
}

// follow calls one agent over and over, for the first time within first.
func (w *Watch) follow(ctx context.Context, from Source, first time.Duration) {
	c := &caller{addr: from.Addr, times: from.Times, whole: from.Whole}
	defer c.close()
	whole, pause, failed := first == 0 || w.Rev < 0, from.Retry, false
	if !whole {
		w.sleep(ctx, rand.N(first))
	}
	for ctx.Err() == nil {
		wait := from.Wait
		if failed { // what was missed is asked for without a wait, so that an agent still silent is noticed sooner
			wait = time.Millisecond
		}
		target := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=%d", w.Rev, wait.Milliseconds())
		if whole || w.Rev < 0 {
			target, wait = "/v1/endpoints", 0
		}
		list, err := c.call(ctx, target, wait)
		if err == nil && !list.All && list.Rev < w.Rev { // it began anew: what it counts from is not what is known here
			whole, err = true, fmt.Errorf("changes up to %d came where %d is known: the whole list is asked for", list.Rev, w.Rev)
		}
		if err == nil {
			if failed {
				w.Log.Info("discovery answers again", zap.Int64("rev", list.Rev))
			}
			whole, failed, pause, c.whole = false, false, from.Retry, from.Whole
			w.Rev = list.Rev
			w.Told(list)
			continue
		}
		if c.ranOut() { // it would again: it is heard out for longer
			c.whole = min(2*c.whole, longestAnswer*from.Whole)
		}
		c.close()
		if ctx.Err() == nil && !failed {
			w.Log.Warn("discovery does not answer", zap.Error(err))
		}
		failed = true
		w.sleep(ctx, pause-rand.N(pause/2)) // apart from other routers, which failed at the same moment
		pause = min(2*pause, from.RetryMax)
	}
}

func (w *Watch) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// caller is one kept connection.
type caller struct {
	addr  string
	times Times
	nc    net.Conn
	br    *bufio.Reader
	whole time.Duration // for which an answer is heard out
	until time.Time     // the answer under way has to be whole by then
}

// Read reads for br: an answer that goes on coming is heard out in bounded time.
func (c *caller) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	if n > 0 {
		if c.until.IsZero() {
			c.until = time.Now().Add(c.whole)
		}
		soon := time.Now().Add(c.times.Grace)
		if soon.After(c.until) {
			soon = c.until
		}
		c.nc.SetReadDeadline(soon)
	}
	return n, err
}

// ranOut tells whether the last answer was broken off while it was still coming.
func (c *caller) ranOut() bool { return !c.until.IsZero() && !time.Now().Before(c.until) }

func (c *caller) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// call makes one call, which the agent answers within wait; a kept connection
// that was closed meanwhile is made anew by the next.
func (c *caller) call(ctx context.Context, target string, wait time.Duration) (*List, error) {
	if c.nc == nil {
		d := net.Dialer{Timeout: dial, KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, c.addr)
		if err != nil {
			return nil, err
		}
		c.nc, c.br = nc, bufio.NewReaderSize(c, 4096)
	}
	nc := c.nc
	c.until = time.Time{}
	nc.SetDeadline(time.Now().Add(wait + c.times.Grace))
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
	text, err := io.ReadAll(io.LimitReader(body, mostBody+1))
	if err != nil {
		return nil, err
	}
	switch {
	case len(text) > mostBody:
		return nil, http1.ErrTooLarge
	case res.Status != 200:
		return nil, fmt.Errorf("%s: status %d", target, res.Status)
	}
	if !body.Whole() || res.Header.Has("Connection", "close") {
		c.close()
	}
	list, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", target, err)
	}
	return list, nil
}
