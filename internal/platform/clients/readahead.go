package clients

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"gannethook/internal/connpool"
	"gannethook/internal/http1"
)

// readAhead reads a connection further than its user asks: what a client pipelines
// behind an open request is buffered in bounded memory, so that its disconnect is
// seen. It has one user at a time.
type readAhead struct {
	nc       net.Conn
	budget   *http1.Budget
	limit    int64  // bytes that the budget allows
	buffered []byte // read and not yet asked for
	held     int64  // bytes counted in the budget
	dropped  int    // bytes for which there was no room: nothing behind may be taken
	small    [256]byte
}

const (
	maxReadAhead = 256 << 10        // bytes kept of one connection
	floodPause   = time.Millisecond // between two reads of a client that sends on and on behind its open request
)

// largeBuffers are buffers for what is there already; what is waited for has the small one.
var largeBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// Read gives what is kept, then what comes.
func (a *readAhead) Read(p []byte) (int, error) {
	if len(a.buffered) > 0 {
		n := copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if len(a.buffered) == 0 {
			a.budget.Give(a.held)
			a.buffered, a.held = nil, 0
		}
		return n, nil
	}
	if a.dropped > 0 {
		return 0, io.EOF
	}
	return a.nc.Read(p)
}

// watch reads until the client leaves, which is io.EOF or another error of the
// connection, or until the read deadline passes. It hears a client out that sends
// on and on, at a pace: its leaving lies behind all that it sent.
func (a *readAhead) watch() error {
	for {
		if err := a.readOnce(a.small[:]); err != nil {
			return err
		}
		if err := a.drain(); err != nil {
			return err
		}
	}
}

// clientGone tells whether the client has left, behind whatever it sent ahead.
func (a *readAhead) clientGone() bool {
	err := a.drain()
	return err != nil && !isTimeout(err)
}

// drain reads what is there already; io.EOF tells that the client has left.
func (a *readAhead) drain() error {
	for {
		switch connpool.Look(a.nc) {
		case connpool.Quiet:
			return nil
		case connpool.PeerClosing:
			return io.EOF
		}
		part := largeBuffers.Get().(*[16 << 10]byte)
		err := a.readOnce(part[:])
		largeBuffers.Put(part)
		if err != nil {
			return err
		}
		if a.dropped > maxShutdownBytes {
			time.Sleep(floodPause)
		}
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readOnce reads once, and keeps it. Where there is no room it is heard and dropped.
func (a *readAhead) readOnce(part []byte) error {
	n, err := a.nc.Read(part)
	switch {
	case n == 0:
	case a.dropped > 0 || len(a.buffered)+n > maxReadAhead || !a.budget.Take(int64(n), a.limit):
		a.dropped += n
	default:
		a.held += int64(n)
		a.buffered = append(a.buffered, part[:n]...)
	}
	return err
}
