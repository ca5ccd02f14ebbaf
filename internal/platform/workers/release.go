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

// How a release goes on until a worker has taken it.
const (
	releaseWithin   = 2 * time.Second       // then the servers' own limits let go of what is held
	releaseHedge    = 60 * time.Millisecond // a worker that has not answered by then is probably silent: others are asked beside it,
	maxWave         = 32                    // twice as many each time, up to so many: one that answers is found soon among many silent ones
	releasePause    = 5 * time.Millisecond  // after a try that failed at once,
	maxReleasePause = 50 * time.Millisecond // doubled up to this
	probeWithin     = time.Second           // for which one worker alone is waited for
)

// Release lets go of everything held for a request. Any worker takes it: one that may hold something and to which a
// connection waits is asked first, then the one that most likely answers at once. The others that may hold something are
// asked too: who has taken it may not reach them.
func (c *Client) Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult {
	if faults.Broken(faults.BreakRelease) || len(list) == 0 {
		return attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	c.traffic.releases.Add(1)
	ctx, cancel := context.WithTimeout(ctx, releaseWithin)
	defer cancel()
	first := make([]string, 0, len(list))
	for _, h := range list {
		first = append(first, h.Addr)
	}
	return c.releaseOne(ctx, list[0].Key, first)
}

// ReleaseAt asks one worker alone to let go of everything held for a request: what counts is to hear it. Where
// it hangs, the call waits for it. Where none is named it is the one that has answered last, and the call is short.
func (c *Client) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	within := probeWithin
	if h.Addr == "" {
		h.Addr, within = c.lastHeard(), c.lim.Load().ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c.traffic.releases.Add(1)
	sent, ok := c.release(ctx, h.Addr, h.Key)
	return attempt.ReleaseResult{Acknowledged: ok, Server: h.Addr, SentAt: sent}
}

// lastHeard is the worker that has answered last; "": none has that is listed, or it turns new connections away.
func (c *Client) lastHeard() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[c.heardLast]
	if w == nil || !c.pool.idle.Names()[w.addr] && !w.redial.allows(time.Now()) {
		return ""
	}
	return c.heardLast
}

// LastAnswer is when the last call was sent that a worker has answered, and when it was answered; zero: it has answered none.
func (c *Client) LastAnswer(id string) (sent, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.asked, w.askedHeard
	}
	return time.Time{}, time.Time{}
}

// taken is how one worker took a release.
type taken struct {
	id   string
	sent time.Time
	ok   bool
}

// releaseOne asks one worker, and more and more others while none answers, until one has let go of all that a
// request holds, and those that may hold it have been asked as well, or the time is over. Whoever has failed lately
// is asked last.
func (c *Client) releaseOne(ctx context.Context, name string, holders []string) attempt.ReleaseResult {
	ctx, cancel := context.WithCancel(ctx) // ends the tries that are still out
	r := &releasing{c: c, name: name, holders: holders, results: make(chan taken), asked: map[string]int{}, answered: map[string]bool{}}
	defer r.tries.Wait()
	defer cancel()
	wave, waited := 1, false
	r.askMore(ctx, wave)
	hedge := time.NewTicker(releaseHedge)
	defer hedge.Stop()
	for pause := releasePause; ctx.Err() == nil && !r.over(waited); {
		select {
		case by := <-r.results:
			if r.take(by); by.ok && by == r.first {
				hedge.Reset(releaseHedge)
			}
		case <-hedge.C:
			waited = r.first.ok
			wave = min(2*wave, maxWave, max(c.listed(), 1))
			r.askMore(ctx, wave)
		case <-ctx.Done():
		}
		switch {
		case r.first.ok:
			r.askMore(ctx, len(holders))
		case r.pending == 0: // all have failed at once, or none can be asked just now
			pause = sleep(ctx, pause)
			r.askMore(ctx, 1)
		}
	}
	if !r.first.ok {
		return attempt.ReleaseResult{}
	}
	return attempt.ReleaseResult{Acknowledged: true, Server: r.first.id, SentAt: r.first.sent, Unresponsive: c.silent(holders, r.asked, r.answered)}
}

// releasing is one release that is under way.
type releasing struct {
	c        *Client
	name     string
	holders  []string
	tries    sync.WaitGroup
	results  chan taken
	pending  int            // tries that are under way
	asked    map[string]int // how often each worker was
	answered map[string]bool
	first    taken // that took it
}

// askMore asks up to n workers more: once one has taken the release, those that may hold something and were not asked.
func (r *releasing) askMore(ctx context.Context, n int) {
	wave := map[string]bool{} // none is asked twice in it
	for range n {
		id, ok := r.next(wave)
		if !ok {
			break
		}
		wave[id] = true
		r.asked[id]++
		r.pending++
		r.tries.Go(func() { r.try(ctx, id) })
	}
}

func (r *releasing) next(wave map[string]bool) (id string, ok bool) {
	if r.first.ok {
		return r.c.nextHolder(r.holders, r.asked)
	}
	return r.c.nextToRelease(r.holders, r.asked, wave)
}

func (r *releasing) try(ctx context.Context, id string) {
	each, cancel := context.WithTimeout(ctx, r.c.lim.Load().ReleaseTimeout)
	defer cancel()
	sent, ok := r.c.release(each, id, r.name)
	select {
	case r.results <- taken{id: id, sent: sent, ok: ok}:
	case <-ctx.Done():
	}
}

// over tells whether the release is taken, and each worker that may hold something has answered or was waited for.
func (r *releasing) over(waited bool) bool {
	awaited := slices.ContainsFunc(r.holders, func(id string) bool { return r.asked[id] > 0 && !r.answered[id] })
	return r.first.ok && (waited || !awaited)
}

// take notes how a worker took the release.
func (r *releasing) take(by taken) {
	r.pending--
	if !by.ok {
		return
	}
	if !r.first.ok {
		r.first = by
	}
	r.answered[by.id] = true
}

// sleep pauses, and returns the next pause.
func sleep(ctx context.Context, pause time.Duration) time.Duration {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	return min(2*pause, maxReleasePause)
}

// release asks one worker, and tells when.
func (c *Client) release(ctx context.Context, id, name string) (sent time.Time, ok bool) {
	c.traffic.releaseTries.Add(1)
	call := &attempt.Call{Key: name}
	x, err := c.open(ctx, id, "DELETE", HoldsPath+name, call)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // else another worker was quicker
			c.missed(id)
		}
		return time.Time{}, false
	}
	ok = x.res.Status/100 == 2
	sent = x.sent
	return sent, x.discard() == nil && ok
}

// missed notes that a worker did not take a release.
func (c *Client) missed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.missed = time.Now()
	}
}

// missedLately is for how long a worker that did not take a release is asked after the others.
const missedLately = time.Second
