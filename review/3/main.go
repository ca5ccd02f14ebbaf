// Case: discovery answers each call 0.7 s late for a while; a worker begins to drain in that time.
package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"gannethook/review/stand"
)

const (
	slowBy   = 700 * time.Millisecond
	slowFrom = 4 * time.Second
	drainAt  = 8 * time.Second
	endAt    = 20 * time.Second // the worker has finished what it had, and ends
	until    = 24 * time.Second // discovery is slow until then

	told  = 6 * time.Second         // a change counts as told at the latest so long after discovery had it
	grace = 2050 * time.Millisecond // drain_grace_ms, and 50 ms on sockets
	late  = 500 * time.Millisecond  // for the lateness of this machine
)

func main() {
	c := stand.Start()
	w := c.NewWorkers(5, 6, "prompt", "answer-a", []string{"dallas-north", "dallas-south"})
	w.Events, w.EventGap = 40, 70*time.Millisecond // 2.8 s
	a := c.NewAgent("agent", 41, w.Targets)
	r := c.NewRouter("n0", a, stand.TipPool)
	const drained = "s-w0"
	limit := drainAt + told + grace + late
	var before, after, cut atomic.Int32
	w.OnCall(func(call stand.Arrival) {
		switch {
		case call.Worker != drained || call.Method == "release":
		case call.At < drainAt:
			before.Add(1)
		case call.At > limit:
			after.Add(1)
			c.Break("%s of %s arrived at %s, %.2f s after discovery had its drain", call.Method, call.ID, call.Worker, (call.At - drainAt).Seconds())
		}
	})
	wait := c.Traffic(until, 50*time.Millisecond, func(n int) {
		id, class, timeoutMS := fmt.Sprintf("%016x", 0x51000000+n), "payout-question", 6000
		if n%5 == 0 {
			class, timeoutMS = "pool-adjustment", 12000
		}
		answer := c.Exchange(r.Listen, id, stand.Request(id, class, fmt.Sprint("session-", n), timeoutMS, 1200))
		c.Note("client: %s (%s): status %d, error %v", id, class, answer.Status, answer.Err)
		if answer.Err != nil || answer.Status != 200 {
			cut.Add(1)
		}
	})
	c.Sleep(slowFrom)
	if c.Trouble {
		c.Note("discovery answers %v late from now on", slowBy)
		a.SetDelay(slowBy)
	}
	c.Sleep(drainAt)
	a.Learn(42, drained, "DRAINING")
	c.Sleep(endAt)
	w.End(drained)
	a.Learn(43, drained, "DELETED")
	wait()
	if before.Load() == 0 {
		c.Fail("%s got no work before its drain", drained)
	}
	c.Note("%s got %d calls before its drain, %d after the limit at %.2f s; %d requests were not served whole", drained, before.Load(), after.Load(), limit.Seconds(), cut.Load())
	c.Finish()
}
