package platform

import (
	"bufio"
	"io"
	"net/http"
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
