// Package front is the clients' side of the router: HTTP/1.1 up to the
// WebSocket handshake, then sessions of the Realtime API. It hands requests to
// the driver and writes what comes back; it decides nothing about them.
package front

import (
	"bufio"
	"context"
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

// Path is where sessions are opened.
const Path = "/v1/realtime"

// Server serves sessions.
type Server struct {
	cfg    *settings.File
	drv    *driver.Driver
	boot   string // names this life of the router
	guard  *guard
	limits ws.Limits
	serial atomic.Uint64
	done   func(driver.Summary)

	mu       sync.Mutex
	sessions map[*session]bool
	conns    map[net.Conn]bool // of sessions too
	closing  bool
	wg       sync.WaitGroup
}

// NewServer returns a server for a driver. done is told of the responses that
// end here, without having come to the driver.
func NewServer(cfg *settings.File, drv *driver.Driver, done func(driver.Summary)) *Server {
	return &Server{cfg: cfg, drv: drv, done: done, boot: fmt.Sprintf("%s-%x", cfg.Name, time.Now().UnixNano()),
		guard: newGuard(cfg), limits: cfg.SessionLimits(), sessions: map[*session]bool{}, conns: map[net.Conn]bool{}}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ln net.Listener) error {
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

// admit counts a connection; too many are turned away before a byte is read.
func (s *Server) admit(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.cfg.Sessions.Most {
		return false
	}
	s.conns[nc] = true
	s.wg.Add(1) // under the lock: Shutdown waits only after closing is set
	return true
}

func (s *Server) forget(nc net.Conn) {
	nc.Close()
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
}

// serve reads one opening handshake. The whole head has one deadline, however
// slowly its bytes drip.
func (s *Server) serve(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(s.cfg.Sessions.Handshake))
	br := bufio.NewReaderSize(nc, 1024)
	bw := bufio.NewWriterSize(nc, 512)
	req, err := http1.ReadRequest(br)
	if err != nil {
		s.badHead(bw, err)
		return
	}
	path, _, _ := strings.Cut(req.Target, "?")
	if path != Path {
		reply(bw, "404 Not Found")
		return
	}
	if s.stopping() {
		reply(bw, "503 Service Unavailable")
		return
	}
	if err := ws.Upgrade(bw, req, "realtime"); err != nil {
		return
	}
	nc.SetDeadline(time.Time{})
	s.session(ws.New(nc, br, false, s.limits), req)
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

func (s *Server) join(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.sessions[c] = true
	return true
}

func (s *Server) leave(c *session) {
	s.mu.Lock()
	delete(s.sessions, c)
	s.mu.Unlock()
}

// lastWords is how long sessions may take to close once their answers are given.
const lastWords = time.Second

// Shutdown takes no more sessions or responses and lets the open responses end.
// Each session is closed with 1001 once it has none. When the context ends,
// giveUp has every open response answered; what then stays open is cut.
func (s *Server) Shutdown(ctx context.Context, giveUp func()) {
	s.mu.Lock()
	s.closing = true
	for c := range s.sessions {
		go c.drain()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	giveUp()
	select {
	case <-done:
		return
	case <-time.After(lastWords):
	}
	s.mu.Lock()
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	<-done
}
