package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// poller calls one agent until its context ends. A call whose response is late goes on, and
// another is made beside it on a connection of its own: a slow agent is heard however late
// it answers, and an agent that is silent on one connection is heard on the next. The first
// list that comes counts, and ends the other calls. One goroutine uses a poller.
type poller struct {
	watch   *Watch
	source  Source
	results chan result
	tasks   sync.WaitGroup

	calls   []*call       // in progress, oldest first
	full    bool          // the next call asks for the full list
	failed  bool          // the last call failed or is late
	retryAt time.Time     // when the next call is due; zero: none is
	delay   time.Duration // before the call after the next failure
	timeout time.Duration // of the responses of further calls, see call
}

const (
	maxCalls         = 4 // in progress at once; bounds the sockets that a silent agent takes
	maxTimeoutFactor = 8 // bound of the response timeout after slow responses, in multiples of ResponseTimeout
)

var errLate = errors.New("the response is late")

// run polls the agent, for the first time after a random part of spread.
func (p *poller) run(ctx context.Context, spread time.Duration) {
	defer p.tasks.Wait()
	defer p.endCalls()
	p.full, p.delay, p.timeout = spread == 0 || p.watch.Rev < 0, p.source.RetryDelay, p.source.ResponseTimeout
	p.retryAt = time.Now()
	if !p.full {
		p.retryAt = p.retryAt.Add(rand.N(spread))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(time.Until(p.nextCheck()))
		select {
		case r := <-p.results:
			p.handleResult(ctx, r)
		case <-timer.C:
			p.checkTime(ctx)
		case <-ctx.Done():
		}
	}
}

// nextCheck returns when the next call is due, or the response to the newest one late.
func (p *poller) nextCheck() time.Time {
	if !p.retryAt.IsZero() {
		return p.retryAt
	}
	return p.newest().lateAt()
}

// newest returns the call that was made last. There is one unless a further call is due.
func (p *poller) newest() *call { return p.calls[len(p.calls)-1] }

// checkTime makes the call that is due, or counts the newest one as failed if it is late.
func (p *poller) checkTime(ctx context.Context) {
	now := time.Now()
	switch {
	case now.Before(p.nextCheck()): // more of the response has come
	case !p.retryAt.IsZero():
		p.startCall(ctx, &connection{addr: p.source.Addr})
	default:
		if p.newest().isTooLong() { // the same timeout would be exceeded again
			p.timeout = min(2*p.timeout, maxTimeoutFactor*p.source.ResponseTimeout)
		}
		p.fail(errLate)
	}
}

// startCall makes a call on a connection. If too many are in progress, the second oldest
// ends: the oldest gets all of its time, for an agent that is very slow.
func (p *poller) startCall(ctx context.Context, conn *connection) {
	if len(p.calls) == maxCalls {
		p.calls[1].cancel()
		p.calls = slices.Delete(p.calls, 1, 2)
	}
	wait := p.source.PollWait
	if p.failed { // missed updates are requested without a wait, to detect sooner that the agent is still silent
		wait = time.Millisecond
	}
	target := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=%d", p.watch.Rev, wait.Milliseconds())
	if p.full || p.watch.Rev < 0 || p.watch.refreshIsDue() {
		target, wait = "/v1/endpoints", 0
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &call{conn: conn, target: target, wait: wait, timing: p.source.Timing, timeout: p.timeout, cancel: cancel,
		dueAt: time.Now().Add(dialTimeout + wait)}
	p.calls, p.retryAt = append(p.calls, c), time.Time{}
	p.tasks.Go(func() {
		list, err := c.get(ctx)
		if err != nil {
			conn.close()
		}
		select {
		case p.results <- result{c, list, err}:
		case <-ctx.Done():
			conn.close()
		}
	})
}

// handleResult takes the list of a call and makes the next call, or counts a failure.
func (p *poller) handleResult(ctx context.Context, r result) {
	r.call.cancel()
	i := slices.Index(p.calls, r.call)
	if i < 0 { // it ended as another list came
		r.call.conn.close()
		return
	}
	newest := r.call == p.newest()
	p.calls = slices.Delete(p.calls, i, i+1)
	if r.err == nil && !r.list.All && r.list.Rev < p.watch.Rev { // the agent restarted its revisions, so Rev means nothing to it
		p.full, r.err = true, fmt.Errorf("update to revision %d although %d is known: requesting the full list", r.list.Rev, p.watch.Rev)
		r.call.conn.close()
	}
	if r.err != nil {
		if newest && p.retryAt.IsZero() {
			p.fail(r.err)
		}
		return
	}
	if p.failed {
		p.watch.Log.Info("discovery answers again", zap.Int64("rev", r.list.Rev))
	}
	p.endCalls()
	p.full, p.failed, p.delay, p.timeout = false, false, p.source.RetryDelay, p.source.ResponseTimeout
	if r.list.All && p.watch.refreshIsDue() {
		p.watch.refreshAt = time.Time{}
	}
	if r.list.All && r.list.Rev < p.watch.Rev {
		p.watch.Log.Warn("discovery sent an older list", zap.Int64("rev", r.list.Rev), zap.Int64("known", p.watch.Rev))
		p.watch.refreshAt = time.Now().Add(withdrawalHold)
	}
	p.watch.Rev = r.list.Rev
	p.watch.OnList(r.list)
	if ctx.Err() != nil {
		r.call.conn.close()
		return
	}
	p.startCall(ctx, r.call.conn)
}

// fail schedules the next call after the newest one has failed or is late.
func (p *poller) fail(err error) {
	if !p.failed {
		p.watch.Log.Warn("discovery does not answer", zap.Error(err))
	}
	p.failed = true
	p.retryAt = time.Now().Add(p.delay - rand.N(p.delay/2)) // random: other routers failed at the same moment
	p.delay = min(2*p.delay, p.source.MaxRetryDelay)
}

// endCalls ends all calls in progress.
func (p *poller) endCalls() {
	for _, c := range p.calls {
		c.cancel()
	}
	p.calls = nil
}
