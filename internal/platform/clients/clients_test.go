package clients

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
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
	job, bad := parseJob(parse(t, head), classes)
	if bad != nil {
		t.Fatal(bad)
	}
	if job.Name != "9b1f" || job.Class != 1 || job.Session != hashKey("7f3a") || job.Prefix != hashKey("5c0f") || job.Session == job.Prefix ||
		job.PromptSize != 5120 || job.PrefixTokens != 2048 || job.MaxTokens != 800 || job.Timeout.Milliseconds() != 4800 {
		t.Errorf("%+v", job)
	}
	job, bad = parseJob(parse(t, strings.Replace(head, "X-Attrs", "X-Tenant-Id: norte\r\nX-Attrs", 1)), classes)
	if bad != nil || job.TenantName != "norte" {
		t.Errorf("of a tenant: %+v, %v", job, bad)
	}
	// What a request need not say.
	job, bad = parseJob(parse(t, strings.Replace(head, "X-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n", "", 1)), classes)
	if bad != nil || job.Prefix != 0 || job.PromptSize != 0 || job.TenantName != "" {
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
		job, bad := parseJob(req, map[string]int{"chat": 0})
		if (job == nil) == (bad == nil) {
			t.Fatalf("%+v, %v", job, bad)
		}
		if job == nil {
			return
		}
		if !validRequestID(job.Name) || job.Timeout <= 0 || job.PromptSize > maxTokens || strings.ContainsAny(job.Path, "\r\n ") {
			t.Errorf("%+v", job)
		}
		if b, err := http1.RequestBody(br, req.Header); err == nil {
			if req.Header.Get("Content-Length") != "" && req.Header.Get("Transfer-Encoding") != "" {
				t.Errorf("a body framed in two ways: %+v", b)
			}
		}
	})
}

// served starts a server whose requests are all turned away by the driver; it counts them. before runs ahead of the
// first connection's being taken.
func served(t *testing.T, conns int, before func(addr string)) (addr string, asked *atomic.Int32, s *Server) {
	t.Helper()
	asked = &atomic.Int32{}
	s = New(Config{Classes: []string{"chat"}, Ready: func() bool { return true }, Log: zap.NewNop(),
		Submit: func(driver.Job, driver.Sink) (*driver.Call, error) {
			asked.Add(1)
			return nil, driver.ErrBusy
		},
		Limits: Limits{Conns: conns, Rejections: 4, Body: 1 << 10, Bodies: 1 << 20, Head: 5 * time.Second, Idle: 5 * time.Second,
			Write: time.Second, Shutdown: 2 * time.Second}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if before != nil {
		before(ln.Addr().String())
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		s.CloseAll()
	})
	return ln.Addr().String(), asked, s
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return nc.(*net.TCPConn)
}

var whole = strings.Replace(head, "X-Attrs", "Content-Length: 2\r\nX-Attrs", 1) + "{}"

// A client that has left before its request was read has nothing begun for it.
func TestLeftBeforeItWasRead(t *testing.T) {
	addr, asked, _ := served(t, 10, func(addr string) {
		nc := dial(t, addr)
		io.WriteString(nc, whole)
		nc.Close()
	})
	// One that is there is served behind it: connections are taken in order, and each is ended by its answer.
	nc := dial(t, addr)
	io.WriteString(nc, strings.Replace(whole, "Host", "Connection: close\r\nHost", 1))
	if text, err := io.ReadAll(nc); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") {
		t.Errorf("%q, %v", text, err)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d requests were begun", n)
	}
}

// A connection that is closed for want of room ends in order: what its client writes at that very moment is heard and
// not taken, and does not reset it.
func TestEvictedInOrder(t *testing.T) {
	addr, asked, s := served(t, 2, nil)
	first := dial(t, addr)
	io.WriteString(first, whole)
	br := bufio.NewReader(first)
	if res, err := http1.ReadResponse(br); err != nil || res.Status != 503 {
		t.Fatalf("%+v, %v", res, err)
	}
	br.Discard(br.Buffered())
	dial(t, addr)
	dial(t, addr) // one too many
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection unused for longest: %v", err)
	}
	for range 3 { // the first write to a connection that was closed would be reset, the next would fail
		if _, err := io.WriteString(first, whole); err != nil {
			t.Fatal(err)
		}
	}
	first.CloseWrite()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("it was reset: %v", err)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d requests were begun", n)
	}
	// At the stop, what rests ends in the same way.
	last := dial(t, addr)
	io.WriteString(last, whole)
	lr := bufio.NewReader(last)
	if res, err := http1.ReadResponse(lr); err != nil || res.Status != 503 {
		t.Fatalf("%+v, %v", res, err)
	}
	lr.Discard(lr.Buffered())
	s.CloseIdle()
	if _, err := lr.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("at the stop: %v", err)
	}
	io.WriteString(last, whole)
	last.CloseWrite()
	if _, err := lr.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("it was reset: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if s.Wait(ctx); asked.Load() != 2 || ctx.Err() != nil {
		t.Errorf("%d requests were begun, %v", asked.Load(), ctx.Err())
	}
}

// heldUp is a connection whose first read has taken its bytes, and tells so, before it returns.
type heldUp struct {
	*net.TCPConn
	read, goOn chan struct{}
	once       sync.Once
}

func (h *heldUp) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	h.once.Do(func() {
		close(h.read)
		<-h.goOn
	})
	return n, err
}

// A connection whose first byte was just read is not let out for want of room, however late its goroutine runs on.
func TestFirstByteJustRead(t *testing.T) {
	addr, asked, s := served(t, 1, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc := dial(t, ln.Addr().String())
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h := &heldUp{TCPConn: in.(*net.TCPConn), read: make(chan struct{}), goOn: make(chan struct{})}
	s.accept(h)
	io.WriteString(nc, whole[:1])
	<-h.read
	other, err := io.ReadAll(dial(t, addr)) // told that there is no room
	close(h.goOn)
	if err != nil || !strings.HasPrefix(string(other), "HTTP/1.1 503 ") {
		t.Errorf("the next client: %q, %v", other, err)
	}
	io.WriteString(nc, whole[1:])
	if res, err := http1.ReadResponse(bufio.NewReader(nc)); err != nil || res.Status != 503 || asked.Load() != 1 {
		t.Errorf("the request on its way: %+v, %v, %d begun", res, err, asked.Load())
	}
}

// What a client sends behind an open request is kept in bounds, in order, and given back.
func TestAheadInBounds(t *testing.T) {
	in, out := net.Pipe()
	defer in.Close()
	var budget http1.Budget
	a := &readAhead{nc: out, budget: &budget, limit: 600}
	go func() {
		io.WriteString(in, strings.Repeat("a", 256))
		io.WriteString(in, strings.Repeat("b", 256))
		io.WriteString(in, strings.Repeat("c", 256)) // no room
		in.Close()
	}()
	var err error
	for err == nil {
		err = a.readOnce(a.smallBuf[:])
	}
	if !errors.Is(err, io.EOF) || a.droppedBytes != 256 || a.heldBytes != 512 {
		t.Errorf("%v, %d lost, %d held", err, a.droppedBytes, a.heldBytes)
	}
	text, err := io.ReadAll(a)
	if string(text) != strings.Repeat("a", 256)+strings.Repeat("b", 256) || err != nil {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if !budget.Take(600, 600) {
		t.Error("the budget is not given back")
	}
}
