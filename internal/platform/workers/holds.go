package workers

import (
	"context"
	"errors"
	"slices"
	"time"

	"gannethook/internal/attempt"
)

// ReservationTimeout asks a writer for a place, once the read's last byte is on its way:
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
		return attempt.Unknown
	}
	status := x.res.Status
	x.discard()
	switch status {
	case 200:
		return attempt.Granted
	case 404, 409:
		return attempt.Denied
	}
	return attempt.Unknown
}

const maxReleaseTries = 5 // workers asked, one after the other

// Release lets go of everything held for the requests. Any worker takes it, so
// those that may hold something are asked first, then those heard last.
func (c *Client) Release(ctx context.Context, list []attempt.Held) {
	var names []string
	var first []string
	for _, h := range list {
		if !slices.Contains(names, h.Key) {
			names = append(names, h.Key)
		}
		first = append(first, h.Addr)
	}
	order := c.releaseOrder(first)
	for _, name := range names {
		for _, id := range order[:min(len(order), maxReleaseTries)] {
			if c.release(ctx, id, name) {
				break
			}
		}
	}
}

// release asks one worker.
func (c *Client) release(ctx context.Context, id, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.lim.Load().ReleaseTimeout)
	defer cancel()
	x, err := c.open(ctx, id, "DELETE", HoldsPath+name, &attempt.Call{Key: name})
	if err != nil {
		return false
	}
	ok := x.res.Status/100 == 2
	x.discard()
	return ok
}

// releaseOrder lists the workers by how likely they answer at once: those with an
// unused connection that were heard last, those asked for among them first.
func (c *Client) releaseOrder(first []string) []string {
	type choice struct {
		id     string
		heard  time.Time
		unused bool
	}
	c.mu.Lock()
	all := make([]choice, 0, len(c.byID))
	addrs := make([]string, 0, len(c.byID))
	for id, w := range c.byID {
		all = append(all, choice{id: id, heard: w.heard})
		addrs = append(addrs, w.addr)
	}
	c.mu.Unlock()
	for i := range all {
		all[i].unused = c.pool.idle.Count(addrs[i]) > 0
		if slices.Contains(first, all[i].id) && time.Since(all[i].heard) < time.Second {
			all[i].heard = time.Now()
		}
	}
	slices.SortFunc(all, func(a, b choice) int {
		if a.unused != b.unused {
			if a.unused {
				return -1
			}
			return 1
		}
		return b.heard.Compare(a.heard)
	})
	ids := make([]string, len(all))
	for i, a := range all {
		ids[i] = a.id
	}
	return ids
}
