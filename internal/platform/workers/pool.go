package workers

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"gannethook/internal/conns"
)

// Limits bound the connections to all workers.
type Limits struct {
	Conns  int           // open at once, used or not
	Spare  int           // unused ones kept for each worker
	Dial   time.Duration // a connection not made by then has failed to connect
	Idle   time.Duration // an unused connection is retired; under the workers' own time
	Silent time.Duration // a stream that brings nothing for so long is broken
	Hold   time.Duration // a place not answered by then is not known
	Let    time.Duration // one worker's time to answer a release
}

// conn is one connection, owned by one exchange at a time.
type conn struct {
	net.Conn
	addr string
	br   *bufio.Reader
	used time.Time     // when it was put back last; zero: never
	idle time.Duration // how long it had been unused when it was taken; 0: it is new
}

// errDial marks that the request was not written whole, so that nothing can have run.
type errDial struct{ error }

func (e errDial) Unwrap() error { return e.error }

var errNoRoom = errors.New("all connections to workers are in use")

// pool keeps the unused connections by address, newest last, and counts all.
type pool struct {
	lim  Limits
	mu   sync.Mutex
	idle map[string][]*conn
	open int
	shut bool
}

// get gives a connection: an unused one that still stands, else a new one; ctl
// tells that it is for a place or a release, fresh that a new one is wanted.
func (p *pool) get(ctx context.Context, addr string, ctl, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr, ctl)
		}
		c.idle = time.Since(c.used)
		if c.idle < p.lim.Idle && conns.Stands(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx, addr, ctl)
}

// pop takes the newest unused connection.
func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if p.idle[addr] = list[:len(list)-1]; len(list) == 1 {
		delete(p.idle, addr)
	}
	return c
}

// dial makes a connection, in place of the one unused for longest where there are too many.
func (p *pool) dial(ctx context.Context, addr string, ctl bool) (*conn, error) {
	if !p.room(ctl) {
		return nil, errDial{errNoRoom}
	}
	ctx, cancel := context.WithTimeout(ctx, p.lim.Dial)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errDial{err}
	}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, 2048)}, nil
}

// room counts one more connection, if there may be one. Attempts leave a tenth
// to places and releases: what holds a state must be able to let it go.
func (p *pool) room(ctl bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.lim.Conns
	if !ctl {
		most -= most / 10
	}
	if p.open < most {
		p.open++
		return true
	}
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].used.Before(oldest.used) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.forget(oldest)
	oldest.Close() // its place in the count is the new one's
	return true
}

// forget takes an unused connection out of the list.
func (p *pool) forget(c *conn) {
	list := slices.DeleteFunc(p.idle[c.addr], func(o *conn) bool { return o == c })
	if p.idle[c.addr] = list; len(list) == 0 {
		delete(p.idle, c.addr)
	}
}

// drop closes a connection that was taken.
func (p *pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes a connection back after a whole exchange. What talks out of turn is of no use.
func (p *pool) put(c *conn) {
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.used = time.Now()
	p.mu.Lock()
	full := p.shut || len(p.idle[c.addr]) >= p.lim.Spare
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		p.drop(c)
	}
}

// sweep retires what has been unused for too long, or all that gone tells.
func (p *pool) sweep(gone func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		keep := slices.DeleteFunc(list, func(c *conn) bool {
			old := time.Since(c.used) >= p.lim.Idle || gone(addr)
			if old {
				c.Close()
				p.open--
			}
			return old
		})
		if p.idle[addr] = keep; len(keep) == 0 {
			delete(p.idle, addr)
		}
	}
}

// unused tells how many connections to an address wait.
func (p *pool) unused(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr])
}
