package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// event returns the nth event of the stream for a request.
func event(id string, n int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"},\"finish_reason\":null}]}\n\n", id, n)
}

// serveStream answers a write with so many events.
func serveStream(c *call, events int, gap time.Duration) {
	c.rw.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		fmt.Fprint(c.rw, event(c.id, n))
		c.rw.(http.Flusher).Flush()
		select {
		case <-time.After(gap):
		case <-c.req.Context().Done():
			return
		}
	}
	fmt.Fprint(c.rw, "data: [DONE]\n\n")
}

// reads returns the handler of a reader that reads each prompt in the given time.
func reads(took time.Duration) func(*worker, *call) {
	return readsIn(func(string) time.Duration { return took })
}

// readsIn is reads with a time for each request.
func readsIn(took func(id string) time.Duration) func(*worker, *call) {
	return func(w *worker, c *call) {
		if c.method == "DELETE" {
			c.rw.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-time.After(took(c.id)):
		case <-c.req.Context().Done():
			return
		}
		c.rw.WriteHeader(http.StatusAccepted)
		fmt.Fprint(c.rw, `{"cached_tokens":0}`)
	}
}

// writes returns the handler of a writer that answers writes as given, and holds every place that it is asked for.
func writes(write func(*worker, *call)) func(*worker, *call) {
	return func(w *worker, c *call) {
		switch {
		case c.method == "DELETE":
			c.rw.WriteHeader(http.StatusNoContent)
		case strings.HasPrefix(c.path, "/v1/holds/"):
			c.rw.WriteHeader(http.StatusOK)
		default:
			write(w, c)
		}
	}
}
