package engine

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gannethook/internal/attempt"
)

// Guards against a release whose attempts all fail at once while an engine refuses connections for a moment: the
// attempts are spaced by releaseBackoff.
func TestReleaseRetriesFailedDials(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	released := make(chan string, 4)
	c := newClient(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Release(context.Background(), []attempt.Held{{Addr: addr, Key: "k"}})
	}()
	time.Sleep(50 * time.Millisecond)
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		released <- req.URL.Path
		rw.WriteHeader(http.StatusNoContent)
	}))
	<-done
	if len(released) != 1 {
		t.Errorf("%d releases arrived, want 1", len(released))
	}
}
