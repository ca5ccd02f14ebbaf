package workers

import "time"

// Pauses before a release opens another connection to a worker that rejected one.
const (
	minRedialPause = 50 * time.Millisecond  // doubled with each rejected connection,
	maxRedialPause = 400 * time.Millisecond // up to this
)

// redialBackoff limits the rate of new connections to a worker that rejects them, as one that is at its connection limit does.
type redialBackoff struct {
	pause     time.Duration // zero: no limit
	notBefore time.Time     // of the next new connection
}

// rejected records that the worker closed a new connection before it answered on it.
func (r *redialBackoff) rejected(now time.Time) {
	r.pause = min(max(2*r.pause, minRedialPause), maxRedialPause)
	r.notBefore = now.Add(r.pause)
}

// allows reports whether a new connection may be opened.
func (r *redialBackoff) allows(now time.Time) bool { return r.pause == 0 || !now.Before(r.notBefore) }

// claim reports whether a new connection may be opened, and if so forbids another one until the pause has passed again.
func (r *redialBackoff) claim(now time.Time) bool {
	allowed := r.allows(now)
	if allowed {
		r.notBefore = now.Add(r.pause)
	}
	return allowed
}

// answered shortens the pause after an answer on a new connection; below minRedialPause the limit ends.
func (r *redialBackoff) answered() {
	if r.pause = r.pause * 3 / 4; r.pause < minRedialPause {
		r.pause = 0
	}
}

// mayDial reports whether a release may open a new connection to a worker, and counts it as opened.
func (c *Client) mayDial(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[id]
	return w == nil || w.redial.claim(time.Now())
}

// connectionRejected records that a worker closed a new connection before it answered on it.
func (c *Client) connectionRejected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.redial.rejected(time.Now())
	}
}
