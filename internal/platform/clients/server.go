// Package clients is the way in from the platform's clients: connections,
// requests with their ids and deadlines, answers and streams. It decides nothing
// but what can't be taken as a request at all.
package clients

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/connpool"
	"gannethook/internal/driver"
	"gannethook/internal/faults"
	"gannethook/internal/guard"
	"gannethook/internal/http1"
	"gannethook/internal/streamdrain"
)

// Limits bound what clients can take up.
type Limits struct {
	Conns      int           // open at once
	Body       int64         // bytes of one body
	Bodies     int64         // of all bodies under way
	Head       time.Duration // for a request to come in whole, and for a new connection to begin one
	Idle       time.Duration // an unused connection closes
	Write      time.Duration // a client that takes nothing for so long is cut
	Rejections int           // connections beyond Conns that are told so at once; the others are closed untold
	Shutdown   time.Duration // how long a client that still sends is heard out after its error
}

// Config sets a server up.
type Config struct {
	Limits  Limits
	Classes []string // their names, in the module's order
	Submit  func(driver.Job, driver.Sink) (*driver.Call, error)
	Ready   func() bool
	Log     *zap.Logger
	Guard   *guard.Monitor // counts what may not be done; nil: nobody asks
}

// Server serves clients. Its methods may be called from anywhere.
type Server struct {
	cfg       Config
	start     time.Time
	limits    atomic.Pointer[Limits]
	classes   atomic.Pointer[map[string]int] // by name
	wg        sync.WaitGroup
	bodies    http1.Budget
	answerBy  atomic.Int64 // ns of the server's life by which all must be answered; 0: it goes on
	refusing  atomic.Int64 // connections beyond the bound that are being told
	closing   atomic.Bool  // no connection takes another request
	closedAll atomic.Bool  // no connection is shut down in order any more
	closes    closeCounts
	conns     atomic.Uint64 // taken: numbers them in the log

	mu         sync.Mutex
	open       map[*clientConn]struct{}
	idle       *list.List          // of *clientConn, the longest unused first
	requestIDs map[string]struct{} // ids of open requests
	rejecting  bool

	streams map[uint64]*exchange // begun and not ended
	serial  uint64
}

// New returns a server; Serve takes connections.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, open: map[*clientConn]struct{}{}, idle: list.New(), requestIDs: map[string]struct{}{},
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

var expired = time.Unix(1, 0)

// Pauses after a failed accept.
const (
	firstAcceptPause = time.Millisecond
	maxAcceptPause   = 50 * time.Millisecond
)

// Serve takes connections until the listener closes or is of no more use.
func (s *Server) Serve(ln net.Listener) error {
	pause := firstAcceptPause
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			pause = firstAcceptPause
			s.accept(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isBrokenListener(err):
			return err
		default: // what is open goes on
			if e := s.cfg.Log.Check(zap.WarnLevel, "no connection could be accepted"); e != nil && pause == firstAcceptPause {
				e.Write(zap.Error(err))
			}
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}

// isBrokenListener tells whether no later accept can go well. Every other error of
// accept passes: want of descriptors or memory, and what Linux reports of the
// network or of the connection that would have been accepted.
func isBrokenListener(err error) bool {
	return errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, syscall.EFAULT)
}

const brokenAt = 20 // the connection at which a build without that guard ends

// accept begins a connection, in place of the one unused for longest where there are too many.
func (s *Server) accept(nc net.Conn) {
	l := &clientConn{s: s, nc: nc, id: s.conns.Add(1), since: time.Now()}
	if l.id == brokenAt && faults.Broken(faults.BreakCrash) {
		panic("a fault that was asked for")
	}
	s.mu.Lock()
	full := len(s.open) >= s.limits.Load().Conns && !s.evictIdle()
	if full || s.rejecting {
		s.mu.Unlock()
		s.rejectOverLimit(l)
		return
	}
	s.open[l] = struct{}{}
	l.idleElement = s.idle.PushBack(l) // it has begun nothing yet
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.close(l)
		l.serve()
	})
}

// evictIdle closes the connection unused for longest on which no request is on its
// way; it looks at few, and is false where it finds none.
func (s *Server) evictIdle() bool {
	e := s.idle.Front()
	for range maxEvictionScan {
		if e == nil {
			return false
		}
		if l := e.Value.(*clientConn); connpool.IsUsable(l.nc) {
			s.setIdle(l, false)
			l.evicted = true
			delete(s.open, l)
			s.shutEvicted(l)
			return true
		}
		e = e.Next()
	}
	return false
}

const maxEvictionScan = 8 // idle connections looked at for one that may be closed

// shutEvicted shuts an idle connection down for want of room. A request that comes
// at this very moment is read and not served, so that its client sends it anew; the
// connection's goroutine does so, unless too many are being shut down already.
func (s *Server) shutEvicted(l *clientConn) {
	out, ok := l.nc.(interface{ CloseWrite() error })
	if !ok || s.refusing.Add(1) > int64(s.limits.Load().Rejections) {
		if ok {
			s.refusing.Add(-1)
		}
		l.nc.Close()
		return
	}
	l.rejected = true
	out.CloseWrite()
	l.nc.SetReadDeadline(expired)
}

// rejectOverLimit tells a client that there is no room, if not as many are being told
// already. It hears the client out as any refusal does: its request is on its
// way, and to close on it would reset the connection and lose the answer.
func (s *Server) rejectOverLimit(l *clientConn) {
	if s.refusing.Add(1) > int64(s.limits.Load().Rejections) {
		s.refusing.Add(-1)
		l.note(noRoomUntold)
		s.noteClosed(l)
		l.nc.Close()
		return
	}
	l.note(noRoomTold)
	s.wg.Go(func() {
		defer s.refusing.Add(-1)
		defer l.nc.Close()
		defer s.noteClosed(l)
		l.initBuffers(512)
		l.refuse("503 Service Unavailable", "too many connections")
	})
}

// close shuts a connection down and forgets it.
func (s *Server) close(l *clientConn) {
	l.shutdown()
	if s.closedAll.Load() {
		l.note(onStopAll)
	}
	s.noteClosed(l)
	l.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(l, false)
	delete(s.open, l)
	if l.rejected {
		s.refusing.Add(-1)
	}
	s.bodies.Give(l.readAhead.held)
}

// markIdle notes that a connection waits for a request, or no more. It is false
// where the connection was closed for want of room.
func (s *Server) markIdle(l *clientConn, rests bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(l, rests && !l.evicted)
	return !l.evicted
}

func (s *Server) setIdle(l *clientConn, rests bool) {
	switch {
	case rests && l.idleElement == nil:
		l.idleElement = s.idle.PushBack(l)
	case !rests && l.idleElement != nil:
		s.idle.Remove(l.idleElement)
		l.idleElement = nil
	}
}

// reserveID takes a request's id; an open one is taken once.
func (s *Server) reserveID(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.requestIDs[name]; taken {
		return false
	}
	s.requestIDs[name] = struct{}{}
	return true
}

func (s *Server) releaseID(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requestIDs, name)
}

// Drain has the server ready no more. It goes on taking requests, of which each
// must be answered within so long from now.
func (s *Server) Drain(within time.Duration) { s.answerBy.Store(int64(time.Since(s.start) + within)) }

// stopping tells whether the router was told to stop.
func (s *Server) stopping() bool { return s.answerBy.Load() != 0 }

// timeLeft is how long a client that waits so long may be kept waiting.
func (s *Server) timeLeft(waits time.Duration) time.Duration {
	if ends := s.answerBy.Load(); ends != 0 {
		return min(waits, max(time.Duration(ends)-time.Since(s.start), time.Millisecond))
	}
	return waits
}

// CloseIdle has every connection close once its request is answered, and now where
// none is open. One whose request is on its way is heard first.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).nc.SetReadDeadline(expired)
	}
}

// streamStarted notes that a stream has begun.
func (s *Server) streamStarted(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	x.streamID, x.since = s.serial, time.Since(s.start)
	s.streams[x.streamID] = x
}

func (s *Server) streamEnded(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x.streamID)
}

// EndStreams ends the streams that the plan gives up, so long after the stop: their
// connections close without the last chunk.
func (s *Server) EndStreams(plan *streamdrain.Plan, passed time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]streamdrain.Stream, 0, len(s.streams))
	for id, x := range s.streams {
		open = append(open, streamdrain.Stream{ID: id, StartedAt: x.since})
	}
	cut := plan.ToEnd(passed, open)
	for _, c := range cut {
		s.streams[c.ID].cutStream()
		delete(s.streams, c.ID)
	}
	return len(cut)
}

// Open is how many connections are open, those that are being told that there is no room left out.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
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

// CloseAll closes every connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	s.rejecting = true
	s.closedAll.Store(true)
	for l := range s.open {
		l.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
