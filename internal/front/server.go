// Package front is the clients' side of the router: HTTP/1.1 with the APIs of
// package httpapi, and sessions of the Realtime API over WebSocket. It hands
// requests to the intake and writes what comes back; it decides nothing about them.
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

// Path is where sessions are opened. A load balancer asks the other two: alive
// answers 200 as long as the process serves, ready only while it takes sessions.
const (
	Path      = "/v1/realtime"
	LivePath  = "/livez"
	ReadyPath = "/readyz"
)

// Server serves sessions.
type Server struct {
	cfg    atomic.Pointer[settings.File]
	in     *admission.Controller
	tls    *tls.Config                   // nil: clients speak plainly
	keys   atomic.Pointer[apikeys.Table] // nil: clients name their tenant themselves
	boot   string                        // names this life of the router
	guard  *guard
	serial atomic.Uint64
	bodies http1.Budget // of requests under way
	done   func(driver.Summary)
	left   func() // a connection has ended

	mu       sync.Mutex
	sessions map[*session]bool
	conns    map[net.Conn]*guest // of sessions too
	closing  bool                // no more sessions
	turned   time.Time
	final    bool // the listeners are closed for good
	ended    bool // no more connections
	loops    int  // that accept
	wg       sync.WaitGroup
}

// guest is one connection.
type guest struct {
	came time.Time
	idle bool // between two requests: it may be closed
}

// NewServer returns a server before an intake. done is told of the requests that
// end here, without having come to the intake.
func NewServer(cfg *settings.File, in *admission.Controller, done func(driver.Summary)) *Server {
	s := &Server{in: in, done: done, boot: fmt.Sprintf("%s-%x", cfg.Name, time.Now().UnixNano()),
		guard: newGuard(cfg), sessions: map[*session]bool{}, conns: map[net.Conn]*guest{}, left: func() {}}
	s.cfg.Store(cfg)
	return s
}

// Swap has new settings hold from the next event of each session on; those of
// connections hold for new ones.
func (s *Server) Swap(cfg *settings.File) { s.cfg.Store(cfg) }

// OnLeave sets what is called when a connection has ended. It is set before Serve.
func (s *Server) OnLeave(left func()) { s.left = left }

// Secure has clients speak TLS. It is set before Serve.
func (s *Server) Secure(cfg *tls.Config) { s.tls = cfg }

// Keys has clients show one of these API keys from now on. What came by a key
// that is gone goes on to its answers; its sessions take nothing new and close,
// and what waits for its turn is turned away.
func (s *Server) Keys(t *apikeys.Table, gone []*apikeys.Key) {
	s.keys.Store(t)
	for _, k := range gone {
		s.in.Revoke(k.Client())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if c.who.key != "" && !t.Good(time.Now(), c.who.key) {
			go c.revoke()
		}
	}
}

// Boot names this life of the router.
func (s *Server) Boot() string { return s.boot }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ln net.Listener) error {
	s.loop(1)
	defer s.loop(-1)
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
			time.Sleep(10 * time.Millisecond) // out of descriptors: those that close make room
			continue
		}
		if !s.admit(nc) {
			nc.Close()
			continue
		}
		go func() {
			defer s.wg.Done()
			defer s.forget(nc)
			s.serve(nc)
		}()
	}
}

func (s *Server) loop(by int) {
	s.mu.Lock()
	s.loops += by
	s.mu.Unlock()
	s.left()
}

// admit counts a connection; too many are turned away before a byte is read.
func (s *Server) admit(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.conns) >= s.cfg.Load().Sessions.Most {
		return false
	}
	s.conns[nc] = &guest{came: time.Now()}
	s.wg.Add(1) // under the lock: End waits only after ended is set
	return true
}

func (s *Server) forget(nc net.Conn) {
	nc.Close()
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
	s.left()
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Sessions is how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// adopted tells whether a connection came before the router turned. Its client
// was promised a router by a listener that was open, so it gets its session; as
// all others, that one is told at once that the router goes.
func (s *Server) adopted(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.conns[nc]
	return !s.ended && g != nil && (s.final || g.came.Before(s.turned))
}

// join counts a session in. It is told to go at once if the router has turned.
func (s *Server) join(c *session) (going, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false, false
	}
	s.sessions[c] = true
	return s.closing, true
}

func (s *Server) leave(c *session) {
	s.mu.Lock()
	delete(s.sessions, c)
	s.mu.Unlock()
}

// Open is how many connections are still to end: after Turn those that came before it.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final {
		return len(s.conns) + s.loops
	}
	n := 0
	for _, g := range s.conns {
		if !s.closing || g.came.Before(s.turned) {
			n++
		}
	}
	return n
}

// Accept takes sessions, as at the start or after Turn. Sessions that were told
// to go still go.
func (s *Server) Accept() {
	s.mu.Lock()
	s.closing = false
	s.mu.Unlock()
}

// Turn takes no more sessions or responses and lets the open responses end.
// Each session is closed with 1001 once it has none. final tells that the
// listeners were closed before, for good.
func (s *Server) Turn(final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.final, s.turned = true, final, time.Now()
	for c := range s.sessions {
		go c.drain()
	}
	for nc, g := range s.conns {
		if g.idle {
			nc.SetReadDeadline(past)
		}
	}
}

// past wakes a read that waits.
var past = time.Unix(1, 0)

// rest marks a connection as between two requests, or as at work again.
func (s *Server) rest(nc net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.conns[nc]; g != nil {
		g.idle = idle
	}
}

// Cut closes every connection, whatever it is about.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

// End takes no more connections, cuts what is left and waits for it to end.
func (s *Server) End() {
	s.mu.Lock()
	s.ended, s.closing = true, true
	s.mu.Unlock()
	s.Cut()
	s.wg.Wait()
}

// Sight is a session as operators see it.
type Sight struct {
	ID    string
	Since time.Time
	Open  int // responses
	Made  int // responses asked for so far
	Going bool
}

// Sights lists the sessions, at most so many, in no order.
func (s *Server) Sights(most int) []Sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Sight
	for c := range s.sessions {
		if len(list) == most {
			break
		}
		list = append(list, c.sight())
	}
	return list
}
