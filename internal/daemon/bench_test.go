package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"gannethook/internal/attempt"
	"gannethook/internal/client"
	"gannethook/internal/control"
	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/daemon"
	"gannethook/internal/engine"
	"gannethook/internal/http1"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// instantEngine starts an engine that answers at once, writes with the given number
// of tokens, so that a benchmark measures only the path.
func instantEngine(t testing.TB, writes bool, tokens int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	readResponse := `{"choices":[{"text":""}],"kv_transfer_params":{"remote_host":"h"}}`
	event := []byte("data: {\"choices\":[{\"index\":0,\"text\":\" token\",\"finish_reason\":null}]}\n\n")
	answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(readResponse)) + "\r\n\r\n" + readResponse
	var wg sync.WaitGroup
	serve := func(nc net.Conn) {
		defer nc.Close()
		br, bw := bufio.NewReader(nc), bufio.NewWriter(nc)
		for {
			req, err := http1.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := http1.RequestBody(br, req.Header)
			io.Copy(io.Discard, body)
			switch {
			case req.Target != engine.CompletionsPath:
				io.WriteString(bw, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
				bw.Flush()
			case !writes:
				io.WriteString(bw, answer)
				bw.Flush()
			default:
				io.WriteString(bw, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range tokens {
					http1.WriteChunk(bw, event)
				}
				http1.WriteChunk(bw, []byte("data: [DONE]\n\n"))
				http1.WriteChunk(bw, nil)
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
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// routerToInstantEngines starts a router with one reader and one writer that are instant engines.
func routerToInstantEngines(t testing.TB, tokens int, most int, change ...func(*settings.File)) (d *daemon.Daemon, writer string) {
	roster := standin.NewRoster("engines", nil)
	writer = instantEngine(t, true, tokens)
	roster.Set(standin.Listing{Addr: instantEngine(t, false, 0), Kind: "prompt", Zone: "north", State: "ready"})
	roster.Set(standin.Listing{Addr: writer, Kind: "answer", Zone: "north", State: "ready"})
	addr, err := roster.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(roster.Stop)
	cfg, err := settings.Parse("default.gann", settings.Default)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Roster.Watch, cfg.Sessions.MaxSessions = addr, most
	cfg.Classes[0].MaxTokens = 1 << 20
	for _, c := range change {
		c(cfg)
	}
	if d, err = daemon.Start(cfg, "", zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop(context.Background()) })
	<-d.Listed()
	return d, writer
}

// BenchmarkAdded measures, interleaved in one run, the time to the first token
// directly from an engine, through httputil.ReverseProxy and through the router,
// whose path is a read at one engine and then a write at another.
func BenchmarkAdded(b *testing.B) {
	d, writer := routerToInstantEngines(b, 4, 100)
	target, _ := url.Parse("http://" + writer)
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) }, FlushInterval: -1}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: proxy}
	go srv.Serve(ln)
	defer srv.Close()
	cl := engine.NewClient(engine.DefaultLimits())
	defer cl.Close()
	firstToken := func(addr string, read string) time.Duration {
		from, took := time.Now(), time.Duration(0)
		if read != "" {
			cl.Read(context.Background(), &attempt.Call{Addr: read, Key: "k", Prompt: "hello", MaxTokens: 4})
		}
		r := cl.Write(context.Background(), &attempt.Call{Addr: addr, Key: "k", Prompt: "hello", MaxTokens: 4},
			func() bool { took = time.Since(from); return true }, func([]byte) bool { return true })
		if took == 0 {
			b.Fatalf("%+v", r)
		}
		return took
	}
	reader := instantEngine(b, false, 0)
	s, err := client.Open(context.Background(), d.Addr(), "m")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	paths := []struct {
		name string
		do   func() time.Duration
		hist *hdrhistogram.Histogram
	}{
		{"direct-write", func() time.Duration { return firstToken(writer, "") }, hdrhistogram.New(1, 1e7, 3)},
		{"direct-read+write", func() time.Duration { return firstToken(writer, reader) }, hdrhistogram.New(1, 1e7, 3)},
		{"proxy-write", func() time.Duration { return firstToken(ln.Addr().String(), "") }, hdrhistogram.New(1, 1e7, 3)},
		{"proxy-read+write", func() time.Duration { return firstToken(ln.Addr().String(), reader) }, hdrhistogram.New(1, 1e7, 3)},
		{"router", func() time.Duration {
			s.RequestOutOfBand("hello", map[string]string{"prompt_tokens": "100"}, 4)
			a, err := s.Wait(nil)
			if err != nil || a.Outcome() != "served" {
				b.Fatalf("%+v, %v", a, err)
			}
			return a.TimeToFirstToken
		}, hdrhistogram.New(1, 1e7, 3)},
	}
	for b.Loop() {
		for _, p := range paths { // interleaved, so that noise affects all paths alike
			p.hist.RecordValue(max(p.do().Microseconds(), 1))
		}
	}
	for _, p := range paths {
		b.ReportMetric(float64(p.hist.ValueAtQuantile(50)), p.name+"-p50-us")
		b.ReportMetric(float64(p.hist.ValueAtQuantile(99)), p.name+"-p99-us")
	}
}

// BenchmarkRelay measures tokens per second through one router with several
// streams, and allocations per token of the whole process, which includes the
// engines and the clients.
func BenchmarkRelay(b *testing.B) {
	const tokens, streams = 20000, 4
	d, _ := routerToInstantEngines(b, tokens, 100)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	from, n := time.Now(), 0
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				nc, err := rawSession(d.Addr(), i)
				if err != nil {
					b.Error(err)
					return
				}
				defer nc.Close()
				if err := readUntilDone(nc); err != nil {
					b.Error(err)
				}
			})
		}
		wg.Wait()
		n += tokens * streams
	}
	took := time.Since(from)
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(n)/took.Seconds(), "tokens/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(n), "allocs/token")
}

// rawSession opens a session and requests one response. readUntilDone reads it without allocations per token.
func rawSession(addr string, i int) (net.Conn, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	io.WriteString(nc, "GET /v1/realtime HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	text, _ := json.Marshal(map[string]any{"type": "response.create", "response": map[string]any{
		"conversation": "none", "metadata": map[string]string{"prompt_tokens": "100", "session_key": fmt.Sprint(i)},
		"input": []any{map[string]any{"type": "message", "role": "user", "content": []any{map[string]string{"type": "input_text", "text": "hi"}}}}}})
	frame := []byte{0x81, 0xfe, byte(len(text) >> 8), byte(len(text)), 0, 0, 0, 0}
	_, err = nc.Write(append(frame, text...))
	return nc, err
}

// readUntilDone reads until the response.done event begins.
func readUntilDone(nc net.Conn) error {
	const marker = `"response.done"`
	buf, carried := make([]byte, 64<<10), 0
	for {
		n, err := nc.Read(buf[carried:])
		if err != nil {
			return err
		}
		if bytes.Contains(buf[:carried+n], []byte(marker)) {
			return nil
		}
		carried = copy(buf, buf[max(0, carried+n-len(marker)):carried+n])
	}
}

// BenchmarkIdleSessions opens sessions and measures the memory of the process per
// session. GANNETHOOK_SESSIONS sets their number; the client ends are plain sockets.
func BenchmarkIdleSessions(b *testing.B) {
	n := 2000
	if text := os.Getenv("GANNETHOOK_SESSIONS"); text != "" {
		n, _ = strconv.Atoi(text)
	}
	d, _ := routerToInstantEngines(b, 1, n+10)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, 0, n)
		greeting := make([]byte, 2048)
		for range n {
			nc, err := net.Dial("tcp", d.Addr())
			if err != nil {
				b.Fatal(err)
			}
			io.WriteString(nc, "GET /v1/realtime HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
				"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
			for got := 0; !strings.Contains(string(greeting[:got]), "session.created"); {
				m, err := nc.Read(greeting[got:])
				if err != nil {
					b.Fatal(err)
				}
				got += m
			}
			conns = append(conns, nc)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
		b.ReportMetric(used/float64(n)/1024, "KiB/session")
		b.ReportMetric(float64(n), "sessions")
		for _, nc := range conns {
			nc.Close()
		}
	}
}

// BenchmarkControl measures requests with and without 100 status calls per second
// on the control plane, in alternating blocks.
func BenchmarkControl(b *testing.B) {
	d, _ := routerToInstantEngines(b, 32, 100, func(cfg *settings.File) { cfg.Control.RunDir = b.TempDir() })
	ctl, closeControl, err := control.Dial("unix:"+d.Settings().Control.Socket(), "demo", nil)
	if err != nil {
		b.Fatal(err)
	}
	defer closeControl()
	s, err := client.Open(context.Background(), d.Addr(), "m")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	serveOne := func(h *hdrhistogram.Histogram) {
		s.RequestOutOfBand("hello", map[string]string{"prompt_tokens": "100"}, 32)
		a, err := s.Wait(nil)
		if err != nil || a.Outcome() != "served" {
			b.Fatalf("%+v, %v", a, err)
		}
		h.RecordValue(max(a.Duration.Microseconds(), 1))
	}
	quiet, withStatus, calls := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3), 0
	measure := func(h *hdrhistogram.Histogram) {
		for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
			serveOne(h)
		}
	}
	for b.Loop() {
		measure(quiet)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			tick := time.NewTicker(10 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				if _, err := ctl.GetStatus(ctx, &pb.StatusRequest{}); err == nil {
					calls++
				}
				<-tick.C
			}
		})
		measure(withStatus)
		cancel()
		wg.Wait()
	}
	b.ReportMetric(float64(quiet.ValueAtQuantile(50)), "quiet-p50-us")
	b.ReportMetric(float64(withStatus.ValueAtQuantile(50)), "asked-p50-us")
	b.ReportMetric(float64(quiet.ValueAtQuantile(99)), "quiet-p99-us")
	b.ReportMetric(float64(withStatus.ValueAtQuantile(99)), "asked-p99-us")
	b.ReportMetric(float64(withStatus.TotalCount())/float64(quiet.TotalCount()), "requests-asked/quiet")
	b.ReportMetric(float64(calls)/float64(b.N)*2, "calls/s")
}
