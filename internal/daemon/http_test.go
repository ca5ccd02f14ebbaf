package daemon_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"gannethook/internal/certs"
	"gannethook/internal/lifecycle"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// rawConn is a TCP connection to the router for requests as raw text.
type rawConn struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

func (tb *testbed) dial(t *testing.T) *rawConn {
	t.Helper()
	nc, err := net.Dial("tcp", tb.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawConn{t, nc, bufio.NewReader(nc)}
}

func (c *rawConn) send(text string) { io.WriteString(c.nc, text) }

// readResponse reads one response with its body.
func (c *rawConn) readResponse() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return res, string(body)
}

// closedByRouter reports whether the router closes the connection without sending more.
func (c *rawConn) closedByRouter() bool {
	_, err := c.br.ReadByte()
	return errors.Is(err, io.EOF)
}

const embedding = `{"model":"m","input":"x"}`

func post(path, body string, headers ...string) string {
	h := ""
	for _, one := range headers {
		h += one + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, h, len(body), body)
}

// A connection is kept alive over requests with every kind of body and closed after
// HTTP/1.0; a client that expects 100 Continue gets it.
func TestKeepAlive(t *testing.T) {
	tb := newTestbed(t, nil)
	c := tb.dial(t)
	for range 3 {
		c.send(post("/v1/embeddings", embedding))
		if res, body := c.readResponse(); res.StatusCode != 200 || res.Close || !strings.Contains(body, `"index":0`) {
			t.Fatalf("%v %s", res, body)
		}
	}
	c.send("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + embedding[:5] + "\r\n" +
		fmt.Sprintf("%x", len(embedding)-5) + ";ext=1\r\n" + embedding[5:] + "\r\n0\r\nTrailer: x\r\n\r\n")
	if res, _ := c.readResponse(); res.StatusCode != 200 || res.Close {
		t.Fatalf("chunked body: %v", res)
	}
	c.send(fmt.Sprintf("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(embedding)))
	if line, _ := c.br.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q", line)
	}
	c.br.ReadString('\n')
	c.send(embedding)
	if res, _ := c.readResponse(); res.StatusCode != 200 || res.Close {
		t.Fatalf("after 100 Continue: %v", res)
	}
	c.send(post("/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`))
	if res, body := c.readResponse(); res.StatusCode != 200 || res.Close || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("streamed response: %v %q", res, body)
	}
	c.send("POST /v1/embeddings HTTP/1.0\r\nContent-Length: 25\r\n\r\n" + embedding)
	if res, _ := c.readResponse(); res.StatusCode != 200 || !c.closedByRouter() {
		t.Errorf("HTTP/1.0: %v, or the connection stays open", res)
	}
}

// Pipelining is not supported: a request sent before the previous response is not
// served, and that response closes the connection.
func TestPipelining(t *testing.T) {
	tb := newTestbed(t, nil)
	c := tb.dial(t)
	c.send(post("/v1/embeddings", embedding) + post("/v1/embeddings", `{"model":"m","input":"second"}`))
	if res, _ := c.readResponse(); res.StatusCode != 200 || !res.Close || !c.closedByRouter() {
		t.Errorf("%v", res)
	}
	bad := tb.dial(t)
	bad.send(post("/v1/embeddings", "{}") + post("/v1/embeddings", embedding))
	if res, _ := bad.readResponse(); res.StatusCode != 400 || !res.Close || !bad.closedByRouter() {
		t.Errorf("after a bad request: %v", res)
	}
	slow := tb.dial(t) // the second arrives while the first is in flight
	tb.reader.Set(func(f *standin.Faults) { f.Slow = 200 })
	slow.send(post("/v1/embeddings", embedding))
	tb.waitForAttempts("whole", 2)
	slow.send(post("/v1/embeddings", embedding))
	if res, _ := slow.readResponse(); res.StatusCode != 200 || !res.Close || !slow.closedByRouter() {
		t.Errorf("%v", res)
	}
}

// waitForAttempts waits until n attempts with the note have arrived at engines.
func (tb *testbed) waitForAttempts(note string, n int) {
	tb.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		seen := 0
		for _, e := range tb.log.Events() {
			if e.Kind == "arrive" && e.Note == note {
				seen++
			}
		}
		if seen >= n {
			return
		}
		if time.Now().After(end) {
			tb.t.Fatalf("%d attempts, want %d", seen, n)
		}
	}
}

// A malformed or oversized request gets its error status and reaches no engine.
func TestBadHTTP(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) {
		cfg.HTTP.MaxBody, cfg.HTTP.ReadTimeout, cfg.Sessions.HandshakeTimeout = 2000, 100*time.Millisecond, 300*time.Millisecond
	})
	big := fmt.Sprintf(`{"model":"m","input":"%s"}`, strings.Repeat("x", 3000))
	for _, c := range []struct {
		name, in string
		status   int
	}{
		{"GET", "GET /v1/embeddings HTTP/1.1\r\nHost: x\r\n\r\n", 405},
		{"no host", "POST /v1/embeddings HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400},
		{"too large by Content-Length", post("/v1/embeddings", big), 413},
		{"too large with Expect: 100-continue", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 99999\r\n\r\n", 413},
		{"too large in chunks", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nBB8\r\n" + big + "\r\n0\r\n\r\n", 413},
		{"Content-Length with chunked body", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400},
		{"bad chunk", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"incomplete body", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{", 408},
		{"other expectation", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n{}", 417},
		{"not JSON", post("/v1/embeddings", "x"), 400},
		{"no such class", post("/v1/embeddings", embedding, "X-Gannethook-Class: question"), 404},
		{"prompt size that is not a number", post("/v1/embeddings", embedding, "X-Gannethook-Prompt-Tokens: many"), 400},
		{"idempotency key with a space", post("/v1/embeddings", embedding, "Idempotency-Key: a b"), 400},
		{"no such path", "POST /v1/images HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404},
		{"not HTTP", "hello\r\n\r\n", 400},
	} {
		conn := tb.dial(t)
		conn.send(c.in)
		res, body := conn.readResponse()
		if res.StatusCode != c.status || strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") && !strings.Contains(body, `"error"`) {
			t.Errorf("%s: %d %s", c.name, res.StatusCode, body)
		}
	}
	slow := tb.dial(t) // the client sends the whole body before it reads
	slow.send(post("/v1/embeddings", `{"model":"m","input":"`+strings.Repeat("x", 800<<10)+`"}`))
	if res, _ := slow.readResponse(); res.StatusCode != 413 {
		t.Errorf("large body: %v", res)
	}
	for _, e := range tb.log.Events() {
		if e.Kind == "arrive" {
			t.Errorf("request at an engine: %v", e)
		}
	}
}

// A response over the limit of the settings fails, and a request body over the limit of all bodies is refused.
func TestTooLarge(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.HTTP.MaxAnswer, cfg.HTTP.MaxBodies = 30, 300 })
	c := tb.dial(t)
	c.send(post("/v1/chat/completions", `{"model":"m","max_tokens":200,"messages":[{"role":"user","content":"x"}]}`))
	if res, body := c.readResponse(); res.StatusCode != 500 || !strings.Contains(body, "too large") {
		t.Errorf("%v %s", res, body)
	}
	c.send(post("/v1/embeddings", `{"model":"m","input":"`+strings.Repeat("x", 400)+`"}`))
	if res, body := c.readResponse(); res.StatusCode != 503 || !strings.Contains(body, `"refused"`) {
		t.Errorf("%v %s", res, body)
	}
	again := tb.dial(t) // the memory of the refused body was released
	again.send(post("/v1/embeddings", embedding))
	if res, body := again.readResponse(); res.StatusCode != 500 || !strings.Contains(body, "too large") { // an embedding exceeds 30 bytes
		t.Errorf("%v %s", res, body)
	}
}

// A client that disconnects cancels its batch: the attempts at engines end and
// admission counts nothing for it any more.
func TestClientDisconnectsDuringBatch(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.reader.Set(func(f *standin.Faults) { f.Hang = true })
	c := tb.dial(t)
	c.send(post("/v1/embeddings", `{"model":"m","input":["`+strings.Repeat(`a","`, 500)+`b"]}`))
	tb.waitForAttempts("whole", 4)
	c.nc.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		v, ended := tb.d.Limits(), 0
		for _, e := range tb.log.Events() {
			if e.Kind == "end" {
				ended++
			}
		}
		if v.InFlight == 0 && v.Queued == 0 && ended >= 4 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, %d attempts ended", v, ended)
		}
	}
}

// A client that stops reading its response is disconnected after the write timeout,
// which cancels its stream at the writer; other clients are served meanwhile.
func TestClientStopsReading(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) {
		cfg.HTTP.WriteTimeout = 200 * time.Millisecond
		cfg.Classes[0].MaxTokens = 1 << 20
	}, func(c *standin.Config) { c.TokenGap, c.Memory = 0, 1e8 })
	c := tb.dial(t)
	c.nc.(*net.TCPConn).SetReadBuffer(4096)
	c.send(post("/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"x"}]}`))
	tb.waitForAttempts("write", 1)
	cl := tb.openAIClient(option.WithMaxRetries(0))
	if _, err := cl.Embeddings.New(context.Background(), openai.EmbeddingNewParams{Model: "m",
		Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("x")}}); err != nil {
		t.Errorf("other client: %v", err)
	}
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, e := range tb.log.Events() {
			if e.Kind == "end" && e.Note == "called off" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the stream of the stalled client was not cancelled")
		}
	}
}

// A draining router answers open requests, also on kept-alive connections, closes
// idle connections and refuses new requests.
func TestDrainHTTP(t *testing.T) {
	tb := newTestbed(t, nil)
	idle, busy := tb.dial(t), tb.dial(t)
	idle.send(post("/v1/embeddings", embedding))
	idle.readResponse()
	tb.reader.Set(func(f *standin.Faults) { f.Slow = 300 })
	busy.send(post("/v1/embeddings", embedding))
	tb.waitForAttempts("whole", 2)
	r, err := tb.d.Command(context.Background(), lifecycle.Command{ID: "d", Op: lifecycle.Drain, Limit: 5 * time.Second})
	if err != nil || !r.Done || r.Cut {
		t.Fatalf("%+v, %v", r, err)
	}
	if !idle.closedByRouter() {
		t.Error("idle connection not closed")
	}
	if res, _ := busy.readResponse(); res.StatusCode != 200 || !res.Close {
		t.Errorf("open request: %v", res)
	}
	late := tb.dial(t)
	late.send(post("/v1/embeddings", embedding))
	if res, body := late.readResponse(); res.StatusCode != 503 || !strings.Contains(body, `"refused"`) || !res.Close {
		t.Errorf("%v %s", res, body)
	}
}

// Requests of a class with effect unsafe run at most once over HTTP as well: one whose
// idempotency key may have run is not run again, and X-Should-Retry tells clients
// with automatic retries not to retry.
func TestIdempotencyKey(t *testing.T) {
	tb := newTestbed(t, nil)
	chat := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}],"metadata":{"class":"adjustment"}}`
	c := tb.dial(t)
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k1"))
	if res, body := c.readResponse(); res.StatusCode != 200 {
		t.Fatalf("%v %s", res, body)
	}
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k1", "X-Stainless-Retry-Count: 1"))
	res, body := c.readResponse()
	if res.StatusCode != 500 || res.Header.Get("X-Should-Retry") != "false" || !strings.Contains(body, `"failed"`) {
		t.Errorf("key that has run: %v %s", res, body)
	}
	if n := tb.applied("k1"); n != 1 {
		t.Errorf("effect applied %d times", n)
	}
	tb.setWriterFaults(func(f *standin.Faults) { f.Draining = true })
	tb.reader.Set(func(f *standin.Faults) { f.Draining = true })
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k2"))
	if res, body = c.readResponse(); res.StatusCode != 503 || res.Header.Get("X-Should-Retry") != "false" || res.Header.Get("Retry-After") == "" {
		t.Errorf("refused: %v %s", res, body)
	}
}

// A client certificate identifies its tenant. Without one a client is served outside
// of the tenant, and a certificate of another authority is rejected.
func TestClientCertificates(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(t, "router", "r")
	tb := newTestbed(t, func(cfg *settings.File) {
		cfg.TLS = settings.TLS{Domain: "fleet.example", Cert: cert, Key: key, Authority: ca.file}
		cfg.Tenants = []settings.Tenant{{Name: "a", Identity: []string{"spiffe://fleet.example/client/a"},
			Budgets: []settings.Budget{{Requests: 1, Burst: 1}}}}
	})
	embed := func(hc *http.Client) (*http.Response, error) {
		res, err := hc.Post("https://"+tb.d.Addr()+"/v1/embeddings", "application/json", strings.NewReader(embedding))
		if err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		return res, err
	}
	a, none := ca.client(t, "a"), ca.client(t, "")
	if res, err := embed(a); err != nil || res.StatusCode != 200 || res.Header.Get("X-Ratelimit-Limit-Requests") != "1" {
		t.Errorf("%v, %v", res, err)
	}
	if res, err := embed(a); err != nil || res.StatusCode != 429 {
		t.Errorf("second request of the tenant: %v, %v", res, err)
	}
	if res, err := embed(none); err != nil || res.StatusCode != 200 || res.Header.Get("X-Ratelimit-Limit-Requests") != "" {
		t.Errorf("no certificate: %v, %v", res, err)
	}
	stranger := newAuthority(t).client(t, "a")
	if _, err := embed(stranger); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
}

// authority is a certificate authority for fleet.example.
type authority struct {
	*certs.Authority
	dir, file string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	dir := t.TempDir()
	a, err := certs.NewAuthority(dir, "fleet.example", time.Hour, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &authority{a, dir, filepath.Join(dir, certs.AuthorityCert)}
}

func (a *authority) issue(t *testing.T, role, name string) (cert, key string) {
	t.Helper()
	cert, key = filepath.Join(a.dir, role+name+".pem"), filepath.Join(a.dir, role+name+".key")
	if err := a.Issue(cert, key, role, name, time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// client returns a TLS client with the certificate of a client of that name, or without one if name is "".
func (a *authority) client(t *testing.T, name string) *http.Client {
	t.Helper()
	cfg := &tls.Config{InsecureSkipVerify: true} // the router's certificate has no host name
	if name != "" {
		pair, err := tls.LoadX509KeyPair(a.issue(t, "client", name))
		if err != nil {
			t.Fatal(err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
	t.Cleanup(hc.CloseIdleConnections)
	return hc
}
