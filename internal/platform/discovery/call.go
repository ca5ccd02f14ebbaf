package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"gannethook/internal/faults"
	"gannethook/internal/http1"
)

const (
	dialTimeout = 500 * time.Millisecond
	maxBody     = 32 << 20 // bytes of a list

	// answerTimeout is how long a call waits for a response that is due, or for its next part.
	// The platform counts an update as received 6 s after discovery had it.
	answerTimeout = 6 * time.Second
)

// connection is a persistent connection to an agent, for one call at a time.
type connection struct {
	addr string
	nc   net.Conn
	br   *bufio.Reader
	call *call // the current one
}

// Read is the source of br; it records the progress of the response.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	if n > 0 {
		c.nc.SetReadDeadline(c.call.received(time.Now()))
	}
	return n, err
}

func (c *connection) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// call is one call to an agent. Its goroutine makes it; others may follow its progress.
type call struct {
	conn    *connection
	target  string
	wait    time.Duration // how long the agent may hold it
	timing  Timing
	timeout time.Duration // from the first byte of the response to its last, after which the call is late
	cancel  context.CancelFunc

	mu          sync.Mutex
	dueAt       time.Time // when the response is due; before the call is sent, at the latest
	firstByteAt time.Time // of the response; zero: no byte of it has come
	lastByteAt  time.Time
}

// result is the end of a call: a list or an error.
type result struct {
	call *call
	list *List
	err  error
}

// lateAt returns when the response is late unless more of it comes.
func (c *call) lateAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstByteAt.IsZero() {
		return c.dueAt.Add(c.timing.Grace)
	}
	return earlier(c.lastByteAt.Add(c.timing.Grace), c.firstByteAt.Add(c.timeout))
}

// isTooLong reports whether the response has been arriving for longer than its timeout.
func (c *call) isTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.firstByteAt.IsZero() && time.Since(c.firstByteAt) >= c.timeout
}

// sent records that the call is about to be sent, and returns when to stop waiting for its response.
func (c *call) sent(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dueAt = now.Add(c.wait)
	return c.dueAt.Add(answerTimeout)
}

// received records that a part of the response came, and returns when to stop waiting for the next.
func (c *call) received(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstByteAt.IsZero() {
		c.firstByteAt = now
	}
	c.lastByteAt = now
	return earlier(now.Add(answerTimeout), c.firstByteAt.Add(maxTimeoutFactor*c.timing.ResponseTimeout))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// get makes the call. If the persistent connection was closed meanwhile the call fails.
func (c *call) get(ctx context.Context) (*List, error) {
	conn := c.conn
	conn.call = c
	if conn.nc == nil {
		d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, conn.addr)
		if err != nil {
			return nil, err
		}
		conn.nc, conn.br = nc, bufio.NewReaderSize(conn, 4096)
	}
	nc := conn.nc
	nc.SetDeadline(c.sent(time.Now()))
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.target, conn.addr); err != nil {
		return nil, err
	}
	res, err := http1.ReadResponse(conn.br)
	if err != nil {
		return nil, err
	}
	body, err := http1.ResponseBody(conn.br, res)
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
		return nil, fmt.Errorf("%s: status %d", c.target, res.Status)
	}
	if !body.Complete() || res.Header.Has("Connection", "close") {
		conn.close()
	}
	list, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.target, err)
	}
	return list, nil
}
