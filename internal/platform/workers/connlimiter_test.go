package workers

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gannethook"
)

// An attempt that finds all connections in use waits for one, and begins as soon as another attempt has ended.
func TestAttemptWaitsForConnection(t *testing.T) {
	const conns, attempts = 10, 9 // a tenth is reserved for place requests and releases
	answer := make(chan struct{})
	var begun sync.WaitGroup
	cl := newTestClient(t, conns, serveRequests(t, func(nc net.Conn, req *http.Request) {
		begun.Done()
		<-answer
		io.WriteString(nc, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	}))
	begun.Add(attempts + 1)
	outcomes := make(chan gannethook.Outcome, attempts+1)
	for i := range attempts + 1 {
		go func() { outcomes <- cl.Read(context.Background(), newCall(i)).Outcome }()
	}
	for range 2 { // one response frees a connection for the tenth attempt, which is answered with the others
		answer <- struct{}{}
	}
	begun.Wait()
	close(answer)
	for range attempts + 1 {
		if o := <-outcomes; o != gannethook.ReadDone {
			t.Errorf("outcome %v", o)
		}
	}
}

// Waiting callers are woken in order, place requests and releases first; a wake-up of a cancelled caller is passed on.
func TestConnLimiterOrder(t *testing.T) {
	r := &connLimiter{open: 1, recheckInterval: time.Hour}
	order := make(chan string, 3)
	var waiting sync.WaitGroup
	wait := func(ctx context.Context, name string, control bool) {
		queue := 1
		if control {
			queue = 0
		}
		r.mu.Lock()
		had := len(r.queues[queue])
		r.mu.Unlock()
		waiting.Go(func() {
			if r.wait(ctx, control) {
				order <- name
			}
		})
		for queued := false; !queued; time.Sleep(time.Millisecond) {
			r.mu.Lock()
			queued = len(r.queues[queue]) > had
			r.mu.Unlock()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait(ctx, "gone", false)
	wait(context.Background(), "attempt", false)
	wait(context.Background(), "release", true)
	r.wakeNext()
	if got := <-order; got != "release" {
		t.Errorf("%s goes first", got)
	}
	cancel()
	r.wakeNext()
	if got := <-order; got != "attempt" {
		t.Errorf("%s goes next", got)
	}
	waiting.Wait()
}
