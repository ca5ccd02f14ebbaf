package gannethook

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// largeFleetRouter returns a router that knows so many servers, half of them readers, in zones and cells.
func largeFleetRouter(tb testing.TB, servers int) *Router {
	tb.Helper()
	r, err := New(testSettings(func(s *Settings) { s.Routers = 300 }), 7)
	if err != nil {
		tb.Fatal(err)
	}
	list := make([]Server, servers)
	for i := range list {
		list[i] = newServer(fmt.Sprintf("s%05d", (i*7919)%servers), i%2, i%3, i%20)
	}
	r.Handle(1e6, Membership{Whole: true, Servers: list})
	return r
}

// serveRequest plays one request to its end.
func serveRequest(r *Router, now Millis, id RequestID) {
	actions := r.Handle(now, Request{ID: id, Class: 0, Budget: 5000, Prompt: 1000, Session: Key(id%50 + 1), Prefix: Key(id%7 + 1), PrefixLen: 200})
	for n := 0; n < 2; n++ {
		for _, action := range actions {
			if send, ok := action.(Send); ok {
				if n == 0 {
					actions = r.Handle(now+50, Ended{ID: id, Attempt: n, Server: send.Server, Outcome: ReadDone})
				} else {
					r.Handle(now+100, Streaming{ID: id, Attempt: n, Server: send.Server})
					actions = r.Handle(now+400, Ended{ID: id, Attempt: n, Server: send.Server, Outcome: Served, Done: true})
				}
				break
			}
		}
	}
}

// BenchmarkRequestByFleet measures the whole cost of a request in the module, by the number of servers.
func BenchmarkRequestByFleet(b *testing.B) {
	for _, servers := range []int{100, 200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := largeFleetRouter(b, servers)
			now := Millis(1e6 + 1000)
			for i := range b.N {
				now += 30
				serveRequest(r, now, RequestID(i+1))
			}
		})
	}
}

// BenchmarkListByFleet measures the cost of a whole list, and of one change.
func BenchmarkListByFleet(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("whole %d", servers), func(b *testing.B) {
			for range b.N {
				largeFleetRouter(b, servers)
			}
		})
		b.Run(fmt.Sprintf("change %d", servers), func(b *testing.B) {
			r := largeFleetRouter(b, servers)
			for i := range b.N {
				srv := newServer(fmt.Sprintf("s%05d", i%servers), i%2, 0, 0)
				srv.State = Draining
				r.Handle(Millis(2e6+i), Membership{Servers: []Server{srv}})
			}
		})
	}
}

// fastest returns the shortest of some rounds.
func fastest(rounds int, do func()) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for range rounds {
		from := time.Now()
		do()
		shortest = min(shortest, time.Since(from))
	}
	return shortest
}

// The cost of a router is bounded in a fleet sixteen times as large as usual: a request among 1,600 servers costs at
// most twelve exponentials for each of them on the same machine, and a list of 3,200 servers at most five hundred.
func TestCostInLargeFleets(t *testing.T) {
	const servers, requests = 1600, 20
	sum := 0.0
	each := fastest(20, func() {
		for i := range servers {
			sum += math.Exp(-float64(i) / servers)
		}
	})
	r, now, id := largeFleetRouter(t, servers), Millis(1e6+1000), RequestID(0)
	request := fastest(10, func() {
		for range requests {
			now, id = now+30, id+1
			serveRequest(r, now, id)
		}
	}) / requests
	if limit := 12 * each; request > limit {
		t.Errorf("a request costs %v, limit %v (%v)", request, limit, sum)
	}
	if list, limit := fastest(3, func() { largeFleetRouter(t, 2*servers) }), 500*each; list > limit {
		t.Errorf("a list costs %v, limit %v", list, limit)
	}
}
