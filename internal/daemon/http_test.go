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

// rawConn is a raw connection to the router.
type rawConn struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

func (w *testbed) dial(t *testing.T) *rawConn {
	t.Helper()
	nc, err := net.Dial("tcp", w.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawConn{t, nc, bufio.NewReader(nc)}
}

func (c *rawConn) send(text string) { io.WriteString(c.nc, text) }

// readResponse reads one answer, whole.
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

// closedByRouter tells whether the router has closed and sent nothing more.
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

// A connection is kept from request to request, whatever the body's form; a
// client that asks for it is told to go on first.
func TestKeptConnection(t *testing.T) {
	w := newTestbed(t, nil)
	c := w.dial(t)
	for range 3 {
		c.send(post("/v1/embeddings", embedding))
		if res, body := c.readResponse(); res.StatusCode != 200 || res.Close || !strings.Contains(body, `"index":0`) {
			t.Fatalf("%v %s", res, body)
		}
	}
	c.send("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + embedding[:5] + "\r\n" +
		fmt.Sprintf("%x", len(embedding)-5) + ";ext=1\r\n" + embedding[5:] + "\r\n0\r\nTrailer: x\r\n\r\n")
	if res, _ := c.readResponse(); res.StatusCode != 200 || res.Close {
		t.Fatalf("chunks: %v", res)
	}
	c.send(fmt.Sprintf("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(embedding)))
	if line, _ := c.br.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q", line)
	}
	c.br.ReadString('\n')
	c.send(embedding)
	if res, _ := c.readResponse(); res.StatusCode != 200 || res.Close {
		t.Fatalf("after 100: %v", res)
	}
	c.send(post("/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`))
	if res, body := c.readResponse(); res.StatusCode != 200 || res.Close || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("a stream: %v %q", res, body)
	}
	c.send("POST /v1/embeddings HTTP/1.0\r\nContent-Length: 25\r\n\r\n" + embedding)
	if res, _ := c.readResponse(); res.StatusCode != 200 || !c.closedByRouter() {
		t.Errorf("HTTP/1.0: %v, or its connection is kept", res)
	}
}

// A request behind another that is not answered yet is not served: the first
// answer ends the connection.
func TestPipelining(t *testing.T) {
	w := newTestbed(t, nil)
	c := w.dial(t)
	c.send(post("/v1/embeddings", embedding) + post("/v1/embeddings", `{"model":"m","input":"second"}`))
	if res, _ := c.readResponse(); res.StatusCode != 200 || !res.Close || !c.closedByRouter() {
		t.Errorf("%v", res)
	}
	wrong := w.dial(t)
	wrong.send(post("/v1/embeddings", "{}") + post("/v1/embeddings", embedding))
	if res, _ := wrong.readResponse(); res.StatusCode != 400 || !res.Close || !wrong.closedByRouter() {
		t.Errorf("behind a wrong one: %v", res)
	}
	slow := w.dial(t) // the second comes while the first is under way
	w.reader.Set(func(f *standin.Faults) { f.Slow = 200 })
	slow.send(post("/v1/embeddings", embedding))
	w.waitForAttempts("whole", 2)
	slow.send(post("/v1/embeddings", embedding))
	if res, _ := slow.readResponse(); res.StatusCode != 200 || !res.Close || !slow.closedByRouter() {
		t.Errorf("%v", res)
	}
}

// waitForAttempts waits until so many attempts of a sort have come to engines.
func (w *testbed) waitForAttempts(note string, n int) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		seen := 0
		for _, e := range w.log.Events() {
			if e.Kind == "arrive" && e.Note == note {
				seen++
			}
		}
		if seen >= n {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d attempts, %d are due", seen, n)
		}
	}
}

// Bad input gets its error, and nothing of it is read on.
func TestBadHTTP(t *testing.T) {
	w := newTestbed(t, func(cfg *settings.File) {
		cfg.HTTP.Body, cfg.HTTP.Read, cfg.Sessions.Handshake = 2000, 100*time.Millisecond, 300*time.Millisecond
	})
	big := fmt.Sprintf(`{"model":"m","input":"%s"}`, strings.Repeat("x", 3000))
	for _, c := range []struct {
		name, in string
		status   int
	}{
		{"GET", "GET /v1/embeddings HTTP/1.1\r\nHost: x\r\n\r\n", 405},
		{"no host", "POST /v1/embeddings HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400},
		{"too large, told", post("/v1/embeddings", big), 413},
		{"too large, asked first", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 99999\r\n\r\n", 413},
		{"too large in chunks", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nBB8\r\n" + big + "\r\n0\r\n\r\n", 413},
		{"length and chunks", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400},
		{"bad chunk", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"body that stops", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{", 408},
		{"other expectation", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n{}", 417},
		{"not JSON", post("/v1/embeddings", "x"), 400},
		{"no such class", post("/v1/embeddings", embedding, "X-Gannethook-Class: question"), 404},
		{"a size that is none", post("/v1/embeddings", embedding, "X-Gannethook-Prompt-Tokens: many"), 400},
		{"a key with spaces", post("/v1/embeddings", embedding, "Idempotency-Key: a b"), 400},
		{"no such path", "POST /v1/images HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404},
		{"not HTTP", "hello\r\n\r\n", 400},
	} {
		conn := w.dial(t)
		conn.send(c.in)
		res, body := conn.readResponse()
		if res.StatusCode != c.status || strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") && !strings.Contains(body, `"error"`) {
			t.Errorf("%s: %d %s", c.name, res.StatusCode, body)
		}
	}
	slow := w.dial(t) // its whole body is on its way before it reads
	slow.send(post("/v1/embeddings", `{"model":"m","input":"`+strings.Repeat("x", 800<<10)+`"}`))
	if res, _ := slow.readResponse(); res.StatusCode != 413 {
		t.Errorf("a large body: %v", res)
	}
	for _, e := range w.log.Events() {
		if e.Kind == "arrive" {
			t.Errorf("an engine got %v", e)
		}
	}
}

// An answer that grows too large is told as failed; bodies beyond their memory are refused.
func TestTooLarge(t *testing.T) {
	w := newTestbed(t, func(cfg *settings.File) { cfg.HTTP.Answer, cfg.HTTP.Bodies = 30, 300 })
	c := w.dial(t)
	c.send(post("/v1/chat/completions", `{"model":"m","max_tokens":200,"messages":[{"role":"user","content":"x"}]}`))
	if res, body := c.readResponse(); res.StatusCode != 500 || !strings.Contains(body, "too large") {
		t.Errorf("%v %s", res, body)
	}
	c.send(post("/v1/embeddings", `{"model":"m","input":"`+strings.Repeat("x", 400)+`"}`))
	if res, body := c.readResponse(); res.StatusCode != 503 || !strings.Contains(body, `"refused"`) {
		t.Errorf("%v %s", res, body)
	}
	again := w.dial(t) // what was read of it is free again
	again.send(post("/v1/embeddings", embedding))
	if res, body := again.readResponse(); res.StatusCode != 500 || !strings.Contains(body, "too large") { // 30 bytes hold no embedding
		t.Errorf("%v %s", res, body)
	}
}

// A client that leaves takes its batch back: the engine's work is called off,
// nothing stays open.
func TestClientLeavesBatch(t *testing.T) {
	w := newTestbed(t, nil)
	w.reader.Set(func(f *standin.Faults) { f.Hang = true })
	c := w.dial(t)
	c.send(post("/v1/embeddings", `{"model":"m","input":["`+strings.Repeat(`a","`, 500)+`b"]}`))
	w.waitForAttempts("whole", 4)
	c.nc.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		v, ended := w.d.Limits(), 0
		for _, e := range w.log.Events() {
			if e.Kind == "end" {
				ended++
			}
		}
		if v.Hands == 0 && v.Waiting == 0 && ended >= 4 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, %d attempts ended", v, ended)
		}
	}
}

// A client that stops reading its answer is cut in the time of a write; its
// writer's slot is free again, and others are served meanwhile.
func TestStalledReader(t *testing.T) {
	w := newTestbed(t, func(cfg *settings.File) {
		cfg.HTTP.Write = 200 * time.Millisecond
		cfg.Classes[0].MaxTokens = 1 << 20
	}, func(c *standin.Config) { c.TokenGap, c.Memory = 0, 1e8 })
	c := w.dial(t)
	c.nc.(*net.TCPConn).SetReadBuffer(4096)
	c.send(post("/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"x"}]}`))
	w.waitForAttempts("write", 1)
	official := w.openAIClient(option.WithMaxRetries(0))
	if _, err := official.Embeddings.New(context.Background(), openai.EmbeddingNewParams{Model: "m",
		Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("x")}}); err != nil {
		t.Errorf("another client: %v", err)
	}
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, e := range w.log.Events() {
			if e.Kind == "end" && e.Note == "called off" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the stalled client's stream goes on")
		}
	}
}

// A draining router answers what is open, on kept connections too, closes those
// that are idle, and takes nothing more.
func TestDrainHTTP(t *testing.T) {
	w := newTestbed(t, nil)
	idle, busy := w.dial(t), w.dial(t)
	idle.send(post("/v1/embeddings", embedding))
	idle.readResponse()
	w.reader.Set(func(f *standin.Faults) { f.Slow = 300 })
	busy.send(post("/v1/embeddings", embedding))
	w.waitForAttempts("whole", 2)
	r, err := w.d.Command(context.Background(), lifecycle.Command{ID: "d", Op: lifecycle.Drain, Limit: 5 * time.Second})
	if err != nil || !r.Done || r.Cut {
		t.Fatalf("%+v, %v", r, err)
	}
	if !idle.closedByRouter() {
		t.Error("an idle connection stays open")
	}
	if res, _ := busy.readResponse(); res.StatusCode != 200 || !res.Close {
		t.Errorf("what was open: %v", res)
	}
	late := w.dial(t)
	late.send(post("/v1/embeddings", embedding))
	if res, body := late.readResponse(); res.StatusCode != 503 || !strings.Contains(body, `"refused"`) || !res.Close {
		t.Errorf("%v %s", res, body)
	}
}

// The effects of classes hold over HTTP: a key that may have run is not run
// again, and clients that try again by themselves are told not to.
func TestIdempotencyKey(t *testing.T) {
	w := newTestbed(t, nil)
	chat := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}],"metadata":{"class":"adjustment"}}`
	c := w.dial(t)
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k1"))
	if res, body := c.readResponse(); res.StatusCode != 200 {
		t.Fatalf("%v %s", res, body)
	}
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k1", "X-Stainless-Retry-Count: 1"))
	res, body := c.readResponse()
	if res.StatusCode != 500 || res.Header.Get("X-Should-Retry") != "false" || !strings.Contains(body, `"failed"`) {
		t.Errorf("a key that has run: %v %s", res, body)
	}
	if n := w.applied("k1"); n != 1 {
		t.Errorf("its effect happened %d times", n)
	}
	w.setWriterFaults(func(f *standin.Faults) { f.Draining = true })
	w.reader.Set(func(f *standin.Faults) { f.Draining = true })
	c.send(post("/v1/chat/completions", chat, "Idempotency-Key: k2"))
	if res, body = c.readResponse(); res.StatusCode != 503 || res.Header.Get("X-Should-Retry") != "false" || res.Header.Get("Retry-After") == "" {
		t.Errorf("refused: %v %s", res, body)
	}
}

// Clients are told by their certificates: a tenant's is let in as that tenant,
// another's and none are held to what the settings ask.
func TestClientCertificates(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(t, "router", "r")
	w := newTestbed(t, func(cfg *settings.File) {
		cfg.TLS = settings.TLS{Domain: "fleet.example", Cert: cert, Key: key, Authority: ca.file}
		cfg.Tenants = []settings.Tenant{{Name: "a", Identity: []string{"spiffe://fleet.example/client/a"},
			Budgets: []settings.Budget{{Requests: 1, Burst: 1}}}}
	})
	ask := func(hc *http.Client) (*http.Response, error) {
		res, err := hc.Post("https://"+w.d.Addr()+"/v1/embeddings", "application/json", strings.NewReader(embedding))
		if err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		return res, err
	}
	a, none := ca.client(t, "a"), ca.client(t, "")
	if res, err := ask(a); err != nil || res.StatusCode != 200 || res.Header.Get("X-Ratelimit-Limit-Requests") != "1" {
		t.Errorf("%v, %v", res, err)
	}
	if res, err := ask(a); err != nil || res.StatusCode != 429 {
		t.Errorf("the tenant's second: %v, %v", res, err)
	}
	if res, err := ask(none); err != nil || res.StatusCode != 200 || res.Header.Get("X-Ratelimit-Limit-Requests") != "" {
		t.Errorf("no certificate: %v, %v", res, err)
	}
	stranger := newAuthority(t).client(t, "a")
	if _, err := ask(stranger); err == nil {
		t.Error("a certificate of another authority is let in")
	}
}

// authority makes certificates of fleet.example.
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

// client speaks TLS with a client's certificate, or with none.
func (a *authority) client(t *testing.T, name string) *http.Client {
	t.Helper()
	cfg := &tls.Config{InsecureSkipVerify: true} // a router's certificate names no host
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
