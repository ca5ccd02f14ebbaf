package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gannethook/internal/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func config(writes bool) Config {
	return Config{Addr: "127.0.0.1:0", Writes: writes, Slots: 4, Queue: 2, Memory: 10000, ReadRate: 1e5, FetchRate: 1e6,
		TokenGap: time.Millisecond, EarlyShare: 0.7, ColdFrom: 0.25, WarmAfter: time.Minute, OverloadFactor: 3, OverloadWindow: time.Second,
		StateLifetime: time.Second, Extended: true, Seed: 1}
}

func start(t *testing.T, cfg Config, cold bool) (*Engine, *record.Log) {
	t.Helper()
	log := record.New()
	e := NewEngine(cfg, log, &Dedupe{}, "keyed")
	if err := e.Start(cold); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return e, log
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// post sends a completion: a write if params has the transfer parameters of a read, else a read.
func post(e *Engine, key, req, class string, size, tokens int, params json.RawMessage) (int, string) {
	body, _ := json.Marshal(map[string]any{"prompt": "p", "max_tokens": tokens, "stream": params != nil,
		"x_prompt_tokens": size, "kv_transfer_params": params})
	r, _ := http.NewRequest("POST", "http://"+e.Addr()+completionsPath, bytes.NewReader(body))
	r.Header.Set("X-Request-Id", key)
	r.Header.Set("Idempotency-Key", req)
	r.Header.Set("X-Request-Class", class)
	res, err := httpClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

func transferParams(t *testing.T, text string) json.RawMessage {
	t.Helper()
	var v struct {
		Params json.RawMessage `json:"kv_transfer_params"`
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil || v.Params == nil {
		t.Fatalf("%s: %v", text, err)
	}
	return v.Params
}

func count(log *record.Log, kind, note string) int {
	n := 0
	for _, e := range log.Events() {
		if e.Kind == kind && (note == "" || e.Note == note) {
			n++
		}
	}
	return n
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// A state can be fetched once: a second write for the same read gets 409 no_state.
func TestStateMovesOnce(t *testing.T) {
	reader, _ := start(t, config(false), false)
	writer, log := start(t, config(true), false)
	_, text := post(reader, "r-b-1-0", "x", "q", 100, 1, nil)
	p := transferParams(t, text)
	if code, text := post(writer, "r-b-1-0", "x", "q", 100, 5, p); code != 200 || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("%d %s", code, text)
	}
	if code, text := post(writer, "r-b-1-0", "x", "q", 100, 5, p); code != 409 || !strings.Contains(text, "no_state") {
		t.Errorf("%d %s", code, text)
	}
	if writer.Applied()["x"] != 1 || count(log, record.Apply, "") != 1 {
		t.Errorf("applied %v", writer.Applied())
	}
}

// A group drops the repeats of a keyed request, and applies those of an unsafe one.
func TestRepeats(t *testing.T) {
	reader, _ := start(t, config(false), false)
	writer, _ := start(t, config(true), false)
	for i := range 2 {
		for _, class := range []string{"keyed", "unsafe"} {
			key := fmt.Sprintf("r-b-%s-%d", class, i)
			_, text := post(reader, key, class, class, 100, 1, nil)
			post(writer, key, class, class, 100, 5, transferParams(t, text))
		}
	}
	if a := writer.Applied(); a["keyed"] != 1 || a["unsafe"] != 2 {
		t.Errorf("applied %v", a)
	}
}

// An engine in slow start crashes under overload and stays down; a warm engine does not.
func TestOverloadDuringSlowStart(t *testing.T) {
	for _, cold := range []bool{true, false} {
		cfg := config(false)
		cfg.Slots, cfg.Queue, cfg.ReadRate = 1, 1000, 1000
		e, log := start(t, cfg, cold)
		for i := range 60 {
			go post(e, fmt.Sprintf("r-b-%d-0", i), "x", "q", 100, 1, nil)
		}
		if cold {
			waitFor(t, "the engine crashes", func() bool { return !e.Alive() })
			if count(log, record.Fell, "") != 1 {
				t.Error("the crash is not recorded")
			}
		} else {
			waitFor(t, "all requests have arrived", func() bool { return count(log, record.Arrive, "") == 60 })
			if !e.Alive() {
				t.Error("a warm engine crashed")
			}
		}
		e.Kill()
	}
	waitFor(t, "the clients have ended", func() bool { return goleak.Find(goleak.IgnoreCurrent()) == nil })
}

// A place expires if no write takes it.
func TestPlaceExpires(t *testing.T) {
	writer, log := start(t, config(true), false)
	r, err := httpClient.Post("http://"+writer.Addr()+placesPath, "application/json",
		strings.NewReader(`{"request_id":"k","reader":"127.0.0.1:1","tokens":100,"idle_ms":20}`))
	if err != nil || r.StatusCode != 201 {
		t.Fatal(r, err)
	}
	r.Body.Close()
	waitFor(t, "the place expires", func() bool { return count(log, record.Freed, "place lapsed") == 1 })
}

// A frozen engine accepts no connections, records requests that arrive on open ones, and runs them after the thaw.
func TestFreeze(t *testing.T) {
	e, log := start(t, config(false), false)
	idle, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if code, _ := post(e, "r-b-0-0", "w", "q", 10, 1, nil); code != 200 {
		t.Fatal(code)
	}
	e.Freeze(true)
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	if nc, err := d.DialContext(context.Background(), "tcp", e.Addr()); err == nil {
		nc.Close()
		t.Error("a frozen engine accepts connections")
	}
	fmt.Fprintf(idle, "POST %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-b-1-0\r\nIdempotency-Key: x\r\nContent-Length: 15\r\n\r\n{\"stream\":true}", completionsPath)
	waitFor(t, "the request is recorded as swallowed", func() bool { return count(log, record.Swallow, "write") == 1 })
	if n := count(log, record.Arrive, "write"); n != 0 {
		t.Errorf("%d requests arrived while frozen", n)
	}
	e.Freeze(false)
	waitFor(t, "the request arrives", func() bool { return count(log, record.Arrive, "write") == 1 })
}

// A jammed engine accepts no new connections; open ones continue.
func TestJam(t *testing.T) {
	e, _ := start(t, config(false), false)
	keep := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer keep.CloseIdleConnections()
	get := func() error {
		r, err := keep.Get("http://" + e.Addr() + fetchPath + "none")
		if err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	e.Jam(true)
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	if nc, err := d.DialContext(context.Background(), "tcp", e.Addr()); err == nil {
		nc.Close()
		t.Error("a jammed engine accepts connections")
	}
	if err := get(); err != nil {
		t.Errorf("request on the open connection: %v", err)
	}
	e.Jam(false)
	if nc, err := net.Dial("tcp", e.Addr()); err != nil {
		t.Error(err)
	} else {
		nc.Close()
	}
}

// A watch that was cut must not get a later change: it would skip the history that was compacted in between, and never
// get the 410 for its version.
func TestCutWatchGetsNoChange(t *testing.T) {
	r := NewRoster("engines", nil)
	cut := make(chan struct{})
	r.watches[cut] = true
	r.Set(Listing{Addr: "127.0.0.1:1", Kind: "prompt", State: "ready"})
	if c, _ := r.nextChange(1, "", cut); c == nil {
		t.Fatal("an open watch gets no change")
	}
	r.Compact()
	r.Set(Listing{Addr: "127.0.0.1:1", Kind: "prompt", State: "gone"})
	if c, ch := r.nextChange(2, "", cut); c != nil || ch != cut {
		t.Errorf("a cut watch got %v", c)
	}
}

// A held port can be listened on repeatedly, and the kernel gives it to no other socket.
func TestHoldPort(t *testing.T) {
	addr, release, err := HoldPort()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range 3 {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
		ln.Close()
	}
	for range 2000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if ln.Addr().String() == addr {
			t.Fatal("a held port was given to another listener")
		}
		defer ln.Close()
	}
}
