// Package workers is the way out to the platform's workers: requests passed on
// as they came, places and releases by the request's own id, over pooled
// connections. It carries out one attempt and tells how it ended; it decides
// nothing and sends nothing again.
package workers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/conns"
	"gannethook/internal/http1"
	"gannethook/internal/jsonscan"
	"gannethook/internal/trust"
)

// HoldsPath is where places are asked for and let go, followed by the request's id.
const HoldsPath = "/v1/holds/"

// Bounds of an answer.
const (
	mostChunk   = 64 << 10 // bytes of one chunk of a stream
	mostAnswer  = 64 << 10 // bytes of an answer that is no stream
	mostInterim = 8        // 1xx answers ahead of the answer
	headTime    = time.Second
	headersRoom = 256
)

// worker is what is known of one.
type worker struct {
	addr   string
	boot   float64
	drains bool      // nothing new may begin
	heard  time.Time // when it last answered anything
	seen   Seen
}

// Seen is what passed between this router and a worker since it was listed.
type Seen struct {
	ID           string
	Out          int           // attempts on its sockets now
	Sent, Failed int           // attempts, and those that ended without an answer of use
	Full         int           // of these, turned away
	First        time.Duration // the last time to the head of an answer of use
	Kept         int           // answers on connections that were used before
	Unused       int           // connections that wait
}

// Seen lists the workers that are listed.
func (c *Client) Seen() []Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Seen, 0, len(c.byID))
	for id, w := range c.byID {
		s := w.seen
		s.ID, s.Unused = id, c.pool.idle.Count(w.addr)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Seen) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// answered notes that a worker answered on a connection.
func (c *Client) answered(id string, cn *conns.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[id]
	if w == nil {
		return
	}
	w.heard = time.Now()
	if cn.Unused > 0 {
		w.seen.Kept++
	}
}

// took notes how long an answer of use took to its head.
func (c *Client) took(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.seen.First = d
	}
}

// counted makes an attempt and counts it, at the worker as it was listed at the send.
func (c *Client) counted(call *attempt.Call, do func() attempt.Result) attempt.Result {
	c.mu.Lock()
	w := c.byID[call.Addr]
	if w == nil {
		w = &worker{} // do tells that it is not listed
	}
	w.seen.Sent++
	w.seen.Out++
	c.mu.Unlock()
	r := do()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.seen.Out--
	switch r.Outcome {
	case gannethook.Served, gannethook.ReadDone, gannethook.Cancelled, gannethook.Moot:
	case gannethook.Full:
		w.seen.Full++
		w.seen.Failed++
	default:
		w.seen.Failed++
	}
	return r
}

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	pool pool
	lim  *atomic.Pointer[Limits]
	mu   sync.Mutex
	byID map[string]*worker
	kept trust.Kept // guarded by mu
	from time.Time
	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns a client; Close ends it.
func New(lim Limits) *Client {
	c := &Client{lim: &atomic.Pointer[Limits]{}, byID: map[string]*worker{}, from: time.Now(), stop: make(chan struct{})}
	c.pool = pool{lim: c.lim, idle: conns.NewIdle(lim.Idle, lim.Rest, lim.Spare)}
	c.lim.Store(&lim)
	c.wg.Go(func() { c.pool.idle.Run(max(lim.Idle/8, 100*time.Millisecond), c.stop) })
	return c
}

// Reconfigure sets the limits of what begins from now on.
func (c *Client) Reconfigure(lim Limits) {
	c.lim.Store(&lim)
	c.pool.idle.Bound(lim.Idle, lim.Rest, lim.Spare)
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
	Gone     bool
}

// Update takes news of the list; whole tells that who is not in it is gone.
// Connections to one that moved, restarted or went are of no more use.
func (c *Client) Update(whole bool, list []Worker) {
	c.mu.Lock()
	old := c.byID
	if whole {
		c.byID = make(map[string]*worker, len(list))
	}
	for _, w := range list {
		if w.Gone {
			delete(c.byID, w.ID)
		} else if o := old[w.ID]; o != nil && o.addr == w.Addr && o.boot == w.Boot {
			c.byID[w.ID] = o
			o.drains = w.Draining
		} else {
			c.byID[w.ID] = &worker{addr: w.Addr, boot: w.Boot, drains: w.Draining}
		}
	}
	known := make(map[string]bool, len(c.byID))
	for _, w := range c.byID {
		known[w.addr] = true
	}
	for _, w := range list {
		if now := c.byID[w.ID]; now != nil && now.heard.IsZero() {
			known[w.Addr] = false // started again: what is open leads to its former life
		}
	}
	c.mu.Unlock()
	c.pool.idle.Sweep(func(addr string) bool { return !known[addr] })
}

func (c *Client) addr(id string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.addr, nil
	}
	return "", attempt.NotSent{Err: fmt.Errorf("worker %s is not listed", id)}
}

// fresh tells whether a request should go by a new connection.
func (c *Client) fresh(call *attempt.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept.Fresh(time.Since(c.from), call.Unsafe, call.Left)
}

// went notes how a request on a connection went; one that was called off tells nothing.
func (c *Client) went(ctx context.Context, cn *conns.Conn, err error) {
	if ctx.Err() != nil {
		return
	}
	bad := err != nil && failed(ctx, err).Outcome == gannethook.Broken
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept.Note(time.Since(c.from), cn.Unused > 0, bad)
}

// exchange is one request on one connection.
type exchange struct {
	c    *Client
	addr string
	conn *conns.Conn
	res  *http1.Response
	body *http1.Body
	stop func() bool
	cut  chan struct{} // closed once the connection was closed because the work was called off
}

// open sends a request and reads the answer's head.
func (c *Client) open(ctx context.Context, id, method, path string, call *attempt.Call) (*exchange, error) {
	addr, err := c.addr(id)
	if err != nil {
		return nil, err
	}
	ctl := strings.HasPrefix(path, HoldsPath)
	cn, err := c.pool.get(ctx, addr, ctl, !ctl && c.fresh(call))
	if err != nil {
		return nil, err
	}
	if err := c.mayBegin(ctx, id, method, call); err != nil {
		if errors.Is(err, errDrains) {
			cn.Close()
		} else {
			c.pool.idle.Put(addr, cn) // nothing was written on it
		}
		return nil, err
	}
	x := &exchange{c: c, addr: addr, conn: cn}
	x.cut = make(chan struct{})
	x.stop = context.AfterFunc(ctx, func() { // closing calls the work off
		cn.Close()
		close(x.cut)
	})
	bufs := net.Buffers{requestHead(method, path, addr, call), call.Body}
	if len(call.Body) == 0 {
		bufs = bufs[:1]
	}
	if _, err := bufs.WriteTo(cn.Conn); err != nil {
		x.close(false)
		return nil, attempt.NotSent{Err: err}
	}
	call.Sent.Set(true)
	err = x.head()
	c.went(ctx, cn, err)
	if err != nil {
		x.close(false)
		if cn.Unused > 0 {
			err = fmt.Errorf("on a connection that was unused for %v: %w", cn.Unused.Round(time.Millisecond), err)
		}
		return nil, err
	}
	c.answered(id, cn)
	return x, nil
}

// Reasons for which an attempt whose connection has come up does not begin.
var (
	errDrains    = errors.New("the worker has begun to drain, or is listed no more")
	errTooLate   = errors.New("the connection came up when the request might no longer be sent")
	errLeft      = errors.New("its client has left")
	errCalledOff = errors.New("called off")
)

// mayBegin tells whether a request may still be written, now that its connection
// has come up: that may have taken long, and whoever decided on it could not know
// what has come meanwhile.
func (c *Client) mayBegin(ctx context.Context, id, method string, call *attempt.Call) error {
	if ctx.Err() != nil {
		return attempt.NotSent{Err: errCalledOff}
	}
	if method == "DELETE" { // to let go is no new work
		return nil
	}
	c.mu.Lock()
	w := c.byID[id]
	drains := w == nil || w.drains
	c.mu.Unlock()
	switch {
	case drains:
		return attempt.NotSent{Err: errDrains}
	case !call.Before.IsZero() && time.Now().After(call.Before), !call.Until.IsZero() && time.Now().After(call.Until):
		return attempt.NotSent{Err: errTooLate}
	case call.Gone != nil && call.Gone():
		return errLeft
	}
	return nil
}

// head reads the answer's head. It may take its time to begin, but not to end.
func (x *exchange) head() (err error) {
	if _, err = x.conn.BR.Peek(1); err != nil {
		return err
	}
	x.conn.SetReadDeadline(time.Now().Add(headTime))
	for range mostInterim {
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
		x.conn.SetReadDeadline(time.Now().Add(headTime))
	}
	return fmt.Errorf("%w: more than %d interim answers", http1.ErrTooLarge, mostInterim)
}

// close gives the connection back if the exchange is whole, else cuts it. It
// returns once the connection is closed: where another goroutine has begun to
// close it, the pending read ends before the descriptor does, and the attempt
// would be told as over while it is still out.
func (x *exchange) close(whole bool) {
	stopped := x.stop()
	if !stopped {
		<-x.cut
	}
	if stopped && whole && x.body.Whole() && x.res.Minor == 1 && !x.res.Header.Has("Connection", "close") {
		x.c.pool.idle.Put(x.addr, x.conn)
		return
	}
	x.conn.Close()
}

// text reads an answer that is no stream.
func (x *exchange) text() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(x.body, mostAnswer+1))
	if err == nil && len(text) > mostAnswer {
		err = http1.ErrTooLarge
	}
	x.close(err == nil)
	return text, err
}

// finish is text for an answer of which nothing is needed.
func (x *exchange) finish() error {
	_, err := x.text()
	return err
}

// failed maps an error of the connection to an outcome. What stalls once it has begun is spoilt, too.
func failed(ctx context.Context, err error) attempt.Result {
	if errors.Is(err, errLeft) {
		return attempt.Result{Outcome: gannethook.Cancelled, Detail: err.Error()}
	}
	return attempt.Ended(ctx, err, http1.ErrMalformed, http1.ErrTooLarge, os.ErrDeadlineExceeded)
}

// turned maps an answer that is neither a state nor a stream to an outcome.
func (x *exchange) turned() attempt.Result {
	status, notRun := x.res.Status, x.res.Header.Get("X-Not-Processed") == "1"
	x.finish()
	r := attempt.Result{Outcome: gannethook.Failed, Detail: "status " + strconv.Itoa(status)}
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
	b := make([]byte, 0, headersRoom+len(path)+int(call.Header.Size()))
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
	if !call.Until.IsZero() { // as of now: a connection may have taken its time, or a release that went first
		b = append(b, "\r\nX-Timeout-Ms: "...)
		b = strconv.AppendInt(b, max(time.Until(call.Until).Milliseconds(), 1), 10)
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
		return x.turned()
	}
	text, err := x.text()
	if err != nil {
		return failed(ctx, err)
	}
	c.took(call.Addr, time.Since(from))
	return attempt.Result{Outcome: gannethook.ReadDone, Kept: kept(text)}
}

// kept reads how many tokens of a prompt a reader had kept. What is no such number counts as none.
func kept(text []byte) float64 {
	raw, found, err := jsonscan.Find(text, "cached_tokens")
	if err != nil || !found {
		return 0
	}
	n, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || !(n >= 0 && n <= mostKept) {
		return 0
	}
	return n
}

const mostKept = 1 << 40 // tokens; whoever decides by them bounds them by the prompt

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
		return x.turned()
	}
	c.took(call.Addr, time.Since(from))
	r := x.stream(ctx, started, token)
	x.close(r.Outcome == gannethook.Served)
	return r
}

// stream passes events on, each as it comes; only the last chunk makes the answer whole.
func (x *exchange) stream(ctx context.Context, started func() bool, token func([]byte) bool) attempt.Result {
	if !x.body.Chunked() || !strings.HasPrefix(x.res.Header.Get("Content-Type"), "text/event-stream") {
		return attempt.Result{Outcome: gannethook.Failed, Detail: "the answer is not a stream in chunks"}
	}
	x.body.Bound(mostChunk)
	events := http1.NewRawEvents(silent{x})
	for n := 0; ; n++ {
		text, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			r := failed(ctx, err)
			r.Tokens = n
			return r
		}
		switch {
		case len(text) == 0 && n == 0:
			return attempt.Result{Outcome: gannethook.Failed, Detail: "the stream has no event"}
		case len(text) > 0 && n == 0 && !started():
			return attempt.Result{Outcome: gannethook.Cancelled, Detail: "ended before its first event"}
		case len(text) > 0 && !token(text):
			return attempt.Result{Outcome: gannethook.Cancelled, Tokens: n, Detail: "the client is gone"}
		case err != nil:
			return attempt.Result{Outcome: gannethook.Served, Tokens: n}
		}
	}
}

// silent reads a stream; one that brings nothing for too long is broken.
type silent struct{ x *exchange }

func (s silent) Read(p []byte) (int, error) {
	s.x.conn.SetReadDeadline(time.Now().Add(s.x.c.lim.Load().Silent))
	return s.x.body.Read(p)
}
