package soak

import (
	"fmt"
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
	states *states
	server *http.Server
	ln     net.Listener

	mu    sync.Mutex
	rnd   *rand.Rand
	life  *serverLife
	state string
	boot  int64 // Unix ms; 0: long ago
	rev   int64

	hangs, spoils, trickles atomic.Bool
}

// states are where the prompts that were read wait, by request.
type states struct {
	mu sync.Mutex
	at map[string]string
}

func (s *states) put(id, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = worker
}

func (s *states) take(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.at[id]
	delete(s.at, id)
	return ok
}

func newWorker(uid string, reads bool, seed uint64, l *Ledger, s *states) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{uid: uid, reads: reads, ledger: l, states: s, ln: ln, state: "SERVING", rnd: rand.New(rand.NewPCG(seed, 3))}
	w.start(-1)
	w.server = &http.Server{Handler: w}
	go w.server.Serve(ln)
	return w, nil
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
	case Spoil:
		w.spoils.Store(on)
	case Trickle:
		w.trickles.Store(on)
	}
}

func (w *worker) close() { w.server.Close() }

func (w *worker) pause(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.rnd.Int64N(int64(most-least)))
}

// ServeHTTP answers as a worker of the platform does.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/v1/holds/"); ok {
		w.holds(rw, req, id)
		return
	}
	id := req.Header.Get("X-Request-ID")
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	told, _ := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64)
	w.mu.Lock()
	life := w.life
	w.mu.Unlock()
	a := arrival{worker: w.uid, reads: w.reads, toldMS: told}
	if w.trickles.Load() {
		a.transit = trickled
	}
	n, ok := w.ledger.begin(id, a, life)
	if !ok {
		w.ledger.Break("unknown", fmt.Sprintf("%s %s %v at %s", req.Method, req.URL, req.Header, w.uid))
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.reads {
		w.read(rw, req, id, n)
		return
	}
	w.write(rw, req, id, n)
}

// wait waits; it is false where the router gave up first.
func wait(req *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

// hang waits until the router gives up.
func hang(req *http.Request) { <-req.Context().Done() }

func (w *worker) read(rw http.ResponseWriter, req *http.Request, id string, n int) {
	if w.hangs.Load() {
		hang(req)
		w.ledger.over(id, n, func(*arrival) {}, false)
		return
	}
	if !wait(req, w.pause(3*time.Millisecond, 60*time.Millisecond)) {
		w.ledger.over(id, n, func(*arrival) {}, false)
		return
	}
	w.states.put(id, w.uid)
	w.ledger.over(id, n, func(*arrival) {}, true) // before the answer: the next attempt may arrive as soon as it is read
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Streams of the workers.
const (
	mostEvents = 12
	eventGap   = 25 * time.Millisecond
)

func (w *worker) write(rw http.ResponseWriter, req *http.Request, id string, n int) {
	end := func(*arrival) {}
	defer func() { w.ledger.over(id, n, end, false) }()
	took := w.states.take(id)
	w.ledger.taken(id) // also where a release came between the attempt's arrival and now: nothing is left
	if !took {
		end = func(a *arrival) { a.neverRan = true }
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return
	}
	w.ledger.ran(id, n)
	if w.hangs.Load() {
		hang(req)
		return
	}
	if !wait(req, w.pause(3*time.Millisecond, 80*time.Millisecond)) {
		return
	}
	if w.spoils.Load() && w.pause(0, 2) == 0 {
		spoil(rw)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := range 1 + int(w.pause(0, mostEvents)) {
		fmt.Fprintf(rw, "data: {\"id\":\"%s\",\"n\":%d}\n\n", id, event)
		rw.(http.Flusher).Flush()
		if !wait(req, eventGap) {
			return
		}
	}
	end = func(a *arrival) { a.wroteLast = true }
}

// spoil writes what can't be read and leaves the connection open for a while.
func spoil(rw http.ResponseWriter) {
	nc, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\x00\x01")
	nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	io.Copy(io.Discard, nc)
}

func (w *worker) holds(rw http.ResponseWriter, req *http.Request, id string) {
	switch req.Method {
	case "DELETE":
		w.states.take(id)
		w.ledger.release(id)
		rw.WriteHeader(http.StatusNoContent)
	case "POST":
		if w.hangs.Load() {
			hang(req)
			return
		}
		if !w.ledger.hold(id) {
			rw.WriteHeader(http.StatusNoContent)
		}
	default:
		rw.WriteHeader(http.StatusMethodNotAllowed)
	}
}
