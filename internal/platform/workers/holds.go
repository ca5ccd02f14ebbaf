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

// Hold asks a writer for a place, once the read's last byte is on its way:
// a worker that knows of no read can't hold one.
func (c *Client) Hold(ctx context.Context, call *attempt.Call, _ string) attempt.Place {
	if !call.Sent.Came(ctx) {
		return attempt.Denied // nothing was asked
	}
	ctx, cancel := context.WithTimeout(ctx, c.lim.Load().ReservationTimeout)
	defer cancel()
	x, err := c.open(ctx, call.Addr, "POST", HoldsPath+call.Key, &attempt.Call{Key: call.Key})
	var unsent attempt.NotSent
	switch {
	case errors.As(err, &unsent):
		return attempt.Denied
	case err != nil:
		return attempt.Unheard
	}
	status := x.res.Status
	if x.discard() != nil {
		return attempt.Unheard
	}
	switch status {
	case 200:
		return attempt.Granted
	case 404, 409:
		return attempt.Denied
	}
	return attempt.Unknown
}

// How a release goes on until a worker has taken it.
const (
	releaseWithin   = 2 * time.Second       // then the servers' own limits let go of what is held
	releaseHedge    = 60 * time.Millisecond // a worker that has not answered by then is probably silent: the next is asked beside it,
	hedgeGrowth     = 8                     // and the one after that an eighth later, so that lost workers cost few calls
	releasePause    = 5 * time.Millisecond  // after a try that failed at once,
	maxReleasePause = 50 * time.Millisecond // doubled up to this
	probeWithin     = time.Second           // for which one worker alone is waited for
)

// Release lets go of everything held for a request. Any worker takes it: one that may hold something and to which a
// connection waits is asked first, then the one that most likely answers at once. The others that may hold something are
// asked too: who has taken it may not reach them.
func (c *Client) Release(ctx context.Context, list []attempt.Held) attempt.Released {
	if faults.Broken(faults.BreakRelease) || len(list) == 0 {
		return attempt.Released{Taken: true, Sent: time.Now()}
	}
	ctx, cancel := context.WithTimeout(ctx, releaseWithin)
	defer cancel()
	first := make([]string, 0, len(list))
	for _, h := range list {
		first = append(first, h.Addr)
	}
	return c.releaseOne(ctx, list[0].Key, first)
}

// ReleaseAt asks one worker alone to let go of everything held for a request: what counts is to hear it. Where
// it hangs, the call waits for it.
func (c *Client) ReleaseAt(ctx context.Context, h attempt.Held) attempt.Released {
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	sent, ok := c.release(ctx, h.Addr, h.Key)
	return attempt.Released{Taken: ok, Server: h.Addr, Sent: sent}
}

// Heard is when the last call was sent that a worker has answered, and when it was answered; zero: it has answered none.
func (c *Client) Heard(id string) (sent, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.asked, w.askedHeard
	}
	return time.Time{}, time.Time{}
}

// Reached is when a worker last answered, or a connection to it last came up; zero: never.
func (c *Client) Reached(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		return w.reached
	}
	return time.Time{}
}

// connected notes that a connection to a worker has come up.
func (c *Client) connected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.reached = time.Now()
	}
}

// taken is how one worker took a release.
type taken struct {
	id   string
	sent time.Time
	ok   bool
}

// releaseOne asks one worker after another until one has let go of all that a
// request holds, and those that may hold it have been asked as well, or the time
// is over. Whoever has failed lately is asked last.
func (c *Client) releaseOne(ctx context.Context, name string, holders []string) attempt.Released {
	ctx, cancel := context.WithCancel(ctx) // ends the tries that are still out
	var tries sync.WaitGroup
	defer tries.Wait()
	defer cancel()
	results := make(chan taken)
	asked, answered := map[string]int{}, map[string]bool{}
	var first taken // that took it
	hedge := releaseHedge
	for pause := releasePause; ctx.Err() == nil; {
		id, ok := c.nextToRelease(holders, asked)
		if first.ok {
			if id, ok = c.nextHolder(holders, asked); !ok {
				break
			}
		}
		if !ok { // no worker is listed just now
			pause = sleep(ctx, pause)
			continue
		}
		asked[id]++
		tries.Go(func() {
			each, cancel := context.WithTimeout(ctx, c.lim.Load().ReleaseTimeout)
			defer cancel()
			sent, ok := c.release(each, id, name)
			select {
			case results <- taken{id: id, sent: sent, ok: ok}:
			case <-ctx.Done():
			}
		})
		select {
		case by := <-results:
			switch {
			case !by.ok:
				pause = sleep(ctx, pause)
			case !first.ok:
				first = by
				fallthrough
			default:
				answered[by.id] = true
			}
		case <-time.After(hedge):
			hedge += hedge / hedgeGrowth
		case <-ctx.Done():
		}
	}
	if !first.ok {
		return attempt.Released{}
	}
	return attempt.Released{Taken: true, Server: first.id, Sent: first.sent, Silent: c.silent(holders, asked, answered)}
}

// nextHolder is a worker that may hold something and was not asked yet: whoever has taken the release may not reach
// it, however lately it was heard.
func (c *Client) nextHolder(holders []string, asked map[string]int) (id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range holders {
		if w := c.byID[id]; w != nil && asked[id] == 0 && !w.missed.After(w.heard) {
			return id, true
		}
	}
	return "", false
}

// silent is which of the workers that may hold something have not answered a release, although they are listed.
func (c *Client) silent(holders []string, asked map[string]int, answered map[string]bool) (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range holders {
		w := c.byID[id]
		if !answered[id] && w != nil && (w.missed.After(w.heard) || asked[id] > 0) {
			list = append(list, id)
		}
	}
	return list
}

// sleep pauses, and returns the next pause.
func sleep(ctx context.Context, pause time.Duration) time.Duration {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	return min(2*pause, maxReleasePause)
}

// nextToRelease is the worker to ask next: of those asked least often so far the
// one that most likely answers at once.
func (c *Client) nextToRelease(first []string, asked map[string]int) (id string, ok bool) {
	unused := c.pool.idle.Names()
	now := time.Now()
	var best releaseChoice
	c.mu.Lock()
	defer c.mu.Unlock()
	for candidate, w := range c.byID {
		choice := releaseChoice{asked: asked[candidate], heard: w.heard, unused: unused[w.addr],
			missed: now.Sub(w.missed) < missedLately && w.heard.Before(w.missed)}
		choice.holds = choice.unused && slices.Contains(first, candidate)
		if !ok || choice.before(best) {
			id, best, ok = candidate, choice, true
		}
	}
	return id, ok
}

// releaseChoice is what a worker is chosen by to take a release.
type releaseChoice struct {
	asked  int       // how often it was asked for this one
	missed bool      // it has failed to take one lately
	unused bool      // a connection to it waits
	holds  bool      // the same, and it may hold something
	heard  time.Time // when it last answered
}

// before tells whether a worker is asked before another.
func (a releaseChoice) before(b releaseChoice) bool {
	switch {
	case a.asked != b.asked:
		return a.asked < b.asked
	case a.missed != b.missed:
		return b.missed
	case a.holds != b.holds:
		return a.holds
	case a.unused != b.unused:
		return a.unused
	}
	return a.heard.After(b.heard)
}

// release asks one worker, and tells when.
func (c *Client) release(ctx context.Context, id, name string) (sent time.Time, ok bool) {
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
