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

// worker is one of the platform's workers, within this process. Each router reaches it through a proxy of its own.
type worker struct {
	uid     string
	reads   bool // a reader, otherwise a writer
	history *History
	server  *http.Server
	ln      net.Listener

	mu          sync.Mutex
	rnd         *rand.Rand
	incarnation *serverIncarnation
	state       string // as discovery reports it
	bootMS      int64  // Unix ms; 0: before the run
	rev         int64  // of the list, at the worker's last change
	running     int    // attempts that run
	queued      int    // attempts that wait to run

	hanging, jammed, malformed, trickling, slowReads atomic.Bool // active faults, see setFault
}

func newWorker(uid string, reads bool, seed uint64, h *History, settings Settings) (*worker, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := net.Listener(inner)
	if settings.WorkerConns > 0 {
		ln = &boundedListener{Listener: inner, limit: int32(settings.WorkerConns), onReject: h.connRejected}
	}
	w := &worker{uid: uid, reads: reads, history: h, ln: ln, state: "SERVING", rnd: rand.New(rand.NewPCG(seed, 3))}
	w.start(-1)
	w.server = &http.Server{Handler: w, IdleTimeout: settings.IdleClose}
	go w.server.Serve(ln)
	return w, nil
}

// boundedListener accepts up to limit open connections and resets further ones.
type boundedListener struct {
	net.Listener
	limit    int32
	open     atomic.Int32
	onReject func()
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &boundedConn{Conn: nc, listener: l}, nil
		}
		l.open.Add(-1)
		l.onReject()
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// boundedConn is a connection that counts towards the limit until it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// start starts or restarts the worker at a time of the run; a negative time is before the run, so that the worker is warm.
func (w *worker) start(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootMS = 0
	if at >= 0 {
		w.bootMS = time.Now().UnixMilli()
	}
	w.incarnation = &serverIncarnation{worker: w.uid, reads: w.reads, startedAt: at, bootMS: w.bootMS}
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.servers[fmt.Sprintf("%s from %.1fs", w.uid, at.Seconds())] = w.incarnation
}

// setFault starts or ends a fault, independently of others that are active.
func (w *worker) setFault(kind FaultKind, on bool) {
	switch kind {
	case Hang:
		w.hanging.Store(on)
	case Jam:
		w.jammed.Store(on)
	case Spoil:
		w.malformed.Store(on)
	case Trickle:
		w.trickling.Store(on)
	case Fresh:
		w.slowReads.Store(on)
	}
}

func (w *worker) close() { w.server.Close() }

// drawDuration draws from low up to, but not including, high. It also serves for draws of plain numbers.
func (w *worker) drawDuration(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

// Limits and delays of a worker.
const (
	maxRunning         = 12                     // attempts that run concurrently; further ones wait,
	maxQueued          = 24                     // and beyond these they are rejected
	workerPollInterval = 2 * time.Millisecond   // for the end of a fault or a free slot
	maxCloseDelay      = 25 * time.Millisecond  // longest time after which a worker observes a close
	unknownHoldDelay   = 300 * time.Millisecond // of the answer to a request for a place with no known read
)

// awaitResume waits while the worker hangs, since it then starts and observes nothing. It reports whether the worker hung.
func (w *worker) awaitResume() bool {
	hung := w.hanging.Load()
	for w.hanging.Load() {
		time.Sleep(workerPollInterval)
	}
	return hung
}

// observeClose waits until the worker observes that an attempt's connection was closed.
func (w *worker) observeClose() {
	w.awaitResume()
	time.Sleep(w.drawDuration(0, maxCloseDelay))
}

// ServeHTTP serves attempts and requests about held places, by the worker protocol.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/v1/holds/"); ok {
		w.awaitResume()
		w.serveHold(rw, req, id)
		return
	}
	id := req.Header.Get("X-Request-ID")
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	hung := w.awaitResume()
	timeoutMS, _ := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64)
	w.mu.Lock()
	inc := w.incarnation
	w.mu.Unlock()
	a := attempt{worker: w.uid, reads: w.reads, timeoutMS: timeoutMS, startedAfterHang: hung, remoteAddr: req.RemoteAddr}
	if w.trickling.Load() {
		a.maxTransit = trickleTransit
	}
	n, ok := w.history.attemptArrived(id, a, inc)
	if !ok {
		w.history.RecordViolation("unknown", fmt.Sprintf("%s %s %v at %s", req.Method, req.URL, req.Header, w.uid))
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	end := func(*attempt) {}
	defer func() { w.history.attemptEnded(id, n, end) }()
	timed, cancel := w.withTimeout(req, timeoutMS)
	defer cancel()
	if !w.acquireSlot(timed) {
		end = func(a *attempt) { a.notProcessed = true }
		if req.Context().Err() != nil {
			w.observeClose()
			return
		}
		rejectUnprocessed(rw, timed)
		return
	}
	defer w.releaseSlot()
	if w.reads {
		w.read(rw, req, timed, id, n)
		return
	}
	end = w.write(rw, req, timed, id, n)
}

// withTimeout returns a request whose context ends after the timeout that the router sent plus up to timeoutSlack, by
// which routers may exceed it, if workers enforce timeouts.
func (w *worker) withTimeout(req *http.Request, timeoutMS int64) (*http.Request, context.CancelFunc) {
	if timeoutMS <= 0 || !w.history.settings.EnforceTimeout {
		return req, func() {}
	}
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(timeoutMS)*time.Millisecond+w.drawDuration(0, timeoutSlack))
	return req.WithContext(ctx), cancel
}

// rejectUnprocessed answers that an attempt was not processed, because of a full queue or a passed timeout.
func rejectUnprocessed(rw http.ResponseWriter, req *http.Request) {
	status := http.StatusServiceUnavailable
	if req.Context().Err() != nil {
		status = http.StatusGatewayTimeout
	}
	rw.Header().Set("X-Not-Processed", "1")
	rw.WriteHeader(status)
}

// acquireSlot waits in the queue until a slot is free and no fault blocks the queue. It returns false if the attempt is
// rejected, cancelled or timed out meanwhile.
func (w *worker) acquireSlot(req *http.Request) bool {
	w.mu.Lock()
	if w.queued >= maxQueued {
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
		free := w.running < maxRunning && !w.jammed.Load() && !w.hanging.Load()
		if free {
			w.running++
		}
		w.mu.Unlock()
		if free {
			return true
		}
		w.awaitResume()
		if !sleepOrDone(req, workerPollInterval) {
			return false
		}
	}
}

func (w *worker) releaseSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// sleepOrDone waits for a time. It returns false if the request's context ended first.
func sleepOrDone(req *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return req.Context().Err() == nil
	case <-req.Context().Done():
		return false
	}
}

// read reads a prompt. A cancelled read may still have completed before the worker observes the close.
func (w *worker) read(rw http.ResponseWriter, req, timed *http.Request, id string, n int) {
	duration := w.drawDuration(3*time.Millisecond, 60*time.Millisecond)
	if w.slowReads.Load() {
		duration = w.drawDuration(60*time.Millisecond, 260*time.Millisecond)
	}
	completed := sleepOrDone(timed, duration)
	w.awaitResume()
	if !completed && req.Context().Err() == nil {
		rejectUnprocessed(rw, timed)
		return
	}
	if !completed {
		if w.drawDuration(0, 2) == 0 {
			w.history.promptRead(id, n)
		}
		w.observeClose()
		return
	}
	w.history.promptRead(id, n)
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Streams of the writers.
const (
	maxEvents     = 12 // of a stream
	eventInterval = 25 * time.Millisecond
)

// write fetches the state and streams an answer. It returns the change by which the attempt's end is recorded.
func (w *worker) write(rw http.ResponseWriter, req, timed *http.Request, id string, n int) func(*attempt) {
	noChange := func(*attempt) {}
	if !w.history.fetchState(id, w.uid) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return func(a *attempt) { a.notProcessed = true }
	}
	w.history.attemptRan(id, n)
	completed := sleepOrDone(timed, w.drawDuration(3*time.Millisecond, 80*time.Millisecond))
	w.awaitResume()
	if !completed && req.Context().Err() == nil { // its timeout has passed: the connection is closed without an answer
		panic(http.ErrAbortHandler)
	}
	if !completed {
		w.observeClose()
		return noChange
	}
	if w.malformed.Load() && w.drawDuration(0, 2) == 0 {
		writeMalformed(rw, id)
		return noChange
	}
	w.history.firstEvent(id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := range 1 + int(w.drawDuration(0, maxEvents)) {
		w.awaitResume()
		fmt.Fprintf(rw, "data: {\"id\":\"%s\",\"n\":%d}\n\n", id, event)
		rw.(http.Flusher).Flush()
		if !sleepOrDone(req, eventInterval) {
			w.observeClose()
			return noChange
		}
	}
	return func(a *attempt) { a.streamDone = true }
}

// malformedAnswers are what the fault Spoil sends in place of a stream.
var malformedAnswers = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\x00\x01",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\n" + strings.Repeat("x", 4096),
	"\x01\x02\x03\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Half: ",
}

// writeMalformed answers an attempt that has run with an error or a malformed answer, chosen by the request's id, and
// leaves the connection open for up to 2 s.
func writeMalformed(rw http.ResponseWriter, id string) {
	kind := int(crc32.ChecksumIEEE([]byte(id))) % (len(malformedAnswers) + 1)
	if kind == len(malformedAnswers) {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	nc, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, malformedAnswers[kind])
	nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	io.Copy(io.Discard, nc)
}

// serveHold serves requests for places and releases.
func (w *worker) serveHold(rw http.ResponseWriter, req *http.Request, id string) {
	switch req.Method {
	case "DELETE":
		w.history.releaseReceived(id, w.uid)
		rw.WriteHeader(http.StatusNoContent)
	case "POST":
		switch {
		case w.history.holdPlace(id, w.uid, w.drawDuration(0, 4) > 0):
		case w.drawDuration(0, 2) == 0:
			rw.WriteHeader(http.StatusConflict)
		default: // the read is not known: the place is held anyway in half of the cases
			if w.drawDuration(0, 2) == 0 {
				w.history.holdPlaceWithoutRead(id, w.uid)
			}
			time.Sleep(unknownHoldDelay)
			rw.WriteHeader(http.StatusNoContent)
		}
	default:
		rw.WriteHeader(http.StatusMethodNotAllowed)
	}
}
