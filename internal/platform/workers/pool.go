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

// Why a connection was not made.
var (
	errNoRoom    = errors.New("all connections to workers are in use")
	errTurnsAway = errors.New("the worker turns new connections away")
)

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

// acquire gives a connection: an unused one that still stands, else a new one, where mayDial allows it; control
// tells that it is for a place or a release, fresh that a new one is wanted.
//
// Where no connection can be had for a reason that lies on this machine, it waits
// for as long as a connection may take to come up: every other worker would be
// refused just so, and all attempts would soon be used up.
func (p *pool) acquire(ctx context.Context, addr string, control, fresh bool, mayDial func() bool) (*connpool.Conn, error) {
	until := time.Now().Add(p.lim.Load().Dial)
	if faults.Broken(faults.BreakRoom) {
		until = time.Now()
	}
	for pause := firstDialPause; ; pause = min(2*pause, maxDialPause) {
		c, err := p.reserve(ctx, until, addr, control, fresh)
		if err != nil {
			return nil, attempt.NotSent{Err: err, Local: true}
		}
		if c != nil {
			return c, nil
		}
		if !mayDial() {
			p.room.release()
			return nil, attempt.NotSent{Err: errTurnsAway, Local: true}
		}
		d := net.Dialer{Deadline: until, KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, addr)
		if err == nil {
			return connpool.New(nc, 2048, p.room.release), nil
		}
		p.room.release()
		if !connpool.IsLocal(err) {
			return nil, attempt.NotSent{Err: err}
		}
		if ctx.Err() != nil || time.Until(until) < pause {
			return nil, attempt.NotSent{Err: err, Local: true}
		}
		time.Sleep(pause)
	}
}

// reserve gives an unused connection, or counts one more: nil tells that it may be
// made. It waits for either until a time.
func (p *pool) reserve(ctx context.Context, until time.Time, addr string, control, fresh bool) (*connpool.Conn, error) {
	if c, ok := p.tryReserve(addr, control, fresh); ok {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for p.room.wait(ctx, control) {
		if c, ok := p.tryReserve(addr, control, fresh); ok {
			return c, nil
		}
	}
	return nil, errNoRoom
}

// tryReserve is reserve without a wait. It closes what is unused to make room.
func (p *pool) tryReserve(addr string, control, fresh bool) (c *connpool.Conn, ok bool) {
	for {
		if !fresh {
			if c := p.idle.Take(addr); c != nil {
				return c, true
			}
		}
		if p.room.take(p.most(control)) {
			return nil, true
		}
		if !p.idle.CloseOldest() {
			return nil, false
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
