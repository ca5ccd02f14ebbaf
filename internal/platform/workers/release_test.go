package workers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gannethook/internal/attempt"
)

// What is held is let go although the workers asked first are silent, or take no connections for a while.
func TestReleaseOutlastsFailures(t *testing.T) {
	const silent = 8 // the release limit allows 0.8 s
	let := make(chan string, 10)
	cl := client(t, 40, answering(t, func(nc net.Conn, req *http.Request) {
		let <- req.URL.Path
		io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
	}))
	lim := *cl.lim.Load()
	lim.ReleaseTimeout = 120 * time.Millisecond
	cl.Reconfigure(lim)
	for i := range silent {
		id := fmt.Sprint("s", i)
		cl.Update(false, []Worker{{ID: id, Addr: answering(t, func(net.Conn, *http.Request) {})}})
		cl.byID[id].heard = time.Now() // they answered last: they are asked first
	}
	from := time.Now()
	cl.Release(context.Background(), []attempt.Held{{Addr: "s0", Key: "r"}})
	select {
	case path := <-let:
		if path != HoldsPath+"r" {
			t.Errorf("released %s", path)
		}
	default:
		t.Errorf("nothing was released within %v", time.Since(from))
	}
	// None takes a connection at first: each refuses at once.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	cl.Update(true, []Worker{{ID: "down", Addr: addr}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		cl.Release(context.Background(), []attempt.Held{{Addr: "down", Key: "q"}})
	}()
	time.Sleep(100 * time.Millisecond)
	ln, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		let <- req.URL.Path
		rw.WriteHeader(http.StatusNoContent)
	}))
	<-done
	select {
	case path := <-let:
		if path != HoldsPath+"q" {
			t.Errorf("released %s", path)
		}
	default:
		t.Error("nothing was released once the worker was back")
	}
}
