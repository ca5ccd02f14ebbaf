package workers

import (
	"slices"
	"time"
)

// listed is how many workers there are.
func (c *Client) listed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// nextHolder is a worker that may hold something and was not asked yet: whoever has taken the release may not reach
// it, however lately it was heard.
func (c *Client) nextHolder(holders []string, asked map[string]int) (id string, ok bool) {
	unused, now := c.pool.idle.Names(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range holders {
		w := c.byID[id]
		if w == nil || asked[id] > 0 || w.missed.After(w.heard) {
			continue
		}
		if unused[w.addr] || w.redial.allows(now) {
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
		if !answered[id] && w != nil && (w.missed.After(w.heard) || asked[id] > 0 || w.redial.pause > 0) {
			list = append(list, id)
		}
	}
	return list
}

// nextToRelease is the worker to ask next, but for some: of those asked least often so far the
// one that most likely answers at once.
func (c *Client) nextToRelease(first []string, asked map[string]int, except map[string]bool) (id string, ok bool) {
	unused := c.pool.idle.Names()
	now := time.Now()
	var best releaseChoice
	c.mu.Lock()
	defer c.mu.Unlock()
	for candidate, w := range c.byID {
		if except[candidate] || !unused[w.addr] && !w.redial.allows(now) {
			continue
		}
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
