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

// wantsNewConn reports whether an attempt should use a new connection instead of an idle one.
func (c *Client) wantsNewConn(call *attempt.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reusePolicy.UseNewConnection(time.Since(c.start), call.Unsafe, call.RetriesLeft)
}

// recordReuse records whether an attempt broke before its response began; cancelled attempts are not counted.
func (c *Client) recordReuse(ctx context.Context, cn *connpool.Conn, err error) {
	if ctx.Err() != nil {
		return
	}
	bad := err != nil && failureResult(ctx, err).Outcome == gannethook.Broken
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reusePolicy.Record(time.Since(c.start), cn.IdleFor > 0, bad)
}

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	addr       string
	conn       *connpool.Conn
	sentAt     time.Time // just before its first byte was written
	res        *http1.Response
	body       *http1.Body
	detach     func() bool   // stops cancellation from closing the connection; false: it has begun to
	connClosed chan struct{} // closed once the connection has been closed on cancellation
}

// open sends a request and reads the response head.
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
	if err := c.checkWrite(ctx, id, method, call); err != nil {
		if errors.Is(err, errDraining) {
			cn.Close()
		} else {
			c.pool.put(addr, cn) // unused: nothing was written on it
		}
		return nil, err
	}
	if call.Trace {
		call.Connection = cn.String()
	}
	counts := c.traffic.counts(ctl)
	counts.made.Add(1)
	if cn.IdleFor == 0 {
		counts.opened.Add(1)
	}
	x := &exchange{client: c, addr: addr, conn: cn, sentAt: time.Now()}
	x.connClosed = make(chan struct{})
	x.detach = context.AfterFunc(ctx, func() { // closing the connection cancels the request at the worker
		cn.Close()
		close(x.connClosed)
	})
	bufs := net.Buffers{requestHead(method, path, addr, call), call.Body}
	if len(call.Body) == 0 {
		bufs = bufs[:1]
	}
	if _, err := bufs.WriteTo(cn.Conn); err != nil {
		x.recordIfRejected(id, counts, err)
		x.close(false)
		return nil, attempt.NotSent{Err: err}
	}
	call.Written.Set(true)
	err = x.head()
	c.recordReuse(ctx, cn, err)
	if err != nil {
		x.recordIfRejected(id, counts, err)
		x.close(false)
		if cn.IdleFor > 0 {
			err = fmt.Errorf("on a connection that was idle for %v: %w", cn.IdleFor.Round(time.Millisecond), err)
		}
		return nil, err
	}
	c.recordAnswer(id, cn, x.sentAt)
	return x, nil
}

// recordIfRejected records a rejected connection: a new one that the worker closed before it answered on it.
func (x *exchange) recordIfRejected(id string, counts *callCounts, err error) {
	if x.conn.IdleFor == 0 && attempt.EndedByPeer(err) {
		counts.closedEarly.Add(1)
		x.client.connectionRejected(id)
	}
}

// Reasons why a request was not written although its connection was established.
var (
	errDraining           = errors.New("the worker is draining or no longer listed")
	errDeadlinePassed     = errors.New("the connection was established after the request's deadline")
	errClientDisconnected = errors.New("the client has disconnected")
	errCancelled          = errors.New("the attempt was cancelled")
)

// checkWrite asks the guard whether a request may still be written. Connecting may
// have taken long: since the attempt was decided, the worker may have begun to drain,
// the deadline may have passed or the client may have disconnected.
func (c *Client) checkWrite(ctx context.Context, id, method string, call *attempt.Call) error {
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
		return attempt.NotSent{Err: errCancelled}
	case guard.Unlisted, guard.Draining:
		return attempt.NotSent{Err: errDraining}
	case guard.ClientGone:
		return errClientDisconnected
	}
	return attempt.NotSent{Err: errDeadlinePassed}
}

// head reads the response head. It may begin at any time; once begun, it has to end within headTimeout.
func (x *exchange) head() (err error) {
	if _, err = x.conn.BR.Peek(1); err != nil {
		return err
	}
	x.conn.SetReadDeadline(time.Now().Add(headTimeout))
	for range maxInterimResponses {
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
	return fmt.Errorf("%w: more than %d interim responses", http1.ErrTooLarge, maxInterimResponses)
}

// close returns the connection to the pool if it is reusable and the response was
// read whole, else closes it. It returns only once the connection is closed: where
// cancellation has begun to close it, the pending read ends before the descriptor is
// closed, and the attempt would be reported as ended while still in flight.
func (x *exchange) close(reusable bool) {
	stopped := x.detach()
	if !stopped {
		<-x.connClosed
	}
	if stopped && reusable && x.body.Complete() && x.res.Minor == 1 && !x.res.Header.Has("Connection", "close") {
		x.client.pool.put(x.addr, x.conn)
		return
	}
	x.conn.Close()
}

// readAll reads the body of a response that is not a stream, and closes the exchange.
func (x *exchange) readAll() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(x.body, maxResponse+1))
	if err == nil && len(text) > maxResponse {
		err = http1.ErrTooLarge
	}
	x.close(err == nil)
	return text, err
}

// discard reads a response body to its end, so that the connection can be reused.
func (x *exchange) discard() error {
	_, err := x.readAll()
	return err
}

// failureResult maps a connection error to an outcome. A response that stalls once it has begun counts as malformed.
func failureResult(ctx context.Context, err error) attempt.Result {
	if errors.Is(err, errClientDisconnected) {
		return attempt.Result{Outcome: gannethook.Cancelled, Detail: err.Error()}
	}
	r := attempt.ResultOf(ctx, err, http1.ErrMalformed, http1.ErrTooLarge, os.ErrDeadlineExceeded)
	if r.Outcome == gannethook.Broken && faults.GuardDisabled(faults.BreakRepeat) {
		r.Outcome = gannethook.ConnectFailed
	}
	return r
}

// statusResult maps a status other than the expected one to an outcome.
func (x *exchange) statusResult() attempt.Result {
	status, notProcessed := x.res.Status, x.res.Header.Get("X-Not-Processed") == "1"
	err := x.discard()
	r := attempt.Result{Outcome: gannethook.Failed, Detail: "status " + strconv.Itoa(status), Interrupted: err != nil}
	switch {
	case status == 410 && notProcessed:
		r.Outcome, r.NoState = gannethook.Full, true
	case notProcessed:
		r.Outcome = gannethook.Full
	case status == 400 || status == 404 || status == 413 || status == 431:
		r.Outcome = gannethook.Moot // the request itself is invalid: every worker would reject it, so it counts against none
	}
	return r
}

// requestHead builds a request's head; only POST has a Content-Length.
func requestHead(method, path, addr string, call *attempt.Call) []byte {
	b := make([]byte, 0, headCapacity+len(path)+int(call.Header.Size()))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	if call.Header.Get("Host") == "" { // a place request or a release: no client's fields to forward
		b = appendField(b, "Host", addr)
	}
	for _, f := range call.Header {
		b = appendField(b, f.Name, f.Value)
	}
	b = append(b, "X-Request-ID: "...)
	b = append(b, call.Key...)
	if !call.Deadline.IsZero() { // the time remaining now: connecting, or a release sent first, may have taken long
		remaining := time.Until(call.Deadline)
		if faults.GuardDisabled(faults.BreakTold) {
			remaining += 2 * time.Second
		}
		b = append(b, "\r\nX-Timeout-Ms: "...)
		b = strconv.AppendInt(b, max(remaining.Milliseconds(), 1), 10)
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

// stream passes each event on as it arrives; the response is complete only with its last chunk.
func (x *exchange) stream(ctx context.Context, started func() bool, token func([]byte) bool) attempt.Result {
	if !x.body.Chunked() || !strings.HasPrefix(x.res.Header.Get("Content-Type"), "text/event-stream") {
		return attempt.Result{Outcome: gannethook.Failed, Detail: "the response is not a chunked event stream", Interrupted: true}
	}
	x.body.LimitChunk(maxChunk)
	events := http1.NewRawEvents(x.body)
	x.awaitNextEvent()
	for n := 0; ; n++ {
		text, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			r := failureResult(ctx, err)
			r.Tokens = n
			return r
		}
		switch {
		case len(text) == 0 && n == 0:
			return attempt.Result{Outcome: gannethook.Failed, Detail: "the stream ended without an event", Interrupted: true}
		case len(text) > 0 && n == 0 && !started():
			return attempt.Result{Outcome: gannethook.Cancelled, Detail: "cancelled at its first event"}
		case len(text) > 0 && !token(text):
			return attempt.Result{Outcome: gannethook.Cancelled, Tokens: n, Detail: "the client no longer takes events"}
		case err != nil:
			return attempt.Result{Outcome: gannethook.Served, Tokens: n}
		}
		if events.Advanced() {
			x.awaitNextEvent()
		}
	}
}

// awaitNextEvent sets the time within which the next event, or the end of the stream, has to be received whole. Bytes that
// complete no event don't extend it.
func (x *exchange) awaitNextEvent() {
	x.conn.SetReadDeadline(time.Now().Add(x.client.limits.Load().StreamIdle))
}
