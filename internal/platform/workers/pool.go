package workers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
)

// Limits bound the connections to all workers.
type Limits struct {
	Conns              int           // open at once, used or not
	IdlePerWorker      int           // unused ones kept for each worker
	Dial               time.Duration // a connection not made by then has failed to connect
	Idle               time.Duration // an unused connection is retired; under the workers' own time
	ReuseDelay         time.Duration // a connection is not used again so soon: a second answer may still come on it
	StreamIdle         time.Duration // a stream that brings nothing for so long is broken
	ReservationTimeout time.Duration // a place not answered by then is not known
	ReleaseTimeout     time.Duration // one worker's time to answer a release
}

var errNoRoom = errors.New("all connections to workers are in use")

// pool keeps unused connections and counts all.
type pool struct {
	lim  *atomic.Pointer[Limits]
	idle *connpool.Idle
	open atomic.Int64
}

// acquire gives a connection: an unused one that still stands, else a new one; ctl
// tells that it is for a place or a release, fresh that a new one is wanted.
func (p *pool) acquire(ctx context.Context, addr string, ctl, fresh bool) (*connpool.Conn, error) {
	if !fresh {
		if c := p.idle.Take(addr); c != nil {
			return c, nil
		}
	}
	if err := p.reserve(ctx, ctl); err != nil {
		return nil, attempt.NotSent{Err: err}
	}
	d := net.Dialer{Timeout: p.lim.Load().Dial, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.open.Add(-1)
		return nil, attempt.NotSent{Err: err}
	}
	return connpool.New(nc, 2048, func() { p.open.Add(-1) }), nil
}

// roomPoll is how often a place or a release looks for room.
const roomPoll = 2 * time.Millisecond

// reserve counts one more connection. An attempt that finds no room goes
// elsewhere; a place or a release waits for some, since what is held has to be
// let go, and many requests that end at once let go at once.
func (p *pool) reserve(ctx context.Context, ctl bool) error {
	for !p.tryReserve(ctl) {
		if !ctl {
			return errNoRoom
		}
		select {
		case <-time.After(roomPoll):
		case <-ctx.Done():
			return errNoRoom
		}
	}
	return nil
}

// tryReserve counts one more connection, if there may be one in place of one that is
// unused. Attempts leave a tenth to places and releases: what holds a state must
// be able to let it go.
func (p *pool) tryReserve(ctl bool) bool {
	most := int64(p.lim.Load().Conns)
	if !ctl {
		most -= most / 10
	}
	for {
		open := p.open.Load()
		switch {
		case open < most:
			if p.open.CompareAndSwap(open, open+1) {
				return true
			}
		case !p.idle.CloseOldest():
			return false
		}
	}
}
