// Case: clients write their requests slowly while the router is told to end.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"gannethook/review/stand"
)

const (
	clients    = 6
	timeoutMS  = 7500                    // half of the class's 15 s
	termAt     = 2 * time.Second         // SIGTERM
	firstByte  = 500 * time.Millisecond  // after SIGTERM: on connections that the router has left open
	pieces     = 10                      // of a request, one each 0.1 s
	pieceGap   = 100 * time.Millisecond  // the last comes 1.4 s after SIGTERM
	killAfter  = 3750 * time.Millisecond // no earlier than the longest deadline, counted as 3 s, and 0.7 s
	graceAfter = 700 * time.Millisecond  // what SIGKILL finds of a request that came until then is excused
)

func main() {
	c := stand.Start()
	w := c.NewWorkers(5, 6, "lectura", "respuesta", []string{"sala-centro"})
	w.ReadTime, w.FirstToken, w.Events, w.EventGap = 200*time.Millisecond, 50*time.Millisecond, 60, 70*time.Millisecond // 60 tokens
	a := c.NewAgent("agent", 41, w.Targets)
	r := c.NewRouter("n0", a, stand.Estacionamiento)
	var wg sync.WaitGroup
	for n := range clients {
		nc, err := net.Dial("tcp", r.Listen)
		if err != nil {
			c.Fail("client: %v", err)
		}
		nc.SetDeadline(time.Now().Add(30 * time.Second))
		br := bufio.NewReader(nc)
		io.WriteString(nc, "GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") // the connection has been used
		if first := c.ReadAnswer(br); first.Status != 200 {
			c.Fail("client %d: %d, %v", n, first.Status, first.Err)
		}
		id := fmt.Sprintf("%016x", 0x56000000+n)
		wg.Go(func() {
			c.Sleep(termAt + firstByte)
			text := stand.Request(id, "multa", "session-"+id, timeoutMS, 3000)
			for i := range pieces {
				if i > 0 {
					time.Sleep(pieceGap)
				}
				if _, err := io.WriteString(nc, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
					c.Note("client: %s: the connection ended while it was written (%v): it goes to another router", id, err)
					return
				}
			}
			taken := c.Since()
			c.Note("client: %s written, its last byte %.3f s after SIGTERM", id, (taken - termAt).Seconds())
			answer := c.ReadAnswer(br)
			c.Note("client: %s: status %d, first byte %.3f s and end %.3f s after SIGTERM, error %v", id, answer.Status, (answer.FirstAt - termAt).Seconds(), (answer.At - termAt).Seconds(), answer.Err)
			switch {
			case answer.Status == 200 && answer.Err != nil && taken > termAt+graceAfter:
				c.Break("%s came %.2f s after SIGTERM; its stream was under way at SIGKILL and broke (%v)", id, (taken - termAt).Seconds(), answer.Err)
			case answer.Status == 0 && c.Worked(w, id):
				c.Break("%s came %.2f s after SIGTERM, was sent on, and got no answer (%v)", id, (taken - termAt).Seconds(), answer.Err)
			}
		})
	}
	c.Sleep(termAt)
	if c.Trouble {
		r.Signal(syscall.SIGTERM)
		c.Sleep(termAt + killAfter)
		if r.Ended() {
			c.Note("the router has ended by itself")
		} else {
			r.Signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	c.Finish()
}
