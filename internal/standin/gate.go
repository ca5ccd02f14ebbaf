// Package standin has the servers that a router meets, made for its tests and
// days: engines that read and write, and a roster with the EndpointSlice watch.
// They take faults on command and record what passes. Their figures are those
// of a stand-in, not of a model.
package standin

import (
	"context"
	"errors"
	"net"
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
	conns     map[*gateConn]bool
	plugs     []net.Conn // that fill the jammed queue
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
		g.mu.Unlock()
		nc, err := g.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		c := &gateConn{Conn: nc, g: g}
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			nc.Close()
			return nil, net.ErrClosed
		}
		g.conns[c] = true
		g.mu.Unlock()
		return c, nil
	}
}

// freeze stops all that passes, without a word to the peers.
func (g *gate) freeze(on bool) { g.shut(&g.frozen, on) }

// jam makes new connections time out; open ones go on.
func (g *gate) jam(on bool) { g.shut(&g.jammed, on) }

func (g *gate) shut(which *bool, on bool) {
	g.mu.Lock()
	*which = on
	full := g.frozen || g.jammed
	g.mu.Unlock()
	g.cond.Broadcast()
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
	g.mu.Lock()
	plugs := g.plugs
	g.plugs = nil
	g.mu.Unlock()
	for _, p := range plugs {
		p.Close()
	}
	if !full {
		return
	}
	for range 4 { // one waits in Accept, one in the queue; the rest fail
		d := net.Dialer{Timeout: 30 * time.Millisecond}
		nc, err := d.DialContext(context.Background(), "tcp", g.Addr().String())
		if err != nil {
			return
		}
		g.mu.Lock()
		g.plugs = append(g.plugs, nc)
		g.mu.Unlock()
	}
}

// die closes the listener and resets every connection.
func (g *gate) die() {
	g.mu.Lock()
	g.closed = true
	conns, plugs := g.conns, g.plugs
	g.conns, g.plugs = map[*gateConn]bool{}, nil
	g.mu.Unlock()
	g.cond.Broadcast()
	g.TCPListener.Close()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Conn.Close()
	}
	for _, p := range plugs {
		p.Close()
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
