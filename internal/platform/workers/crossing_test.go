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

// What changes between the choice of a worker and the moment in which the connection has come up keeps an attempt
// from beginning: its worker drains or is gone, its client has left, its group has forgotten the attempt before it.
// A place is new work too; to let go is not.
func TestNothingBeginsOnceItMayNot(t *testing.T) {
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
			var work, let atomic.Int32
			cl := client(t, 10, answering(t, func(nc net.Conn, req *http.Request) {
				if req.Method == "DELETE" {
					let.Add(1)
				} else {
					work.Add(1)
				}
				io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			}))
			a := call(1)
			a.WriteDeadline, a.ClientGone = time.Now().Add(time.Hour), func() bool { return false }
			if r := cl.Read(context.Background(), a); r.Outcome != gannethook.Failed || work.Load() != 1 {
				t.Fatalf("as nothing has changed: %+v, %d requests", r, work.Load())
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
					t.Errorf("a place: %v", p)
				}
				if cl.Release(context.Background(), []attempt.Held{{Addr: "w", Key: "r1"}}); let.Load() != 1 {
					t.Errorf("%d releases", let.Load())
				}
			}
			if n := work.Load(); n != 1 {
				t.Errorf("%d requests reached the worker", n)
			}
		})
	}
}

// Where every connection is in use, a release waits for one: what is held is let go although many requests end at once.
func TestReleaseWaitsForRoom(t *testing.T) {
	var reads sync.WaitGroup
	let, free := make(chan struct{}, 1), make(chan struct{})
	cl := client(t, 2, answering(t, func(nc net.Conn, req *http.Request) {
		if req.Method == "DELETE" {
			let <- struct{}{}
			io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			return
		}
		reads.Done()
		<-free
		io.WriteString(nc, done)
	}))
	var out sync.WaitGroup
	reads.Add(2)
	for i := range 2 {
		out.Go(func() { cl.Read(context.Background(), call(i)) })
	}
	reads.Wait()
	go func() {
		time.Sleep(50 * time.Millisecond) // long after the release has begun; however late, it may not have given up
		close(free)
	}()
	cl.Release(context.Background(), []attempt.Held{{Addr: "w", Key: "r9"}})
	select {
	case <-let:
	default:
		t.Error("the release was given up for want of a connection")
	}
	out.Wait()
}
