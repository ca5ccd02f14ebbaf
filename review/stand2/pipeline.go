package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["8"] = pipeline }

const (
	commands     = 40   // that one client sends at once
	promptTokens = 5120 // of each: the example of the protocol's page
)

// pipeline: a client sends many commands at once, and those that it got no answer to once more on a new connection.
func pipeline(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	for range 2 {
		f.add("prompt", 0, reads(30*time.Millisecond))
		f.add("answer", 0, writes(func(_ *worker, c *call) { serveStream(c, 3, 5*time.Millisecond) }))
	}
	r, err := startRouter(f, e.dir, settings(nil))
	if err != nil {
		return false, err
	}
	defer r.kill()
	var open []string
	for n := range commands {
		open = append(open, fmt.Sprintf("command%04d", n))
	}
	if !e.trouble { // the same requests, each once the one before has its answer
		for _, id := range open {
			if left, err := sendAll(e.rec, r.listen, []string{id}); err != nil || len(left) > 0 {
				return false, err
			}
		}
		return true, nil
	}
	for connection := range 2 {
		from := time.Now()
		left, err := sendAll(e.rec, r.listen, open)
		if err != nil {
			return false, err
		}
		e.rec.note("connection %d: the router has ended it after %v; %d of %d commands got no answer", connection+1, time.Since(from).Round(time.Millisecond), len(left), len(open))
		if open = left; len(open) == 0 {
			return true, nil
		}
	}
	e.rec.note("BROKEN: %d commands that were written whole got no answer, on their first connection nor on a new one: %v", len(open), open)
	return false, nil
}

// sendAll writes all requests at once on a new connection, and returns those that got no answer when the router had ended
// the connection or the time of the last of them, and half a second, was over.
func sendAll(rec *record, addr string, ids []string) (left []string, err error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return ids, err
	}
	defer nc.Close()
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(requestText(id, "payout-question", "s"+id, 5800, promptTokens, strings.Repeat("y", 4*promptTokens)))
	}
	written := make(chan error, 1)
	go func() {
		from := time.Now()
		k, err := io.WriteString(nc, text.String())
		rec.note("client: %d requests, %d of %d bytes written after %v (%v)", len(ids), k, text.Len(), time.Since(from).Round(time.Millisecond), err)
		written <- err
	}()
	nc.SetReadDeadline(time.Now().Add(5800*time.Millisecond + 550*time.Millisecond))
	br := bufio.NewReader(nc)
	for n, id := range ids {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			rec.note("client: instead of the answer to %s: %v", id, err)
			if err := <-written; err != nil {
				return ids[n:], fmt.Errorf("the requests were not taken whole: %w", err)
			}
			return ids[n:], nil
		}
		body, err := io.ReadAll(res.Body)
		rec.note("client: %s answered %s, %d bytes (%v)", id, res.Status, len(body), err)
	}
	return nil, nil
}
