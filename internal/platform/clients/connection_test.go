package clients

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gannethook/internal/http1"
)

// No work begins for a client that has disconnected, however much it pipelined after its request.
func TestDisconnectAfterPipelinedData(t *testing.T) {
	for name, pipelined := range map[string]string{"a line": "\r\n", "requests": strings.Repeat(wholeRequest, 200),
		"more than is kept": strings.Repeat(wholeRequest, 2000)} {
		addr, submitted, _ := startServer(t, 10, func(addr string) {
			nc := dial(t, addr)
			io.WriteString(nc, wholeRequest+pipelined)
			nc.Close()
		})
		nc := dial(t, addr) // the client that is served, after it
		io.WriteString(nc, strings.Replace(wholeRequest, "Host", "Connection: close\r\nHost", 1))
		io.ReadAll(nc)
		if n := submitted.Load(); n != 1 {
			t.Errorf("%s: %d requests were submitted", name, n)
		}
	}
}

// Of many pipelined requests those that fit the buffer are answered, in order; the ones over its limit get an error and a
// close, and no request that was read goes unanswered.
func TestPipelinedFloodIsAnswered(t *testing.T) {
	addr, submitted, _ := startServer(t, 10, nil)
	nc := dial(t, addr)
	go io.WriteString(nc, strings.Repeat(wholeRequest, 4*maxReadAheadBytes/len(wholeRequest)))
	br, answers, last := bufio.NewReader(nc), 0, ""
	for {
		res, err := http1.ReadResponse(br)
		if err != nil {
			break
		}
		body, err := http1.ResponseBody(br, res)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(body)
		if err != nil {
			t.Fatal(err)
		}
		answers, last = answers+1, string(text)
	}
	if n := int(submitted.Load()); answers < 100 || answers != n && answers != n+1 || answers == n+1 && !strings.Contains(last, "too much") {
		t.Errorf("%d answers to %d requests that were read, the last %q", answers, n, last)
	}
}

// Guards against requests that are refused for want of memory because clients that pipeline without end hold all of it.
func TestPipelinedDataLeavesMemoryForBodies(t *testing.T) {
	_, _, s := startServer(t, 10, nil)
	for range 4 { // each may hold 1 MiB, which is the limit on all bodies here
		near, far := pair(t)
		c := &clientConn{s: s, nc: near}
		c.initBuffers(512)
		go far.Write(make([]byte, 2*maxReadAheadBytes))
		for c.readAhead.droppedBytes == 0 {
			if err := c.readAhead.readOnce(c.readAhead.smallBuf[:]); err != nil {
				t.Fatal(err)
			}
		}
	}
	if limit := s.limits.Load().Bodies; !s.bodies.Reserve(limit/4, limit) {
		t.Error("a quarter of the memory for bodies is not left")
	}
}

// A connection that is accepted while the router is closing idle ones does not stay open for a request that would arrive
// too late to be answered.
func TestConnectionAcceptedDuringStop(t *testing.T) {
	addr, submitted, s := startServer(t, 10, nil)
	s.CloseIdle()
	nc := dial(t, addr)
	from := time.Now()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if took, n := time.Since(from), submitted.Load(); took > 2*time.Second || n != 0 { // Limits.Head, for a connection without a request, is 5 s
		t.Errorf("it closed after %v, %d requests submitted", took, n)
	}
}

// Guards against evicted connections that stay open for the time granted to a first request, because their goroutine sets
// that deadline after the eviction has ended it.
func TestEvictionBeforeTheConnectionIsServed(t *testing.T) {
	_, _, s := startServer(t, 10, nil)
	near, _ := pair(t) // its client sends nothing
	c := &clientConn{s: s, nc: near, evicted: true}
	from := time.Now()
	c.serve()
	if took := time.Since(from); took > 2*time.Second || c.closeReason != closedEvictedNew { // Limits.Head is 5 s
		t.Errorf("it ended after %v, reason %v", took, c.closeReason)
	}
}

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far = dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn), far
}

// fillSendBuffer writes until the kernel accepts no more, and returns the number of bytes.
func fillSendBuffer(t *testing.T, nc *net.TCPConn) int {
	t.Helper()
	nc.SetWriteBuffer(4096)
	total, block := 0, bytes.Repeat([]byte("f"), 64<<10)
	for {
		nc.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := nc.Write(block)
		if total += n; err != nil {
			return total
		}
	}
}

func newTestStreamWriter(nc net.Conn, write time.Duration) (*streamWriter, *http1.Budget, *sync.WaitGroup) {
	var wg sync.WaitGroup
	budget, limits := &http1.Budget{}, &Limits{Bodies: 1 << 20, Write: write}
	return newStreamWriter(nc, func() *Limits { return limits }, budget, wg.Go), budget, &wg
}

// Data that a slow client has not read yet is buffered in bounded memory, so that a worker's stream is read to its end;
// the client gets all of it, in order, and the memory is returned.
func TestSlowClientDoesNotBlockWorker(t *testing.T) {
	near, far := pair(t)
	before := fillSendBuffer(t, near)
	s, budget, wg := newTestStreamWriter(near, 5*time.Second)
	var want []byte
	for i := range 100 {
		event := bytes.Repeat([]byte{byte('a' + i%26)}, 300)
		want = append(want, event...)
		if err := s.chunk(event); err != nil { // without the buffer it would block until the client reads
			t.Fatal(err)
		}
	}
	if err := s.chunk(nil); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	if n := len(s.pending); n > maxPendingBytes {
		t.Errorf("%d bytes wait", n)
	}
	s.mu.Unlock()
	got := make(chan []byte)
	go func() {
		br := bufio.NewReader(far)
		io.CopyN(io.Discard, br, int64(before))
		body, _ := http1.RequestBody(br, http1.Header{{Name: "Transfer-Encoding", Value: "chunked"}})
		text, _ := io.ReadAll(body)
		got <- text
	}()
	if err := s.drain(time.Time{}); err != nil {
		t.Error(err)
	}
	if text := <-got; !bytes.Equal(text, want) {
		t.Errorf("%d bytes arrived, %d were sent", len(text), len(want))
	}
	wg.Wait()
	if !budget.Reserve(1<<20, 1<<20) {
		t.Error("the budget was not returned")
	}
}

// Over the limit the worker's stream waits for its client; if the client reads nothing, it fails after Limits.Write.
func TestClientThatReadsNothing(t *testing.T) {
	near, _ := pair(t)
	fillSendBuffer(t, near)
	s, budget, wg := newTestStreamWriter(near, 200*time.Millisecond)
	var err error
	for range 2000 {
		if err = s.chunk(bytes.Repeat([]byte("x"), 1000)); err != nil {
			break
		}
		s.mu.Lock()
		if n := len(s.pending); n > maxPendingBytes+2000 {
			t.Errorf("%d bytes wait", n)
		}
		s.mu.Unlock()
	}
	if err == nil {
		t.Error("two megabytes were accepted for a client that reads nothing")
	}
	if s.drain(time.Now()) == nil {
		t.Error("no error at the end")
	}
	wg.Wait()
	if !budget.Reserve(1<<20, 1<<20) {
		t.Error("the budget was not returned")
	}
}

// Guards against losing a finished stream at a stop (rule 1). A stream of the largest body in small events has to fit the buffer
// of a client that reads nothing yet, so that the worker's stream is read to its end and the router can deliver it while it
// stops. A limit of one body's size had no space for the chunk framing: the end was not read, and the stop cut the stream.
func TestWholeBodyIsBuffered(t *testing.T) {
	const body, event = 256 << 10, 16
	near, far := pair(t)
	before := fillSendBuffer(t, near)
	s, _, wg := newTestStreamWriter(near, 300*time.Millisecond)
	for range body / event {
		if err := s.chunk(bytes.Repeat([]byte("e"), event)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.chunk(nil); err != nil {
		t.Fatal(err)
	}
	go io.CopyN(io.Discard, far, int64(before))
	go io.Copy(io.Discard, far)
	if err := s.drain(time.Time{}); err != nil {
		t.Error(err)
	}
	wg.Wait()
}
