package workers

import "time"

// Pauses before a worker that turned a new connection away is tried again with another, for a release.
const (
	firstRedial = 50 * time.Millisecond  // doubled with each connection that it turns away,
	maxRedial   = 400 * time.Millisecond // up to this
)

// redial tells when a worker may be tried with a new connection, after it has turned some away.
type redial struct {
	pause time.Duration // zero: it has turned none away since it last answered
	next  time.Time
}

// turnedAway notes that the worker ended a new connection before it answered anything on it.
func (r *redial) turnedAway(now time.Time) {
	r.pause = min(max(2*r.pause, firstRedial), maxRedial)
	r.next = now.Add(r.pause)
}

// allows tells whether a new connection may be tried.
func (r *redial) allows(now time.Time) bool { return r.pause == 0 || !now.Before(r.next) }

// claim takes the one try that is allowed until the pause has passed again, and tells whether there was one.
func (r *redial) claim(now time.Time) bool {
	allowed := r.allows(now)
	if allowed {
		r.next = now.Add(r.pause)
	}
	return allowed
}

// answered notes that the worker has answered on a new connection.
func (r *redial) answered() {
	if r.pause = r.pause * 3 / 4; r.pause < firstRedial {
		r.pause = 0
	}
}

// mayDial tells whether a release may be tried at a worker with a new connection, and counts as that try.
func (c *Client) mayDial(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[id]
	return w == nil || w.redial.claim(time.Now())
}

// turnedAway notes that a worker ended a new connection before it answered anything on it.
func (c *Client) turnedAway(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.redial.turnedAway(time.Now())
	}
}
