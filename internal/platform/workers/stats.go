package workers

import (
	"slices"
	"strings"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
)

// Stats is what passed between this router and a worker since it was listed.
type Stats struct {
	ID           string
	InFlight     int           // attempts on its sockets now
	Sent, Failed int           // attempts, and those that ended without an answer of use
	Rejected     int           // of these, turned away
	TimeToHead   time.Duration // the last time to the head of an answer of use
	Reused       int           // answers on connections that were used before
	Idle         int           // connections that wait
}

// Stats lists the workers that are listed.
func (c *Client) Stats() []Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Stats, 0, len(c.byID))
	for id, w := range c.byID {
		s := w.stats
		s.ID, s.Idle = id, c.pool.idle.Count(w.addr)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Stats) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// answered notes that a worker answered on a connection.
func (c *Client) answered(id string, cn *connpool.Conn, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[id]
	if w == nil {
		return
	}
	w.heard = time.Now()
	c.heardLast = id
	if sent.After(w.asked) {
		w.asked, w.askedHeard = sent, w.heard
	}
	w.answers.note(answer{sent, w.heard})
	if cn.IdleFor > 0 {
		w.stats.Reused++
	} else {
		w.redial.answered()
	}
}

// took notes how long an answer of use took to its head.
func (c *Client) took(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.stats.TimeToHead = d
	}
}

// counted makes an attempt and counts it, at the worker as it was listed at the send.
func (c *Client) counted(call *attempt.Call, do func() attempt.Result) attempt.Result {
	c.mu.Lock()
	w := c.byID[call.Addr]
	if w == nil {
		w = &worker{} // do tells that it is not listed
	}
	w.stats.Sent++
	w.stats.InFlight++
	c.mu.Unlock()
	r := do()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.stats.InFlight--
	if written := call.Written.Time(); !written.IsZero() {
		r.BegunBy = w.answers.begunBy(written)
	}
	switch r.Outcome {
	case gannethook.Served, gannethook.ReadDone, gannethook.Cancelled, gannethook.Moot:
	case gannethook.Full:
		w.stats.Rejected++
		w.stats.Failed++
	default:
		w.stats.Failed++
	}
	return r
}
