package connpool

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection with its buffers, owned by one exchange at a time.
type Conn struct {
	net.Conn
	BR        *bufio.Reader
	BW        *bufio.Writer
	IdleFor   time.Duration // before Take; 0: the connection is new
	ID        uint64        // number in the log, unique in this process
	name      string        // under which Idle keeps it
	idleSince time.Time     // when Put kept it
	closeOnce sync.Once
	onClose   func() // may be nil
}

// New wraps a connection with buffers of the given size; onClose, if not nil, is called once, when it is closed.
func New(nc net.Conn, size int, onClose func()) *Conn {
	return &Conn{Conn: nc, ID: lastConnID.Add(1), BR: bufio.NewReaderSize(nc, size), BW: bufio.NewWriterSize(nc, size), onClose: onClose}
}

// lastConnID is the ID of the newest connection.
var lastConnID atomic.Uint64

// String returns the connection's number and whether it is new or was reused, for the log.
func (c *Conn) String() string {
	if c.IdleFor > 0 {
		return fmt.Sprintf("conn %d, unused for %v", c.ID, c.IdleFor.Round(time.Millisecond))
	}
	return fmt.Sprintf("conn %d, new", c.ID)
}

// Close closes the connection. It is safe for concurrent and repeated use.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.Conn.Close()
}

// Idle is a pool of idle connections by name, such as the peer's address, newest last.
// It closes connections that it does not keep. It is safe for concurrent use.
type Idle struct {
	maxIdle    time.Duration // after which an idle connection is closed
	reuseDelay time.Duration // idle time before a connection is reused: an unsolicited response may still arrive on it
	maxPerName int           // connections of one name
	mu         sync.Mutex
	byName     map[string][]*Conn
	closed     bool // nothing more is kept
}

// NewIdle returns a pool that keeps up to maxPerName connections of each name. Take returns those that have been idle
// for reuseDelay at least and less than maxIdle.
func NewIdle(maxIdle, reuseDelay time.Duration, maxPerName int) *Idle {
	return &Idle{maxIdle: maxIdle, reuseDelay: reuseDelay, maxPerName: maxPerName, byName: map[string][]*Conn{}}
}

// SetLimits changes the limits from now on.
func (i *Idle) SetLimits(maxIdle, reuseDelay time.Duration, maxPerName int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.maxIdle, i.reuseDelay, i.maxPerName = maxIdle, reuseDelay, maxPerName
}

// Take returns the newest usable connection that has been idle for reuseDelay, or nil. It closes the unusable ones it finds.
func (i *Idle) Take(name string) *Conn {
	for {
		c, maxIdle := i.pop(name)
		if c == nil {
			return nil
		}
		c.IdleFor = time.Since(c.idleSince)
		if c.IdleFor < maxIdle && IsUsable(c.Conn) {
			return c
		}
		c.Close()
	}
}

func (i *Idle) pop(name string) (c *Conn, maxIdle time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byName[name]
	for at := len(list) - 1; at >= 0; at-- { // newest last
		if c := list[at]; time.Since(c.idleSince) >= i.reuseDelay {
			i.set(name, slices.Delete(list, at, at+1))
			return c, i.maxIdle
		}
	}
	return nil, 0
}

func (i *Idle) set(name string, list []*Conn) {
	if i.byName[name] = list; len(list) == 0 {
		delete(i.byName, name)
	}
}

// Put keeps a connection after a complete exchange; it closes one that was closed meanwhile or has unsolicited data.
func (i *Idle) Put(name string, c *Conn) {
	c.name, c.idleSince = name, time.Now()
	if c.SetDeadline(time.Time{}) != nil || c.BR.Buffered() > 0 || !i.keep(c) {
		c.Close()
	}
}

func (i *Idle) keep(c *Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || len(i.byName[c.name]) >= i.maxPerName {
		return false
	}
	i.byName[c.name] = append(i.byName[c.name], c)
	return true
}

// Count returns the number of connections kept under a name.
func (i *Idle) Count(name string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.byName[name])
}

// Names returns the names with a connection that has been idle for reuseDelay.
func (i *Idle) Names() map[string]bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	names := make(map[string]bool, len(i.byName))
	for name, list := range i.byName {
		if time.Since(list[0].idleSince) >= i.reuseDelay { // the oldest
			names[name] = true
		}
	}
	return names
}

// CloseOldest closes the connection idle for longest; it returns false if none is kept.
func (i *Idle) CloseOldest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var oldest *Conn
	for _, list := range i.byName {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	i.set(oldest.name, slices.Delete(i.byName[oldest.name], 0, 1))
	oldest.Close()
	return true
}

// Sweep closes connections idle for maxIdle, and all those whose name is removed; removed may be nil.
func (i *Idle) Sweep(removed func(name string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for name, list := range i.byName {
		all := removed != nil && removed(name)
		i.set(name, slices.DeleteFunc(list, func(c *Conn) bool {
			expired := all || time.Since(c.idleSince) >= i.maxIdle
			if expired {
				c.Close()
			}
			return expired
		}))
	}
}

// Run sweeps at every interval until stop is closed.
func (i *Idle) Run(interval time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			i.Sweep(nil)
		case <-stop:
			return
		}
	}
}

// Close closes all connections, also those that are put back later.
func (i *Idle) Close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.Sweep(func(string) bool { return true })
}
