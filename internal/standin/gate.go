// Package standin has the servers that a router meets, made for its tests and
// days: engines that read and write, and a roster with the EndpointSlice watch.
// They take faults on command and record what passes. Their figures are those
// of a stand-in, not of a model.
package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a listener whose connections can be frozen, cut, or hard to open.
type gate struct {
	*net.TCPListener
	swallowed func(text []byte) // told of what came in while frozen
	mu        sync.Mutex
	cond      *sync.Cond
	frozen    bool // nothing is read, written or accepted
	jammed    bool // nothing is accepted
	closed    bool
	busy      bool // a call of the kernel's accept is out
	conns     map[*gateConn]bool
	plug      net.Conn // fills the queue while nothing is accepted
}

func listen(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{TCPListener: ln.(*net.TCPListener), conns: map[*gateConn]bool{}}
	g.cond = sync.NewCond(&g.mu)
	return g, nil
}

// Accept waits while the gate is frozen or jammed.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for (g.frozen || g.jammed) && !g.closed {
			g.cond.Wait()
		}
		g.busy = true
		g.mu.Unlock()
		nc, err := g.TCPListener.Accept()
		g.mu.Lock()
		g.busy = false
		g.cond.Broadcast()
		shut := g.frozen || g.jammed
		g.mu.Unlock()
		if err != nil && shut && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return g.take(nc)
	}
}

func (g *gate) take(nc net.Conn) (net.Conn, error) {
	c := &gateConn{Conn: nc, g: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	g.conns[c] = true
	return c, nil
}

// freeze stops all that passes, without a word to the peers.
func (g *gate) freeze(on bool) { g.shut(&g.frozen, on) }

// jam makes new connections time out; open ones go on.
func (g *gate) jam(on bool) { g.shut(&g.jammed, on) }

func (g *gate) shut(which *bool, on bool) {
	g.mu.Lock()
	*which = on
	g.cond.Broadcast()
	full := g.frozen || g.jammed
	if full { // the call that is out may not take one more
		g.TCPListener.SetDeadline(time.Unix(1, 0))
		for g.busy && !g.closed {
			g.cond.Wait()
		}
		g.TCPListener.SetDeadline(time.Time{})
	}
	g.mu.Unlock()
	g.backlog(full)
}

// backlog shrinks the kernel's queue of connections and fills it, so that the
// kernel drops what dials; or makes room again. Without it the kernel would
// accept on our behalf, and a vanished server could not be told from a slow one.
func (g *gate) backlog(full bool) {
	raw, err := g.TCPListener.SyscallConn()
	if err != nil {
		return
	}
	size := syscall.SOMAXCONN
	if full {
		size = 0
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), size) })
	var plug net.Conn
	if full { // a queue of size 0 takes one; where it has one already, this dial is dropped like the rest
		plug, _ = net.DialTimeout("tcp", g.Addr().String(), 200*time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.plug != nil {
		g.plug.Close() // one that is closed still fills its place
	}
	g.plug = plug
}

// die closes the listener and resets every connection.
func (g *gate) die() {
	g.mu.Lock()
	g.closed = true
	conns, plug := g.conns, g.plug
	g.conns, g.plug = map[*gateConn]bool{}, nil
	g.mu.Unlock()
	g.cond.Broadcast()
	g.TCPListener.Close()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Conn.Close()
	}
	if plug != nil {
		plug.Close()
	}
}

// Close is die without resets.
func (g *gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cond.Broadcast()
	return g.TCPListener.Close()
}

type gateConn struct {
	net.Conn
	g    *gate
	once sync.Once
}

var errThawedDead = errors.New("standin: the server died while frozen")

// pass waits while the gate is frozen.
func (c *gateConn) pass() error {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	for c.g.frozen && !c.g.closed {
		c.g.cond.Wait()
	}
	if c.g.closed && !c.g.conns[c] {
		return errThawedDead
	}
	return nil
}

func (c *gateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.g.mu.Lock()
	frozen := c.g.frozen
	c.g.mu.Unlock()
	if frozen && n > 0 && c.g.swallowed != nil {
		c.g.swallowed(p[:n])
	}
	if perr := c.pass(); perr != nil {
		return 0, perr
	}
	return n, err
}

func (c *gateConn) Write(p []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *gateConn) Close() error {
	c.once.Do(func() {
		c.g.mu.Lock()
		delete(c.g.conns, c)
		c.g.mu.Unlock()
	})
	return c.Conn.Close()
}
