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

// A client that has left has nothing begun for it, however much it sent behind its request before it went.
func TestLeftBehindWhatItSent(t *testing.T) {
	for name, behind := range map[string]string{"a line": "\r\n", "requests": strings.Repeat(whole, 200),
		"more than is kept": strings.Repeat(whole, 2000)} {
		addr, asked, _ := served(t, 10, func(addr string) {
			nc := dial(t, addr)
			io.WriteString(nc, whole+behind)
			nc.Close()
		})
		nc := dial(t, addr) // behind it, and the one that is served
		io.WriteString(nc, strings.Replace(whole, "Host", "Connection: close\r\nHost", 1))
		io.ReadAll(nc)
		if n := asked.Load(); n != 1 {
			t.Errorf("%s: %d requests were begun", name, n)
		}
	}
}

// Of many requests in one write those that are kept are answered, in order; what goes beyond the bound gets an error and a
// close, and nothing that was read ends without a word.
func TestFloodIsAnswered(t *testing.T) {
	addr, asked, _ := served(t, 10, nil)
	nc := dial(t, addr)
	go io.WriteString(nc, strings.Repeat(whole, 4*maxReadAheadBytes/len(whole)))
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
	if n := int(asked.Load()); answers < 100 || answers != n && answers != n+1 || answers == n+1 && !strings.Contains(last, "too much") {
		t.Errorf("%d answers to %d requests that were read, the last %q", answers, n, last)
	}
}

// A connection that is taken in the very moment in which the router turns away does not stay open for a request that
// would come too late to be answered.
func TestTakenAsTheRouterTurns(t *testing.T) {
	addr, asked, s := served(t, 10, nil)
	s.CloseIdle()
	nc := dial(t, addr)
	from := time.Now()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if took, n := time.Since(from), asked.Load(); took > 2*time.Second || n != 0 { // the bound on a silent one is 5 s
		t.Errorf("it closed after %v, %d requests begun", took, n)
	}
}

// pair is two ends of a connection over loopback.
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

// fillUp writes until the system takes no more.
func fillUp(t *testing.T, nc *net.TCPConn) int {
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

func testSender(nc net.Conn, write time.Duration) (*streamWriter, *http1.Budget, *sync.WaitGroup) {
	var wg sync.WaitGroup
	budget, limits := &http1.Budget{}, &Limits{Bodies: 1 << 20, Write: write}
	return newStreamWriter(nc, func() *Limits { return limits }, budget, wg.Go), budget, &wg
}

// What a slow client does not take yet waits in bounded memory, so that the end of a worker's stream is read; it gets
// limit of it, in order, and the memory is given back.
func TestSlowClientWaitsAlone(t *testing.T) {
	near, far := pair(t)
	before := fillUp(t, near)
	s, budget, wg := testSender(near, 5*time.Second)
	var want []byte
	for i := range 100 {
		event := bytes.Repeat([]byte{byte('a' + i%26)}, 300)
		want = append(want, event...)
		if err := s.chunk(event); err != nil { // would wait for the client without the memory
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
		t.Errorf("%d bytes came, %d were sent", len(text), len(want))
	}
	wg.Wait()
	if !budget.Take(1<<20, 1<<20) {
		t.Error("memory is not given back")
	}
}

// Beyond the bound the worker's stream waits for its client; a client that takes nothing ends it in time.
func TestClientThatTakesNothing(t *testing.T) {
	near, _ := pair(t)
	fillUp(t, near)
	s, budget, wg := testSender(near, 200*time.Millisecond)
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
		t.Error("two megabytes were taken for a client that takes nothing")
	}
	if s.drain(time.Now()) == nil {
		t.Error("no error at the end")
	}
	wg.Wait()
	if !budget.Take(1<<20, 1<<20) {
		t.Error("memory is not given back")
	}
}

// A stream of a whole body, as large as the platform has them, in small events waits for a client that takes nothing yet, so that
// its worker's end is read: a router that is told to stop hands it over to its last chunk. With a bound of one body's size the
// chunks' own bytes did not fit, the end was not read, and a stop ended the stream at its turn (rule 1: a finished stream is lost).
func TestWholeBodyWaitsForItsClient(t *testing.T) {
	const body, event = 256 << 10, 16
	near, far := pair(t)
	before := fillUp(t, near)
	s, _, wg := testSender(near, 300*time.Millisecond)
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
