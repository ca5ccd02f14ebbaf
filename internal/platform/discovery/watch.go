package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/http1"
)

// Watch follows discovery. Its fields are set before Run.
type Watch struct {
	Told func(*List) // every list and change, in order, from Run's goroutine
	Log  *zap.Logger
	Rev  int64 // known at the start; negative: nothing
}

// Times of the watch. A call waits short, so that a silent agent is noticed
// soon; between two calls the protocol leaves 200 ms.
const (
	wait     = 5 * time.Second
	grace    = time.Second // for an answer beyond the wait
	dial     = 500 * time.Millisecond
	again    = 50 * time.Millisecond // after a failed call, doubled
	againTop = 400 * time.Millisecond
	mostBody = 32 << 20
)

// Run follows the agent at the address until another comes or the context ends.
// The first call at an address asks for the whole list.
func (w *Watch) Run(ctx context.Context, addr string, next <-chan string) {
	for {
		here, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.follow(here, addr)
		}()
		select {
		case addr = <-next:
			w.Log.Info("discovery has another address", zap.String("discovery", addr))
		case <-ctx.Done():
		}
		cancel()
		<-done
		if ctx.Err() != nil {
			return
		}
	}
}

// follow calls one agent over and over.
func (w *Watch) follow(ctx context.Context, addr string) {
	c := &caller{addr: addr}
	defer c.close()
	whole, pause, failed := true, again, false
	for ctx.Err() == nil {
		target := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=%d", w.Rev, wait.Milliseconds())
		if whole || w.Rev < 0 {
			target = "/v1/endpoints"
		}
		list, err := c.call(ctx, target)
		if err == nil {
			if failed {
				w.Log.Info("discovery answers again", zap.Int64("rev", list.Rev))
			}
			whole, failed, pause = false, false, again
			w.Rev = list.Rev
			w.Told(list)
			continue
		}
		c.close()
		if ctx.Err() == nil && !failed {
			w.Log.Warn("discovery does not answer", zap.Error(err))
		}
		failed = true
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, againTop)
	}
}

// caller is one kept connection.
type caller struct {
	addr string
	nc   net.Conn
	br   *bufio.Reader
}

func (c *caller) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// call makes one call; a kept connection that was closed meanwhile is made anew by the next.
func (c *caller) call(ctx context.Context, target string) (*List, error) {
	if c.nc == nil {
		d := net.Dialer{Timeout: dial, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", c.addr)
		if err != nil {
			return nil, err
		}
		c.nc, c.br = nc, bufio.NewReaderSize(nc, 4096)
	}
	nc := c.nc
	nc.SetDeadline(time.Now().Add(wait + grace))
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
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
