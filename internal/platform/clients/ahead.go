package clients

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"gannethook/internal/conns"
	"gannethook/internal/http1"
)

// ahead reads a connection, and further than its user does: what a client sends
// behind an open request is kept in bounded memory, so that its leaving is seen.
// It has one user at a time.
type ahead struct {
	nc     net.Conn
	budget *http1.Budget
	all    int64  // bytes that the budget allows
	kept   []byte // read and not yet asked for
	held   int64  // bytes counted in the budget
	lost   int    // bytes for which there was no room: nothing behind may be taken
	part   [256]byte
}

const (
	mostAhead  = 256 << 10        // bytes kept of one connection
	floodPause = time.Millisecond // between two reads of a client that sends on and on behind its open request
)

// parts are buffers for what is there already; what is waited for has the small one.
var parts = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// Read gives what is kept, then what comes.
func (a *ahead) Read(p []byte) (int, error) {
	if len(a.kept) > 0 {
		n := copy(p, a.kept)
		a.kept = a.kept[n:]
		if len(a.kept) == 0 {
			a.budget.Give(a.held)
			a.kept, a.held = nil, 0
		}
		return n, nil
	}
	if a.lost > 0 {
		return 0, io.EOF
	}
	return a.nc.Read(p)
}

// listen reads until the client leaves, which is io.EOF or another error of the
// connection, or until the read deadline passes. It hears a client out that sends
// on and on, at a pace: its leaving lies behind all that it sent.
func (a *ahead) listen() error {
	for {
		if err := a.fill(a.part[:]); err != nil {
			return err
		}
		if err := a.rest(); err != nil {
			return err
		}
	}
}

// left tells whether the client has left, behind whatever it sent ahead.
func (a *ahead) left() bool {
	err := a.rest()
	return err != nil && !isTimeout(err)
}

// rest reads what is there already; io.EOF tells that the client has left.
func (a *ahead) rest() error {
	for {
		switch conns.Look(a.nc) {
		case conns.Quiet:
			return nil
		case conns.Ends:
			return io.EOF
		}
		part := parts.Get().(*[16 << 10]byte)
		err := a.fill(part[:])
		parts.Put(part)
		if err != nil {
			return err
		}
		if a.lost > mostLinger {
			time.Sleep(floodPause)
		}
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// fill reads once, and keeps it. Where there is no room it is heard and dropped.
func (a *ahead) fill(part []byte) error {
	n, err := a.nc.Read(part)
	switch {
	case n == 0:
	case a.lost > 0 || len(a.kept)+n > mostAhead || !a.budget.Take(int64(n), a.all):
		a.lost += n
	default:
		a.held += int64(n)
		a.kept = append(a.kept, part[:n]...)
	}
	return err
}
