// Package clients is the way in from the platform's clients: connections,
// requests with their ids and deadlines, answers and streams. It decides nothing
// but what can't be taken as a request at all.
package clients

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/conns"
	"gannethook/internal/driver"
	"gannethook/internal/http1"
	"gannethook/internal/parting"
)

// Limits bound what clients can take up.
type Limits struct {
	Conns  int           // open at once
	Body   int64         // bytes of one body
	Bodies int64         // of all bodies under way
	Head   time.Duration // for a request to come in whole, and for a new connection to begin one
	Idle   time.Duration // an unused connection closes
	Write  time.Duration // a client that takes nothing for so long is cut
	Refuse int           // connections beyond Conns that are told so at once; the others are closed untold
	Linger time.Duration // how long a client that still sends is heard out after its error
}

// Config sets a server up.
type Config struct {
	Limits  Limits
	Classes []string // their names, in the module's order
	Submit  func(driver.Job, driver.Sink) (*driver.Call, error)
	Ready   func() bool
	Log     *zap.Logger
}

// Server serves clients. Its methods may be called from anywhere.
type Server struct {
	cfg      Config
	start    time.Time
	limits   atomic.Pointer[Limits]
	classes  atomic.Pointer[map[string]int] // by name
	wg       sync.WaitGroup
	bodies   http1.Budget
	ends     atomic.Int64 // ns of the server's life by which all must be answered; 0: it goes on
	refusing atomic.Int64 // connections beyond the bound that are being told
	stops    atomic.Bool  // no connection takes another request
	cut      atomic.Bool  // no connection is let out any more

	mu    sync.Mutex
	open  map[*link]struct{}
	idle  *list.List          // of *link, the longest unused first
	names map[string]struct{} // ids of open requests
	shut  bool

	streams map[uint64]*exchange // begun and not ended
	serial  uint64
}

// New returns a server; Serve takes connections.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, open: map[*link]struct{}{}, idle: list.New(), names: map[string]struct{}{},
		streams: map[uint64]*exchange{}, start: time.Now()}
	s.Reconfigure(cfg.Classes, cfg.Limits)
	return s
}

// Reconfigure has requests that come from now on go by other classes and limits.
func (s *Server) Reconfigure(names []string, limits Limits) {
	classes := make(map[string]int, len(names))
	for i, name := range names {
		classes[name] = i
	}
	s.classes.Store(&classes)
	s.limits.Store(&limits)
}

var past = time.Unix(1, 0)

// Serve takes connections until the listener closes or breaks.
func (s *Server) Serve(ln net.Listener) error {
	pause := time.Duration(0)
	for {
		nc, err := ln.Accept()
		var soon interface{ Temporary() bool }
		switch {
		case err == nil:
			pause = 0
			s.accept(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &soon) && soon.Temporary(): // as without descriptors: what is open goes on
			pause = min(max(2*pause, time.Millisecond), 50*time.Millisecond)
			time.Sleep(pause)
		default:
			return err
		}
	}
}

// accept begins a connection, in place of the one unused for longest where there are too many.
func (s *Server) accept(nc net.Conn) {
	l := &link{s: s, nc: nc}
	s.mu.Lock()
	full := len(s.open) >= s.limits.Load().Conns && !s.evict()
	if full || s.shut {
		s.mu.Unlock()
		s.turnAway(l)
		return
	}
	s.open[l] = struct{}{}
	l.place = s.idle.PushBack(l) // it has begun nothing yet
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.close(l)
		l.serve()
	})
}

// evict closes the connection unused for longest on which no request is on its
// way; it looks at few, and is false where it finds none.
func (s *Server) evict() bool {
	e := s.idle.Front()
	for range mostLooks {
		if e == nil {
			return false
		}
		if l := e.Value.(*link); conns.Stands(l.nc) {
			s.rest(l, false)
			l.evicted = true
			delete(s.open, l)
			s.letOut(l)
			return true
		}
		e = e.Next()
	}
	return false
}

const mostLooks = 8

// letOut ends a resting connection for want of room. A request that comes at
// this very moment is heard and not taken, so that its client sends it anew; the
// connection's goroutine does so, unless too many are let out already.
func (s *Server) letOut(l *link) {
	out, ok := l.nc.(interface{ CloseWrite() error })
	if !ok || s.refusing.Add(1) > int64(s.limits.Load().Refuse) {
		if ok {
			s.refusing.Add(-1)
		}
		l.nc.Close()
		return
	}
	l.leaves = true
	out.CloseWrite()
	l.nc.SetReadDeadline(past)
}

// turnAway tells a client that there is no room, if not as many are being told
// already. It hears the client out as any refusal does: its request is on its
// way, and to close on it would reset the connection and lose the answer.
func (s *Server) turnAway(l *link) {
	if s.refusing.Add(1) > int64(s.limits.Load().Refuse) {
		s.refusing.Add(-1)
		l.nc.Close()
		return
	}
	s.wg.Go(func() {
		defer s.refusing.Add(-1)
		defer l.nc.Close()
		l.buffers(512)
		l.refuse("503 Service Unavailable", "too many connections")
	})
}

// close lets a connection out and forgets it.
func (s *Server) close(l *link) {
	l.linger()
	l.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest(l, false)
	delete(s.open, l)
	if l.leaves {
		s.refusing.Add(-1)
	}
	s.bodies.Give(l.ahead.held)
}

// resting notes that a connection waits for a request, or no more. It is false
// where the connection was closed for want of room.
func (s *Server) resting(l *link, rests bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest(l, rests && !l.evicted)
	return !l.evicted
}

func (s *Server) rest(l *link, rests bool) {
	switch {
	case rests && l.place == nil:
		l.place = s.idle.PushBack(l)
	case !rests && l.place != nil:
		s.idle.Remove(l.place)
		l.place = nil
	}
}

// begin takes a request's id; an open one is taken once.
func (s *Server) begin(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.names[name]; taken {
		return false
	}
	s.names[name] = struct{}{}
	return true
}

func (s *Server) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}

// Drain has the server ready no more. It goes on taking requests, of which each
// must be answered within so long from now.
func (s *Server) Drain(within time.Duration) { s.ends.Store(int64(time.Since(s.start) + within)) }

// left is how long a client that waits so long may be kept waiting.
func (s *Server) left(waits time.Duration) time.Duration {
	if ends := s.ends.Load(); ends != 0 {
		return min(waits, max(time.Duration(ends)-time.Since(s.start), time.Millisecond))
	}
	return waits
}

// Turn has every connection close once its request is answered, and now where
// none is open. One whose request is on its way is heard first.
func (s *Server) Turn() {
	s.stops.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*link).nc.SetReadDeadline(past)
	}
}

// streaming notes that a stream has begun.
func (s *Server) streaming(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	x.stream, x.since = s.serial, time.Since(s.start)
	s.streams[x.stream] = x
}

func (s *Server) ended(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x.stream)
}

// Part ends the streams that the plan gives up, so long after the stop: their
// connections close without the last chunk.
func (s *Server) Part(plan *parting.Plan, passed time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]parting.Stream, 0, len(s.streams))
	for id, x := range s.streams {
		open = append(open, parting.Stream{ID: id, Began: x.since})
	}
	cut := plan.Part(passed, open)
	for _, c := range cut {
		s.streams[c.ID].part()
		delete(s.streams, c.ID)
	}
	return len(cut)
}

// Wait waits until every connection has closed, or the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Cut closes every connection.
func (s *Server) Cut() {
	s.mu.Lock()
	s.shut = true
	s.cut.Store(true)
	for l := range s.open {
		l.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// link is a client's connection. One goroutine has it.
type link struct {
	s        *Server
	nc       net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	ahead    *ahead
	gone     bool // its client has left
	lingered bool
	place    *list.Element // among the idle; the server's lock guards it
	evicted  bool          // the same
	leaves   bool          // evicted, and counted among those that are refused
}

func (l *link) buffers(size int) {
	l.ahead = &ahead{nc: l.nc, budget: &l.s.bodies, all: l.s.limits.Load().Bodies}
	l.br, l.bw = bufio.NewReaderSize(l.ahead, size), bufio.NewWriterSize(l.nc, size)
}

// linger lets a connection out: its end is told, and what still comes is heard
// for a while and not taken. A request that was written at that very moment has
// then met a connection that had ended, and its client sends it anew; and to
// close on unread bytes would reset the connection, and lose what the client has
// not read yet.
func (l *link) linger() {
	out, ok := l.nc.(interface{ CloseWrite() error })
	if !ok || l.gone || l.lingered || l.s.cut.Load() || out.CloseWrite() != nil {
		return
	}
	l.lingered = true
	l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Linger))
	io.CopyN(io.Discard, l.nc, mostLinger)
}

// serve reads requests until the connection ends.
func (l *link) serve() {
	l.buffers(2048)
	l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Head))
	if l.s.stops.Load() { // taken as the router turned away: Turn may have come before the deadline above
		l.nc.SetReadDeadline(past)
	}
	for l.awaits() && l.next() {
		l.s.resting(l, !l.has())
		l.nc.SetReadDeadline(time.Now().Add(l.s.limits.Load().Idle))
		if l.s.stops.Load() {
			l.nc.SetReadDeadline(past)
		}
	}
}

// onItsWay is how long an unused connection is still heard once the router stops.
const onItsWay = 50 * time.Millisecond

// awaits waits for the first byte of a request. The byte is taken only once the
// connection counts as used: taken before, it would be seen by nobody who looks
// for a connection to let out, and its request would be let out with it.
func (l *link) awaits() bool {
	err := l.readable()
	if err != nil && l.s.stops.Load() {
		l.nc.SetReadDeadline(time.Now().Add(onItsWay))
		err = l.readable()
	}
	if !l.s.resting(l, false) || err != nil {
		return false
	}
	_, err = l.br.Peek(1)
	return err == nil
}

// has tells whether something that came ahead waits for its turn.
func (l *link) has() bool { return l.br.Buffered() > 0 || len(l.ahead.kept) > 0 }

// turned tells whether no further request is taken: the router stops, and none
// was read ahead, which would then be lost.
func (l *link) turned() bool { return l.s.stops.Load() && !l.has() }

func (l *link) readable() error {
	if l.has() {
		return nil
	}
	return conns.Await(l.nc)
}

// next serves one request; it tells whether another may follow.
func (l *link) next() bool {
	from := time.Now()
	l.nc.SetReadDeadline(from.Add(l.s.limits.Load().Head))
	req, err := http1.ReadRequest(l.br)
	if err != nil && l.ahead.lost > 0 {
		l.refuse("503 Service Unavailable", "too much was sent behind an open request")
		return false
	}
	if err != nil {
		l.badHead(err)
		return false
	}
	if req.Method == "GET" && path(req.Target) == ReadyPath {
		return l.ready(req)
	}
	x := &exchange{l: l, req: req, from: from, done: make(chan struct{}),
		keep: req.Minor == 1 && !req.Header.Has("Connection", "close")}
	return x.serve()
}

// ready answers the front.
func (l *link) ready(req *http1.Request) bool {
	status, keep := "200 OK", req.Minor == 1 && !req.Header.Has("Connection", "close")
	if l.s.ends.Load() != 0 || !l.s.cfg.Ready() {
		status = "503 Service Unavailable"
	}
	if b, err := http1.RequestBody(l.br, req.Header); err != nil || b.Length() > 0 || b.Chunked() {
		l.refuse("400 Bad Request", "a body has no place here")
		return false
	}
	if e := l.s.cfg.Log.Check(zap.DebugLevel, "asked whether it is ready"); e != nil {
		e.Write(zap.String("answer", status))
	}
	l.plain(status, "", keep)
	return keep
}

func (l *link) badHead(err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		l.refuse("431 Request Header Fields Too Large", err.Error())
	case errors.Is(err, http1.ErrMalformed):
		l.refuse("400 Bad Request", err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.refuse("408 Request Timeout", "the head did not come in time")
	}
}

// plain writes an answer without a stream.
func (l *link) plain(status, text string, keep bool, more ...http1.Field) {
	l.nc.SetWriteDeadline(time.Now().Add(l.s.limits.Load().Write))
	h := append(http1.Header{{Name: "Content-Length", Value: strconv.Itoa(len(text))}}, more...)
	if !keep {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	http1.WriteHead(l.bw, "HTTP/1.1 "+status, h)
	l.bw.WriteString(text)
	l.bw.Flush()
}

// refuse writes an error, the connection's last answer, and lets it out.
func (l *link) refuse(status, why string) {
	l.plain(status, why+"\n", false)
	l.linger()
}

const mostLinger = 512 << 10 // bytes heard after the last answer
