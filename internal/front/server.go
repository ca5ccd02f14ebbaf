// Package front is the clients' side of the router: HTTP/1.1 up to the
// WebSocket handshake, then sessions of the Realtime API. It hands requests to
// the driver and writes what comes back; it decides nothing about them.
package front

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gannethook/internal/driver"
	"gannethook/internal/http1"
	"gannethook/internal/settings"
	"gannethook/internal/ws"
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
	drv    *driver.Driver
	boot   string // names this life of the router
	guard  *guard
	serial atomic.Uint64
	done   func(driver.Summary)
	left   func() // a connection has ended

	mu       sync.Mutex
	sessions map[*session]bool
	conns    map[net.Conn]time.Time // of sessions too, with when they came
	closing  bool                   // no more sessions
	turned   time.Time
	final    bool // the listeners are closed for good
	ended    bool // no more connections
	loops    int  // that accept
	wg       sync.WaitGroup
}

// NewServer returns a server for a driver. done is told of the responses that
// end here, without having come to the driver.
func NewServer(cfg *settings.File, drv *driver.Driver, done func(driver.Summary)) *Server {
	s := &Server{drv: drv, done: done, boot: fmt.Sprintf("%s-%x", cfg.Name, time.Now().UnixNano()),
		guard: newGuard(cfg), sessions: map[*session]bool{}, conns: map[net.Conn]time.Time{}, left: func() {}}
	s.cfg.Store(cfg)
	return s
}

// Swap has new settings hold from the next event of each session on; those of
// connections hold for new ones.
func (s *Server) Swap(cfg *settings.File) { s.cfg.Store(cfg) }

// OnLeave sets what is called when a connection has ended. It is set before Serve.
func (s *Server) OnLeave(left func()) { s.left = left }

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
	s.conns[nc] = time.Now()
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

// serve reads one opening handshake. The whole head has one deadline, however
// slowly its bytes drip.
func (s *Server) serve(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(s.cfg.Load().Sessions.Handshake))
	br := bufio.NewReaderSize(nc, 1024)
	bw := bufio.NewWriterSize(nc, 512)
	req, err := http1.ReadRequest(br)
	if err != nil {
		s.badHead(bw, err)
		return
	}
	path, _, _ := strings.Cut(req.Target, "?")
	switch {
	case path == LivePath, path == ReadyPath && !s.stopping():
		reply(bw, "200 OK")
		return
	case path != Path && path != ReadyPath:
		reply(bw, "404 Not Found")
		return
	case s.stopping() && !s.adopted(nc):
		reply(bw, "503 Service Unavailable")
		return
	}
	if err := ws.Upgrade(bw, req, "realtime"); err != nil {
		return
	}
	nc.SetDeadline(time.Time{})
	s.session(ws.New(nc, br, false, s.cfg.Load().SessionLimits()), req)
}

func (s *Server) badHead(bw *bufio.Writer, err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		reply(bw, "431 Request Header Fields Too Large")
	case errors.Is(err, http1.ErrMalformed):
		reply(bw, "400 Bad Request")
	}
}

func reply(bw *bufio.Writer, status string) {
	http1.WriteHead(bw, "HTTP/1.1 "+status, http1.Header{{Name: "Content-Length", Value: "0"},
		{Name: "Connection", Value: "close"}})
	bw.Flush()
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
	return !s.ended && (s.final || s.conns[nc].Before(s.turned))
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
	for _, came := range s.conns {
		if !s.closing || came.Before(s.turned) {
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
