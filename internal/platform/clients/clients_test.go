package clients

import (
	"bufio"
	"strings"
	"testing"

	"gannethook/internal/http1"
)

const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: 9b1f\r\nX-Priority-Class: chat\r\nX-Route-Key: 7f3a\r\n" +
	"X-Timeout-Ms: 4800\r\nX-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n\r\n"

func parse(t *testing.T, text string) *http1.Request {
	t.Helper()
	req, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

func TestReadJob(t *testing.T) {
	classes := map[string]int{"chat": 1}
	job, bad := readJob(parse(t, head), classes)
	if bad != nil {
		t.Fatal(bad)
	}
	if job.Name != "9b1f" || job.Class != 1 || job.Session != keyOf("7f3a") || job.Prefix != keyOf("5c0f") || job.Session == job.Prefix ||
		job.PromptSize != 5120 || job.Kept != 2048 || job.MaxTokens != 800 || job.GiveUp.Milliseconds() != 4800 {
		t.Errorf("%+v", job)
	}
	// What a request need not say.
	job, bad = readJob(parse(t, strings.Replace(head, "X-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n", "", 1)), classes)
	if bad != nil || job.Prefix != 0 || job.PromptSize != 0 {
		t.Errorf("%+v, %v", job, bad)
	}
}

// Whatever comes as a request's head, what is taken of it is within bounds.
func FuzzRequest(f *testing.F) {
	f.Add(head + "{}")
	f.Add(strings.Replace(head, "X-Attrs", "Content-Length: 2\r\nX-Attrs", 1) + "{}")
	f.Add("GET /ready HTTP/1.1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReader(strings.NewReader(text))
		req, err := http1.ReadRequest(br)
		if err != nil {
			return
		}
		job, bad := readJob(req, map[string]int{"chat": 0})
		if (job == nil) == (bad == nil) {
			t.Fatalf("%+v, %v", job, bad)
		}
		if job == nil {
			return
		}
		if !isName(job.Name) || job.GiveUp <= 0 || job.PromptSize > mostTokens || strings.ContainsAny(job.Path, "\r\n ") {
			t.Errorf("%+v", job)
		}
		if b, err := http1.RequestBody(br, req.Header); err == nil {
			if req.Header.Get("Content-Length") != "" && req.Header.Get("Transfer-Encoding") != "" {
				t.Errorf("a body framed in two ways: %+v", b)
			}
		}
	})
}
