// Package engine is the HTTP/1.1 client of the engines: completions with
// server-sent events, the kv_transfer_params exchange of disaggregated vLLM,
// ORCA load reports, and the extension of docs/engine-protocol.md for places
// and releases. It carries out one attempt and tells how it ended; it decides
// nothing and tries nothing again.
package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
)

// Limits bound the connections to one engine.
type Limits struct {
	Dial        time.Duration // a connection not made by then has failed to connect
	Idle        time.Duration // an unused connection closes; keep it under the engine's own
	IdleConns   int           // unused connections kept
	Spare       int           // unused connections opened ahead, so that a stream need not wait for a dial
	StreamIdle  time.Duration // a stream without a token for so long is broken
	Extension   time.Duration // a place or release not answered by then is taken as refused
	PlaceIdle   time.Duration // a place lapses by itself when it has waited for its answer for so long
	ResponseMax int           // bytes of an answer that is not streamed
	WholeMax    int           // bytes of the answer to one-stage work
}

// DefaultLimits suit engines on a data centre's network.
func DefaultLimits() Limits {
	return Limits{Dial: 250 * time.Millisecond, Idle: 25 * time.Second, IdleConns: 64, Spare: 2,
		StreamIdle: 10 * time.Second, Extension: 400 * time.Millisecond,
		PlaceIdle: 500 * time.Millisecond, ResponseMax: 1 << 20, WholeMax: 32 << 20}
}

// control marks the connections that places and releases go by. They are apart
// from those of attempts, which streams hold for long: what a place came by is
// free again when the place is to be let go, also while new connections fail.
const control = "control "

// pool keeps unused connections, and opens some ahead.
type pool struct {
	lim     Limits
	idle    *connpool.Idle
	mu      sync.Mutex
	filling map[string]bool
	shut    bool
	ctx     context.Context // of the dials ahead
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func (p *pool) open() {
	p.idle, p.filling = connpool.NewIdle(p.lim.Idle, 0, p.lim.IdleConns), map[string]bool{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// fill opens spare connections to an engine, in the background. HTTP/1.1 gives
// each stream a connection of its own; without spares nearly every stream would
// dial, and slow handshakes would look like failing engines. A dial that fails
// ends it; the next use of the engine tries again.
func (p *pool) fill(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || p.filling[addr] || p.idle.Count(addr) >= p.lim.Spare {
		return
	}
	p.filling[addr] = true
	p.wg.Go(func() {
		for p.spare(addr) {
		}
	})
}

// spare opens one connection; it tells whether another is wanted.
func (p *pool) spare(addr string) bool {
	c, err := p.dial(p.ctx, addr)
	if err == nil {
		p.idle.Put(addr, c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	again := err == nil && !p.shut && p.idle.Count(addr) < p.lim.Spare
	if !again {
		delete(p.filling, addr)
	}
	return again
}

// get gives a connection: an unused one that still stands, else a new one. Control
// may use an attempt's; an attempt uses one for control only where its dial has
// failed: at a writer that holds its place the state is there already, and a
// place's own connection is still open.
func (p *pool) get(ctx context.Context, addr string, ctl bool) (*connpool.Conn, error) {
	defer p.fill(addr)
	if ctl {
		if c := p.idle.Take(control + addr); c != nil {
			return c, nil
		}
	}
	if c := p.idle.Take(addr); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, addr)
	if err != nil && !ctl && ctx.Err() == nil {
		if c := p.idle.Take(control + addr); c != nil {
			return c, nil
		}
	}
	return c, err
}

func (p *pool) dial(ctx context.Context, addr string) (*connpool.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.lim.Dial)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(dialCtx, "tcp", addr)
	if err != nil {
		return nil, attempt.NotSent{Err: err, Local: connpool.IsLocal(err)}
	}
	return connpool.New(nc, 4096, nil), nil
}

// close closes what is unused and ends the dials ahead.
func (p *pool) close() {
	p.mu.Lock()
	p.shut = true
	p.mu.Unlock()
	p.cancel()
	p.idle.Close()
	p.wg.Wait()
}
