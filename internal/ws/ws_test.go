package ws

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	gorilla "github.com/gorilla/websocket"
	"go.uber.org/goleak"

	"gannethook/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testMask = [4]byte{0x12, 0x34, 0x56, 0x78}

// frame builds a masked frame with any first byte, valid or not.
func frame(first byte, payload []byte) []byte {
	return appendPayload(appendFrameHeader(nil, first, len(payload), &testMask), payload, &testMask)
}

func closeFrame(code int, reason string) []byte {
	return frame(0x88, append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...))
}

func concat(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// tcpPair returns both ends of a TCP connection, which are closed when the test ends.
func tcpPair(t testing.TB) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan net.Conn, 1)
	go func() { nc, _ := ln.Accept(); got <- nc }()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	server = <-got
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

func testLimits() Limits {
	l := DefaultLimits()
	l.Linger = 50 * time.Millisecond
	return l
}

// echo serves one connection and sends each message back.
func echo(nc net.Conn, lim Limits) error {
	c := New(nc, bufio.NewReaderSize(nc, 1024), false, lim)
	for {
		op, msg, err := c.Read()
		if err != nil {
			return err
		}
		if op == OpText {
			err = c.Send(msg)
		} else {
			err = c.SendBinary(msg)
		}
		if err != nil {
			return err
		}
	}
}

// received is what the client received: messages, pongs and the close code.
type received struct {
	text, pongs []string
	code        int // 0: the connection ended without a close frame
}

func readReceived(t *testing.T, nc net.Conn) received {
	t.Helper()
	nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(nc)
	var r received
	for {
		h, err := readFrameHeader(br, true)
		if err != nil {
			return r
		}
		p := make([]byte, h.length)
		if _, err := readFull(br, p); err != nil {
			t.Fatalf("payload: %v", err)
		}
		switch h.op {
		case OpText, OpBinary:
			r.text = append(r.text, string(p))
		case opPong:
			r.pongs = append(r.pongs, string(p))
		case opClose:
			if r.code = CloseNoStatus; len(p) >= 2 {
				r.code = int(binary.BigEndian.Uint16(p))
			}
		}
	}
}

func readFull(br *bufio.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := br.Read(p[n:])
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

// The usual conformance cases for a server: framing, fragmentation, control frames, UTF-8, closing, limits.
func TestConformance(t *testing.T) {
	long := strings.Repeat("x", 70000)
	normal := closeFrame(1000, "")
	for _, c := range []struct {
		name  string
		send  []byte
		text  []string
		pongs []string
		code  int
	}{
		{"empty text", concat(frame(0x81, nil), normal), []string{""}, nil, 1000},
		{"text of 125", concat(frame(0x81, []byte(long[:125])), normal), []string{long[:125]}, nil, 1000},
		{"text of 126", concat(frame(0x81, []byte(long[:126])), normal), []string{long[:126]}, nil, 1000},
		{"text of 65535", concat(frame(0x81, []byte(long[:65535])), normal), []string{long[:65535]}, nil, 1000},
		{"text of 65536", concat(frame(0x81, []byte(long[:65536])), normal), []string{long[:65536]}, nil, 1000},
		{"binary", concat(frame(0x82, []byte{0, 255, 1}), normal), []string{"\x00\xff\x01"}, nil, 1000},
		{"two messages", concat(frame(0x81, []byte("a")), frame(0x81, []byte("b")), normal), []string{"a", "b"}, nil, 1000},
		{"fragments", concat(frame(0x01, []byte("a")), frame(0x00, []byte("b")), frame(0x80, []byte("c")), normal), []string{"abc"}, nil, 1000},
		{"empty fragments", concat(frame(0x01, nil), frame(0x00, nil), frame(0x80, nil), normal), []string{""}, nil, 1000},
		{"ping between fragments", concat(frame(0x01, []byte("a")), frame(0x89, []byte("p")), frame(0x80, []byte("b")), normal), []string{"ab"}, []string{"p"}, 1000},
		{"character over fragments", concat(frame(0x01, []byte("\xce")), frame(0x80, []byte("\xba")), normal), []string{"κ"}, nil, 1000},
		{"ping", concat(frame(0x89, []byte("hi")), normal), nil, []string{"hi"}, 1000},
		{"empty ping", concat(frame(0x89, nil), normal), nil, []string{""}, 1000},
		{"ping of 125", concat(frame(0x89, []byte(long[:125])), normal), nil, []string{long[:125]}, 1000},
		{"unasked pong", concat(frame(0x8a, []byte("x")), normal), nil, nil, 1000},
		{"ping of 126", frame(0x89, []byte(long[:126])), nil, nil, 1002},
		{"fragmented ping", frame(0x09, nil), nil, nil, 1002},
		{"first bit reserved", frame(0xc1, nil), nil, nil, 1002},
		{"second bit reserved", frame(0xa1, nil), nil, nil, 1002},
		{"third bit reserved", frame(0x91, nil), nil, nil, 1002},
		{"opcode 3", frame(0x83, nil), nil, nil, 1002},
		{"opcode 7", frame(0x87, nil), nil, nil, 1002},
		{"opcode 11", frame(0x8b, nil), nil, nil, 1002},
		{"opcode 15", frame(0x8f, nil), nil, nil, 1002},
		{"continues nothing", frame(0x80, []byte("x")), nil, nil, 1002},
		{"text inside a message", concat(frame(0x01, []byte("a")), frame(0x81, []byte("b"))), nil, nil, 1002},
		{"not masked", []byte{0x81, 1, 'x'}, nil, nil, 1002},
		{"length 125 in 16 bits", []byte{0x81, 0xfe, 0, 125}, nil, nil, 1002},
		{"length 65535 in 64 bits", []byte{0x81, 0xff, 0, 0, 0, 0, 0, 0, 0xff, 0xff}, nil, nil, 1002},
		{"length with the top bit", []byte{0x81, 0xff, 0x80, 0, 0, 0, 0, 0, 0, 0}, nil, nil, 1002},
		{"frame of 1 GB announced", []byte{0x81, 0xff, 0, 0, 0, 0, 0x40, 0, 0, 0, 1, 2, 3, 4}, nil, nil, 1009},
		{"fragments beyond the bound", concat(frame(0x01, make([]byte, 60000)), frame(0x00, make([]byte, 60000))), nil, nil, 1009},
		{"bad UTF-8", frame(0x81, []byte("\xce\xba\xe1\xbd\xb9\xcf\x83\xed\xa0\x80")), nil, nil, 1007},
		{"cut UTF-8", frame(0x81, []byte("\xf0\x90")), nil, nil, 1007},
		{"overlong UTF-8", frame(0x81, []byte("\xc0\xaf")), nil, nil, 1007},
		{"beyond Unicode", frame(0x81, []byte("\xf4\x90\x80\x80")), nil, nil, 1007},
		{"bad UTF-8 over fragments", concat(frame(0x01, []byte("\xce")), frame(0x80, []byte("\xce"))), nil, nil, 1007},
		{"bad UTF-8 in binary", concat(frame(0x82, []byte("\xff")), normal), []string{"\xff"}, nil, 1000},
		{"close without code", frame(0x88, nil), nil, nil, 1000},
		{"close 1001", closeFrame(1001, "bye"), nil, nil, 1001},
		{"close 3000", closeFrame(3000, ""), nil, nil, 3000},
		{"close 4999", closeFrame(4999, ""), nil, nil, 4999},
		{"close of one byte", frame(0x88, []byte{3}), nil, nil, 1002},
		{"close 999", closeFrame(999, ""), nil, nil, 1002},
		{"close 1004", closeFrame(1004, ""), nil, nil, 1002},
		{"close 1005", closeFrame(1005, ""), nil, nil, 1002},
		{"close 1006", closeFrame(1006, ""), nil, nil, 1002},
		{"close 2999", closeFrame(2999, ""), nil, nil, 1002},
		{"close 5000", closeFrame(5000, ""), nil, nil, 1002},
		{"close reason not UTF-8", closeFrame(1000, "\xff"), nil, nil, 1007},
		{"text after close", concat(normal, frame(0x81, []byte("late"))), nil, nil, 1000},
		{"ping after close", concat(normal, frame(0x89, []byte("late"))), nil, nil, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client, server := tcpPair(t)
			lim := testLimits()
			lim.Message = 100000
			done := make(chan error, 1)
			go func() { done <- echo(server, lim) }()
			client.Write(c.send)
			got := readReceived(t, client)
			var ce *CloseError
			if err := <-done; !errors.As(err, &ce) {
				t.Errorf("Read ended with %v, not a close", err)
			}
			if strings.Join(got.text, "|") != strings.Join(c.text, "|") || len(got.text) != len(c.text) {
				t.Errorf("echoed %.80q, want %.80q", got.text, c.text)
			}
			if strings.Join(got.pongs, "|") != strings.Join(c.pongs, "|") || len(got.pongs) != len(c.pongs) {
				t.Errorf("pongs %.80q, want %.80q", got.pongs, c.pongs)
			}
			if got.code != c.code {
				t.Errorf("close code %d, want %d", got.code, c.code)
			}
		})
	}
}

// Frames are parsed correctly if they arrive byte by byte.
func TestByteByByte(t *testing.T) {
	client, server := tcpPair(t)
	done := make(chan error, 1)
	go func() { done <- echo(server, testLimits()) }()
	for _, b := range concat(frame(0x01, []byte("a")), frame(0x89, []byte("p")), frame(0x80, []byte("b")), closeFrame(1000, "")) {
		client.Write([]byte{b})
	}
	got := readReceived(t, client)
	if err := <-done; len(got.text) != 1 || got.text[0] != "ab" || len(got.pongs) != 1 || got.code != 1000 {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// A client that never reads must not block the sender: it is disconnected when the send queue is full.
func TestSlowReaderIsDisconnected(t *testing.T) {
	_, server := tcpPair(t)
	lim := testLimits()
	lim.Pending, lim.Message = 64<<10, 64<<10
	c := New(server, bufio.NewReader(server), false, lim)
	msg := make([]byte, 16<<10)
	for n := 0; ; n++ {
		start := time.Now()
		err := c.Send(msg)
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Fatalf("Send blocked for %v", elapsed)
		}
		if errors.Is(err, ErrSlowPeer) {
			break
		}
		if err != nil || n > 10000 {
			t.Fatalf("after %d messages: %v", n, err)
		}
	}
	if err := c.Send(msg); err == nil {
		t.Fatal("a closed connection still accepts messages")
	}
	waitFlushed(c)
}

// No frame follows a close frame.
func TestNothingAfterClose(t *testing.T) {
	client, server := tcpPair(t)
	c := New(server, bufio.NewReader(server), false, testLimits())
	c.Send([]byte("before"))
	c.Close(CloseGoingAway, "stop")
	if err := c.Send([]byte("after")); err == nil {
		t.Error("a message is accepted after the close frame")
	}
	client.Write(closeFrame(CloseGoingAway, ""))
	go c.Read()
	if got := readReceived(t, client); len(got.text) != 1 || got.code != CloseGoingAway {
		t.Errorf("%+v", got)
	}
}

func waitFlushed(c *Conn) {
	c.mu.Lock()
	for c.flushing {
		c.flushed.Wait()
	}
	c.mu.Unlock()
}

// An idle peer is pinged and stays connected while it answers; one that doesn't answer is disconnected.
func TestIdle(t *testing.T) {
	client, server := tcpPair(t)
	lim := testLimits()
	lim.Idle = 200 * time.Millisecond
	done := make(chan error, 1)
	go func() { done <- echo(server, lim) }()
	br := bufio.NewReader(client)
	for range 3 {
		h, err := readFrameHeader(br, true)
		if err != nil || h.op != opPing {
			t.Fatalf("got %+v, %v; want a ping", h, err)
		}
		client.Write(frame(0x8a, nil))
	}
	got := readReceived(t, client)
	var ce *CloseError
	if err := <-done; !errors.As(err, &ce) || got.code != CloseGoingAway {
		t.Fatalf("closed with %d, %v", got.code, err)
	}
}

// A peer that doesn't finish a frame is disconnected after Limits.Frame.
func TestFrameTimeout(t *testing.T) {
	client, server := tcpPair(t)
	lim := testLimits()
	lim.Frame = 30 * time.Millisecond
	done := make(chan error, 1)
	go func() { done <- echo(server, lim) }()
	client.Write([]byte{0x81, 0xfe})
	if err := <-done; err == nil {
		t.Fatal("Read returned a message from an incomplete frame")
	}
}

func upgradeRequest(modify func(h map[string]string)) *http1.Request {
	h := map[string]string{"Host": "x", "Upgrade": "websocket", "Connection": "keep-alive, Upgrade",
		"Sec-WebSocket-Version": "13", "Sec-WebSocket-Key": "dGhlIHNhbXBsZSBub25jZQ=="}
	modify(h)
	req := &http1.Request{Method: "GET", Target: "/", Minor: 1}
	for k, v := range h {
		if k == "Method" {
			req.Method = v
			continue
		}
		req.Header = append(req.Header, http1.Field{Name: k, Value: v})
	}
	return req
}

func TestUpgrade(t *testing.T) {
	for _, c := range []struct {
		name, want string
		change     func(h map[string]string)
	}{
		{"the RFC's example", "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=", func(map[string]string) {}},
		{"an extension is declined", "101", func(h map[string]string) { h["Sec-WebSocket-Extensions"] = "permessage-deflate" }},
		{"a protocol is chosen", "Sec-WebSocket-Protocol: realtime", func(h map[string]string) { h["Sec-WebSocket-Protocol"] = "a, realtime" }},
		{"another version", "426", func(h map[string]string) { h["Sec-WebSocket-Version"] = "8" }},
		{"a short key", "400", func(h map[string]string) { h["Sec-WebSocket-Key"] = "eA==" }},
		{"no upgrade", "426", func(h map[string]string) { delete(h, "Upgrade") }},
		{"no host", "400", func(h map[string]string) { delete(h, "Host") }},
		{"a POST", "405", func(h map[string]string) { h["Method"] = "POST" }},
	} {
		var out bytes.Buffer
		Upgrade(bufio.NewWriter(&out), upgradeRequest(c.change), "realtime")
		if !strings.Contains(out.String(), c.want) || strings.Contains(out.String(), "Extensions") {
			t.Errorf("%s: answered %q, want %q in it", c.name, out.String(), c.want)
		}
	}
}

// serveEcho starts an echo server on a free port and returns its address.
func serveEcho(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(nc)
			if req, err := http1.ReadRequest(br); err == nil && Upgrade(bufio.NewWriter(nc), req, "") == nil {
				echo(nc, testLimits())
			}
			nc.Close()
		}
	}()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String()
}

// The server works with two widely used client libraries.
func TestInteropClients(t *testing.T) {
	addr := serveEcho(t)
	big := strings.Repeat("κόσμε ", 5000)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+addr, &websocket.DialOptions{CompressionMode: websocket.CompressionContextTakeover})
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadLimit(1 << 20)
	if err := c.Write(ctx, websocket.MessageText, []byte(big)); err != nil {
		t.Fatal(err)
	}
	if _, got, err := c.Read(ctx); err != nil || string(got) != big {
		t.Fatalf("coder: %d bytes, %v", len(got), err)
	}
	if err := c.Close(websocket.StatusNormalClosure, "bye"); err != nil {
		t.Fatalf("coder: close: %v", err)
	}
	g, _, err := (&gorilla.Dialer{EnableCompression: true}).DialContext(ctx, "ws://"+addr, http.Header{})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	if err := g.WriteMessage(gorilla.BinaryMessage, []byte(big)); err != nil {
		t.Fatal(err)
	}
	if kind, got, err := g.ReadMessage(); err != nil || kind != gorilla.BinaryMessage || string(got) != big {
		t.Fatalf("gorilla: %d bytes, %v", len(got), err)
	}
	g.WriteMessage(gorilla.CloseMessage, gorilla.FormatCloseMessage(1000, ""))
	if _, _, err := g.ReadMessage(); !gorilla.IsCloseError(err, 1000) {
		t.Fatalf("gorilla: close: %v", err)
	}
}

// The client works with a widely used server library.
func TestInteropServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := (&gorilla.Upgrader{EnableCompression: true}).Upgrade(w, r, nil)
		if err != nil {
			return
		}
		defer c.Close()
		for {
			kind, msg, err := c.ReadMessage()
			if err != nil || c.WriteMessage(kind, msg) != nil {
				return
			}
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := Dial(ctx, ln.Addr().String(), "/", "", testLimits())
	if err != nil {
		t.Fatal(err)
	}
	c.Send([]byte("κόσμε"))
	if op, msg, err := c.Read(); err != nil || op != OpText || string(msg) != "κόσμε" {
		t.Fatalf("got %q, %v", msg, err)
	}
	c.Close(CloseNormal, "")
	var ce *CloseError
	if _, _, err := c.Read(); !errors.As(err, &ce) || ce.Code != CloseNormal || !ce.Remote {
		t.Fatalf("close: %v", err)
	}
}

// For any input Read returns, and no message exceeds the limit.
func FuzzRead(f *testing.F) {
	f.Add(concat(frame(0x01, []byte("a")), frame(0x80, []byte("b")), closeFrame(1000, "x")))
	f.Add([]byte{0x81, 0xff, 0, 0, 0, 0, 0x40, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		client, server := net.Pipe()
		go func() {
			client.Write(in)
			client.Close()
		}()
		lim := testLimits()
		lim.Message = 1000
		c := New(server, bufio.NewReader(server), false, lim)
		for {
			_, msg, err := c.Read()
			if err != nil {
				break
			}
			if len(msg) > lim.Message {
				t.Fatalf("a message of %d bytes", len(msg))
			}
		}
		waitFlushed(c)
	})
}

func BenchmarkSend(b *testing.B) {
	client, server := tcpPair(b)
	go func() {
		buf := make([]byte, 1<<20)
		for {
			if _, err := client.Read(buf); err != nil {
				return
			}
		}
	}()
	lim := DefaultLimits()
	lim.Pending = 1 << 30
	c := New(server, bufio.NewReader(server), false, lim)
	msg := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		c.Send(msg)
	}
	c.Abort()
	waitFlushed(c)
}
