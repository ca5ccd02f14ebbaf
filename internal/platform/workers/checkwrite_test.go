package workers

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
)

// A change between the choice of a worker and the connection's being established keeps an attempt from being written:
// its worker drains or was removed, its client has disconnected, or its write deadline has passed. A place request is new
// work too; a release is not.
func TestNoWriteAfterChangeWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Client, *attempt.Call)
		want   gannethook.Outcome
	}{
		{"drains", func(cl *Client, _ *attempt.Call) {
			cl.Update(false, []Worker{{ID: "w", Addr: cl.byID["w"].addr, Draining: true}})
		},
			gannethook.ConnectFailed},
		{"gone", func(cl *Client, _ *attempt.Call) { cl.Update(false, []Worker{{ID: "w", Removed: true}}) }, gannethook.ConnectFailed},
		{"too late", func(_ *Client, a *attempt.Call) { a.WriteDeadline = time.Now().Add(-time.Millisecond) }, gannethook.ConnectFailed},
		{"client left", func(_ *Client, a *attempt.Call) { a.ClientGone = func() bool { return true } }, gannethook.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests, releases atomic.Int32
			cl := newTestClient(t, 10, serveRequests(t, func(nc net.Conn, req *http.Request) {
				if req.Method == "DELETE" {
					releases.Add(1)
				} else {
					requests.Add(1)
				}
				io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			}))
			a := newCall(1)
			a.WriteDeadline, a.ClientGone = time.Now().Add(time.Hour), func() bool { return false }
			if r := cl.Read(context.Background(), a); r.Outcome != gannethook.Failed || requests.Load() != 1 {
				t.Fatalf("before the change: %+v, %d requests", r, requests.Load())
			}
			c.change(cl, a)
			for _, do := range []func() attempt.Result{
				func() attempt.Result { return cl.Read(context.Background(), a) },
				func() attempt.Result { return cl.Write(context.Background(), a, nil, nil) },
			} {
				if r := do(); r.Outcome != c.want {
					t.Errorf("%+v", r)
				}
			}
			if c.name == "drains" {
				if p := cl.Hold(context.Background(), a, ""); p != attempt.Denied {
					t.Errorf("place request: %v", p)
				}
				if cl.Release(context.Background(), []attempt.Held{{Addr: "w", Key: "r1"}}); releases.Load() != 1 {
					t.Errorf("%d releases", releases.Load())
				}
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests reached the worker", n)
			}
		})
	}
}

// Guards against releases that fail for lack of a connection when many requests end at once: a release waits for one.
func TestReleaseWaitsForConnection(t *testing.T) {
	var reads sync.WaitGroup
	released, answerReads := make(chan struct{}, 1), make(chan struct{})
	cl := newTestClient(t, 2, serveRequests(t, func(nc net.Conn, req *http.Request) {
		if req.Method == "DELETE" {
			released <- struct{}{}
			io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			return
		}
		reads.Done()
		<-answerReads
		io.WriteString(nc, acceptedResponse)
	}))
	var running sync.WaitGroup
	reads.Add(2)
	for i := range 2 {
		running.Go(func() { cl.Read(context.Background(), newCall(i)) })
	}
	reads.Wait()
	go func() {
		time.Sleep(50 * time.Millisecond) // well after the release has begun, which may not time out meanwhile
		close(answerReads)
	}()
	cl.Release(context.Background(), []attempt.Held{{Addr: "w", Key: "r9"}})
	select {
	case <-released:
	default:
		t.Error("the release failed for lack of a connection")
	}
	running.Wait()
}
