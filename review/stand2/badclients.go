package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = badClients }

const (
	badCount   = 100                     // bad clients, each with one connection at a time
	usualTime  = 3000 * time.Millisecond // half of the class's give-up time
	answerLate = 550 * time.Millisecond  // behind its time an answer counts as lost: half a second, and the 50 ms of every limit
	usualAsked = 12
)

// badClients: clients that send bodies without end in small chunks, and the same again as soon as they are turned away.
func badClients(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	for range 2 {
		f.add("prompt", 0, reads(50*time.Millisecond))
		f.add("answer", 0, writes(func(_ *worker, c *call) { serveStream(c, 5, tokenGap) }))
	}
	r, err := startRouter(f, e.dir, settings(nil))
	if err != nil {
		return false, err
	}
	defer r.kill()
	var stop atomic.Bool
	var bad, turnedAway atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop.Store(true)
	if e.trouble {
		body := []byte(strings.Repeat("1\r\n{\r\n", 1<<18))
		for i := range badCount {
			wg.Go(func() {
				for n := 0; !stop.Load(); n++ {
					bad.Add(1)
					if badRequest(r.listen, fmt.Sprintf("bad%d-%d", i, n), body, &stop) {
						turnedAway.Add(1)
					}
				}
			})
		}
	}
	var mu sync.Mutex
	var ownLateness time.Duration // of this process's timers: what is judged is later than that
	go func() {
		for !stop.Load() {
			due := time.Now().Add(10 * time.Millisecond)
			time.Sleep(time.Until(due))
			mu.Lock()
			ownLateness = max(ownLateness, time.Since(due))
			mu.Unlock()
		}
	}()
	time.Sleep(2 * time.Second)
	lost := 0
	for n := range usualAsked {
		id := fmt.Sprintf("usual%04d", n)
		nc, err := net.Dial("tcp", r.listen)
		if err != nil {
			return false, err
		}
		io.WriteString(nc, requestText(id, "payout-question", "s"+id, int(usualTime.Milliseconds()), 200, "hola"))
		sent := time.Now()
		nc.SetReadDeadline(sent.Add(usualTime + 6*time.Second))
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		took := time.Since(sent)
		mu.Lock()
		late := took - usualTime - ownLateness
		mu.Unlock()
		switch {
		case err != nil && f.attempts(id) == 0 && took < usualTime:
			e.rec.note("usual client %s: closed with nothing sent on for it, after %v: %v", id, took.Round(time.Millisecond), err)
		case late > answerLate:
			lost++
			e.rec.note("BROKEN: usual client %s: the head of its answer came after %v, %v behind its time (%v)", id, took.Round(time.Millisecond), late.Round(time.Millisecond), err)
		default:
			e.rec.note("usual client %s: the head of its answer came after %v: %s", id, took.Round(time.Millisecond), statusOf(res))
		}
		nc.Close()
	}
	e.rec.note("%d of %d usual requests were answered over half a second behind their time, or not at all; bad clients: %d requests, %d turned away; this process's timers were late by up to %v",
		lost, usualAsked, bad.Load(), turnedAway.Load(), ownLateness)
	return lost == 0, nil
}

func statusOf(res *http.Response) string {
	if res == nil {
		return "none"
	}
	return res.Status
}

// badRequest sends the start of a body of 60 MB in small chunks, at full speed, and reads whatever it is sent. It reports
// whether that was an error.
func badRequest(addr, id string, chunks []byte, stop *atomic.Bool) bool {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(time.Millisecond)
		return false
	}
	defer nc.Close()
	go func() {
		fmt.Fprintf(nc, "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: payout-question\r\n"+
			"X-Timeout-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for sent := 0; sent < 60<<20 && !stop.Load(); sent += len(chunks) {
			if _, err := nc.Write(chunks); err != nil {
				return
			}
		}
	}()
	nc.SetReadDeadline(time.Now().Add(6 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, res.Body)
	return res.StatusCode >= 400
}
