// Package front serves the router's clients: HTTP/1.1 with the APIs of package httpapi, and sessions of the Realtime
// API over WebSocket. It owns the client connections, authenticates and parses requests, submits them to package
// admission and writes the answers. It makes no scheduling decisions.
package front

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gannethook/internal/admission"
	"gannethook/internal/apikeys"
	"gannethook/internal/driver"
	"gannethook/internal/http1"
	"gannethook/internal/settings"
)

// SessionPath opens sessions. The other two are health checks: LivePath answers 200 as long as the process serves, ReadyPath
// only while it accepts new sessions.
const (
	SessionPath = "/v1/realtime"
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
)

// Server accepts client connections and serves HTTP requests and sessions on them.
type Server struct {
	cfg         atomic.Pointer[settings.File]
	admission   *admission.Controller
	tls         *tls.Config                   // nil: without TLS
	keys        atomic.Pointer[apikeys.Table] // nil: clients may name their tenant themselves
	incarnation string                        // name of the router and its start time
	keyTable    *keyTable
	serial      atomic.Uint64
	bodies      http1.Budget // memory for request bodies in progress
	done        func(driver.Summary)
	onConnEnd   func() // called when a connection or an accept loop has ended

	mu              sync.Mutex
	sessions        map[*session]bool
	connStates      map[net.Conn]*connState // includes upgraded connections
	draining        bool                    // no new sessions or requests
	drainedAt       time.Time
	listenersClosed bool // the listeners won't reopen
	ended           bool // no new connections
	acceptLoops     int  // accept loops that are running
	wg              sync.WaitGroup
}

// connState is the state of one connection.
type connState struct {
	acceptedAt time.Time
	idle       bool // between two requests: a drain may close it
}

// NewServer returns a server that submits requests to in. done receives the summaries of requests that end here,
// without having been submitted.
func NewServer(cfg *settings.File, in *admission.Controller, done func(driver.Summary)) *Server {
	s := &Server{admission: in, done: done, incarnation: fmt.Sprintf("%s-%x", cfg.Name, time.Now().UnixNano()),
		keyTable: newKeyTable(cfg), sessions: map[*session]bool{}, connStates: map[net.Conn]*connState{}, onConnEnd: func() {}}
	s.cfg.Store(cfg)
	return s
}

// SetSettings replaces the settings. Sessions use them from their next event on; settings of connections apply to new
// connections.
func (s *Server) SetSettings(cfg *settings.File) { s.cfg.Store(cfg) }

// OnConnectionEnd sets the function that is called when a connection or an accept loop has ended. Call it before Serve.
func (s *Server) OnConnectionEnd(onConnEnd func()) { s.onConnEnd = onConnEnd }

// SetTLS enables TLS. Call it before Serve.
func (s *Server) SetTLS(cfg *tls.Config) { s.tls = cfg }

// SetAPIKeys replaces the table of API keys; from now on clients must present one of them. For each revoked key, requests in
// progress run to their end, queued ones are refused, and sessions accept nothing new and close.
func (s *Server) SetAPIKeys(t *apikeys.Table, revoked []*apikeys.Key) {
	s.keys.Store(t)
	for _, k := range revoked {
		s.admission.Revoke(k.Client())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if c.caller.keyID != "" && !t.Valid(time.Now(), c.caller.keyID) {
			go c.revoke()
		}
	}
}

// Incarnation returns the id of this run of the router: its name and start time.
func (s *Server) Incarnation() string { return s.incarnation }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ln net.Listener) error {
	s.countLoop(1)
	defer s.countLoop(-1)
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors: wait for connections to close
			continue
		}
		if !s.addConn(nc) {
			nc.Close()
			continue
		}
		go func() {
			defer s.wg.Done()
			defer s.removeConn(nc)
			s.serve(nc)
		}()
	}
}

func (s *Server) countLoop(by int) {
	s.mu.Lock()
	s.acceptLoops += by
	s.mu.Unlock()
	s.onConnEnd()
}

// addConn registers a connection, unless there are too many: those are closed before a byte is read.
func (s *Server) addConn(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.connStates) >= s.cfg.Load().Sessions.MaxSessions {
		return false
	}
	s.connStates[nc] = &connState{acceptedAt: time.Now()}
	s.wg.Add(1) // under the lock, since Shutdown sets ended before it waits
	return true
}

func (s *Server) removeConn(nc net.Conn) {
	nc.Close()
	s.mu.Lock()
	delete(s.connStates, nc)
	s.mu.Unlock()
	s.onConnEnd()
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// acceptedBeforeDrain reports whether a connection was accepted before the router started to drain. Such a connection
// still gets its session, which is then drained like all others, since its client connected to an open listener.
func (s *Server) acceptedBeforeDrain(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.connStates[nc]
	return !s.ended && g != nil && (s.listenersClosed || g.acceptedAt.Before(s.drainedAt))
}

// addSession registers a session. stopping is true if the router is draining, so that the session must drain at once;
// ok is false if the server has ended.
func (s *Server) addSession(c *session) (draining, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false, false
	}
	s.sessions[c] = true
	return s.draining, true
}

func (s *Server) removeSession(c *session) {
	s.mu.Lock()
	delete(s.sessions, c)
	s.mu.Unlock()
}

// OpenConnections returns the number of connections that have not ended; after Drain only of those that were accepted before it.
// Once the listeners are closed it includes the accept loops that are still running.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listenersClosed {
		return len(s.connStates) + s.acceptLoops
	}
	n := 0
	for _, g := range s.connStates {
		if !s.draining || g.acceptedAt.Before(s.drainedAt) {
			n++
		}
	}
	return n
}

// Resume ends a drain: new sessions and requests are accepted again. Sessions that are draining still close.
func (s *Server) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// Drain starts a drain: no new sessions or responses are accepted, and open responses run to their end. A session without
// open responses is closed with code 1001 (going away). listenersClosed says that the listeners won't reopen.
func (s *Server) Drain(listenersClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.listenersClosed, s.drainedAt = true, listenersClosed, time.Now()
	for c := range s.sessions {
		go c.drain()
	}
	for nc, g := range s.connStates {
		if g.idle {
			nc.SetReadDeadline(pastDeadline)
		}
	}
}

// pastDeadline is a deadline in the past: it wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

// setIdle marks a connection as idle between two requests, or as busy.
func (s *Server) setIdle(nc net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.connStates[nc]; g != nil {
		g.idle = idle
	}
}

// CloseAll closes every connection at once.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.connStates {
		nc.Close()
	}
}

// Shutdown accepts no more connections, closes those that remain and waits for their goroutines.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.ended, s.draining = true, true
	s.mu.Unlock()
	s.CloseAll()
	s.wg.Wait()
}

// SessionInfo describes a session for operators.
type SessionInfo struct {
	ID            string
	Since         time.Time
	OpenResponses int  // responses that are open
	Responses     int  // responses requested so far
	Draining      bool // draining: it closes once no response is open
}

// SessionInfos lists up to limit sessions, in no order.
func (s *Server) SessionInfos(limit int) []SessionInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []SessionInfo
	for c := range s.sessions {
		if len(list) == limit {
			break
		}
		list = append(list, c.info())
	}
	return list
}
