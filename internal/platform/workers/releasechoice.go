package workers

import (
	"slices"
	"time"
)

// workerCount returns the number of listed workers.
func (c *Client) workerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// nextHolder returns a holder that was not asked yet: the worker that confirmed the release may be unable to reach it,
// however recently it answered this router. Holders whose last release call failed are left out.
func (c *Client) nextHolder(holders []string, sends map[string]int) (id string, ok bool) {
	idle, now := c.pool.idle.Names(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range holders {
		w := c.byID[id]
		if w == nil || sends[id] > 0 || w.releaseFailed.After(w.lastAnswer) {
			continue
		}
		if idle[w.addr] || w.redial.allows(now) {
			return id, true
		}
	}
	return "", false
}

// unresponsiveHolders returns the listed holders that did not answer, or were not asked since they fail or reject connections.
func (c *Client) unresponsiveHolders(holders []string, sends map[string]int, answered map[string]bool) (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range holders {
		w := c.byID[id]
		if !answered[id] && w != nil && (w.releaseFailed.After(w.lastAnswer) || sends[id] > 0 || w.redial.pause > 0) {
			list = append(list, id)
		}
	}
	return list
}

// nextReleaseTarget returns the worker to ask next, none of except: among those asked least often so far, the one most
// likely to answer at once.
func (c *Client) nextReleaseTarget(holders []string, sends map[string]int, except map[string]bool) (id string, ok bool) {
	idle := c.pool.idle.Names()
	now := time.Now()
	var best releaseCandidate
	c.mu.Lock()
	defer c.mu.Unlock()
	for candidate, w := range c.byID {
		if except[candidate] || !idle[w.addr] && !w.redial.allows(now) {
			continue
		}
		current := releaseCandidate{sends: sends[candidate], lastAnswer: w.lastAnswer, hasIdleConn: idle[w.addr],
			failedRecently: now.Sub(w.releaseFailed) < releaseFailureWindow && w.lastAnswer.Before(w.releaseFailed)}
		current.isIdleHolder = current.hasIdleConn && slices.Contains(holders, candidate)
		if !ok || current.before(best) {
			id, best, ok = candidate, current, true
		}
	}
	return id, ok
}

// releaseCandidate has the criteria by which a worker is chosen to receive a release, in order of precedence.
type releaseCandidate struct {
	sends          int       // calls for this release so far; fewest first
	failedRecently bool      // a release call failed within releaseFailureWindow, and it has not answered since
	hasIdleConn    bool      // no handshake needed
	isIdleHolder   bool      // has an idle connection and may hold something
	lastAnswer     time.Time // most recent first
}

// before reports whether a is asked before b.
func (a releaseCandidate) before(b releaseCandidate) bool {
	switch {
	case a.sends != b.sends:
		return a.sends < b.sends
	case a.failedRecently != b.failedRecently:
		return b.failedRecently
	case a.isIdleHolder != b.isIdleHolder:
		return a.isIdleHolder
	case a.hasIdleConn != b.hasIdleConn:
		return a.hasIdleConn
	}
	return a.lastAnswer.After(b.lastAnswer)
}
