package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
	"gannethook/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedEngine is an engine that answers each request with the next of its responses, then repeats the last. "CUT" at
// the end of a response closes the connection after it, "HANG" keeps it open until the client closes it.
type scriptedEngine struct {
	addr     string
	conns    atomic.Int32
	mu       sync.Mutex
	requests []*http1.Request
	bodies   []string
}

func startScripted(t testing.TB, answers ...string) *scriptedEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedEngine{addr: ln.Addr().String()}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			wg.Go(func() { p.serve(nc, answers) })
		}
	})
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return p
}

func (p *scriptedEngine) serve(nc net.Conn, answers []string) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http1.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := http1.RequestBody(br, req.Header)
		text, _ := io.ReadAll(body)
		p.mu.Lock()
		n := len(p.requests)
		p.requests, p.bodies = append(p.requests, req), append(p.bodies, string(text))
		p.mu.Unlock()
		answer := answers[min(n, len(answers)-1)]
		cut, hang := strings.HasSuffix(answer, "CUT"), strings.HasSuffix(answer, "HANG")
		io.WriteString(nc, strings.TrimSuffix(strings.TrimSuffix(answer, "CUT"), "HANG"))
		if hang {
			io.Copy(io.Discard, br)
		}
		if cut || hang {
			return
		}
	}
}

func response(status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func sseResponse(events ...string) string {
	s := "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT mem_utilization=0.25\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, e := range events {
		if e == "CUT" || e == "HANG" {
			return s + e
		}
		e = "data: " + e + "\n\n"
		s += strings.ToLower(hex(len(e))) + "\r\n" + e + "\r\n"
	}
	return s + "0\r\n\r\n"
}

func hex(n int) string {
	const digits = "0123456789abcdef"
	if n < 16 {
		return digits[n : n+1]
	}
	return hex(n/16) + digits[n%16:n%16+1]
}

const tokenEvent = `{"choices":[{"index":0,"text":" a"}]}`

func testLimits() Limits {
	l := DefaultLimits()
	l.Dial, l.StreamIdle, l.Extension = 500*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
	l.Spare = 0 // no background dials, since the tests count connections
	return l
}

func newClient(t testing.TB) *Client {
	c := NewClient(testLimits())
	t.Cleanup(c.Close)
	return c
}

// Each kind of answer or failure of an engine maps to one outcome.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		write        bool
		want         gannethook.Outcome
		noState      bool
		tokens       int
	}{
		{"a read", response("200 OK", "", `{"kv_transfer_params":{"remote_host":"h"}}`), false, gannethook.ReadDone, false, 0},
		{"a read without params", response("200 OK", "", `{"kv_transfer_params":null}`), false, gannethook.Failed, false, 0},
		{"a read that is no JSON", response("200 OK", "", `{`), false, gannethook.Failed, false, 0},
		{"an answer", sseResponse(tokenEvent, tokenEvent, `{"choices":[{"text":""}]}`, "[DONE]"), true, gannethook.Served, false, 2},
		{"429", response("429 Too Many", "", ""), true, gannethook.Full, false, 0},
		{"503", response("503 Unavailable", "", ""), true, gannethook.Full, false, 0},
		{"no state", response("409 Conflict", "", `{"error":{"code":"no_state"}}`), true, gannethook.Full, true, 0},
		{"another conflict", response("409 Conflict", "", `{"error":{"code":"x"}}`), true, gannethook.Failed, false, 0},
		{"500", response("500 Error", "", ""), true, gannethook.Failed, false, 0},
		{"400", response("400 Bad", "", ""), false, gannethook.Failed, false, 0},
		{"interim answers are skipped", "HTTP/1.1 100 Continue\r\n\r\n" + sseResponse(tokenEvent, "[DONE]"), true, gannethook.Served, false, 1},
		{"closed without a word", "CUT", true, gannethook.Broken, false, 0},
		{"closed in the head", "HTTP/1.1 200 OK\r\nA: CUT", true, gannethook.Broken, false, 0},
		{"not HTTP", "hello\r\n\r\n", true, gannethook.Failed, false, 0},
		{"a head too large", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n", true, gannethook.Failed, false, 0},
		{"a half answer", sseResponse(tokenEvent, tokenEvent, "CUT"), true, gannethook.Broken, false, 2},
		{"an answer that ends without its mark", sseResponse(tokenEvent), true, gannethook.Broken, false, 1},
		{"a stream that stalls", sseResponse(tokenEvent, "HANG"), true, gannethook.Broken, false, 1},
		{"an error in the stream", sseResponse(tokenEvent, `{"error":{"message":"x"}}`), true, gannethook.Failed, false, 1},
		{"an event that is no JSON", sseResponse(`{"choices":`), true, gannethook.Failed, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, client := startScripted(t, c.answer), newClient(t)
			call := &attempt.Call{Addr: server.addr, Key: "k", Prompt: "p", MaxTokens: 5, Idempotency: "i", Class: "c"}
			var r attempt.Result
			n := 0
			if c.write {
				r = client.Write(context.Background(), call, func() bool { return true }, func(text []byte) bool {
					n++
					return string(text) == `" a"`
				})
			} else {
				r = client.Read(context.Background(), call)
			}
			if r.Outcome != c.want || r.NoState != c.noState || n != c.tokens || r.Tokens != c.tokens {
				t.Errorf("%+v with %d tokens, want %v, %v, %d", r, n, c.want, c.noState, c.tokens)
			}
			if c.want == gannethook.Served && (!r.Reported || r.Memory != 0.25) {
				t.Errorf("report %v, %v", r.Memory, r.Reported)
			}
			if h := server.requests[0].Header; h.Get("X-Request-Id") != "k" || h.Get("Idempotency-Key") != "i" || h.Get("X-Request-Class") != "c" {
				t.Errorf("head %v", h)
			}
		})
	}
}

func TestDialFailures(t *testing.T) {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	addr := ln.Addr().String()
	ln.Close()
	r := newClient(t).Write(context.Background(), &attempt.Call{Addr: addr}, nil, nil)
	if r.Outcome != gannethook.ConnectFailed {
		t.Errorf("a closed port: %+v", r)
	}
}

// Cancelling the context ends an attempt at once, before the head and within the stream.
func TestCancel(t *testing.T) {
	for name, text := range map[string]string{"before the head": "HANG", "in the stream": sseResponse(tokenEvent, "HANG")} {
		p := startScripted(t, text)
		lim := testLimits()
		lim.StreamIdle = time.Minute
		c := NewClient(lim)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		if r := c.Write(ctx, &attempt.Call{Addr: p.addr}, func() bool { return true }, func([]byte) bool { return true }); r.Outcome != gannethook.Cancelled {
			t.Errorf("%s: %+v", name, r)
		}
		c.Close()
	}
}

// If started returns false, the attempt is cancelled and no token is passed on.
func TestFirstTokenRejected(t *testing.T) {
	p, c := startScripted(t, sseResponse(tokenEvent, "[DONE]")), newClient(t)
	r := c.Write(context.Background(), &attempt.Call{Addr: p.addr}, func() bool { return false }, func([]byte) bool {
		t.Error("a token was passed on")
		return true
	})
	if r.Outcome != gannethook.Cancelled {
		t.Errorf("%+v", r)
	}
}

// Complete exchanges share a connection. Guards against writing to a pooled connection that the engine has closed
// meanwhile: such a request would count as one that may have run.
func TestConnectionReuse(t *testing.T) {
	done := sseResponse(tokenEvent, "[DONE]")
	write := func(c *Client, p *scriptedEngine) gannethook.Outcome {
		return c.Write(context.Background(), &attempt.Call{Addr: p.addr}, func() bool { return true }, func([]byte) bool { return true }).Outcome
	}
	p, closing := startScripted(t, done), startScripted(t, done+"CUT", done)
	c := newClient(t)
	for range 5 {
		if o := write(c, p); o != gannethook.Served {
			t.Fatal(o)
		}
	}
	if n := p.conns.Load(); n != 1 {
		t.Errorf("five answers used %d connections", n)
	}
	p = closing
	write(c, p)
	for i := 0; !noneIdle(c, p.addr) && i < 1000; i++ {
		time.Sleep(time.Millisecond)
	}
	if o := write(c, p); o != gannethook.Served || p.conns.Load() != 2 {
		t.Errorf("after the engine closed: %v on %d connections", o, p.conns.Load())
	}
}

// Spare connections are opened in advance, used, and replaced.
func TestSpareConnections(t *testing.T) {
	p := startScripted(t, sseResponse(tokenEvent, "[DONE]"))
	lim := testLimits()
	lim.Spare = 2
	c := NewClient(lim)
	defer c.Close()
	idle := func(want int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			c.pool.mu.Lock()
			n, busy := c.pool.idle.Count(p.addr), c.pool.filling[p.addr]
			c.pool.mu.Unlock()
			if n == want && !busy {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d idle connections, want %d", n, want)
			}
		}
	}
	c.Warm(p.addr)
	idle(2)
	var conn *connpool.Conn
	for range 3 {
		cn, err := c.pool.get(context.Background(), p.addr, false)
		if err != nil {
			t.Fatal(err)
		}
		if conn != nil {
			conn.Close()
		}
		conn = cn
		idle(2)
	}
	conn.Close()
}

func noneIdle(c *Client, addr string) bool {
	cn := c.pool.idle.Take(addr)
	if cn != nil {
		c.pool.idle.Put(addr, cn)
	}
	return cn == nil
}

// A release uses the connection on which the place was granted, which attempts must not take.
func TestControlConnections(t *testing.T) {
	p, c := startScripted(t, response("201 Created", "", "")), newClient(t)
	call := &attempt.Call{Addr: p.addr, Key: "k", PromptSize: 10, MaxTokens: 5}
	if got := c.Hold(context.Background(), call, "reader:1"); got != attempt.Granted {
		t.Fatal("no place")
	}
	if cn := c.pool.idle.Take(p.addr); cn != nil {
		t.Fatal("the control connection is available to attempts")
	}
	if err := c.deleteState(context.Background(), attempt.Held{Addr: p.addr, Key: "k"}); err != nil || p.conns.Load() != 1 {
		t.Errorf("release: %v on %d connections", err, p.conns.Load())
	}
	if want := `{"request_id":"k","reader":"reader:1","tokens":15,"idle_ms":500}`; p.bodies[0] != want {
		t.Errorf("place requested with %s", p.bodies[0])
	}
	if p.requests[1].Method != "DELETE" || p.requests[1].Target != StatesPath+"k" {
		t.Errorf("released with %s %s", p.requests[1].Method, p.requests[1].Target)
	}
}

// A write whose dial fails uses the connection on which its place was granted.
func TestWriteFallsBackToControlConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, served := &scriptedEngine{addr: ln.Addr().String()}, make(chan struct{})
	go func() {
		defer close(served)
		nc, err := ln.Accept()
		if ln.Close(); err == nil { // no dial succeeds from now on
			p.serve(nc, []string{response("201 Created", "", ""), sseResponse(tokenEvent, "[DONE]")})
		}
	}()
	c := newClient(t)
	call := &attempt.Call{Addr: p.addr, Key: "k", MaxTokens: 5}
	if got := c.Hold(context.Background(), call, "r"); got != attempt.Granted {
		t.Fatal("no place")
	}
	write := func() gannethook.Outcome {
		return c.Write(context.Background(), call, func() bool { return true }, func([]byte) bool { return true }).Outcome
	}
	if o := write(); o != gannethook.Served {
		t.Errorf("ended with %v", o)
	}
	c.pool.idle.Sweep(func(string) bool { return true })
	<-served
	if o := write(); o != gannethook.ConnectFailed {
		t.Errorf("without any connection: %v", o)
	}
}

func TestHoldTimesOut(t *testing.T) {
	p, c := startScripted(t, "HANG"), newClient(t)
	if got := c.Hold(context.Background(), &attempt.Call{Addr: p.addr, Key: "k"}, "r"); got != attempt.NoAnswer {
		t.Errorf("a place request without an answer: %v", got)
	}
	if err := c.deleteState(context.Background(), attempt.Held{Addr: p.addr, Key: "k"}); err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("release: %v", err)
	}
}

func TestReport(t *testing.T) {
	for in, want := range map[string]float64{
		"TEXT mem_utilization=0.5": 0.5,
		"TEXT cpu_utilization=0.1, named_metrics.kv_cache_usage_perc=0.75": 0.75,
		`JSON {"mem_utilization":0.3,"cpu_utilization":0.1}`:               0.3,
		`JSON {"named_metrics":{"kv_cache_usage_perc":1}}`:                 1,
		"text mem_utilization=0":                                           0,
		"TEXT mem_utilization=1.5":                                         -1,
		"TEXT mem_utilization=-1":                                          -1,
		"TEXT mem_utilization=NaN":                                         -1,
		"TEXT":                                                             -1,
		`JSON {`:                                                           -1,
		"BIN AAAA":                                                         -1,
		"":                                                                 -1,
	} {
		got, ok := Report(in)
		if !ok {
			got = -1
		}
		if got != want {
			t.Errorf("%q: %v, want %v", in, got, want)
		}
	}
}

func FuzzReport(f *testing.F) {
	f.Add("TEXT mem_utilization=0.5")
	f.Fuzz(func(t *testing.T, in string) {
		if m, ok := Report(in); ok && !(m >= 0 && m <= 1) {
			t.Fatalf("%q: %v", in, m)
		}
	})
}
