package workers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gannethook"
)

// streamHead is the head of a stream's response.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against clients that are left waiting by a stream which goes on without events (rule 1): only a whole event
// extends the time for the next one, whatever bytes come. A stream whose events come slowly is served.
func TestOnlyEventsExtendAStream(t *testing.T) {
	const (
		idle     = time.Second // Limits.StreamIdle of the client
		slack    = 500 * time.Millisecond
		interval = 50 * time.Millisecond
		event    = "data: a\n\n"
	)
	for name, c := range map[string]struct{ once, repeated string }{
		"a chunk that does not end":       {"ffff\r\n", "?"},
		"chunks without line ends":        {"", chunk("????")},
		"an event that does not end":      {"", chunk("data: b\n")},
		"line ends":                       {"", chunk("\n")},
		"line ends of two bytes":          {"", chunk("\r\n")},
		"comments":                        {"", chunk(": c\n\n")},
		"events without data":             {"", chunk("event: e\n\n")},
		"a size line that does not end":   {"", "0"},
		"an extension that does not end":  {"1;", "x"},
		"a trailer section":               {"0\r\n", "T: t\r\n"},
		"line ends behind the last event": {chunk("data: [DONE]\n\n"), chunk("\n")},
		"events behind the last one":      {chunk("data: [DONE]\n\n"), chunk(event)},
		"silence":                         {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newTestClient(t, 10, serveConns(t, func(nc net.Conn, br *bufio.Reader) {
				if _, ok := readRequest(br); !ok {
					return
				}
				io.WriteString(nc, streamHead+chunk(event)+c.once)
				for range 10 * idle / interval {
					if _, err := io.WriteString(nc, c.repeated); err != nil {
						return
					}
					time.Sleep(interval)
				}
			}))
			from := time.Now()
			r := cl.Write(context.Background(), newCall(0), func() bool { return true }, func([]byte) bool { return true })
			if took := time.Since(from); r.Outcome == gannethook.Served || r.Tokens == 0 || took > idle+slack {
				t.Errorf("%+v after %v", r, took)
			}
		})
	}
	t.Run("slow events", func(t *testing.T) {
		t.Parallel()
		cl := newTestClient(t, 10, serveConns(t, func(nc net.Conn, br *bufio.Reader) {
			if _, ok := readRequest(br); !ok {
				return
			}
			io.WriteString(nc, streamHead)
			for range 3 {
				io.WriteString(nc, chunk(event))
				time.Sleep(idle * 3 / 4)
			}
			io.WriteString(nc, chunk("data: [DONE]\n\n"))
			time.Sleep(idle * 3 / 4)
			io.WriteString(nc, "0\r\n\r\n")
		}))
		r := cl.Write(context.Background(), newCall(0), func() bool { return true }, func([]byte) bool { return true })
		if r.Outcome != gannethook.Served {
			t.Errorf("%+v", r)
		}
	})
}
