// Package engine is the HTTP/1.1 client of the engines: completions with server-sent events, the kv_transfer_params
// exchange of disaggregated vLLM, ORCA load reports, and the extension of docs/engine-protocol.md for places and
// releases. It owns the connections to engines. It carries out single attempts and returns their results; it makes no
// scheduling decisions and retries nothing but releases.
package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
)

// Limits are the timeouts and size limits of the connections to one engine.
type Limits struct {
	Dial        time.Duration // to establish a connection
	Idle        time.Duration // after which an unused connection is closed; keep it below the engine's own timeout
	IdleConns   int           // most unused connections that are kept
	Spare       int           // unused connections that are opened in advance, so that a stream need not wait for a dial
	StreamIdle  time.Duration // between two tokens of a stream; a stream without a token for longer is broken
	Extension   time.Duration // for the answer to a request for a place or a release
	PlaceIdle   time.Duration // after which the writer drops a place whose state arrived or failed and whose write has not come
	ResponseMax int           // largest answer that is not streamed, in bytes
	OneStageMax int           // largest answer to one-stage work, in bytes
}

// DefaultLimits suits engines in the same data center.
func DefaultLimits() Limits {
	return Limits{Dial: 250 * time.Millisecond, Idle: 25 * time.Second, IdleConns: 64, Spare: 2,
		StreamIdle: 10 * time.Second, Extension: 400 * time.Millisecond,
		PlaceIdle: 500 * time.Millisecond, ResponseMax: 1 << 20, OneStageMax: 32 << 20}
}

// controlPrefix marks the pool's connections for places and releases. They are separate from those of attempts, which
// streams occupy for long: the connection on which a place was granted is free when the place is to be released, even
// while new connections fail.
const controlPrefix = "control "

// pool keeps unused connections and opens some in advance.
type pool struct {
	limits  Limits
	idle    *connpool.Idle
	mu      sync.Mutex
	filling map[string]bool
	closed  bool
	ctx     context.Context // of background dials
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func (p *pool) start() {
	p.idle, p.filling = connpool.NewIdle(p.limits.Idle, 0, p.limits.IdleConns), map[string]bool{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// refill opens spare connections to an engine in the background. In HTTP/1.1 each stream occupies a connection; without
// spares nearly every stream would dial, and slow handshakes would look like failing engines. A failed dial ends the
// refill; the next use of the engine starts it again.
func (p *pool) refill(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.filling[addr] || p.idle.Count(addr) >= p.limits.Spare {
		return
	}
	p.filling[addr] = true
	p.wg.Go(func() {
		for p.dialSpare(addr) {
		}
	})
}

// dialSpare opens one connection and reports whether another is needed.
func (p *pool) dialSpare(addr string) bool {
	c, err := p.dial(p.ctx, addr)
	if err == nil {
		p.idle.Put(addr, c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	again := err == nil && !p.closed && p.idle.Count(addr) < p.limits.Spare
	if !again {
		delete(p.filling, addr)
	}
	return again
}

// get returns an unused connection that is still open, else a new one. Control requests may use a connection of
// attempts. An attempt uses a control connection only if its dial has failed: a write must go to the writer that holds
// its place, since the state is there already, and the connection on which the place was granted is still open.
func (p *pool) get(ctx context.Context, addr string, control bool) (*connpool.Conn, error) {
	defer p.refill(addr)
	if control {
		if c := p.idle.Take(controlPrefix + addr); c != nil {
			return c, nil
		}
	}
	if c := p.idle.Take(addr); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, addr)
	if err != nil && !control && ctx.Err() == nil {
		if c := p.idle.Take(controlPrefix + addr); c != nil {
			return c, nil
		}
	}
	return c, err
}

func (p *pool) dial(ctx context.Context, addr string) (*connpool.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.limits.Dial)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(dialCtx, "tcp", addr)
	if err != nil {
		return nil, attempt.NotSent{Err: err, Local: connpool.IsLocal(err)}
	}
	return connpool.New(nc, 4096, nil), nil
}

// close closes unused connections and ends background dials.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.idle.Close()
	p.wg.Wait()
}
