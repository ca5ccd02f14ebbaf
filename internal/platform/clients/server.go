// Package clients is the HTTP/1.1 server for the platform's clients. It owns their
// connections, parses requests with their ids and deadlines, and writes responses and
// streams. It refuses only what is not a valid request or exceeds its own limits; all
// else is decided by the driver.
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

// Limits bound the resources that clients can use.
type Limits struct {
	Conns      int           // connections open at once
	Body       int64         // bytes of one request body
	Bodies     int64         // bytes buffered for all clients: requests, pipelined data and unsent stream data
	Head       time.Duration // for a request to arrive whole, and for a new connection to begin its first one
	Idle       time.Duration // after which an idle connection is closed
	Write      time.Duration // a client that accepts no data for so long is disconnected
	Rejections int           // connections beyond Conns that get a 503 at a time; any more are closed without a response
	Shutdown   time.Duration // for reading what a client still sends once its connection's write side is closed
}

// readAheadBytes returns how much of Bodies may be in use for pipelined data to be buffered.
// The rest is left to requests whose turn has come.
func (l *Limits) readAheadBytes() int64 { return l.Bodies / 4 * 3 }

// Config has what New needs.
type Config struct {
	Limits  Limits
	Classes []string                                            // priority classes, in the module's order
	Submit  func(driver.Job, driver.Sink) (*driver.Call, error) // hands a request to the driver; an error: nothing has run
	Ready   func() bool                                         // answers the load balancer's readiness checks
	Log     *zap.Logger
	Guard   *guard.Monitor // checks and counts what the guard denies; may be nil
}

// Server serves clients. Its methods are safe for concurrent use.
type Server struct {
	cfg              Config
	startedAt        time.Time
	limits           atomic.Pointer[Limits]
	classes          atomic.Pointer[map[string]int] // name to index
	wg               sync.WaitGroup
	bodies           http1.Budget
	throttle         *workThrottle         // of costly input
	drain            atomic.Pointer[drain] // nil: not stopping
	refusalsInFlight atomic.Int64          // connections being closed with a 503 or by eviction, up to Limits.Rejections
	closing          atomic.Bool           // connections accept no further request
	closedAll        atomic.Bool           // connections are no longer shut down gracefully
	closes           closeCounts
	connCount        atomic.Uint64 // accepted; numbers them in the log

	mu         sync.Mutex
	open       map[*clientConn]struct{}
	idle       *list.List          // of *clientConn, longest idle first
	requestIDs map[string]struct{} // of open requests
	rejectNew  bool                // CloseAll was called

	streams      map[uint64]*exchange // open streams by number; guarded by mu
	lastStreamID uint64
}

// New returns a server; Serve accepts connections.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, open: map[*clientConn]struct{}{}, idle: list.New(), requestIDs: map[string]struct{}{},
		streams: map[uint64]*exchange{}, startedAt: time.Now(), throttle: newWorkThrottle()}
	s.Reconfigure(cfg.Classes, cfg.Limits)
	return s
}

// Reconfigure sets the classes and limits for requests that arrive from now on.
func (s *Server) Reconfigure(classNames []string, limits Limits) {
	classes := make(map[string]int, len(classNames))
	for i, name := range classNames {
		classes[name] = i
	}
	s.classes.Store(&classes)
	s.limits.Store(&limits)
}

// pastDeadline, set as a read deadline, ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// Pauses after a failed accept, doubled with each failure in a row.
const (
	firstAcceptPause = time.Millisecond
	maxAcceptPause   = 50 * time.Millisecond
)

// Serve accepts connections until the listener is closed, which is no error, or broken.
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
		default: // transient; open connections are served on
			if e := s.cfg.Log.Check(zap.WarnLevel, "no connection could be accepted"); e != nil && pause == firstAcceptPause {
				e.Write(zap.Error(err))
			}
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}

// isBrokenListener reports whether no later accept can succeed. All other errors of
// accept are transient: lack of descriptors or memory, and errors of the network or of
// the new connection, which Linux passes on.
func isBrokenListener(err error) bool {
	return errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, syscall.EFAULT)
}

const crashConn = 20 // number of the connection at which a build with the fault BreakCrash panics

// accept starts serving a connection; at the limit it evicts the connection idle for longest.
func (s *Server) accept(nc net.Conn) {
	c := &clientConn{s: s, nc: nc, id: s.connCount.Add(1), acceptedAt: time.Now()}
	if c.id == crashConn && faults.GuardDisabled(faults.BreakCrash) {
		panic("a fault that was asked for")
	}
	s.mu.Lock()
	full := len(s.open) >= s.limits.Load().Conns && !s.evictIdle()
	if full || s.rejectNew {
		s.mu.Unlock()
		s.rejectOverLimit(c)
		return
	}
	s.open[c] = struct{}{}
	c.idleElement = s.idle.PushBack(c) // no request has begun on it
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.close(c)
		c.serve()
	})
}

// evictIdle closes the connection idle for longest on which no request is arriving. It
// examines up to maxEvictionScan connections, and returns false if it finds none.
func (s *Server) evictIdle() bool {
	e := s.idle.Front()
	for range maxEvictionScan {
		if e == nil {
			return false
		}
		if c := e.Value.(*clientConn); connpool.IsUsable(c.nc) {
			s.setIdle(c, false)
			c.evicted = true
			delete(s.open, c)
			s.shutdownEvicted(c)
			return true
		}
		e = e.Next()
	}
	return false
}

const maxEvictionScan = 8 // idle connections; bounds the time under the server's lock

// shutdownEvicted shuts down an idle connection gracefully, so that a client whose
// request crosses the close sees an orderly end and sends it again. The request is read
// and discarded by the connection's goroutine. If Limits.Rejections connections are
// being closed so already, it closes the connection at once.
func (s *Server) shutdownEvicted(c *clientConn) {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || s.refusalsInFlight.Add(1) > int64(s.limits.Load().Rejections) {
		if ok {
			s.refusalsInFlight.Add(-1)
		}
		c.nc.Close()
		return
	}
	c.countsAsRefusal = true
	half.CloseWrite()
	c.nc.SetReadDeadline(pastDeadline)
}

// rejectOverLimit answers a connection over the limit with a 503, or closes it if
// Limits.Rejections connections are being closed so already. As with any refusal the
// client's request is read before the close: closing with unread data would reset the
// connection, and the response would be lost.
func (s *Server) rejectOverLimit(c *clientConn) {
	if s.refusalsInFlight.Add(1) > int64(s.limits.Load().Rejections) {
		s.refusalsInFlight.Add(-1)
		c.setCloseReason(closedOverLimitSilently)
		s.recordClosed(c)
		c.nc.Close()
		return
	}
	c.setCloseReason(closedOverLimit)
	s.wg.Go(func() {
		defer s.refusalsInFlight.Add(-1)
		defer c.nc.Close()
		defer s.recordClosed(c)
		c.initBuffers(512)
		c.refuse("503 Service Unavailable", "too many connections")
	})
}

// close shuts down a connection and removes it from the server.
func (s *Server) close(c *clientConn) {
	c.shutdown()
	if s.closedAll.Load() {
		c.setCloseReason(closedAtExit)
	}
	s.recordClosed(c)
	c.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(c, false)
	delete(s.open, c)
	if c.countsAsRefusal {
		s.refusalsInFlight.Add(-1)
	}
	s.bodies.Release(c.readAhead.heldBytes)
}

// markIdle records whether a connection is idle, waiting for a request. It returns false
// if the connection was evicted.
func (s *Server) markIdle(c *clientConn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(c, idle && !c.evicted)
	return !c.evicted
}

// isEvicted reports whether a connection was closed to make room for another.
func (s *Server) isEvicted(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.evicted
}

func (s *Server) setIdle(c *clientConn, idle bool) {
	switch {
	case idle && c.idleElement == nil:
		c.idleElement = s.idle.PushBack(c)
	case !idle && c.idleElement != nil:
		s.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// reserveID registers the id of a request; it returns false if an open request has it.
func (s *Server) reserveID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.requestIDs[id]; taken {
		return false
	}
	s.requestIDs[id] = struct{}{}
	return true
}

func (s *Server) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requestIDs, id)
}

// drain is the stop of a server.
type drain struct {
	at   time.Time
	plan *streamdrain.Plan
}

// Drain makes the readiness check fail, from the start of the router's stop. The server
// goes on accepting requests as the plan says.
func (s *Server) Drain(stoppedAt time.Time, plan *streamdrain.Plan) {
	s.drain.Store(&drain{stoppedAt, plan})
}

// stopping reports whether Drain was called.
func (s *Server) stopping() bool { return s.drain.Load() != nil }

// capTimeout returns the timeout of a request that arrived at the given time, shortened
// after Drain so that it ends at the time by which every request has to be answered.
func (s *Server) capTimeout(arrivedAt time.Time, timeout time.Duration) time.Duration {
	if d := s.drain.Load(); d != nil {
		return min(timeout, max(d.at.Add(d.plan.AnswerBy).Sub(arrivedAt), time.Millisecond))
	}
	return timeout
}

// acceptsWhileStopping reports whether a request whose last byte arrived at the given time
// may begin; after Drain the plan decides.
func (s *Server) acceptsWhileStopping(arrivedAt time.Time) bool {
	d := s.drain.Load()
	return d == nil || d.plan.Accepts(arrivedAt.Sub(d.at))
}

// CloseIdle closes idle connections, and the others once their request is answered. A
// request that is arriving on an idle connection is still served.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).nc.SetReadDeadline(pastDeadline)
	}
}

// streamStarted registers an open stream.
func (s *Server) streamStarted(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStreamID++
	x.streamID, x.streamStartedAt = s.lastStreamID, time.Since(s.startedAt)
	s.streams[x.streamID] = x
}

func (s *Server) streamEnded(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x.streamID)
}

// EndStreams ends the streams that the plan of Drain selects: their connections close
// without the last chunk. It returns how many it ended.
func (s *Server) EndStreams() int {
	d := s.drain.Load()
	if d == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]streamdrain.Stream, 0, len(s.streams))
	for id, x := range s.streams {
		open = append(open, streamdrain.Stream{ID: id, StartedAt: x.streamStartedAt})
	}
	cut := d.plan.ToEnd(time.Since(d.at), open)
	for _, c := range cut {
		s.streams[c.ID].cutStream()
		delete(s.streams, c.ID)
	}
	return len(cut)
}

// Open returns the number of open connections, without those that are refused over the limit.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Wait waits until every connection has closed, or the context is done.
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

// CloseAll closes every connection at once, and waits for their goroutines.
func (s *Server) CloseAll() {
	s.mu.Lock()
	s.rejectNew = true
	s.closedAll.Store(true)
	for c := range s.open {
		c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
