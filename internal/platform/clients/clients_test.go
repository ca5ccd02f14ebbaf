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

const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-ID: 9b1f\r\nX-Priority-Class: chat\r\nX-Route-Key: 7f3a\r\n" +
	"X-Timeout-Ms: 4800\r\nX-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n\r\n"

func parse(t *testing.T, text string) *http1.Request {
	t.Helper()
	req, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

func TestParseJob(t *testing.T) {
	classes := map[string]int{"chat": 1}
	job, reject := parseJob(parse(t, requestHead), classes)
	if reject != nil {
		t.Fatal(reject)
	}
	if job.Name != "9b1f" || job.Class != 1 || job.Session != hashKey("7f3a") || job.Prefix != hashKey("5c0f") || job.Session == job.Prefix ||
		job.PromptSize != 5120 || job.PrefixTokens != 2048 || job.MaxTokens != 800 || job.Timeout.Milliseconds() != 4800 {
		t.Errorf("%+v", job)
	}
	job, reject = parseJob(parse(t, strings.Replace(requestHead, "X-Attrs", "X-Tenant-Id: norte\r\nX-Attrs", 1)), classes)
	if reject != nil || job.TenantName != "norte" {
		t.Errorf("with a tenant: %+v, %v", job, reject)
	}
	// X-Attrs is optional.
	job, reject = parseJob(parse(t, strings.Replace(requestHead, "X-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n", "", 1)), classes)
	if reject != nil || job.Prefix != 0 || job.PromptSize != 0 || job.TenantName != "" {
		t.Errorf("%+v, %v", job, reject)
	}
}

// For any input as a request's head, the parsed job is within its limits.
func FuzzRequest(f *testing.F) {
	f.Add(requestHead + "{}")
	f.Add(strings.Replace(requestHead, "X-Attrs", "Content-Length: 2\r\nX-Attrs", 1) + "{}")
	f.Add("GET /ready HTTP/1.1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReader(strings.NewReader(text))
		req, err := http1.ReadRequest(br)
		if err != nil {
			return
		}
		job, reject := parseJob(req, map[string]int{"chat": 0})
		if (job == nil) == (reject == nil) {
			t.Fatalf("%+v, %v", job, reject)
		}
		if job == nil {
			return
		}
		if !validRequestID(job.Name) || job.Timeout <= 0 || job.PromptSize > maxTokens || strings.ContainsAny(job.Path, "\r\n ") {
			t.Errorf("%+v", job)
		}
		if b, err := http1.RequestBody(br, req.Header); err == nil {
			if req.Header.Get("Content-Length") != "" && req.Header.Get("Transfer-Encoding") != "" {
				t.Errorf("body with both Content-Length and Transfer-Encoding: %+v", b)
			}
		}
	})
}

// startServer starts a server whose driver refuses all requests, counted by submitted. before, if not nil, runs before the
// first connection is accepted.
func startServer(t *testing.T, conns int, before func(addr string)) (addr string, submitted *atomic.Int32, s *Server) {
	t.Helper()
	submitted = &atomic.Int32{}
	s = New(Config{Classes: []string{"chat"}, Ready: func() bool { return true }, Log: zap.NewNop(),
		Submit: func(driver.Job, driver.Sink) (*driver.Call, error) {
			submitted.Add(1)
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
	return ln.Addr().String(), submitted, s
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

// awaitIdle waits until so many of the server's connections are idle: it writes a response before it counts the connection
// as idle.
func awaitIdle(t *testing.T, s *Server, want int) {
	t.Helper()
	idle := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.idle.Len()
	}
	for start := time.Now(); idle() != want; time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%d connections are idle, %d expected", idle(), want)
		}
	}
}

var wholeRequest = strings.Replace(requestHead, "X-Attrs", "Content-Length: 2\r\nX-Attrs", 1) + "{}"

// No work begins for a client that disconnects before its request is read.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	addr, submitted, _ := startServer(t, 10, func(addr string) {
		nc := dial(t, addr)
		io.WriteString(nc, wholeRequest)
		nc.Close()
	})
	// A client that stays is served after it: connections are accepted in order, and each closes with its response.
	nc := dial(t, addr)
	io.WriteString(nc, strings.Replace(wholeRequest, "Host", "Connection: close\r\nHost", 1))
	if text, err := io.ReadAll(nc); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") {
		t.Errorf("%q, %v", text, err)
	}
	if n := submitted.Load(); n != 1 {
		t.Errorf("%d requests were submitted", n)
	}
}

// An evicted connection ends gracefully: data that its client writes as it closes is read and discarded, and does not
// reset it.
func TestEvictionIsGraceful(t *testing.T) {
	addr, submitted, s := startServer(t, 2, nil)
	first := dial(t, addr)
	io.WriteString(first, wholeRequest)
	br := bufio.NewReader(first)
	if res, err := http1.ReadResponse(br); err != nil || res.Status != 503 {
		t.Fatalf("%+v, %v", res, err)
	}
	br.Discard(br.Buffered())
	awaitIdle(t, s, 1) // the first one is idle for longer than the next
	dial(t, addr)
	dial(t, addr) // one over the limit
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection idle for longest: %v", err)
	}
	for range 3 { // on a closed connection the first write would cause a reset, and the next would fail
		if _, err := io.WriteString(first, wholeRequest); err != nil {
			t.Fatal(err)
		}
	}
	first.CloseWrite()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("it was reset: %v", err)
	}
	if n := submitted.Load(); n != 1 {
		t.Errorf("%d requests were submitted", n)
	}
	// Idle connections end in the same way when the router stops.
	last := dial(t, addr)
	io.WriteString(last, wholeRequest)
	lr := bufio.NewReader(last)
	if res, err := http1.ReadResponse(lr); err != nil || res.Status != 503 {
		t.Fatalf("%+v, %v", res, err)
	}
	lr.Discard(lr.Buffered())
	s.CloseIdle()
	if _, err := lr.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("at the stop: %v", err)
	}
	io.WriteString(last, wholeRequest)
	last.CloseWrite()
	if _, err := lr.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("it was reset: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if s.Wait(ctx); submitted.Load() != 2 || ctx.Err() != nil {
		t.Errorf("%d requests were submitted, %v", submitted.Load(), ctx.Err())
	}
}

// blockingReadConn is a connection whose first Read signals that it has data, then blocks until resumed.
type blockingReadConn struct {
	*net.TCPConn
	readDone, resume chan struct{}
	once             sync.Once
}

func (h *blockingReadConn) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	h.once.Do(func() {
		close(h.readDone)
		<-h.resume
	})
	return n, err
}

// A connection whose first byte has just been read is not evicted, however late its goroutine goes on.
func TestNoEvictionAfterFirstByte(t *testing.T) {
	addr, submitted, s := startServer(t, 1, nil)
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
	h := &blockingReadConn{TCPConn: in.(*net.TCPConn), readDone: make(chan struct{}), resume: make(chan struct{})}
	s.accept(h)
	io.WriteString(nc, wholeRequest[:1])
	<-h.readDone
	other, err := io.ReadAll(dial(t, addr)) // refused over the limit
	close(h.resume)
	if err != nil || !strings.HasPrefix(string(other), "HTTP/1.1 503 ") {
		t.Errorf("the next client: %q, %v", other, err)
	}
	io.WriteString(nc, wholeRequest[1:])
	if res, err := http1.ReadResponse(bufio.NewReader(nc)); err != nil || res.Status != 503 || submitted.Load() != 1 {
		t.Errorf("the arriving request: %+v, %v, %d submitted", res, err, submitted.Load())
	}
}

// Data that a client sends after an open request is buffered in order and within the budget, and its memory is returned.
func TestReadAheadIsBounded(t *testing.T) {
	in, out := net.Pipe()
	defer in.Close()
	var budget http1.Budget
	a := &readAhead{nc: out, budget: &budget, limit: 600}
	go func() {
		io.WriteString(in, strings.Repeat("a", 256))
		io.WriteString(in, strings.Repeat("b", 256))
		io.WriteString(in, strings.Repeat("c", 256)) // over the budget
		in.Close()
	}()
	var err error
	for err == nil {
		err = a.readOnce(a.smallBuf[:])
	}
	if !errors.Is(err, io.EOF) || a.droppedBytes != 256 || a.heldBytes != 512 {
		t.Errorf("%v, %d dropped, %d held", err, a.droppedBytes, a.heldBytes)
	}
	text, err := io.ReadAll(a)
	if string(text) != strings.Repeat("a", 256)+strings.Repeat("b", 256) || err != nil {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if !budget.Reserve(600, 600) {
		t.Error("the budget was not returned")
	}
}
