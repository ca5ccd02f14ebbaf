// Package standin has in-process test servers for the router: engines that serve reads and writes, and an
// EndpointSlice API with list and watch. They take injected faults and record the traffic. Their speeds are
// configured, not those of a model.
package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// faultListener is a TCP listener that can freeze or reset its connections, and stop accepting new ones.
type faultListener struct {
	*net.TCPListener
	onFrozenRead func(text []byte) // receives what arrived while frozen
	mu           sync.Mutex
	cond         *sync.Cond
	frozen       bool // nothing is read, written or accepted
	jammed       bool // nothing is accepted
	closed       bool
	accepting    bool // a call to the kernel's accept is in progress
	conns        map[*faultConn]bool
	queueFiller  net.Conn // connection that fills the backlog while nothing is accepted
}

func listen(addr string) (*faultListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &faultListener{TCPListener: ln.(*net.TCPListener), conns: map[*faultConn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	return l, nil
}

// Accept waits while the listener is frozen or jammed.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for (l.frozen || l.jammed) && !l.closed {
			l.cond.Wait()
		}
		l.accepting = true
		l.mu.Unlock()
		nc, err := l.TCPListener.Accept()
		l.mu.Lock()
		l.accepting = false
		l.cond.Broadcast()
		blocked := l.frozen || l.jammed
		l.mu.Unlock()
		if err != nil && blocked && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return l.track(nc)
	}
}

func (l *faultListener) track(nc net.Conn) (net.Conn, error) {
	c := &faultConn{Conn: nc, ln: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = true
	return c, nil
}

// freeze stops all traffic without closing or resetting a connection.
func (l *faultListener) freeze(on bool) { l.setBlocked(&l.frozen, on) }

// jam makes new connections time out; open ones continue.
func (l *faultListener) jam(on bool) { l.setBlocked(&l.jammed, on) }

func (l *faultListener) setBlocked(flag *bool, on bool) {
	l.mu.Lock()
	*flag = on
	l.cond.Broadcast()
	blocked := l.frozen || l.jammed
	if blocked { // the accept call in progress must not take another connection
		l.TCPListener.SetDeadline(time.Unix(1, 0))
		for l.accepting && !l.closed {
			l.cond.Wait()
		}
		l.TCPListener.SetDeadline(time.Time{})
	}
	l.mu.Unlock()
	l.setBacklog(blocked)
}

// setBacklog shrinks the kernel's accept queue and fills it, so that the kernel drops new connections, or restores
// it. Without it the kernel would accept in our place, and a vanished server would look like a slow one.
func (l *faultListener) setBacklog(blocked bool) {
	raw, err := l.TCPListener.SyscallConn()
	if err != nil {
		return
	}
	size := syscall.SOMAXCONN
	if blocked {
		size = 0
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), size) })
	var filler net.Conn
	if blocked { // a queue of size 0 takes one connection; if it has one, this dial is dropped as well
		filler, _ = net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queueFiller != nil {
		l.queueFiller.Close() // a closed connection still occupies its entry in the queue
	}
	l.queueFiller = filler
}

// abort closes the listener and resets every connection.
func (l *faultListener) abort() {
	l.mu.Lock()
	l.closed = true
	conns, filler := l.conns, l.queueFiller
	l.conns, l.queueFiller = map[*faultConn]bool{}, nil
	l.mu.Unlock()
	l.cond.Broadcast()
	l.TCPListener.Close()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Conn.Close()
	}
	if filler != nil {
		filler.Close()
	}
}

// Close closes the listener without resets.
func (l *faultListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cond.Broadcast()
	return l.TCPListener.Close()
}

type faultConn struct {
	net.Conn
	ln        *faultListener
	closeOnce sync.Once
}

var errClosedWhileFrozen = errors.New("standin: the server was killed while frozen")

// waitThawed waits while the listener is frozen.
func (c *faultConn) waitThawed() error {
	c.ln.mu.Lock()
	defer c.ln.mu.Unlock()
	for c.ln.frozen && !c.ln.closed {
		c.ln.cond.Wait()
	}
	if c.ln.closed && !c.ln.conns[c] {
		return errClosedWhileFrozen
	}
	return nil
}

func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.ln.mu.Lock()
	frozen := c.ln.frozen
	c.ln.mu.Unlock()
	if frozen && n > 0 && c.ln.onFrozenRead != nil {
		c.ln.onFrozenRead(p[:n])
	}
	if perr := c.waitThawed(); perr != nil {
		return 0, perr
	}
	return n, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.waitThawed(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *faultConn) Close() error {
	c.closeOnce.Do(func() {
		c.ln.mu.Lock()
		delete(c.ln.conns, c)
		c.ln.mu.Unlock()
	})
	return c.Conn.Close()
}
