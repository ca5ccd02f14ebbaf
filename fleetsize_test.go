package gannethook

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// bigFleet is a router that knows so many servers, half of them prefill workers, in zones and cells.
func bigFleet(tb testing.TB, servers int) *Router {
	tb.Helper()
	r, err := New(fleet(func(s *Settings) { s.Routers = 300 }), 7)
	if err != nil {
		tb.Fatal(err)
	}
	list := make([]Server, servers)
	for i := range list {
		list[i] = at(fmt.Sprintf("s%05d", (i*7919)%servers), i%2, i%3, i%20)
	}
	r.Handle(1e6, Membership{Whole: true, Servers: list})
	return r
}

// serveOne plays one request to its end.
func serveOne(r *Router, now Millis, id RequestID) {
	acts := r.Handle(now, Request{ID: id, Class: 0, Budget: 5000, Prompt: 1000, Session: Key(id%50 + 1), Prefix: Key(id%7 + 1), PrefixLen: 200})
	for n := 0; n < 2; n++ {
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				if n == 0 {
					acts = r.Handle(now+50, Ended{ID: id, Attempt: n, Server: s.Server, Outcome: ReadDone})
				} else {
					r.Handle(now+100, Streaming{ID: id, Attempt: n, Server: s.Server})
					acts = r.Handle(now+400, Ended{ID: id, Attempt: n, Server: s.Server, Outcome: Served, Done: true})
				}
				break
			}
		}
	}
}

// BenchmarkRequestByFleet is a request's whole cost in the module, by the number of servers.
func BenchmarkRequestByFleet(b *testing.B) {
	for _, servers := range []int{100, 200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := bigFleet(b, servers)
			now := Millis(1e6 + 1000)
			for i := range b.N {
				now += 30
				serveOne(r, now, RequestID(i+1))
			}
		})
	}
}

// BenchmarkListByFleet is the cost of a whole list, and of one change.
func BenchmarkListByFleet(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("whole %d", servers), func(b *testing.B) {
			for range b.N {
				bigFleet(b, servers)
			}
		})
		b.Run(fmt.Sprintf("change %d", servers), func(b *testing.B) {
			r := bigFleet(b, servers)
			for i := range b.N {
				s := at(fmt.Sprintf("s%05d", i%servers), i%2, 0, 0)
				s.State = Draining
				r.Handle(Millis(2e6+i), Membership{Servers: []Server{s}})
			}
		})
	}
}

// fastest is the shortest of some rounds.
func fastest(rounds int, do func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range rounds {
		from := time.Now()
		do()
		least = min(least, time.Since(from))
	}
	return least
}

// The users bound what a router needs in a fleet sixteen times as large. A request among 1,600 servers costs at most what
// twelve exponentials for each of them do on the same machine, and a list of 3,200 what five hundred do.
func TestCostInLargeFleets(t *testing.T) {
	const servers, requests = 1600, 20
	sum := 0.0
	each := fastest(20, func() {
		for i := range servers {
			sum += math.Exp(-float64(i) / servers)
		}
	})
	r, now, id := bigFleet(t, servers), Millis(1e6+1000), RequestID(0)
	request := fastest(10, func() {
		for range requests {
			now, id = now+30, id+1
			serveOne(r, now, id)
		}
	}) / requests
	if most := 12 * each; request > most {
		t.Errorf("a request costs %v, %v at most (%v)", request, most, sum)
	}
	if list, most := fastest(3, func() { bigFleet(t, 2*servers) }), 500*each; list > most {
		t.Errorf("a list costs %v, %v at most", list, most)
	}
}
