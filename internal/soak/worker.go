package soak

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is one of the platform's workers, in this process. Routers reach it
// through proxies of their own.
type worker struct {
	uid    string
	reads  bool
	ledger *Ledger
	server *http.Server
	ln     net.Listener

	mu      sync.Mutex
	rnd     *rand.Rand
	life    *serverLife
	state   string
	boot    int64 // Unix ms; 0: long ago
	rev     int64
	running int // attempts in slots
	queued  int // attempts that wait for one

	hangs, jams, spoils, trickles, ponders atomic.Bool
}

func newWorker(uid string, reads bool, seed uint64, l *Ledger, terms Terms) (*worker, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := net.Listener(inner)
	if terms.WorkerConns > 0 {
		ln = &boundedListener{Listener: inner, most: int32(terms.WorkerConns), turnedAway: l.turnAway}
	}
	w := &worker{uid: uid, reads: reads, ledger: l, ln: ln, state: "SERVING", rnd: rand.New(rand.NewPCG(seed, 3))}
	w.start(-1)
	w.server = &http.Server{Handler: w, IdleTimeout: terms.IdleClose}
	go w.server.Serve(ln)
	return w, nil
}

// boundedListener holds so many connections; further ones are reset.
type boundedListener struct {
	net.Listener
	most       int32
	open       atomic.Int32
	turnedAway func()
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &boundedConn{Conn: nc, listener: l}, nil
		}
		l.open.Add(-1)
		l.turnedAway()
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// boundedConn is a connection that counts.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// start begins a life of the worker; a negative time is long ago.
func (w *worker) start(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot = 0
	if at >= 0 {
		w.boot = time.Now().UnixMilli()
	}
	w.life = &serverLife{worker: w.uid, reads: w.reads, bootAt: at, boot: w.boot}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.served[fmt.Sprintf("%s from %.1fs", w.uid, at.Seconds())] = w.life
}

// set begins or ends a trouble; others that are under way go on.
func (w *worker) set(kind Kind, on bool) {
	switch kind {
	case Hang:
		w.hangs.Store(on)
	case Jam:
		w.jams.Store(on)
	case Spoil:
		w.spoils.Store(on)
	case Trickle:
		w.trickles.Store(on)
	case Fresh:
		w.ponders.Store(on)
	}
}

func (w *worker) close() { w.server.Close() }

func (w *worker) pause(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.rnd.Int64N(int64(most-least)))
}

// Bounds and times of a worker.
const (
	slots       = 12 // attempts that run at once; past these they wait,
	queueMost   = 24 // and past these they are turned away
	workerLook  = 2 * time.Millisecond
	noticeMost  = 25 * time.Millisecond // a close is noticed so late at the most
	holdUnknown = 300 * time.Millisecond
)

// awaitRun waits while the worker hangs: it begins nothing and notices nothing. It tells whether it had to.
func (w *worker) awaitRun() bool {
	hung := w.hangs.Load()
	for w.hangs.Load() {
		time.Sleep(workerLook)
	}
	return hung
}

// notice waits until the worker notices that an attempt's connection was closed.
func (w *worker) notice() {
	w.awaitRun()
	time.Sleep(w.pause(0, noticeMost))
}

// ServeHTTP answers as a worker of the platform does.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/v1/holds/"); ok {
		w.awaitRun()
		w.holds(rw, req, id)
		return
	}
	id := req.Header.Get("X-Request-ID")
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	hung := w.awaitRun()
	told, _ := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64)
	w.mu.Lock()
	life := w.life
	w.mu.Unlock()
	a := arrival{worker: w.uid, reads: w.reads, toldMS: told, lateBegun: hung, conn: req.RemoteAddr}
	if w.trickles.Load() {
		a.transit = trickled
	}
	n, ok := w.ledger.begin(id, a, life)
	if !ok {
		w.ledger.Break("unknown", fmt.Sprintf("%s %s %v at %s", req.Method, req.URL, req.Header, w.uid))
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	end := func(*arrival) {}
	defer func() { w.ledger.over(id, n, end) }()
	timed, cancel := w.untilTold(req, told)
	defer cancel()
	if !w.enter(timed) {
		end = func(a *arrival) { a.neverRan = true }
		if req.Context().Err() != nil {
			w.notice()
			return
		}
		turnAway(rw, timed)
		return
	}
	defer w.leave()
	if w.reads {
		w.read(rw, req, timed, id, n)
		return
	}
	end = w.write(rw, req, timed, id, n)
}

// untilTold is a request whose context ends as its time is up, where workers end it then: that which its router told, and up to the slack that routers have
// to tell it.
func (w *worker) untilTold(req *http.Request, toldMS int64) (*http.Request, context.CancelFunc) {
	if toldMS <= 0 || !w.ledger.terms.EndsAsTold {
		return req, func() {}
	}
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(toldMS)*time.Millisecond+w.pause(0, toldSlack))
	return req.WithContext(ctx), cancel
}

// turnAway answers that a request was not processed, for want of room or since its time is up.
func turnAway(rw http.ResponseWriter, req *http.Request) {
	status := http.StatusServiceUnavailable
	if req.Context().Err() != nil {
		status = http.StatusGatewayTimeout
	}
	rw.Header().Set("X-Not-Processed", "1")
	rw.WriteHeader(status)
}

// enter waits in the queue until a slot is free, and the queue moves. It is false where the attempt is turned
// away, or its router gave up meanwhile.
func (w *worker) enter(req *http.Request) bool {
	w.mu.Lock()
	if w.queued >= queueMost {
		w.mu.Unlock()
		return false
	}
	w.queued++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.queued--
		w.mu.Unlock()
	}()
	for {
		w.mu.Lock()
		free := w.running < slots && !w.jams.Load() && !w.hangs.Load()
		if free {
			w.running++
		}
		w.mu.Unlock()
		if free {
			return true
		}
		w.awaitRun()
		if !wait(req, workerLook) {
			return false
		}
	}
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// wait waits; it is false where the router gave up first.
func wait(req *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return req.Context().Err() == nil
	case <-req.Context().Done():
		return false
	}
}

// read reads a prompt. Where it is called off it may have ended well before the worker notices.
func (w *worker) read(rw http.ResponseWriter, req, timed *http.Request, id string, n int) {
	takes := w.pause(3*time.Millisecond, 60*time.Millisecond)
	if w.ponders.Load() {
		takes = w.pause(60*time.Millisecond, 260*time.Millisecond)
	}
	called := wait(timed, takes)
	w.awaitRun()
	if !called && req.Context().Err() == nil {
		turnAway(rw, timed)
		return
	}
	if !called {
		if w.pause(0, 2) == 0 {
			w.ledger.keep(id, n)
		}
		w.notice()
		return
	}
	w.ledger.keep(id, n)
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Streams of the workers.
const (
	mostEvents = 12
	eventGap   = 25 * time.Millisecond
)

// write fetches the state and streams an answer. It returns what its end is noted by.
func (w *worker) write(rw http.ResponseWriter, req, timed *http.Request, id string, n int) func(*arrival) {
	nothing := func(*arrival) {}
	if !w.ledger.fetch(id, w.uid) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return func(a *arrival) { a.neverRan = true }
	}
	w.ledger.ran(id, n)
	called := wait(timed, w.pause(3*time.Millisecond, 80*time.Millisecond))
	w.awaitRun()
	if !called && req.Context().Err() == nil { // its time is up: dropped without a word
		panic(http.ErrAbortHandler)
	}
	if !called {
		w.notice()
		return nothing
	}
	if w.spoils.Load() && w.pause(0, 2) == 0 {
		spoil(rw, id)
		return nothing
	}
	w.ledger.first(id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := range 1 + int(w.pause(0, mostEvents)) {
		w.awaitRun()
		fmt.Fprintf(rw, "data: {\"id\":\"%s\",\"n\":%d}\n\n", id, event)
		rw.(http.Flusher).Flush()
		if !wait(req, eventGap) {
			w.notice()
			return nothing
		}
	}
	return func(a *arrival) { a.wroteLast = true }
}

// spoilt are answers that can't be read, in place of a stream.
var spoilt = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\x00\x01",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\n" + strings.Repeat("x", 4096),
	"\x01\x02\x03\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Half: ",
}

// spoil answers an attempt that has run with an error, or with what can't be read, by the request, and leaves the connection open for a
// while.
func spoil(rw http.ResponseWriter, id string) {
	kind := int(crc32.ChecksumIEEE([]byte(id))) % (len(spoilt) + 1)
	if kind == len(spoilt) {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	nc, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, spoilt[kind])
	nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	io.Copy(io.Discard, nc)
}

func (w *worker) holds(rw http.ResponseWriter, req *http.Request, id string) {
	switch req.Method {
	case "DELETE":
		w.ledger.release(id, w.uid)
		rw.WriteHeader(http.StatusNoContent)
	case "POST":
		switch {
		case w.ledger.hold(id, w.uid, w.pause(0, 4) > 0):
		case w.pause(0, 2) == 0:
			rw.WriteHeader(http.StatusConflict)
		default: // not known: held all the same in one of two
			if w.pause(0, 2) == 0 {
				w.ledger.holdUnknown(id, w.uid)
			}
			time.Sleep(holdUnknown)
			rw.WriteHeader(http.StatusNoContent)
		}
	default:
		rw.WriteHeader(http.StatusMethodNotAllowed)
	}
}
