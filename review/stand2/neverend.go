package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["7"] = neverEnd }

const (
	spoiltLimit = 5*time.Second + 50*time.Millisecond // within which the connection of a client has to end whose stream was spoilt; "every time limit is 50 ms longer"
	watched     = 25 * time.Second                    // for which the clients are watched
	dripGap     = 200 * time.Millisecond
)

// neverEnd: streams that are spoilt behind their first events, and never end.
func neverEnd(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	spoiltAt := map[string]time.Time{} // by id: when the last event was written, and the spoilt part began
	write := func(w *worker, c *call) {
		if !e.trouble || !strings.HasPrefix(c.id, "spoilt") {
			serveStream(c, 6, tokenGap)
			return
		}
		nc, buf, err := c.rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := range 4 {
			ev := event(c.id, n)
			fmt.Fprintf(buf, "%x\r\n%s\r\n", len(ev), ev)
			buf.Flush()
			time.Sleep(tokenGap)
		}
		mu.Lock()
		spoiltAt[c.id] = time.Now()
		mu.Unlock()
		e.rec.note("%s: the stream of %s is spoilt from now on", w.uid, c.id)
		var spoil func() error
		if strings.HasSuffix(c.id, "chunk") { // one chunk whose size does not fit what was said: its bytes keep coming
			buf.WriteString("ffff\r\n")
			spoil = func() error { _, err := buf.WriteString(strings.Repeat("?", 64)); return err }
		} else { // chunks that are no events
			spoil = func() error { _, err := fmt.Fprintf(buf, "40\r\n%s\r\n", strings.Repeat("?", 64)); return err }
		}
		for from := time.Now(); time.Since(from) < 2*watched; time.Sleep(dripGap) {
			if spoil() != nil || buf.Flush() != nil {
				e.rec.note("%s: the router has closed the connection of %s, %v behind its last event", w.uid, c.id, time.Since(from).Round(time.Millisecond))
				return
			}
		}
	}
	for range 2 {
		f.add("lectura", 0, reads(50*time.Millisecond))
		f.add("respuesta", 0, writes(write))
	}
	r, err := startRouter(f, e.dir, estacionamiento())
	if err != nil {
		return false, err
	}
	defer r.kill()
	held := true
	var wg sync.WaitGroup
	for _, id := range []string{"usual1", "spoilt-1-chunk", "spoilt-2-bytes", "usual2"} {
		wg.Go(func() {
			nc, err := net.Dial("tcp", r.listen)
			if err != nil {
				return
			}
			defer nc.Close()
			io.WriteString(nc, requestText(id, "consulta", id, 4000, 200, "hola"))
			nc.SetReadDeadline(time.Now().Add(watched))
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				e.rec.note("client %s: no answer: %v", id, err)
				return
			}
			body, err := io.ReadAll(res.Body)
			end := time.Now()
			mu.Lock()
			defer mu.Unlock()
			e.rec.note("client %s: %s, %d events, end: %v", id, res.Status, strings.Count(string(body), "data: "), err)
			if at, ok := spoiltAt[id]; ok {
				late := end.Sub(at)
				e.rec.note("client %s: its connection had %s %v behind the stream's last event", id, endOf(err), late.Round(time.Millisecond))
				if late > spoiltLimit {
					held = false
				}
			} else if err != nil || res.StatusCode != 200 {
				held = false
			}
		})
	}
	wg.Wait()
	return held, nil
}

func endOf(err error) string {
	if t, ok := err.(net.Error); ok && t.Timeout() {
		return "NOT ended"
	}
	return "ended"
}
