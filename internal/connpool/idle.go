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
	BR      *bufio.Reader
	BW      *bufio.Writer
	IdleFor time.Duration // before it was taken; 0: it is new
	ID      uint64        // in the log, of all connections of this process
	name    string
	since   time.Time // when it was put back
	once    sync.Once
	closed  func()
}

// New wraps a connection; closed, if not nil, is called once it is closed.
func New(nc net.Conn, size int, closed func()) *Conn {
	return &Conn{Conn: nc, ID: made.Add(1), BR: bufio.NewReaderSize(nc, size), BW: bufio.NewWriterSize(nc, size), closed: closed}
}

// made counts the connections of this process.
var made atomic.Uint64

// String tells which connection it is, and how it was come by.
func (c *Conn) String() string {
	if c.IdleFor > 0 {
		return fmt.Sprintf("conn %d, unused for %v", c.ID, c.IdleFor.Round(time.Millisecond))
	}
	return fmt.Sprintf("conn %d, new", c.ID)
}

// Close closes it, from anywhere and any number of times.
func (c *Conn) Close() error {
	c.once.Do(func() {
		if c.closed != nil {
			c.closed()
		}
	})
	return c.Conn.Close()
}

// Idle keeps unused connections by name, newest last. It is safe for concurrent
// use. What it does not keep it closes.
type Idle struct {
	life   time.Duration // after which an unused connection is retired
	rest   time.Duration // for which it is not taken: what comes out of turn a little late spoils it
	most   int           // of one name
	mu     sync.Mutex
	byName map[string][]*Conn
	shut   bool
}

// NewIdle keeps so many of one name, each unused for life at the most and for rest at the least.
func NewIdle(life, rest time.Duration, most int) *Idle {
	return &Idle{life: life, rest: rest, most: most, byName: map[string][]*Conn{}}
}

// SetLimits sets other bounds for what is kept from now on.
func (i *Idle) SetLimits(life, rest time.Duration, most int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.life, i.rest, i.most = life, rest, most
}

// Take gives the newest that has rested and still stands, or nil. Those that do not stand are closed.
func (i *Idle) Take(name string) *Conn {
	for {
		c, life := i.pop(name)
		if c == nil {
			return nil
		}
		c.IdleFor = time.Since(c.since)
		if c.IdleFor < life && IsUsable(c.Conn) {
			return c
		}
		c.Close()
	}
}

func (i *Idle) pop(name string) (c *Conn, life time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byName[name]
	for at := len(list) - 1; at >= 0; at-- { // newest last
		if c := list[at]; time.Since(c.since) >= i.rest {
			i.set(name, slices.Delete(list, at, at+1))
			return c, i.life
		}
	}
	return nil, 0
}

func (i *Idle) set(name string, list []*Conn) {
	if i.byName[name] = list; len(list) == 0 {
		delete(i.byName, name)
	}
}

// Put keeps a connection after a whole exchange, unless it was cut meanwhile or talks out of turn.
func (i *Idle) Put(name string, c *Conn) {
	c.name, c.since = name, time.Now()
	if c.SetDeadline(time.Time{}) != nil || c.BR.Buffered() > 0 || !i.keep(c) {
		c.Close()
	}
}

func (i *Idle) keep(c *Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.shut || len(i.byName[c.name]) >= i.most {
		return false
	}
	i.byName[c.name] = append(i.byName[c.name], c)
	return true
}

// Count is how many of a name are kept.
func (i *Idle) Count(name string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.byName[name])
}

// Names are those of which at least one connection is kept that has rested.
func (i *Idle) Names() map[string]bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	names := make(map[string]bool, len(i.byName))
	for name, list := range i.byName {
		if time.Since(list[0].since) >= i.rest { // the oldest
			names[name] = true
		}
	}
	return names
}

// CloseOldest closes the one unused for longest; it is false where none is kept.
func (i *Idle) CloseOldest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var oldest *Conn
	for _, list := range i.byName {
		if oldest == nil || list[0].since.Before(oldest.since) {
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

// Sweep retires what has been unused for too long, and all of the names that gone tells.
func (i *Idle) Sweep(gone func(name string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for name, list := range i.byName {
		all := gone != nil && gone(name)
		i.set(name, slices.DeleteFunc(list, func(c *Conn) bool {
			old := all || time.Since(c.since) >= i.life
			if old {
				c.Close()
			}
			return old
		}))
	}
}

// Run sweeps every while until stop closes.
func (i *Idle) Run(every time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(every)
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

// Close closes all that is kept, and whatever is put back later.
func (i *Idle) Close() {
	i.mu.Lock()
	i.shut = true
	i.mu.Unlock()
	i.Sweep(func(string) bool { return true })
}
