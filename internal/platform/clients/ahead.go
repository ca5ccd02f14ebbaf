package clients

import (
	"errors"
	"io"
	"net"

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

// errFlood tells that a client sends on and on behind its open request: it is heard no more.
var errFlood = errors.New("too much behind an open request")

// mostAhead bounds what is kept of one connection.
const mostAhead = 256 << 10

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

// fill reads once, and keeps it. Where there is no room it is heard and dropped.
func (a *ahead) fill() error {
	n, err := a.nc.Read(a.part[:])
	switch {
	case n == 0:
	case a.lost > 0 || len(a.kept)+n > mostAhead || !a.budget.Take(int64(n), a.all):
		if a.lost += n; a.lost > mostLinger {
			return errFlood
		}
	default:
		a.held += int64(n)
		a.kept = append(a.kept, a.part[:n]...)
	}
	return err
}
