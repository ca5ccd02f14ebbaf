package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// A response that begins after SIGTERM announces the close of its connection, so that the client writes no further request
// on it. A response that began before SIGTERM can't announce it, so a request pipelined after it is still served.
func TestAnswersAfterSIGTERMAnnounceTheClose(t *testing.T) {
	resume, step := make(chan struct{}), make(chan struct{}, 8)
	var reader *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, func(_ int, id string) standin.Script {
			if id == "before" {
				return standin.Script{}
			}
			return standin.Script{Until: resume}
		})
		f.Add(standin.Answer, func(_ int, id string) standin.Script {
			switch id {
			case "before":
				return standin.Script{Events: 3, Step: step}
			case standin.Unsafe + "fails":
				return standin.Script{Status: 500}
			}
			return standin.Script{}
		})
	})
	type client struct {
		br    *bufio.Reader
		write func(id string)
	}
	ask := func(id, class string) client {
		nc := s.dial()
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		c := client{bufio.NewReader(nc), func(id string) { io.WriteString(nc, request(id, class, 4000, body)) }}
		c.write(id)
		return c
	}
	before := ask("before", "question")
	step <- struct{}{}
	res, err := http.ReadResponse(before.br, nil)
	if err != nil || res.Close {
		t.Fatalf("before SIGTERM: %v, closes %v", err, err == nil && res.Close)
	}
	stream, fails := ask("stream", "question"), ask(standin.Unsafe+"fails", "adjustment")
	s.waitFor("the reader has both", func() bool { n, _, _ := reader.Count(); return n == 3 })
	s.signals <- syscall.SIGTERM
	s.waitFor("not ready", func() bool { return s.getStatus("/ready") == 503 })
	late := ask("late", "question")
	s.waitFor("the reader has the late one", func() bool { n, _, _ := reader.Count(); return n == 4 })
	close(resume)
	for name, c := range map[string]client{"stream": stream, "fails": fails, "late": late} {
		got, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if io.Copy(io.Discard, got.Body); !got.Close {
			t.Errorf("%s: the response with status %d does not announce the close", name, got.StatusCode)
		}
		if _, err := c.br.ReadByte(); err != io.EOF {
			t.Errorf("%s: after the response: %v, EOF expected", name, err)
		}
	}
	before.write("behind")
	step <- struct{}{}
	step <- struct{}{}
	if text, err := io.ReadAll(res.Body); err != nil || len(text) == 0 {
		t.Errorf("the stream that began before SIGTERM: %q, %v", text, err)
	}
	res, err = http.ReadResponse(before.br, nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Fatalf("the request pipelined after it: %v", err)
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		t.Error(err)
	}
}

// Guards against streams that are lost at SIGKILL because their requests, read late in a stop, were begun (rule 1). What
// counts is the last byte: written slowly, or sent behind an open stream. Where clients don't resume streams such a request
// is refused, however short the recent streams of its class were; one that came soon after SIGTERM is taken.
func TestRequestsLateInAStop(t *testing.T) {
	const longEvents, eventGap = 200, 20 * ms // 4 s, beyond the kill 3.7 s after SIGTERM
	const soon, late = 200 * ms, 900 * ms     // after SIGTERM
	for _, resume := range []bool{false, true} {
		t.Run(fmt.Sprint("resume ", resume), func(t *testing.T) {
			steps := map[string]chan struct{}{"open-soon": make(chan struct{}, 2), "open-late": make(chan struct{}, 2)} // of the events
			s := startRouterWith(t, options{configure: func(config map[string]any) {
				config["settings"] = json.RawMessage(strings.Replace(standin.Settings, `"resume":true`, fmt.Sprintf(`"resume":%v`, resume), 1))
			}}, func(f *standin.Fleet) {
				f.Add(standin.Prompt, nil)
				f.Add(standin.Answer, func(_ int, id string) standin.Script {
					switch {
					case steps[id] != nil:
						return standin.Script{Events: 2, Step: steps[id]}
					case strings.HasPrefix(id, "long"):
						return standin.Script{Events: longEvents, EventGap: eventGap}
					}
					return standin.Script{}
				})
			})
			type client struct {
				nc net.Conn
				br *bufio.Reader
			}
			connect := func() client {
				nc := s.dial()
				nc.SetDeadline(time.Now().Add(20 * time.Second))
				return client{nc, bufio.NewReader(nc)}
			}
			read := func(c client) (status int, closes bool) {
				res, err := http.ReadResponse(c.br, nil)
				if err != nil {
					t.Fatal(err)
				}
				return res.StatusCode, res.Close
			}
			for i := range 8 { // the recent streams of the unsafe class are short
				id := fmt.Sprint(standin.Unsafe, "known", i)
				s.wantServed(s.send(id, "adjustment", 4000), id)
			}
			openStream := func(id string) (client, *http.Response) {
				c := connect()
				io.WriteString(c.nc, request(id, "question", 4000, body))
				steps[id] <- struct{}{}
				res, err := http.ReadResponse(c.br, nil)
				if err != nil {
					t.Fatal(err)
				}
				return c, res
			}
			behindSoon, first := openStream("open-soon")
			behindLate, second := openStream("open-late")
			slow, slowShort := connect(), connect()
			raw, rawShort := request("long-slow", "question", 4000, body), request(standin.Unsafe+"slow", "adjustment", 4000, body)
			io.WriteString(slow.nc, raw[:100])
			io.WriteString(slowShort.nc, rawShort[:100])
			s.signals <- syscall.SIGTERM
			stoppedAt := time.Now()
			time.Sleep(soon)
			io.WriteString(behindSoon.nc, request("behind-soon", "question", 4000, body))
			time.Sleep(time.Until(stoppedAt.Add(late)))
			io.WriteString(behindLate.nc, request("long-behind", "question", 4000, body))
			io.WriteString(slow.nc, raw[100:])
			io.WriteString(slowShort.nc, rawShort[100:])
			time.Sleep(50 * ms) // the requests behind the streams are read
			for _, step := range steps {
				step <- struct{}{}
			}
			for _, res := range []*http.Response{first, second} {
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					t.Error(err)
				}
			}
			want := 503
			if resume {
				want = 200
			}
			for name, c := range map[string]client{"written slowly": slow, "behind a stream": behindLate, "written slowly, of a short class": slowShort} {
				if status, closes := read(c); status != want || !closes {
					t.Errorf("%s, late: status %d, closes %v", name, status, closes)
				}
			}
			if status, closes := read(behindSoon); status != 200 || !closes {
				t.Errorf("behind a stream, soon: status %d, closes %v", status, closes)
			}
			if denied := s.router.monitor.Counts()["start: late in the stop"]; !resume && denied != 3 {
				t.Errorf("%v denied, three requests expected", s.router.monitor.Counts())
			}
		})
	}
}
