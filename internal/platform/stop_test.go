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

// An answer that begins after SIGTERM tells its client that the connection closes behind it, so that no request is
// written on one that is about to close. One that had begun before can't tell: what is written behind it is heard.
func TestAnswersAfterSIGTERMAnnounceTheClose(t *testing.T) {
	hold, step := make(chan struct{}), make(chan struct{}, 8)
	var reader *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, func(_ int, id string) standin.Script {
			if id == "before" {
				return standin.Script{}
			}
			return standin.Script{Until: hold}
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
	s.waitFor("they are read", func() bool { n, _, _ := reader.Count(); return n == 3 })
	s.signals <- syscall.SIGTERM
	s.waitFor("not ready", func() bool { return s.getStatus("/ready") == 503 })
	late := ask("late", "question")
	s.waitFor("the late one is read", func() bool { n, _, _ := reader.Count(); return n == 4 })
	close(hold)
	for name, c := range map[string]client{"stream": stream, "fails": fails, "late": late} {
		got, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if io.Copy(io.Discard, got.Body); !got.Close {
			t.Errorf("%s: its answer of %d does not tell that the connection closes", name, got.StatusCode)
		}
		if _, err := c.br.ReadByte(); err != io.EOF {
			t.Errorf("%s: behind the answer: %v", name, err)
		}
	}
	before.write("behind")
	step <- struct{}{}
	step <- struct{}{}
	if text, err := io.ReadAll(res.Body); err != nil || len(text) == 0 {
		t.Errorf("the stream that had begun: %q, %v", text, err)
	}
	res, err = http.ReadResponse(before.br, nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Fatalf("what was written behind it: %v", err)
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		t.Error(err)
	}
}
