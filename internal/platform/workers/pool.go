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

// Limits bound the connections to all workers and the time that workers may take.
type Limits struct {
	Conns              int           // open at once, in use or idle
	IdlePerWorker      int           // idle connections kept for each worker
	Dial               time.Duration // to get a connection: for a free one under Conns, and to connect
	Idle               time.Duration // an idle connection is closed after it; shorter than the workers' own idle timeout
	ReuseDelay         time.Duration // idle time before a connection is reused: a duplicate response may still arrive on it
	StreamIdle         time.Duration // a stream without a whole event for so long has broken
	ReservationTimeout time.Duration // for the answer to a place request; after it the place may or may not be held
	ReleaseTimeout     time.Duration // for one worker to answer a release
}

// Reasons why no connection was opened.
var (
	errNoConnection = errors.New("all connections to workers are in use")
	errRejecting    = errors.New("the worker rejects new connections")
)

// pool keeps idle connections and limits the number of open ones.
type pool struct {
	limits *atomic.Pointer[Limits]
	idle   *connpool.Idle
	conns  connLimiter
}

// Pauses before a dial is retried that failed for lack of a local resource (descriptors, ports, buffers), doubled up to the maximum.
const (
	firstDialPause = 2 * time.Millisecond
	maxDialPause   = 20 * time.Millisecond
)

// acquire returns a usable idle connection, else a new one where mayDial allows it.
// control is set for a place request or a release; newConn demands a new connection.
//
// Where a local resource is lacking, it waits for up to Limits.Dial instead of
// failing: attempts at every other worker would fail for the same reason, and the
// request would soon have used up its retries.
func (p *pool) acquire(ctx context.Context, addr string, control, newConn bool, mayDial func() bool) (*connpool.Conn, error) {
	deadline := time.Now().Add(p.limits.Load().Dial)
	if faults.GuardDisabled(faults.BreakRoom) {
		deadline = time.Now()
	}
	for pause := firstDialPause; ; pause = min(2*pause, maxDialPause) {
		c, err := p.reserve(ctx, deadline, addr, control, newConn)
		if err != nil {
			return nil, attempt.NotSent{Err: err, Local: true}
		}
		if c != nil {
			return c, nil
		}
		if !mayDial() {
			p.conns.release()
			return nil, attempt.NotSent{Err: errRejecting, Local: true}
		}
		d := net.Dialer{Deadline: deadline, KeepAlive: -1}
		nc, err := faults.Dial(ctx, &d, addr)
		if err == nil {
			return connpool.New(nc, 2048, p.conns.release), nil
		}
		p.conns.release()
		if !connpool.IsLocal(err) {
			return nil, attempt.NotSent{Err: err}
		}
		if ctx.Err() != nil || time.Until(deadline) < pause {
			return nil, attempt.NotSent{Err: err, Local: true}
		}
		time.Sleep(pause)
	}
}

// reserve returns an idle connection, or nil after reserving a slot for a new one. It
// waits for either until the deadline.
func (p *pool) reserve(ctx context.Context, deadline time.Time, addr string, control, newConn bool) (*connpool.Conn, error) {
	if c, ok := p.tryReserve(addr, control, newConn); ok {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for p.conns.wait(ctx, control) {
		if c, ok := p.tryReserve(addr, control, newConn); ok {
			return c, nil
		}
	}
	return nil, errNoConnection
}

// tryReserve is reserve without waiting. It closes the oldest idle connections, of any worker, to free a slot.
func (p *pool) tryReserve(addr string, control, newConn bool) (c *connpool.Conn, ok bool) {
	for {
		if !newConn {
			if c := p.idle.Take(addr); c != nil {
				return c, true
			}
		}
		if p.conns.tryAcquire(p.maxConns(control)) {
			return nil, true
		}
		if !p.idle.CloseOldest() {
			return nil, false
		}
	}
}

// maxConns returns the limit on open connections. Attempts leave a tenth to place
// requests and releases: held states have to be released even if attempts use up the rest.
func (p *pool) maxConns(control bool) int64 {
	limit := int64(p.limits.Load().Conns)
	if !control {
		limit -= limit / 10
	}
	return limit
}

// put returns a connection to the pool after a complete exchange and wakes the next caller that waits for one.
func (p *pool) put(addr string, c *connpool.Conn) {
	p.idle.Put(addr, c)
	p.conns.wakeNext()
}
