package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

const ms = time.Millisecond

// Where routers subscribe, each call costs work at a shared discovery service: a slow agent is waited for, one that is down
// is called rarely, and the calls of all routers together stay within a rate.
func TestCallRate(t *testing.T) {
	list := `{"rev":1,"all":true,"targets":[]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	slow := startAgent(t, func(int, string) ([]string, time.Duration) { return []string{"", whole}, 800 * ms })
	if revs := collectRevisions(t, PollTiming(6), slow, 1); len(revs) != 1 || revs[0] != 1 {
		t.Errorf("received revisions %v from an agent that answers after 0.8 s", revs)
	}
	var mu sync.Mutex
	calls := 0
	down := startAgent(t, func(int, string) ([]string, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		return []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}, 0
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	w := &Watch{OnList: func(*List) {}, Log: zap.NewNop(), Rev: -1}
	w.Run(ctx, Source{down, PollTiming(6)}, make(chan Source))
	if calls > 10 { // at 0, 0.1 to 0.2, 0.3 to 0.6, 0.7 to 1.4, 1.5 s and so on
		t.Errorf("%d calls in 3 s to an agent that is down", calls)
	}
	for _, c := range []struct{ routers, atMost int }{{1, 1}, {6, 3}, {30, 4}, {300, 16}} { // calls a second by all of them
		if rate := float64(c.routers) / PollTiming(c.routers).PollWait.Seconds(); rate > float64(c.atMost) {
			t.Errorf("%d routers call %.1f times a second together", c.routers, rate)
		}
	}
	if PollTiming(6).Grace >= 2*time.Second {
		t.Errorf("silence is detected %v after the wait; updates count as received after 2 s", PollTiming(6).Grace)
	}
}

// Where routers subscribe, one that knows a list first asks for the changes since, after a random delay: if a whole fleet
// asked for full lists at its start, discovery would be overloaded. Where updates are pushed, the first call asks for the
// full list.
func TestFirstCall(t *testing.T) {
	timing := PollTiming(30)
	if timing.FirstCallSpread < time.Second {
		t.Errorf("the first calls of 30 routers are spread over %v", timing.FirstCallSpread)
	}
	timing.FirstCallSpread = time.Millisecond
	for _, c := range []struct {
		times  Timing
		rev    int64
		target string
	}{{timing, 41, "/v1/endpoints?since=41&timeout_ms=12000"}, {timing, -1, "/v1/endpoints"}, {PushTiming, 41, "/v1/endpoints"}} {
		targets := make(chan string, 100)
		addr := startAgent(t, func(_ int, target string) ([]string, time.Duration) {
			targets <- target
			return []string{reset}, 0
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		w := &Watch{OnList: func(*List) {}, Log: zap.NewNop(), Rev: c.rev}
		wg.Go(func() { w.Run(ctx, Source{addr, c.times}, make(chan Source)) })
		if got := <-targets; got != c.target {
			t.Errorf("with rev %d known: %s, want %s", c.rev, got, c.target)
		}
		cancel()
		wg.Wait()
	}
}

// An agent that restarts its revisions below the known one is asked for the full list: changes since a revision that it has
// not reached would never come.
func TestAgentRestartsRevisions(t *testing.T) {
	answers := []string{`{"rev":41,"all":true,"targets":[]}`, `{"rev":3,"all":false,"targets":[]}`, `{"rev":3,"all":true,"targets":[]}`}
	var targets []string
	done := make(chan struct{})
	addr := startAgent(t, func(n int, target string) ([]string, time.Duration) {
		if n > len(answers) {
			return nil, 0
		}
		targets = append(targets, target)
		text := answers[n-1]
		return []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)}, 0
	})
	var revs []int64
	w := &Watch{OnList: func(l *List) {
		if revs = append(revs, l.Rev); len(revs) == 2 {
			close(done)
		}
	}, Log: zap.NewNop(), Rev: -1}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx, Source{addr, PushTiming}, nil) })
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the full list at the restarted revision did not arrive")
	}
	cancel()
	wg.Wait()
	if len(revs) != 2 || revs[0] != 41 || revs[1] != 3 || len(targets) < 3 || targets[2] != "/v1/endpoints" {
		t.Errorf("received revisions %v from calls %v", revs, targets)
	}
	// If the agent never sends the full list, calls are still paced and the last list is kept.
	var calls atomic.Int32
	stuck := startAgent(t, func(int, string) ([]string, time.Duration) {
		calls.Add(1)
		return []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answers[1]), answers[1])}, 0
	})
	ctx, cancel = context.WithTimeout(context.Background(), 500*ms)
	defer cancel()
	w = &Watch{OnList: func(l *List) { t.Errorf("received %+v", l) }, Log: zap.NewNop(), Rev: 41}
	w.Run(ctx, Source{stuck, PushTiming}, make(chan Source))
	if n := calls.Load(); n > 15 {
		t.Errorf("%d calls in half a second", n)
	}
}

// startAgent runs an agent that answers the nth call, counted from 1 over all connections, with the parts that answer
// returns, with a delay between them.
func startAgent(t *testing.T, answer func(n int, target string) (parts []string, delay time.Duration)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	calls := 0
	serve := func(nc net.Conn) {
		defer nc.Close()
		br := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			mu.Lock()
			calls++
			parts, delay := answer(calls, req.RequestURI)
			mu.Unlock()
			if len(parts) == 1 && parts[0] == reset {
				nc.(*net.TCPConn).SetLinger(0)
				return
			}
			for i, p := range parts {
				if i > 0 {
					time.Sleep(delay)
				}
				fmt.Fprint(nc, p)
			}
		}
	}
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(nc) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

const reset = "reset" // as the only part: reset the connection instead of answering

// okResponse returns a response with a list as its body.
func okResponse(list string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}

// collectRevisions runs a watch until it has received so many lists, and returns their revisions.
func collectRevisions(t *testing.T, timing Timing, addr string, lists int) []int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var revs []int64
	w := &Watch{Log: zap.NewNop(), Rev: -1, OnList: func(l *List) {
		if revs = append(revs, l.Rev); len(revs) == lists {
			cancel()
		}
	}}
	w.Run(ctx, Source{addr, timing}, make(chan Source))
	if len(revs) < lists {
		t.Fatalf("received only revisions %v", revs)
	}
	return revs
}

// A connection that falls silent or is reset is replaced, and missed updates are requested without a wait, as often as the
// agent stays silent.
func TestSilentWatch(t *testing.T) {
	var targets []string
	addr := startAgent(t, func(n int, target string) ([]string, time.Duration) {
		targets = append(targets, target)
		switch n {
		case 1:
			return []string{okResponse(`{"rev":1,"all":true,"targets":[]}`)}, 0
		case 2, 3: // silent
			return nil, 0
		}
		if n == 5 { // a long poll that is reset
			return []string{reset}, 0
		}
		return []string{okResponse(fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, n))}, 0
	})
	timing := Timing{PollWait: 150 * ms, Grace: 100 * ms, ResponseTimeout: time.Second, RetryDelay: 50 * ms, MaxRetryDelay: 400 * ms}
	start := time.Now()
	if revs := collectRevisions(t, timing, addr, 3); revs[0] != 1 || revs[1] != 4 || revs[2] != 6 {
		t.Errorf("received revisions %v", revs)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("took %v, at most 5 s expected", elapsed)
	}
	want := []string{"/v1/endpoints", "?since=1&timeout_ms=150", "?since=1&timeout_ms=1", "?since=1&timeout_ms=1", "?since=4&timeout_ms=150",
		"?since=4&timeout_ms=1"}
	for i, w := range want {
		if !strings.HasSuffix(targets[i], w) {
			t.Errorf("call %d: %s, %s expected", i+1, targets[i], w)
		}
	}
}

// An indented list that arrives in pieces is read as long as it keeps arriving; one that stops is requested again.
func TestListInPieces(t *testing.T) {
	list := okResponse("{\n  \"rev\": 1,\n  \"all\": true,\n  \"targets\": [\n    {\"uid\": \"a\", \"state\": \"SERVING\"}\n  ]\n}\n")
	var parts []string
	for i := range 10 {
		parts = append(parts, list[i*len(list)/10:(i+1)*len(list)/10])
	}
	addr := startAgent(t, func(n int, _ string) ([]string, time.Duration) {
		if n == 1 {
			return parts[:5], 0 // and no more
		}
		return parts, 30 * ms // together longer than the grace between two parts
	})
	if revs := collectRevisions(t, Timing{PollWait: 100 * ms, Grace: 200 * ms, ResponseTimeout: 10 * time.Second, RetryDelay: 50 * ms, MaxRetryDelay: 400 * ms}, addr, 1); revs[0] != 1 {
		t.Errorf("received revisions %v", revs)
	}
	if PushTiming.PollWait+PushTiming.Grace > 4*time.Second {
		t.Errorf("silence is detected after %v; updates count as received after 6 s", PushTiming.PollWait+PushTiming.Grace)
	}
}
