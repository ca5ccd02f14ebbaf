package workers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/conns"
)

// Limits bound the connections to all workers.
type Limits struct {
	Conns  int           // open at once, used or not
	Spare  int           // unused ones kept for each worker
	Dial   time.Duration // a connection not made by then has failed to connect
	Idle   time.Duration // an unused connection is retired; under the workers' own time
	Rest   time.Duration // a connection is not used again so soon: a second answer may still come on it
	Silent time.Duration // a stream that brings nothing for so long is broken
	Hold   time.Duration // a place not answered by then is not known
	Let    time.Duration // one worker's time to answer a release
}

var errNoRoom = errors.New("all connections to workers are in use")

// pool keeps unused connections and counts all.
type pool struct {
	lim  Limits
	idle *conns.Idle
	open atomic.Int64
}

// get gives a connection: an unused one that still stands, else a new one; ctl
// tells that it is for a place or a release, fresh that a new one is wanted.
func (p *pool) get(ctx context.Context, addr string, ctl, fresh bool) (*conns.Conn, error) {
	if !fresh {
		if c := p.idle.Take(addr); c != nil {
			return c, nil
		}
	}
	if !p.room(ctl) {
		return nil, attempt.NotSent{Err: errNoRoom}
	}
	d := net.Dialer{Timeout: p.lim.Dial, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.open.Add(-1)
		return nil, attempt.NotSent{Err: err}
	}
	return conns.New(nc, 2048, func() { p.open.Add(-1) }), nil
}

// room counts one more connection, if there may be one in place of one that is
// unused. Attempts leave a tenth to places and releases: what holds a state must
// be able to let it go.
func (p *pool) room(ctl bool) bool {
	most := int64(p.lim.Conns)
	if !ctl {
		most -= most / 10
	}
	for p.open.Add(1) > most {
		p.open.Add(-1)
		if !p.idle.CloseOldest() {
			return false
		}
	}
	return true
}
