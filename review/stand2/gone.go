package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = gone }

const (
	goneLimit = 150 * time.Millisecond // an attempt begins no later than 0.1 s after its client's close; "every time limit is 50 ms longer"
	rounds    = 30
	behind    = 300      // requests that a client sends behind its first one
	behindLen = 20 << 10 // bytes of each
)

// gone: clients that send much at once and go.
func gone(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	closed := map[string]time.Time{} // by id: when the client that sent it had closed its connection
	late := 0
	note := func(w *worker, c *call) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := closed[c.id]
		if !ok {
			return
		}
		after := c.at.Sub(at)
		e.rec.note("the attempt of %s at %s began %v after its client had closed", c.id, w.uid, after.Round(time.Millisecond))
		if after > goneLimit {
			late++
			e.rec.note("BROKEN: that is over 0.1 s")
		}
	}
	// The times of reads are spread over those of prompts of 2,500 to 7,500 tokens.
	times := func(id string) time.Duration {
		var n int
		fmt.Sscanf(id, "adjust%d", &n)
		return 250*time.Millisecond + time.Duration(n*7%rounds)*500*time.Millisecond/rounds
	}
	for range 2 {
		f.add("prompt", 0, readsIn(times))
		f.add("answer", 0, writes(func(w *worker, c *call) {
			note(w, c)
			serveStream(c, 3, tokenGap)
		}))
	}
	r, err := startRouter(f, e.dir, settings(nil))
	if err != nil {
		return false, err
	}
	defer r.kill()
	for n := range rounds {
		id := fmt.Sprintf("adjust%04d", n)
		nc, err := net.Dial("tcp", r.listen)
		if err != nil {
			return false, err
		}
		fmt.Fprint(nc, requestText(id, "pool-adjustment", "s"+id, 8000, 5000, strings.Repeat("x", 20000)))
		time.Sleep(50 * time.Millisecond)
		var more strings.Builder
		if e.trouble {
			for k := range behind {
				more.WriteString(requestText(fmt.Sprintf("more%04d%04d", n, k), "payout-question", "s", 5000, behindLen/4, strings.Repeat("y", behindLen)))
			}
		}
		from := time.Now()
		nc.SetWriteDeadline(time.Now().Add(10 * time.Second))
		k, err := nc.Write([]byte(more.String()))
		mu.Lock()
		nc.Close()
		closed[id] = time.Now()
		mu.Unlock()
		e.rec.note("client %s: wrote %d of %d bytes behind its request in %v (%v), and closed", id, k, more.Len(), time.Since(from).Round(time.Millisecond), err)
		time.Sleep(1200 * time.Millisecond)
	}
	e.rec.note("%d of %d clients had an attempt that began over 0.1 s after their close", late, rounds)
	fmt.Printf("%d of %d late\n", late, rounds)
	return late == 0, nil
}
