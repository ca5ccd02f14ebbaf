package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["6"] = lateStream }

// Times of a planned restart, as the pages state them.
const (
	killAfter   = 3750 * time.Millisecond // the longest deadline, counted as 3 s, 0.7 s, and the 50 ms of every time limit
	excusedTill = 700 * time.Millisecond  // after SIGTERM: what came later and is unanswered at SIGKILL is lost
)

// Answers: an event has four tokens, each of which takes 12 ms.
const (
	eventTokens = 4
	tokenGap    = 48 * time.Millisecond // between two events
	shortAnswer = 36                    // tokens of the shortest
	longAnswer  = 300                   // tokens of the longest: max_out
)

// lateStream: a request whose last byte comes over 0.7 s after SIGTERM, and whose answer is longer than the recent ones.
func lateStream(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	write := func(w *worker, c *call) {
		tokens := shortAnswer + eventTokens*(len(c.id)%5)
		if strings.HasPrefix(c.id, "long") {
			tokens = longAnswer
		}
		serveStream(c, tokens/eventTokens, tokenGap)
		e.rec.note("%s: the stream of %s has ended", w.uid, c.id)
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
	for n := range 12 { // usual traffic, one request at a time
		id := "usual" + strings.Repeat("a", n%5) + fmt.Sprint(n)
		status, whole, _ := ask(e.rec, r.listen, id, requestText(id, "consulta", id, 4000, 200, "hola"))
		if status != 200 || !whole {
			return false, fmt.Errorf("%s was not served before the trouble", id)
		}
	}
	nc, err := net.Dial("tcp", r.listen)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	text := requestText("long1", "consulta", "s", 4000, 200, strings.Repeat("x", 4000))
	// The client writes slowly: its request takes from before the signal to 1 s behind it.
	stopped := time.Now().Add(300 * time.Millisecond)
	pieces := 13
	var lastByte time.Time
	for n := range pieces {
		nc.Write([]byte(text[len(text)*n/pieces : len(text)*(n+1)/pieces]))
		lastByte = time.Now()
		if n == 2 {
			stopped = time.Now()
			if e.trouble {
				r.signal(syscall.SIGTERM)
				e.rec.note("SIGTERM")
			}
		}
		if n < pieces-1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	e.rec.note("client long1: last byte written %v after the signal", lastByte.Sub(stopped).Round(time.Millisecond))
	if e.trouble {
		time.AfterFunc(time.Until(stopped.Add(killAfter)), func() {
			e.rec.note("SIGKILL")
			r.signal(syscall.SIGKILL)
		})
	}
	status, whole, events := answer(e.rec, nc, "long1")
	switch {
	case status == 429 || status == 503:
		return true, nil // refused: harmless
	case status == 0 && f.attempts("long1") == 0:
		return true, nil // closed with nothing sent on: the client sends it once more
	case status != 0 && status != 200:
		return true, nil // failed
	case status == 200 && whole:
		return true, nil
	}
	if lastByte.Sub(stopped) <= excusedTill {
		return false, fmt.Errorf("the request came too early to count")
	}
	e.rec.note("BROKEN: long1 came %v after SIGTERM, was taken and is lost at SIGKILL: status %d, %d events, no last chunk", lastByte.Sub(stopped).Round(time.Millisecond), status, events)
	return false, nil
}

// estacionamiento returns the settings of a small deployment like that of estacionamiento-mvd.toml: no resuming, no places.
func estacionamiento() map[string]any {
	return settings(func(s map[string]any) {
		s["ceilings"].(map[string]any)["maxAttempts"] = 6
		s["classes"] = []any{
			map[string]any{"aimMs": 1000, "effect": "pure", "importance": 1, "name": "consulta", "streamed": true, "deadlineMs": 5000},
			map[string]any{"aimMs": 3000, "effect": "pure", "importance": 3, "name": "multa", "streamed": true, "deadlineMs": 15000}}
		d := s["domain"].(map[string]any)
		d["holdsAllowed"], d["resume"] = false, false
		s["kinds"], s["zones"], s["peersTotal"] = []string{"lectura", "respuesta"}, []string{"sala-centro"}, 2
		s["guarantees"] = map[string]any{"coldFrom": 0.25, "overloadFactor": 2.5, "warmAfterMs": 14000, "stopSendingWithinMs": 250}
	})
}

// ask sends a request on a new connection and reads its answer.
func ask(rec *record, addr, id, text string) (status int, whole bool, err error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, false, err
	}
	defer nc.Close()
	if _, err = nc.Write([]byte(text)); err != nil {
		return 0, false, err
	}
	status, whole, _ = answer(rec, nc, id)
	return status, whole, nil
}

// answer reads one answer; whole reports whether it came to its end.
func answer(rec *record, nc net.Conn, id string) (status int, whole bool, events int) {
	from := time.Now()
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		rec.note("client %s: no answer: %v", id, err)
		return 0, false, 0
	}
	body, err := io.ReadAll(res.Body)
	events = strings.Count(string(body), "data: ")
	rec.note("client %s: %s, %d events, after %v, end: %v", id, res.Status, events, time.Since(from).Round(time.Millisecond), err)
	return res.StatusCode, err == nil, events
}
