package workers

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"gannethook/internal/attempt"
	"gannethook/internal/faults"
)

// Schedule of a release, which is retried until a worker confirms it.
const (
	releaseTotalTimeout = 2 * time.Second       // after it the servers' own time limits end what is held
	releaseHedgeDelay   = 60 * time.Millisecond // a worker that has not answered by then is probably unresponsive: others are asked concurrently,
	maxReleaseBatch     = 32                    // in batches that double up to this: a responsive worker is found soon among many unresponsive ones
	minReleaseBackoff   = 5 * time.Millisecond  // pause after every call has failed,
	maxReleaseBackoff   = 50 * time.Millisecond // doubled up to this
	probeTimeout        = time.Second           // for a release at one given worker
)

// Release releases everything held for a request. Any worker accepts a release for all of them: it goes first to a
// holder (a worker that may hold something) with an idle connection, else to the worker most likely to answer at once.
// The other holders are asked too, since the worker that confirms it may be unable to reach them.
func (c *Client) Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult {
	if faults.GuardDisabled(faults.BreakRelease) || len(list) == 0 {
		return attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	c.traffic.releases.Add(1)
	ctx, cancel := context.WithTimeout(ctx, releaseTotalTimeout)
	defer cancel()
	holders := make([]string, 0, len(list))
	for _, h := range list {
		holders = append(holders, h.Addr)
	}
	return c.releaseRequest(ctx, list[0].Key, holders)
}

// ReleaseAt sends a release to one worker only, to learn whether that worker answers; it waits up to probeTimeout for one
// that hangs. Without an address it asks the worker that answered last, and waits up to Limits.ReleaseTimeout.
func (c *Client) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	timeout := probeTimeout
	if h.Addr == "" {
		h.Addr, timeout = c.mostRecentlyAnswered(), c.limits.Load().ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.traffic.releases.Add(1)
	sent, ok := c.releaseAt(ctx, h.Addr, h.Key)
	return attempt.ReleaseResult{Acknowledged: ok, Server: h.Addr, SentAt: sent}
}

// mostRecentlyAnswered returns the worker that answered last; "" if there is none, it is no longer listed or rejects connections.
func (c *Client) mostRecentlyAnswered() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[c.lastAnswered]
	if w == nil || !c.pool.idle.Names()[w.addr] && !w.redial.allows(time.Now()) {
		return ""
	}
	return c.lastAnswered
}

// LastAnswer returns when the most recently sent call that a worker answered was sent and answered; zero: it has answered none.
func (c *Client) LastAnswer(id string) (sent, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.lastSent, w.lastSentAnswered
	}
	return time.Time{}, time.Time{}
}

// releaseReply is the result of one release call at one worker.
type releaseReply struct {
	id   string
	sent time.Time
	ok   bool
}

// releaseRequest sends a release to one worker, and to growing batches of others while none answers, until one has
// confirmed it and each holder that was asked has answered or had releaseHedgeDelay to do so, or ctx ends. Workers that
// failed a release lately are asked last.
func (c *Client) releaseRequest(ctx context.Context, key string, holders []string) attempt.ReleaseResult {
	ctx, cancel := context.WithCancel(ctx) // cancels the calls still in flight
	r := &releaseOp{client: c, key: key, holders: holders, results: make(chan releaseReply), sends: map[string]int{}, answered: map[string]bool{}}
	defer r.calls.Wait()
	defer cancel()
	batch, hedgeElapsed := 1, false
	r.sendMore(ctx, batch)
	hedge := time.NewTicker(releaseHedgeDelay)
	defer hedge.Stop()
	for backoff := minReleaseBackoff; ctx.Err() == nil && !r.finished(hedgeElapsed); {
		select {
		case reply := <-r.results:
			if r.record(reply); reply.ok && reply == r.confirmed {
				hedge.Reset(releaseHedgeDelay)
			}
		case <-hedge.C:
			hedgeElapsed = r.confirmed.ok
			batch = min(2*batch, maxReleaseBatch, max(c.workerCount(), 1))
			r.sendMore(ctx, batch)
		case <-ctx.Done():
		}
		switch {
		case r.confirmed.ok:
			r.sendMore(ctx, len(holders))
		case r.inFlight == 0: // every call has failed, or no worker can be asked at present
			backoff = backOff(ctx, backoff)
			r.sendMore(ctx, 1)
		}
	}
	if !r.confirmed.ok {
		return attempt.ReleaseResult{}
	}
	return attempt.ReleaseResult{Acknowledged: true, Server: r.confirmed.id, SentAt: r.confirmed.sent, Unresponsive: c.unresponsiveHolders(holders, r.sends, r.answered)}
}

// releaseOp is one release in progress. Only its calls run on other goroutines.
type releaseOp struct {
	client    *Client
	key       string
	holders   []string
	calls     sync.WaitGroup
	results   chan releaseReply
	inFlight  int            // calls
	sends     map[string]int // calls made to each worker
	answered  map[string]bool
	confirmed releaseReply // the first confirmation
}

// sendMore asks up to n more workers; once the release is confirmed, only holders that were not asked yet.
func (r *releaseOp) sendMore(ctx context.Context, n int) {
	batch := map[string]bool{} // no worker is asked twice in one batch
	for range n {
		id, ok := r.nextTarget(batch)
		if !ok {
			break
		}
		batch[id] = true
		r.sends[id]++
		r.inFlight++
		r.calls.Go(func() { r.sendTo(ctx, id) })
	}
}

func (r *releaseOp) nextTarget(batch map[string]bool) (id string, ok bool) {
	if r.confirmed.ok {
		return r.client.nextHolder(r.holders, r.sends)
	}
	return r.client.nextReleaseTarget(r.holders, r.sends, batch)
}

func (r *releaseOp) sendTo(ctx context.Context, id string) {
	callCtx, cancel := context.WithTimeout(ctx, r.client.limits.Load().ReleaseTimeout)
	defer cancel()
	sent, ok := r.client.releaseAt(callCtx, id, r.key)
	select {
	case r.results <- releaseReply{id: id, sent: sent, ok: ok}:
	case <-ctx.Done():
	}
}

// finished reports whether the release is confirmed and each holder that was asked has answered or had its time to.
func (r *releaseOp) finished(hedgeElapsed bool) bool {
	unanswered := slices.ContainsFunc(r.holders, func(id string) bool { return r.sends[id] > 0 && !r.answered[id] })
	return r.confirmed.ok && (hedgeElapsed || !unanswered)
}

// record records the result of a call.
func (r *releaseOp) record(reply releaseReply) {
	r.inFlight--
	if !reply.ok {
		return
	}
	if !r.confirmed.ok {
		r.confirmed = reply
	}
	r.answered[reply.id] = true
}

// backOff waits for the given time and returns the next one, doubled up to maxReleaseBackoff.
func backOff(ctx context.Context, backoff time.Duration) time.Duration {
	select {
	case <-time.After(backoff):
	case <-ctx.Done():
	}
	return min(2*backoff, maxReleaseBackoff)
}

// releaseAt sends a release to one worker; it returns when it was sent, and whether the worker confirmed it.
func (c *Client) releaseAt(ctx context.Context, id, key string) (sent time.Time, ok bool) {
	c.traffic.releaseTries.Add(1)
	call := &attempt.Call{Key: key}
	x, err := c.open(ctx, id, "DELETE", HoldsPath+key, call)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // else it was cancelled: another worker was faster
			c.recordReleaseFailure(id)
		}
		return time.Time{}, false
	}
	ok = x.res.Status/100 == 2
	sent = x.sentAt
	return sent, x.discard() == nil && ok
}

// recordReleaseFailure records that a worker did not answer a release.
func (c *Client) recordReleaseFailure(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.releaseFailed = time.Now()
	}
}

// releaseFailureWindow is how long a worker that did not answer a release is asked after the others.
const releaseFailureWindow = time.Second
