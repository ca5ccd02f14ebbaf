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

// scriptedEngine is a scripted engine: it answers each request of a connection with the
// next text; "CUT" ends the connection, "HANG" waits for the client to.
type scriptedEngine struct {
	addr  string
	conns atomic.Int32
	mu    sync.Mutex
	heads []*http1.Request
	body  []string
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
		n := len(p.heads)
		p.heads, p.body = append(p.heads, req), append(p.body, string(text))
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

func answer(status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func stream(events ...string) string {
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

func limits() Limits {
	l := DefaultLimits()
	l.Dial, l.StreamIdle, l.Extension = 500*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
	l.Spare = 0 // the tests count connections
	return l
}

func newClient(t testing.TB) *Client {
	c := NewClient(limits())
	t.Cleanup(c.Close)
	return c
}

// Each way in which an engine may answer maps to one outcome.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		write        bool
		want         gannethook.Outcome
		noState      bool
		tokens       int
	}{
		{"a read", answer("200 OK", "", `{"kv_transfer_params":{"remote_host":"h"}}`), false, gannethook.ReadDone, false, 0},
		{"a read without params", answer("200 OK", "", `{"kv_transfer_params":null}`), false, gannethook.Failed, false, 0},
		{"a read that is no JSON", answer("200 OK", "", `{`), false, gannethook.Failed, false, 0},
		{"an answer", stream(tokenEvent, tokenEvent, `{"choices":[{"text":""}]}`, "[DONE]"), true, gannethook.Served, false, 2},
		{"429", answer("429 Too Many", "", ""), true, gannethook.Full, false, 0},
		{"503", answer("503 Unavailable", "", ""), true, gannethook.Full, false, 0},
		{"no state", answer("409 Conflict", "", `{"error":{"code":"no_state"}}`), true, gannethook.Full, true, 0},
		{"another conflict", answer("409 Conflict", "", `{"error":{"code":"x"}}`), true, gannethook.Failed, false, 0},
		{"500", answer("500 Error", "", ""), true, gannethook.Failed, false, 0},
		{"400", answer("400 Bad", "", ""), false, gannethook.Failed, false, 0},
		{"interim answers are skipped", "HTTP/1.1 100 Continue\r\n\r\n" + stream(tokenEvent, "[DONE]"), true, gannethook.Served, false, 1},
		{"closed without a word", "CUT", true, gannethook.Broken, false, 0},
		{"closed in the head", "HTTP/1.1 200 OK\r\nA: CUT", true, gannethook.Broken, false, 0},
		{"not HTTP", "hello\r\n\r\n", true, gannethook.Failed, false, 0},
		{"a head too large", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n", true, gannethook.Failed, false, 0},
		{"a half answer", stream(tokenEvent, tokenEvent, "CUT"), true, gannethook.Broken, false, 2},
		{"an answer that ends without its mark", stream(tokenEvent), true, gannethook.Broken, false, 1},
		{"a stream that stalls", stream(tokenEvent, "HANG"), true, gannethook.Broken, false, 1},
		{"an error in the stream", stream(tokenEvent, `{"error":{"message":"x"}}`), true, gannethook.Failed, false, 1},
		{"an event that is no JSON", stream(`{"choices":`), true, gannethook.Failed, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, cl := startScripted(t, c.answer), newClient(t)
			call := &attempt.Call{Addr: p.addr, Key: "k", Prompt: "p", MaxTokens: 5, Idempotency: "i", Class: "c"}
			var r attempt.Result
			n := 0
			if c.write {
				r = cl.Write(context.Background(), call, func() bool { return true }, func(text []byte) bool {
					n++
					return string(text) == `" a"`
				})
			} else {
				r = cl.Read(context.Background(), call)
			}
			if r.Outcome != c.want || r.NoState != c.noState || n != c.tokens || r.Tokens != c.tokens {
				t.Errorf("%+v with %d tokens, want %v, %v, %d", r, n, c.want, c.noState, c.tokens)
			}
			if c.want == gannethook.Served && (!r.Reported || r.Memory != 0.25) {
				t.Errorf("report %v, %v", r.Memory, r.Reported)
			}
			if h := p.heads[0].Header; h.Get("X-Request-Id") != "k" || h.Get("Idempotency-Key") != "i" || h.Get("X-Request-Class") != "c" {
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

// A cancel ends an attempt at once, wherever it is, and its connection with it.
func TestCancel(t *testing.T) {
	for name, text := range map[string]string{"before the head": "HANG", "in the stream": stream(tokenEvent, "HANG")} {
		p := startScripted(t, text)
		lim := limits()
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

// A first token that may not pass ends the attempt.
func TestNotStarted(t *testing.T) {
	p, c := startScripted(t, stream(tokenEvent, "[DONE]")), newClient(t)
	r := c.Write(context.Background(), &attempt.Call{Addr: p.addr}, func() bool { return false }, func([]byte) bool {
		t.Error("a token passed")
		return true
	})
	if r.Outcome != gannethook.Cancelled {
		t.Errorf("%+v", r)
	}
}

// Whole exchanges share a connection; a broken one is not used again, and one
// that the engine has closed meanwhile is not written to: what goes into it
// would count as what may have run.
func TestConnections(t *testing.T) {
	done := stream(tokenEvent, "[DONE]")
	write := func(c *Client, p *scriptedEngine) gannethook.Outcome {
		return c.Write(context.Background(), &attempt.Call{Addr: p.addr}, func() bool { return true }, func([]byte) bool { return true }).Outcome
	}
	p, shuts := startScripted(t, done), startScripted(t, done+"CUT", done)
	c := newClient(t)
	for range 5 {
		if o := write(c, p); o != gannethook.Served {
			t.Fatal(o)
		}
	}
	if n := p.conns.Load(); n != 1 {
		t.Errorf("five answers took %d connections", n)
	}
	p = shuts
	write(c, p)
	for i := 0; !closedByPeer(c, p.addr) && i < 1000; i++ {
		time.Sleep(time.Millisecond)
	}
	if o := write(c, p); o != gannethook.Served || p.conns.Load() != 2 {
		t.Errorf("after the engine closed: %v on %d connections", o, p.conns.Load())
	}
}

// Spare connections are opened ahead, kept at their number, and used.
func TestSpare(t *testing.T) {
	p := startScripted(t, stream(tokenEvent, "[DONE]"))
	lim := limits()
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
				t.Fatalf("%d connections wait, want %d", n, want)
			}
		}
	}
	c.Warm(p.addr)
	idle(2)
	var took *connpool.Conn
	for range 3 {
		cn, err := c.pool.get(context.Background(), p.addr, false)
		if err != nil {
			t.Fatal(err)
		}
		if took != nil {
			took.Close()
		}
		took = cn
		idle(2)
	}
	took.Close()
}

func closedByPeer(c *Client, addr string) bool {
	cn := c.pool.idle.Take(addr)
	if cn != nil {
		c.pool.idle.Put(addr, cn)
	}
	return cn == nil
}

// A release finds the connection that the place came by, while streams hold all others.
func TestControlApart(t *testing.T) {
	p, c := startScripted(t, answer("201 Created", "", "")), newClient(t)
	call := &attempt.Call{Addr: p.addr, Key: "k", PromptSize: 10, MaxTokens: 5}
	if got := c.Hold(context.Background(), call, "reader:1"); got != attempt.Granted {
		t.Fatal("no place")
	}
	if cn := c.pool.idle.Take(p.addr); cn != nil {
		t.Fatal("an attempt could take the connection")
	}
	if err := c.deleteState(context.Background(), attempt.Held{Addr: p.addr, Key: "k"}); err != nil || p.conns.Load() != 1 {
		t.Errorf("release: %v on %d connections", err, p.conns.Load())
	}
	if want := `{"request_id":"k","reader":"reader:1","tokens":15,"idle_ms":500}`; p.body[0] != want {
		t.Errorf("asked for %s", p.body[0])
	}
	if p.heads[1].Method != "DELETE" || p.heads[1].Target != StatesPath+"k" {
		t.Errorf("released by %s %s", p.heads[1].Method, p.heads[1].Target)
	}
}

// A write whose dial fails goes by the connection that its place came by.
func TestWriteByThePlacesConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, served := &scriptedEngine{addr: ln.Addr().String()}, make(chan struct{})
	go func() {
		defer close(served)
		nc, err := ln.Accept()
		if ln.Close(); err == nil { // no dial succeeds from now on
			p.serve(nc, []string{answer("201 Created", "", ""), stream(tokenEvent, "[DONE]")})
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
		t.Errorf("a place that nobody answered: %v", got)
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
