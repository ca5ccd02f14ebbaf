package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"gannethook"
	"gannethook/internal/client"
	"gannethook/internal/daemon"
	"gannethook/internal/realtime"
	"gannethook/internal/record"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testbed is a router, a reader, two writers and a discovery service, all in this process.
type testbed struct {
	t       testing.TB
	d       *daemon.Daemon
	log     *record.Log
	reader  *standin.Engine
	writers []*standin.Engine
	roster  *standin.Roster
	applied func(req string) int
}

func newTestbed(t testing.TB, change func(cfg *settings.File), engines ...func(*standin.Config)) *testbed {
	t.Helper()
	tb := &testbed{t: t, log: record.New()}
	tb.roster = standin.NewRoster("engines", tb.log)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		c := standin.Config{Addr: "127.0.0.1:0", Writes: i > 0, Slots: 64, Queue: 64, Memory: 1e6,
			ReadRate: 1e6, FetchRate: 1e7, TokenGap: 2 * time.Millisecond, EarlyShare: 0.7, StateLifetime: 2 * time.Second,
			Extended: true, Seed: 3}
		for _, change := range engines {
			change(&c)
		}
		e := standin.NewEngine(c, tb.log, nil)
		must(e.Start(false))
		t.Cleanup(e.Kill)
		kind := "prompt"
		if i > 0 {
			kind = "answer"
			tb.writers = append(tb.writers, e)
		} else {
			tb.reader = e
		}
		tb.roster.Set(standin.Listing{Addr: e.Addr(), Kind: kind, Zone: "north", State: "ready"})
	}
	addr, err := tb.roster.Start("127.0.0.1:0")
	must(err)
	t.Cleanup(tb.roster.Stop)
	cfg, err := settings.Parse("default.gann", settings.Default)
	must(err)
	cfg.Roster.Watch = addr
	cfg.Sessions.DrainTimeout = 3 * time.Second
	if change != nil {
		change(cfg)
	}
	tb.d, err = daemon.Start(cfg, "", zap.NewNop())
	must(err)
	t.Cleanup(func() { tb.d.Stop(context.Background()) })
	<-tb.d.Listed()
	tb.applied = func(req string) int {
		n := 0
		for _, e := range tb.writers {
			n += e.Applied()[req]
		}
		return n
	}
	return tb
}

func (tb *testbed) openSession() *client.Session {
	tb.t.Helper()
	s, err := client.Open(context.Background(), tb.d.Addr(), "m")
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(s.Abort)
	return s
}

// startResponse opens a session and requests a response without waiting for it.
func (tb *testbed) startResponse(m map[string]string, max int) *client.Session {
	tb.t.Helper()
	s := tb.openSession()
	if s.AddMessage("hello") != nil || s.Request(m, max) != nil {
		tb.t.Fatal("the session accepts no request")
	}
	return s
}

// meta returns request metadata with a class, an idempotency key and further pairs.
func meta(class, key string, more ...string) map[string]string {
	m := map[string]string{"class": class, "idempotency_key": key}
	for i := 0; i+1 < len(more); i += 2 {
		m[more[i]] = more[i+1]
	}
	return m
}

// request adds a user message, requests a response and waits for it.
func request(t testing.TB, s *client.Session, m map[string]string, max int) *client.Answer {
	t.Helper()
	if err := s.AddMessage("hello there"); err != nil {
		t.Fatal(err)
	}
	if err := s.Request(m, max); err != nil {
		t.Fatal(err)
	}
	a, err := s.Wait(nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (tb *testbed) setWriterFaults(change func(*standin.Faults)) {
	for _, e := range tb.writers {
		e.Set(change)
	}
}

// waitForEvent waits until the log has an event.
func (tb *testbed) waitForEvent(what string, is func(record.Event) bool) record.Event {
	tb.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range tb.log.Events() {
			if is(e) {
				return e
			}
		}
	}
	tb.t.Fatalf("no event within 5 s: %s", what)
	return record.Event{}
}

// kind matches events of a kind and, unless it is "", a note.
func kind(k, note string) func(record.Event) bool {
	return func(e record.Event) bool { return e.Kind == k && (note == "" || e.Note == note) }
}

// Three responses of a session are served, each applied once at a writer, and the places at the writer are taken.
func TestEndToEnd(t *testing.T) {
	tb := newTestbed(t, nil)
	s := tb.openSession()
	for i := range 3 {
		key := fmt.Sprint("k", i)
		a := request(t, s, meta("adjustment", key), 20)
		if a.Outcome() != "served" || a.Tokens == 0 || !strings.HasPrefix(a.Text, " t0 t1") || tb.applied(key) != 1 {
			t.Fatalf("turn %d: %+v, applied %d", i, a, tb.applied(key))
		}
	}
	tb.waitForEvent("a place freed because it was taken", kind(record.Freed, "place taken"))
}

// Engines without the extension work with holds switched off; held state is then freed by the write.
func TestWithoutExtension(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.Engines.Holds = false }, func(c *standin.Config) { c.Extended = false })
	if a := request(t, tb.openSession(), meta("adjustment", "a"), 10); a.Outcome() != "served" || tb.applied("a") != 1 {
		t.Errorf("%+v", a)
	}
	for _, e := range tb.log.Events() {
		if e.Kind == record.Held && e.Note == "place" {
			t.Errorf("place requested without the extension: %v", e)
		}
	}
}

// A mixed engine gets one attempt for read and write.
func TestMixedEngines(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) {
		for i := range cfg.Kinds {
			cfg.Kinds[i].Role = settings.Role(gannethook.Mixed)
		}
	}, func(c *standin.Config) { c.Writes, c.Mixed = true, true })
	if a := request(t, tb.openSession(), meta("question", "a"), 10); a.Outcome() != "served" {
		t.Errorf("%+v", a)
	}
	for _, e := range tb.log.Events() {
		if e.Kind == record.Arrive && e.Note == "read" {
			t.Errorf("separate read: %v", e)
		}
	}
}

// A third-party WebSocket client gets the documented events in the documented order.
func TestPublishedEvents(t *testing.T) {
	tb := newTestbed(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+tb.d.Addr()+"/v1/realtime?model=m", &websocket.DialOptions{Subprotocols: []string{"realtime"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	send := func(text string) {
		if err := c.Write(ctx, websocket.MessageText, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	var order []string
	var last realtime.ServerEvent
	until := func(kind string) {
		t.Helper()
		for {
			_, msg, err := c.Read(ctx)
			if err != nil {
				t.Fatalf("after %v: %v", order, err)
			}
			last = realtime.ServerEvent{}
			if err := json.Unmarshal(msg, &last); err != nil || last.EventID == "" {
				t.Fatalf("%s: %v", msg, err)
			}
			if len(order) == 0 || order[len(order)-1] != last.Type {
				order = append(order, last.Type)
			}
			if last.Type == kind {
				return
			}
		}
	}
	until("session.created")
	send(`{"type":"session.update","session":{"type":"realtime","instructions":"Be brief.","output_modalities":["text"],"max_output_tokens":12}}`)
	until("session.updated")
	send(`{"type":"conversation.item.create","item":{"type":"message","role":"user","content":[{"type":"input_text","text":"Hi"}]}}`)
	until("conversation.item.done")
	send(`{"type":"response.create"}`)
	until("response.done")
	want := "session.created session.updated conversation.item.added conversation.item.done response.created " +
		"response.output_item.added response.content_part.added response.output_text.delta response.output_text.done " +
		"response.content_part.done response.output_item.done response.done"
	if got := strings.Join(order, " "); got != want {
		t.Errorf("order %s, want %s", got, want)
	}
	if r := last.Response; r.Status != "completed" || len(r.Output) != 1 || r.Output[0].Content[0].Text == "" || r.Usage.Output == 0 || r.Usage.Output > 12 {
		t.Errorf("response %+v", last.Response)
	}
}

// An invalid client event gets an error event that names the field, and the session continues.
func TestClientErrors(t *testing.T) {
	tb := newTestbed(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+tb.d.Addr()+"/v1/realtime", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	c.Read(ctx)
	for in, want := range map[string]string{
		`{`:                           "invalid_json",
		`{"event_id":"e"}`:            "missing_field type e",
		`{"type":"x","event_id":"e"}`: "unknown_event type e",
		`{"type":"session.update"}`:   "missing_field session",
		`{"type":"session.update","session":{"output_modalities":["audio"]}}`:                                            "unsupported session.output_modalities",
		`{"type":"session.update","session":{"max_output_tokens":-1}}`:                                                   "invalid_json",
		`{"type":"conversation.item.create","item":{"type":"function_call"}}`:                                            "invalid_item item",
		`{"type":"conversation.item.create","item":{"type":"message","role":"user","content":[{"type":"input_audio"}]}}`: "invalid_item item",
		`{"type":"conversation.item.delete","item_id":"none"}`:                                                           "item_not_found item_id",
		`{"type":"response.create"}`:                                                      "invalid_value response",
		`{"type":"response.cancel"}`:                                                      "response_cancel_not_active response_id",
		`{"type":"response.create","response":{"metadata":{"class":"nope"}}}`:             "invalid_value response.metadata.class",
		`{"type":"response.create","response":{"metadata":{"tenant":"nope"}}}`:            "invalid_value response.metadata.tenant",
		`{"type":"response.create","response":{"metadata":{"idempotency_key":"a\r\nb"}}}`: "invalid_value response.metadata.idempotency_key",
		`{"type":"response.create","response":{"conversation":"x"}}`:                      "invalid_value response.conversation",
		`{"type":"response.create","response":{"input":[{"type":"message","role":"user","content":[{"type":"input_text","text":"a"}]}],"metadata":{"prompt_tokens":"many"}}}`: "invalid_value response.metadata.prompt_tokens",
	} {
		c.Write(ctx, websocket.MessageText, []byte(in))
		_, msg, err := c.Read(ctx)
		var ev realtime.ServerEvent
		if json.Unmarshal(msg, &ev); err != nil || ev.Type != "error" {
			t.Fatalf("%s: %s, %v", in, msg, err)
		}
		got := strings.TrimSpace(strings.Join(strings.Fields(ev.Error.Code+" "+ev.Error.Param+" "+ev.Error.EventID), " "))
		if got != want {
			t.Errorf("%s: %q, want %q", in, got, want)
		}
	}
}

// A conversation is bounded by the size of its texts and items; deleting an item frees capacity.
func TestConversationBound(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.Sessions.MaxConversation = 1000 })
	for _, text := range []string{"", strings.Repeat("x", 200)} {
		s := tb.openSession()
		added, full, first := 0, false, ""
		for range 10 {
			s.AddMessage(text)
			ev, err := s.Next()
			if err != nil {
				t.Fatal(err)
			}
			if ev.Type == realtime.ErrorType {
				full = full || ev.Error.Code == "too_long"
				continue
			}
			if added++; first == "" {
				first = ev.Item.ID
			}
			s.Next() // conversation.item.done
		}
		if !full || added < 2 || added > 7 {
			t.Errorf("%d bytes each: %d items, full %v", len(text), added, full)
		}
		s.DeleteItem(first)
		if ev, err := s.Next(); err != nil || ev.Type != realtime.ItemDeleted {
			t.Errorf("%+v, %v", ev, err)
		}
		s.AddMessage(text)
		if ev, err := s.Next(); err != nil || ev.Type != realtime.ItemAdded {
			t.Errorf("after deleting: %+v, %v", ev, err)
		}
	}
}

// A second response in the conversation is an error; several may be open outside of it.
func TestSeveralResponses(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Slow = 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+tb.d.Addr()+"/v1/realtime", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	send := func(text string) { c.Write(ctx, websocket.MessageText, []byte(text)) }
	send(`{"type":"conversation.item.create","item":{"type":"message","role":"user","content":[{"type":"input_text","text":"Hi"}]}}`)
	send(`{"type":"response.create","response":{"max_output_tokens":10}}`)
	send(`{"type":"response.create"}`)
	for range 3 {
		send(`{"type":"response.create","response":{"conversation":"none","max_output_tokens":10}}`)
	}
	done, refused := map[string]bool{}, 0
	for len(done) < 4 {
		_, msg, err := c.Read(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var ev realtime.ServerEvent
		json.Unmarshal(msg, &ev)
		switch ev.Type {
		case "error":
			if ev.Error.Code != "conversation_already_has_active_response" {
				t.Errorf("%s", msg)
			}
			refused++
		case "response.done":
			if done[ev.Response.ID] || ev.Response.Status != "completed" {
				t.Errorf("%s", msg)
			}
			done[ev.Response.ID] = true
		}
	}
	if refused != 1 {
		t.Errorf("%d errors", refused)
	}
}

// A client loses its connection after an adjustment reached a writer and sends it
// again on a new session, marked as a retry or not: the effect must not be applied
// twice.
func TestRetryOnNewSession(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Slow = 50 })
	s := tb.startResponse(meta("adjustment", "adj"), 100)
	tb.waitForEvent("the effect applied", kind(record.Apply, ""))
	again := tb.openSession()
	if a := request(t, again, meta("adjustment", "adj"), 5); a.Outcome() != "failed" || !strings.Contains(a.Reason, "open") {
		t.Errorf("retry while the first attempt runs: %+v", a)
	}
	s.Abort()
	tb.waitForEvent("the old attempt's end", kind(record.End, "called off"))
	for _, more := range [][]string{nil, {"retry", "true"}} {
		if a := request(t, again, meta("adjustment", "adj", more...), 5); a.Outcome() != "failed" || !strings.Contains(a.Reason, "ran") {
			t.Errorf("retry after the first attempt, %v: %+v", more, a)
		}
	}
	if a := request(t, again, meta("adjustment", "elsewhere", "retry", "true"), 5); a.Outcome() != "failed" {
		t.Errorf("retry of a request to another router: %+v", a)
	}
	if tb.applied("adj") != 1 || tb.applied("elsewhere") != 0 {
		t.Errorf("applied %d and %d times", tb.applied("adj"), tb.applied("elsewhere"))
	}
}

// A refused request can be sent again with its idempotency key and is then served.
func TestRetryAfterRefusal(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Throttle = "adjustment" })
	s := tb.openSession()
	a := request(t, s, meta("adjustment", "adj"), 5)
	if a.Outcome() != "refused" || a.RetryAfter <= 0 || tb.applied("adj") != 0 {
		t.Fatalf("%+v", a)
	}
	tb.setWriterFaults(func(f *standin.Faults) { f.Throttle = "" })
	for end := time.Now().Add(20 * time.Second); a.Outcome() != "served" && time.Now().Before(end); {
		if a = request(t, s, meta("adjustment", "adj"), 5); a.Outcome() == "failed" {
			t.Fatalf("%+v", a)
		}
	}
	if tb.applied("adj") != 1 {
		t.Errorf("%+v, applied %d times", a, tb.applied("adj"))
	}
}

// A client cancels its response: it gets one response.done, cancelled, and the attempt at the writer is cancelled.
func TestCancel(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Slow = 50 })
	s := tb.startResponse(meta("question", "q"), 100)
	a, err := s.Wait(func(string) { s.Cancel() })
	if err != nil || a.Outcome() != "cancelled" {
		t.Fatalf("%+v, %v", a, err)
	}
	tb.waitForEvent("the end of the attempt", kind(record.End, "called off"))
	if a := request(t, s, meta("question", "q2"), 2); a.Outcome() != "served" {
		t.Errorf("next request of the session: %+v", a)
	}
}

// A writer closes or stalls the stream after some tokens: the request fails and is not run again.
func TestBrokenStream(t *testing.T) {
	for name, fault := range map[string]func(*standin.Faults){
		"broken":  func(f *standin.Faults) { f.BreakAfter = 3 },
		"stalled": func(f *standin.Faults) { f.StallAfter = 3 },
	} {
		tb := newTestbed(t, func(cfg *settings.File) { cfg.Engines.StreamIdleTimeout = 200 * time.Millisecond })
		tb.setWriterFaults(fault)
		a := request(t, tb.openSession(), meta("adjustment", name), 50)
		if a.Outcome() != "failed" || a.Tokens != 3 || tb.applied(name) != 1 {
			t.Errorf("%s: %+v, applied %d", name, a, tb.applied(name))
		}
	}
}

// A writer dies before it answers: a safe request is retried and served, an unsafe one fails.
func TestWriterDies(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Hang = true })
	safe, unsafe := tb.openSession(), tb.openSession()
	for s, class := range map[*client.Session]string{safe: "question", unsafe: "adjustment"} {
		s.AddMessage("hello")
		s.Request(meta(class, class), 5)
	}
	writerOf := map[string]string{}
	for _, class := range []string{"question", "adjustment"} {
		writerOf[class] = tb.waitForEvent(class+" at a writer", func(e record.Event) bool {
			return e.Kind == record.Arrive && e.Note == "write" && e.Class == class
		}).Who
	}
	tb.setWriterFaults(func(f *standin.Faults) { f.Hang = false }) // for later attempts: each request meets one dead writer
	kill := func(who string) {
		for _, e := range tb.writers {
			if e.Addr() != who {
				continue
			}
			e.Kill()
			if err := e.Start(false); err != nil {
				t.Fatal(err)
			}
		}
	}
	kill(writerOf["question"])
	if a, err := safe.Wait(nil); err != nil || a.Outcome() != "served" {
		t.Errorf("safe: %+v, %v", a, err)
	}
	if writerOf["adjustment"] != writerOf["question"] {
		kill(writerOf["adjustment"])
	}
	if a, err := unsafe.Wait(nil); err != nil || a.Outcome() != "failed" || tb.applied("adjustment") != 0 {
		t.Errorf("unsafe: %+v, %v", a, err)
	}
}

// A client that disconnects while its request waits at a writer cancels it at once.
func TestClientDisconnectsWhileWaiting(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Hang = true })
	s := tb.startResponse(meta("adjustment", "a"), 5)
	tb.waitForEvent("the attempt", func(e record.Event) bool { return e.Kind == record.Arrive && e.Note == "write" })
	s.Abort()
	tb.waitForEvent("the end of the attempt, long before the deadline of the request", kind(record.End, "hung"))
}

// A session without requests outlasts the idle time because the client answers pings.
func TestPingsKeepIdleSession(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.Sessions.IdleTimeout = 400 * time.Millisecond })
	s := tb.openSession()
	time.Sleep(1300 * time.Millisecond) // about three idle times
	if a := request(t, s, meta("question", "q"), 2); a.Outcome() != "served" {
		t.Errorf("%+v", a)
	}
}

// Discovery removes a writer while a stream runs there: the stream finishes, and new requests go elsewhere.
func TestServerRemovedWhileStreaming(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Slow = 20 })
	s := tb.startResponse(meta("question", "q"), 20)
	first := make(chan struct{}, 1000)
	done := make(chan *client.Answer, 1)
	go func() {
		a, _ := s.Wait(func(string) { first <- struct{}{} })
		done <- a
	}()
	<-first
	removed := tb.waitForEvent("the stream", kind(record.Apply, "")).Who
	tb.roster.Set(standin.Listing{Addr: removed, Kind: "answer", Zone: "north", State: "gone"})
	tb.waitForEvent("the router received the update", func(e record.Event) bool { return e.Kind == record.Told && e.Key == removed && e.Note == "gone" })
	other := tb.openSession()
	for i := range 10 {
		request(t, other, meta("question", fmt.Sprint("n", i)), 1)
	}
	if a := <-done; a.Outcome() != "served" {
		t.Errorf("the stream: %+v", a)
	}
	for _, e := range tb.log.Events() {
		if e.Kind == record.Arrive && e.Who == removed && strings.HasPrefix(e.Req, "n") && e.Req != "n0" {
			t.Errorf("new attempt at a removed server: %v", e)
		}
	}
}

// A stop lets open responses finish, closes the sessions with 1001 and closes the port.
func TestStop(t *testing.T) {
	tb := newTestbed(t, nil)
	tb.setWriterFaults(func(f *standin.Faults) { f.Slow = 10 })
	s := tb.startResponse(meta("adjustment", "a"), 20)
	started := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		<-started
		tb.d.Stop(context.Background())
		close(stopped)
	}()
	n := 0
	a, err := s.Wait(func(string) {
		if n++; n == 1 {
			close(started)
		}
	})
	if err != nil || a.Outcome() != "served" || tb.applied("a") != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	if _, err := s.Next(); err == nil || !strings.Contains(err.Error(), "1001") {
		t.Errorf("the session ended with %v", err)
	}
	<-stopped
	if _, err := client.Open(context.Background(), tb.d.Addr(), ""); err == nil {
		t.Error("a stopped router accepts a session")
	}
}

// At the end of the drain time of a stop, every open request gets a failed response.
func TestStopCutShort(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.Sessions.DrainTimeout = 50 * time.Millisecond })
	tb.setWriterFaults(func(f *standin.Faults) { f.Hang = true })
	s := tb.startResponse(meta("adjustment", "a"), 20)
	tb.waitForEvent("the attempt", func(e record.Event) bool { return e.Kind == record.Arrive && e.Note == "write" })
	go tb.d.Stop(context.Background())
	a, err := s.Wait(nil)
	if err != nil || a.Outcome() != "failed" {
		t.Errorf("%+v, %v", a, err)
	}
}

// exchangeRaw sends bytes and reads until the router closes the connection.
func (tb *testbed) exchangeRaw(send string) string {
	tb.t.Helper()
	nc, err := net.Dial("tcp", tb.d.Addr())
	if err != nil {
		tb.t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(nc, send)
	b, err := io.ReadAll(nc)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		tb.t.Fatalf("%.40q: the router did not close the connection", send)
	}
	return string(b)
}

// The router closes connections with malformed, oversized or incomplete input and goes on serving.
func TestHostileConnections(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) { cfg.Sessions.HandshakeTimeout = 500 * time.Millisecond })
	upgrade := "GET /v1/realtime HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	for name, c := range map[string]struct{ send, want string }{
		"not HTTP":           {"hello\r\n\r\n", "400"},
		"a flood of headers": {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n", "431"},
		"a head without end": {"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 100000), "431"},
		"another path":       {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		"no WebSocket":       {"GET /v1/realtime HTTP/1.1\r\nHost: x\r\n\r\n", "426"},
		"a slow loris":       {"GET / HTTP/1.1\r\nA:", ""},
		"silence":            {"", ""},
		"a frame of 1 GB":    {upgrade + "\x81\xff\x00\x00\x00\x00\x40\x00\x00\x00\x01\x02\x03\x04", "\x03\xf1"},
		"a frame not masked": {upgrade + "\x81\x01x", "\x03\xea"},
		"bad UTF-8":          {upgrade + "\x81\x81\x00\x00\x00\x00\xff", "\x03\xef"},
	} {
		if got := tb.exchangeRaw(c.send); !strings.Contains(got, c.want) {
			t.Errorf("%s: %.80q, want %q in it", name, got, c.want)
		}
	}
	nc, _ := net.Dial("tcp", tb.d.Addr()) // half-closed after the handshake
	io.WriteString(nc, upgrade)
	nc.(*net.TCPConn).CloseWrite()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadAll(nc); err != nil {
		t.Errorf("half-closed: %v", err)
	}
	nc.Close()
	if a := request(t, tb.openSession(), meta("question", "q"), 2); a.Outcome() != "served" {
		t.Errorf("request afterwards: %+v", a)
	}
}
