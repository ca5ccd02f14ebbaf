package workers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/http1"
)

// wantsNewConn tells whether a request should go by a new connection.
func (c *Client) wantsNewConn(call *attempt.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reuse.UseNewConnection(time.Since(c.from), call.Unsafe, call.RetriesLeft)
}

// noteReuse notes how a request on a connection went; one that was called off tells nothing.
func (c *Client) noteReuse(ctx context.Context, cn *connpool.Conn, err error) {
	if ctx.Err() != nil {
		return
	}
	bad := err != nil && failed(ctx, err).Outcome == gannethook.Broken
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reuse.Record(time.Since(c.from), cn.IdleFor > 0, bad)
}

// exchange is one request on one connection.
type exchange struct {
	c      *Client
	addr   string
	conn   *connpool.Conn
	sent   time.Time // when its first byte was written, at the earliest
	res    *http1.Response
	body   *http1.Body
	stop   func() bool
	closed chan struct{} // closed once the connection was closed because the work was called off
}

// open sends a request and reads the answer's head.
func (c *Client) open(ctx context.Context, id, method, path string, call *attempt.Call) (*exchange, error) {
	addr, err := c.addr(id)
	if err != nil {
		return nil, err
	}
	ctl := strings.HasPrefix(path, HoldsPath)
	mayDial := func() bool { return method != "DELETE" || c.mayDial(id) }
	cn, err := c.pool.acquire(ctx, addr, ctl, !ctl && c.wantsNewConn(call), mayDial)
	if err != nil {
		return nil, err
	}
	if err := c.mayBegin(ctx, id, method, call); err != nil {
		if errors.Is(err, errDraining) {
			cn.Close()
		} else {
			c.pool.put(addr, cn) // nothing was written on it
		}
		return nil, err
	}
	if call.Trace {
		call.Connection = cn.String()
	}
	counts := c.traffic.of(ctl)
	counts.made.Add(1)
	if cn.IdleFor == 0 {
		counts.opened.Add(1)
	}
	x := &exchange{c: c, addr: addr, conn: cn, sent: time.Now()}
	x.closed = make(chan struct{})
	x.stop = context.AfterFunc(ctx, func() { // closing calls the work off
		cn.Close()
		close(x.closed)
	})
	bufs := net.Buffers{requestHead(method, path, addr, call), call.Body}
	if len(call.Body) == 0 {
		bufs = bufs[:1]
	}
	if _, err := bufs.WriteTo(cn.Conn); err != nil {
		x.noteTurnedAway(id, counts, err)
		x.close(false)
		return nil, attempt.NotSent{Err: err}
	}
	call.Written.Set(true)
	err = x.head()
	c.noteReuse(ctx, cn, err)
	if err != nil {
		x.noteTurnedAway(id, counts, err)
		x.close(false)
		if cn.IdleFor > 0 {
			err = fmt.Errorf("on a connection that was unused for %v: %w", cn.IdleFor.Round(time.Millisecond), err)
		}
		return nil, err
	}
	c.answered(id, cn, x.sent)
	return x, nil
}

// noteTurnedAway notes whether the worker ended a new connection before it answered anything on it.
func (x *exchange) noteTurnedAway(id string, counts *callCounts, err error) {
	if x.conn.IdleFor == 0 && attempt.EndedByPeer(err) {
		counts.turnedAway.Add(1)
		x.c.turnedAway(id)
	}
}

// Why an attempt whose connection has come up was not written.
var (
	errDraining   = errors.New("the worker has begun to drain, or is listed no more")
	errTooLate    = errors.New("the connection came up when the request might no longer be sent")
	errClientGone = errors.New("its client has left")
	errCalledOff  = errors.New("called off")
)

// mayBegin asks the guard whether a request may still be written, now that its
// connection has come up: that may have taken long, and whoever decided on it
// could not know what has come meanwhile.
func (c *Client) mayBegin(ctx context.Context, id, method string, call *attempt.Call) error {
	c.mu.Lock()
	w := c.byID[id]
	listed, drains := w != nil, w != nil && w.draining
	c.mu.Unlock()
	why := guard.MayWrite(guard.WriteFacts{Cancelled: ctx.Err() != nil, Release: method == "DELETE", Listed: listed, Draining: drains,
		Now: time.Now(), Deadline: call.Deadline, WindowEnds: call.WriteDeadline, ClientGone: call.ClientGone})
	if c.monitor.Check(guard.Write, why, call.Key) {
		return nil
	}
	switch why {
	case guard.Cancelled:
		return attempt.NotSent{Err: errCalledOff}
	case guard.Unlisted, guard.Draining:
		return attempt.NotSent{Err: errDraining}
	case guard.ClientGone:
		return errClientGone
	}
	return attempt.NotSent{Err: errTooLate}
}

// head reads the answer's head. It may take its time to begin, but not to end.
func (x *exchange) head() (err error) {
	if _, err = x.conn.BR.Peek(1); err != nil {
		return err
	}
	x.conn.SetReadDeadline(time.Now().Add(headTimeout))
	for range maxInterim {
		if x.res, err = http1.ReadResponse(x.conn.BR); err != nil {
			return err
		}
		if x.res.Status >= 200 {
			x.body, err = http1.ResponseBody(x.conn.BR, x.res)
			return err
		}
		x.conn.SetReadDeadline(time.Time{})
		if _, err = x.conn.BR.Peek(1); err != nil {
			return err
		}
		x.conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
	return fmt.Errorf("%w: more than %d interim answers", http1.ErrTooLarge, maxInterim)
}

// close gives the connection back if the exchange is whole, else cuts it. It
// returns once the connection is closed: where another goroutine has begun to
// close it, the pending read ends before the descriptor does, and the attempt
// would be told as over while it is still out.
func (x *exchange) close(whole bool) {
	stopped := x.stop()
	if !stopped {
		<-x.closed
	}
	if stopped && whole && x.body.Whole() && x.res.Minor == 1 && !x.res.Header.Has("Connection", "close") {
		x.c.pool.put(x.addr, x.conn)
		return
	}
	x.conn.Close()
}

// readAll reads an answer that is no stream.
func (x *exchange) readAll() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(x.body, maxAnswer+1))
	if err == nil && len(text) > maxAnswer {
		err = http1.ErrTooLarge
	}
	x.close(err == nil)
	return text, err
}

// discard is text for an answer of which nothing is needed.
func (x *exchange) discard() error {
	_, err := x.readAll()
	return err
}

// failed maps an error of the connection to an outcome. What stalls once it has begun is spoilt, too.
func failed(ctx context.Context, err error) attempt.Result {
	if errors.Is(err, errClientGone) {
		return attempt.Result{Outcome: gannethook.Cancelled, Detail: err.Error()}
	}
	r := attempt.ResultOf(ctx, err, http1.ErrMalformed, http1.ErrTooLarge, os.ErrDeadlineExceeded)
	if r.Outcome == gannethook.Broken && faults.Broken(faults.BreakRepeat) {
		r.Outcome = gannethook.ConnectFailed
	}
	return r
}

// statusResult maps an answer that is neither a state nor a stream to an outcome.
func (x *exchange) statusResult() attempt.Result {
	status, notRun := x.res.Status, x.res.Header.Get("X-Not-Processed") == "1"
	err := x.discard()
	r := attempt.Result{Outcome: gannethook.Failed, Detail: "status " + strconv.Itoa(status), Interrupted: err != nil}
	switch {
	case status == 410 && notRun:
		r.Outcome, r.NoState = gannethook.Full, true
	case notRun:
		r.Outcome = gannethook.Full
	case status == 400 || status == 404 || status == 413 || status == 431:
		r.Outcome = gannethook.Moot // the request itself can't be taken: no worker is to blame, none would take it
	}
	return r
}

// requestHead is a request's head; a method without a body has no length.
func requestHead(method, path, addr string, call *attempt.Call) []byte {
	b := make([]byte, 0, headCapacity+len(path)+int(call.Header.Size()))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	if call.Header.Get("Host") == "" { // a place or a release: no client's
		b = appendField(b, "Host", addr)
	}
	for _, f := range call.Header {
		b = appendField(b, f.Name, f.Value)
	}
	b = append(b, "X-Request-ID: "...)
	b = append(b, call.Key...)
	if !call.Deadline.IsZero() { // as of now: a connection may have taken its time, or a release that went first
		left := time.Until(call.Deadline)
		if faults.Broken(faults.BreakTold) {
			left += 2 * time.Second
		}
		b = append(b, "\r\nX-Timeout-Ms: "...)
		b = strconv.AppendInt(b, max(left.Milliseconds(), 1), 10)
	}
	if method == "POST" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// stream passes events on, each as it comes; only the last chunk makes the answer whole.
func (x *exchange) stream(ctx context.Context, started func() bool, token func([]byte) bool) attempt.Result {
	if !x.body.Chunked() || !strings.HasPrefix(x.res.Header.Get("Content-Type"), "text/event-stream") {
		return attempt.Result{Outcome: gannethook.Failed, Detail: "the answer is not a stream in chunks", Interrupted: true}
	}
	x.body.Bound(maxChunk)
	events := http1.NewRawEvents(idleReader{x})
	for n := 0; ; n++ {
		text, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			r := failed(ctx, err)
			r.Tokens = n
			return r
		}
		switch {
		case len(text) == 0 && n == 0:
			return attempt.Result{Outcome: gannethook.Failed, Detail: "the stream has no event", Interrupted: true}
		case len(text) > 0 && n == 0 && !started():
			return attempt.Result{Outcome: gannethook.Cancelled, Detail: "ended before its first event"}
		case len(text) > 0 && !token(text):
			return attempt.Result{Outcome: gannethook.Cancelled, Tokens: n, Detail: "the client is gone"}
		case err != nil:
			return attempt.Result{Outcome: gannethook.Served, Tokens: n}
		}
	}
}

// idleReader reads a stream; one that brings nothing for too long is broken.
type idleReader struct{ x *exchange }

func (s idleReader) Read(p []byte) (int, error) {
	s.x.conn.SetReadDeadline(time.Now().Add(s.x.c.lim.Load().StreamIdle))
	return s.x.body.Read(p)
}
