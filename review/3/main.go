// Case: SIGHUP moves discovery to an agent whose list is a version behind, as lists come late.
package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"gannethook/review/stand"
)

// The site's notice_s is 1.9 to 4.7 s: the worker begins to drain at drainAt, one agent has it 1.9 s later, the other 4.7 s later.
const (
	drainAt     = 4 * time.Second
	oldHasIt    = drainAt + 1900*time.Millisecond
	newHasIt    = drainAt + 4700*time.Millisecond
	reloadAt    = oldHasIt + 600*time.Millisecond
	end         = newHasIt + 3*time.Second
	grace       = 300 * time.Millisecond // drain_grace_ms, and 50 ms on sockets
	late        = 150 * time.Millisecond // for a router that is held up, and the lateness of this machine
	drainedUID  = "s-w0"
	oldRev, rev = int64(41), int64(42)
)

func main() {
	c := stand.Start()
	w := c.NewWorkers(5, 6, "lectura", "respuesta", []string{"sala-centro"})
	a := c.NewAgent("agent A", oldRev, w.Targets)
	b := c.NewAgent("agent B", oldRev, w.Targets)
	r := c.NewRouter("n0", a, stand.Estacionamiento)
	var toldAt atomic.Int64
	a.OnTold(func(l stand.List) {
		for _, t := range l.Targets {
			if t.UID == drainedUID && t.State == "DRAINING" && toldAt.CompareAndSwap(0, int64(c.Since())) {
				c.Note("the router has been told that %s drains", drainedUID)
			}
		}
	})
	before := 0
	w.OnCall(func(call stand.Arrival) {
		told := time.Duration(toldAt.Load())
		switch {
		case call.Worker != drainedUID || call.Method == "release":
		case told == 0:
			before++
		case call.At-told > grace+late:
			c.Break("%s of %s arrived at %s, %.2f s after the router was told of its drain", call.Method, call.ID, call.Worker, (call.At - told).Seconds())
		}
	})
	wait := c.Traffic(end, 40*time.Millisecond, func(n int) {
		id := fmt.Sprintf("%016x", 0x53000000+n)
		answer := c.Exchange(r.Listen, id, stand.Request(id, "consulta", fmt.Sprint("session-", n), 5000, 1200))
		c.Note("client: %s: status %d, error %v", id, answer.Status, answer.Err)
	})
	c.Sleep(oldHasIt)
	a.Learn(rev, drainedUID, "DRAINING")
	if !c.Trouble { // the other agent is as early
		b.Learn(rev, drainedUID, "DRAINING")
	}
	c.Sleep(reloadAt)
	r.Configure(b, stand.Estacionamiento)
	r.Signal(syscall.SIGHUP)
	c.Sleep(newHasIt)
	if c.Trouble {
		b.Learn(rev, drainedUID, "DRAINING")
	}
	wait()
	if toldAt.Load() == 0 || before == 0 {
		c.Fail("the router was not told of the drain, or sent %s nothing before", drainedUID)
	}
	c.Finish()
}
