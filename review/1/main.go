// Case: a client sends four requests at once on one connection.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"gannethook/review/stand"
)

const (
	timeoutMS = 3000
	requests  = 4
	slack     = 500 * time.Millisecond // an answer so long after its time earns nothing, a later one is lost
	late      = 200 * time.Millisecond // for the lateness of this machine
)

func main() {
	c := stand.Start()
	w := c.NewWorkers(5, 6, "prompt", "answer-a", []string{"dallas-north", "dallas-south"})
	w.ReadTime, w.FirstToken, w.Events, w.EventGap = 850*time.Millisecond, 100*time.Millisecond, 10, 50*time.Millisecond
	a := c.NewAgent("agent", 41, w.Targets)
	r := c.NewRouter("n0", a, stand.TipPool)
	time.Sleep(500 * time.Millisecond)
	for round := range 3 {
		var ids, texts []string
		for n := range requests {
			id := fmt.Sprintf("%016x", 0x52000000+round*16+n)
			ids, texts = append(ids, id), append(texts, stand.Request(id, "payout-question", "session-"+id, timeoutMS, 10000))
		}
		sent := c.Since()
		judge := func(id string, answer stand.Answer) {
			c.Note("client: %s, sent at %.3f: status %d, first byte after %.3f s, error %v", id, sent.Seconds(), answer.Status, (answer.FirstAt - sent).Seconds(), answer.Err)
			// Once a stream has begun the deadline stops running: what counts is its first byte.
			if over := answer.FirstAt - sent - timeoutMS*time.Millisecond; answer.Err != nil || over > slack+late {
				c.Break("%s had %d ms; its answer (status %d, error %v) began %.2f s after its time was up", id, timeoutMS, answer.Status, answer.Err, over.Seconds())
			}
		}
		if !c.Trouble { // each on a connection of its own
			var wg sync.WaitGroup
			for n := range requests {
				wg.Go(func() { judge(ids[n], c.Exchange(r.Listen, ids[n], texts[n])) })
			}
			wg.Wait()
			continue
		}
		nc, err := net.Dial("tcp", r.Listen)
		if err != nil {
			c.Fail("client: %v", err)
		}
		for _, text := range texts {
			io.WriteString(nc, text)
		}
		c.Note("client: %d requests sent at once", requests)
		br := bufio.NewReader(nc)
		nc.SetReadDeadline(time.Now().Add(25 * time.Second))
		for n := range requests {
			judge(ids[n], c.ReadAnswer(br))
		}
		nc.Close()
	}
	c.Finish()
}
