package platform

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// Guards against requests that are served after their deadline because they waited on their connection behind an earlier
// one (rule 1): the time of each runs from its arrival, not from its turn. One whose time is over is refused right behind
// the stream before it and reaches no worker; one that has time left tells workers no more than that.
func TestPipelinedRequestsKeepTheirDeadlines(t *testing.T) {
	const streamEvents, eventGap = 14, 50 * ms // 0.7 s
	const short, long = 300, 4000              // X-Timeout-Ms
	type sent struct {
		id, class string
		timeout   int
	}
	requests := []sent{{"stream", "question", long}, {"short", "question", short}, {standin.Unsafe + "short", "adjustment", short}, {"long", "question", long}}
	var raw []string
	for _, r := range requests {
		raw = append(raw, request(r.id, r.class, r.timeout, body))
	}
	all := raw[0] + raw[1] + raw[2] + raw[3]
	for name, parts := range map[string][]string{
		"at once":             {all},
		"one by one":          raw,
		"cut inside requests": {raw[0] + raw[1][:40], raw[1][40:] + raw[2][:100], raw[2][100 : len(raw[2])-1], raw[2][len(raw[2])-1:] + raw[3][:1], raw[3][1:]},
	} {
		t.Run(name, func(t *testing.T) {
			var reader *standin.Worker
			s := startRouter(t, func(f *standin.Fleet) {
				reader = f.Add(standin.Prompt, nil)
				f.Add(standin.Answer, func(_ int, id string) standin.Script {
					if id == "stream" {
						return standin.Script{Events: streamEvents, EventGap: eventGap}
					}
					return standin.Script{}
				})
			})
			nc := s.dial()
			br := bufio.NewReader(nc)
			start := time.Now()
			for _, part := range parts {
				io.WriteString(nc, part)
				time.Sleep(20 * ms)
			}
			sentAt := time.Since(start) // of the last one at the latest
			if a := s.exchange(nc, br, ""); a.status != 200 || a.text != streamText("stream", streamEvents) {
				t.Fatalf("the stream: %+v", a)
			}
			if time.Since(start) < sentAt+short*ms {
				t.Fatalf("the stream ended after %v, within the time of the requests behind it", time.Since(start))
			}
			for _, r := range requests[1:3] {
				if a := s.exchange(nc, br, ""); a.status != 503 || a.elapsed > 200*ms {
					t.Errorf("%s, whose time is over: status %d after %v", r.id, a.status, a.elapsed)
				}
			}
			s.wantServed(s.exchange(nc, br, ""), "long")
			headers := reader.RequestHeaders()
			if len(headers) != 2 {
				t.Fatalf("the reader got %d requests, 2 expected", len(headers))
			}
			told, err := strconv.Atoi(headers[1].Get("X-Timeout-Ms"))
			if left := long - int((streamEvents*eventGap-sentAt)/ms); err != nil || told > left {
				t.Errorf("the reader was told %d ms, at most %d were left", told, left)
			}
		})
	}
}

// Guards against requests that get no answer because what a client sends at once is read and dropped (rule 1): forty
// requests of 20 KB are answered in order on their connection.
func TestManyPipelinedRequestsAreServed(t *testing.T) {
	const requests, size = 40, 20 << 10
	s := startRouter(t, addReaderAndWriter)
	nc := s.dial()
	var all strings.Builder
	for n := range requests {
		all.WriteString(request(fmt.Sprint("command", n), "question", 6000, `{"text":"`+strings.Repeat("x", size)+`"}`))
	}
	go io.WriteString(nc, all.String())
	br := bufio.NewReader(nc)
	for n := range requests {
		s.wantServed(s.exchange(nc, br, ""), fmt.Sprint("command", n))
	}
}
