package workers

import (
	"slices"
	"strings"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
)

// Stats counts the traffic between this router and a worker since the worker was listed.
type Stats struct {
	ID           string
	InFlight     int           // attempts at present
	Sent, Failed int           // attempts, and those of them that ended without a usable response
	Rejected     int           // failed attempts that the worker rejected as full
	TimeToHead   time.Duration // of the last usable response: from the attempt's begin to the head for a write, to the end for a read
	Reused       int           // responses on reused connections
	Idle         int           // idle connections at present
}

// Stats returns the counts of the listed workers, ordered by id.
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

// recordAnswer records a response head from a worker to a call sent at the given time.
func (c *Client) recordAnswer(id string, cn *connpool.Conn, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byID[id]
	if w == nil {
		return
	}
	w.lastAnswer = time.Now()
	c.lastAnswered = id
	if sent.After(w.lastSent) {
		w.lastSent, w.lastSentAnswered = sent, w.lastAnswer
	}
	w.answerLog.add(answer{sent, w.lastAnswer})
	if cn.IdleFor > 0 {
		w.stats.Reused++
	} else {
		w.redial.answered()
	}
}

// recordTimeToHead records Stats.TimeToHead.
func (c *Client) recordTimeToHead(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.byID[id]; w != nil {
		w.stats.TimeToHead = d
	}
}

// countAttempt runs an attempt and counts it for the worker as listed when the attempt began.
func (c *Client) countAttempt(call *attempt.Call, do func() attempt.Result) attempt.Result {
	c.mu.Lock()
	w := c.byID[call.Addr]
	if w == nil {
		w = &worker{} // do reports that it is not listed
	}
	w.stats.Sent++
	w.stats.InFlight++
	c.mu.Unlock()
	r := do()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.stats.InFlight--
	if written := call.Written.Time(); !written.IsZero() {
		r.StartedBy = w.answerLog.begunBy(written)
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
