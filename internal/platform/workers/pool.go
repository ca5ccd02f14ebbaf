package workers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
	"gannethook/internal/faults"
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
	room room
}

// Pauses before a dial that failed for want of something of this machine is made again.
const (
	firstDialPause = 2 * time.Millisecond
	maxDialPause   = 20 * time.Millisecond
)

// acquire gives a connection: an unused one that still stands, else a new one; control
// tells that it is for a place or a release, fresh that a new one is wanted.
//
// Where no connection can be had for a reason that lies on this machine, it waits
// for as long as a connection may take to come up: every other worker would be
// refused just so, and all attempts would soon be used up.
func (p *pool) acquire(ctx context.Context, addr string, control, fresh bool) (*connpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.lim.Load().Dial)
	defer cancel()
	for pause := firstDialPause; ; pause = min(2*pause, maxDialPause) {
		c, err := p.reserve(ctx, addr, control, fresh)
		if err != nil {
			return nil, attempt.NotSent{Err: err, Local: true}
		}
		if c != nil {
			return c, nil
		}
		d := net.Dialer{KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, addr)
		if err == nil {
			return connpool.New(nc, 2048, p.room.release), nil
		}
		p.room.release()
		if !connpool.IsLocal(err) {
			return nil, attempt.NotSent{Err: err}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, attempt.NotSent{Err: err, Local: true}
		}
	}
}

// reserve gives an unused connection, or counts one more: nil tells that it may be
// made. It waits for either.
func (p *pool) reserve(ctx context.Context, addr string, control, fresh bool) (*connpool.Conn, error) {
	for {
		if !fresh {
			if c := p.idle.Take(addr); c != nil {
				return c, nil
			}
		}
		if p.room.take(p.most(control)) {
			return nil, nil
		}
		if p.idle.CloseOldest() { // which makes room
			continue
		}
		if !p.room.wait(ctx, control) {
			return nil, errNoRoom
		}
	}
}

// most is how many connections there may be. Attempts leave a tenth to places and
// releases: what holds a state must be able to let it go.
func (p *pool) most(control bool) int64 {
	most := int64(p.lim.Load().Conns)
	if !control {
		most -= most / 10
	}
	return most
}

// put keeps a connection after a whole exchange; whoever waits for one looks again.
func (p *pool) put(addr string, c *connpool.Conn) {
	p.idle.Put(addr, c)
	p.room.wake()
}
