package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/heldstate"
)

const ms = time.Millisecond

// fakeEngines simulate servers whose steps take the given times on the test's clock.
type fakeEngines struct {
	readTime, firstTokenTime, holdTime time.Duration
	tokens                             int
	tokenGap                           time.Duration
	holdOK                             bool
	writeResult                        attempt.Result // replaces the stream if it has an outcome
	readResult                         attempt.Result // replaces the state if it has an outcome
	failFirstRead                      bool
	stallStream                        bool          // the stream stops after its first token
	closeDelay                         time.Duration // a cancelled read leaves its connection so much later
	closedAt                           time.Time     // when it has left the connection
	lateStateDelay                     time.Duration // the server completes a cancelled or broken read so much later; 0: it drops the read
	mu                                 sync.Mutex
	writes, reads                      int
	writeHadParams                     []bool // for each write: whether it came with parameters of a read
	releases                           int
	releaseTime                        time.Duration // duration of a release
	releaseInProgress                  bool
	releaseDone                        bool // some release has ended
	readDuringRelease                  bool
	held, released                     map[string]int // places and states by server and key
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{readTime: 20 * ms, firstTokenTime: 10 * ms, holdTime: ms, tokens: 5, tokenGap: 10 * ms, holdOK: true,
		held: map[string]int{}, released: map[string]int{}}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

var cancelledResult = attempt.Result{Outcome: gannethook.Cancelled}

func (f *fakeEngines) count(m map[string]int, server, key string) {
	f.mu.Lock()
	m[server+" "+key]++
	f.mu.Unlock()
}

func (f *fakeEngines) Read(ctx context.Context, call *attempt.Call) attempt.Result {
	f.mu.Lock()
	f.reads++
	f.readDuringRelease = f.readDuringRelease || f.releaseInProgress
	n := f.reads
	f.mu.Unlock()
	if !wait(ctx, f.readTime) {
		time.Sleep(f.closeDelay)
		f.mu.Lock()
		f.closedAt = time.Now()
		f.mu.Unlock()
		if f.lateStateDelay > 0 {
			time.AfterFunc(f.lateStateDelay, func() { f.count(f.held, call.Addr, call.Key) })
		}
		return cancelledResult
	}
	if f.failFirstRead && n == 1 {
		return attempt.Result{Outcome: gannethook.Failed}
	}
	if f.readResult.Outcome != 0 {
		if f.lateStateDelay > 0 {
			time.AfterFunc(f.lateStateDelay, func() { f.count(f.held, call.Addr, call.Key) })
		}
		f.mu.Lock()
		f.closedAt = time.Now()
		f.mu.Unlock()
		return f.readResult
	}
	f.count(f.held, call.Addr, call.Key)
	return attempt.Result{Outcome: gannethook.ReadDone, Params: json.RawMessage(`{}`)}
}

func (f *fakeEngines) Do(ctx context.Context, call *attempt.Call) attempt.Result {
	f.mu.Lock()
	f.writes++
	f.mu.Unlock()
	if !wait(ctx, f.firstTokenTime) {
		return cancelledResult
	}
	if f.writeResult.Outcome != 0 {
		return f.writeResult
	}
	return attempt.Result{Outcome: gannethook.Served, Body: call.Body}
}

func (f *fakeEngines) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	f.mu.Lock()
	f.writes++
	f.writeHadParams = append(f.writeHadParams, call.Params != nil)
	f.mu.Unlock()
	if !wait(ctx, f.firstTokenTime) {
		return cancelledResult
	}
	if f.writeResult.Outcome != 0 {
		return f.writeResult
	}
	for i := range f.tokens {
		if i == 0 && !started() || !token([]byte(`"t"`)) {
			return cancelledResult
		}
		if f.stallStream {
			<-ctx.Done()
		}
		if !wait(ctx, f.tokenGap) {
			return cancelledResult
		}
	}
	return attempt.Result{Outcome: gannethook.Served, Tokens: f.tokens}
}

func (f *fakeEngines) Hold(ctx context.Context, call *attempt.Call, _ string) attempt.PlaceResult {
	if wait(ctx, f.holdTime); f.holdOK {
		f.count(f.held, call.Addr, call.Key)
	}
	if f.holdOK {
		return attempt.Granted
	}
	return attempt.Denied
}

func (f *fakeEngines) LastAnswer(string) (sent, answered time.Time) { return time.Now(), time.Now() }

func (f *fakeEngines) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	return f.Release(ctx, []attempt.Held{h})
}

func (f *fakeEngines) Release(_ context.Context, list []attempt.Held) attempt.ReleaseResult {
	sent := time.Now()
	f.mu.Lock()
	f.releaseInProgress = true
	f.mu.Unlock()
	time.Sleep(f.releaseTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseInProgress, f.releaseDone = false, true
	for _, h := range list {
		f.releases++
		if k := h.Addr + " " + h.Key; f.held[k] > 0 { // a release that precedes the grant releases nothing
			delete(f.held, k)
			f.released[k]++
		}
	}
	return attempt.ReleaseResult{Acknowledged: true, Server: list[0].Addr, SentAt: sent}
}

// recordingSink records what a client would receive.
type recordingSink struct {
	t          *testing.T
	mu         sync.Mutex
	tokens     int
	finals     []Answer
	answeredAt time.Time
	done       chan struct{}
}

func newSink(t *testing.T) *recordingSink { return &recordingSink{t: t, done: make(chan struct{})} }

func (s *recordingSink) Token([]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.finals) > 0 {
		s.t.Error("token after the final answer")
	}
	s.tokens++
	return true
}

func (s *recordingSink) Final(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finals = append(s.finals, a); len(s.finals) > 1 {
		s.t.Errorf("more than one final answer: %v", s.finals)
		return
	}
	s.answeredAt = time.Now()
	close(s.done)
}

// A place requested for a read that failed is released when it is granted later, while the request continues.
func TestLateGrantForFailedRead(t *testing.T) {
	f := newFakeEngines()
	f.holdTime, f.failFirstRead, f.tokens = 300*ms, true, 50
	runDriver(t, f, func(d *Driver) {
		s, a := submitAndWait(t, d, 0)
		if a.Outcome != Served || s.tokens != 50 {
			t.Errorf("%+v", a)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for k := range f.held {
			if strings.HasSuffix(k, "-0") {
				t.Errorf("place of the failed read is still held: %s", k)
			}
		}
	})
}

// A place that was denied is not released.
func TestDeniedPlaceIsNotReleased(t *testing.T) {
	f := newFakeEngines()
	f.holdOK = false
	runDriver(t, f, func(d *Driver) {
		if _, a := submitAndWait(t, d, 0); a.Outcome != Served {
			t.Errorf("%+v", a)
		}
		synctest.Wait()
		if f.releases != 0 {
			t.Errorf("%d releases although nothing is held", f.releases)
		}
	})
}

// The parameters of a read are sent with the write at any server, but not after the state was released.
func TestWriteParamsFollowState(t *testing.T) {
	for _, c := range []struct {
		name   string
		role   gannethook.Role
		lose   bool
		params bool
	}{
		{"a writer", gannethook.Writer, false, true},
		{"a mixed server", gannethook.Mixed, false, true},
		{"a writer that reads, after the state was released", gannethook.Writer, true, false},
	} {
		f := newFakeEngines()
		set := testSettings()
		set.Kinds[1].Role = c.role
		synctest.Test(t, func(t *testing.T) {
			d, err := New(Config{Settings: set, InboxSize: 10, MaxOpen: 10, Engines: f,
				Decider: deciderFunc(func(ev gannethook.Event) (acts []gannethook.Action) {
					switch ev := ev.(type) {
					case gannethook.Request:
						acts = append(acts, gannethook.Send{ID: ev.ID, Server: "r"})
					case gannethook.Ended:
						if c.lose {
							acts = append(acts, gannethook.Release{ID: ev.ID})
						}
						if ev.Outcome == gannethook.ReadDone {
							acts = append(acts, gannethook.Send{ID: ev.ID, Server: "w"})
						}
					}
					return acts
				})})
			stop := startDriver(t, d, err)
			d.Update(gannethook.Membership{Servers: []gannethook.Server{{ID: "r", State: gannethook.Ready}, {ID: "w", Kind: 1, State: gannethook.Ready}}})
			if _, a := submitAndWait(t, d, 0); a.Outcome != Served || len(f.writeHadParams) != 1 || f.writeHadParams[0] != c.params {
				t.Errorf("%s: %+v, parameters with the writes: %v", c.name, a, f.writeHadParams)
			}
			stop()
		})
	}
}

// Where attempts may not be cancelled, an attempt continues after its request was answered; its first token is not relayed.
func TestNoTokenAfterFinalAnswer(t *testing.T) {
	f := newFakeEngines()
	f.firstTokenTime = 5 * time.Second
	set := testSettings()
	set.Cancel = false
	runWithSettings(t, f, set, func(d *Driver) {
		s, a := submitAndWait(t, d, 1)
		if a.Outcome != Failed {
			t.Errorf("%+v", a)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if s.tokens != 0 || d.Open() != 0 {
			t.Errorf("%d tokens, %d open", s.tokens, d.Open())
		}
	})
}

func testSettings() gannethook.Settings {
	class := func(e gannethook.Effect) gannethook.Class {
		return gannethook.Class{Aim: 1500, Worth: 1, Effect: e, Streamed: true}
	}
	return gannethook.Settings{Routers: 1, Classes: []gannethook.Class{class(gannethook.Safe), class(gannethook.Unsafe)},
		Kinds:    []gannethook.Kind{{Role: gannethook.Reader, Memory: 1e5}, {Role: gannethook.Writer, Memory: 1e5}},
		ColdFrom: 0.3, WarmAfter: 10000, OverloadFactor: 3, PinLimit: 500, MaxAttempts: 4, MaxRetryAfter: 500,
		Quantum: 10, Cancel: true, Holds: true}
}

// startDriver runs a driver that New made; stop ends it and waits for its end.
func startDriver(t *testing.T, d *Driver, err error) (stop func()) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// runDriver runs a driver on the test's clock with two readers and two writers.
func runDriver(t *testing.T, f *fakeEngines, do func(d *Driver)) {
	runWithSettings(t, f, testSettings(), do)
}

func runWithSettings(t *testing.T, f *fakeEngines, set gannethook.Settings, do func(d *Driver)) {
	runWithEngines(t, f, set, do)
}

func runWithEngines(t *testing.T, engines Engines, set gannethook.Settings, do func(d *Driver)) {
	runWithConfig(t, Config{Settings: set, Engines: engines}, do)
}

func runWithConfig(t *testing.T, cfg Config, do func(d *Driver)) {
	cfg.Name, cfg.Seed, cfg.InboxSize, cfg.MaxOpen = "r", 1, 100, 50
	synctest.Test(t, func(t *testing.T) {
		d, err := New(cfg)
		stop := startDriver(t, d, err)
		m := gannethook.Membership{Whole: true}
		for i := range 4 {
			m.Servers = append(m.Servers, gannethook.Server{ID: gannethook.ServerID(fmt.Sprintf("s%d", i)), Kind: i / 2,
				State: gannethook.Ready})
		}
		d.Update(m)
		do(d)
		stop()
		if n := d.Open(); n != 0 {
			t.Errorf("%d requests open at the end", n)
		}
	})
}

func newJob(class int) Job {
	return Job{Class: class, ClassName: "c", Timeout: 3 * time.Second, PromptSize: 100, MaxTokens: 50, Prompt: "p"}
}

// submitAndWait submits a request and waits for its answer.
func submitAndWait(t *testing.T, d *Driver, class int) (*recordingSink, Answer) {
	s := newSink(t)
	if _, err := d.Submit(newJob(class), s); err != nil {
		t.Fatal(err)
	}
	<-s.done
	return s, s.finals[0]
}

// One-stage work is answered whole by the server that reads it, and nothing is held for it.
func TestOneStage(t *testing.T) {
	f := newFakeEngines()
	set := testSettings()
	for _, e := range []gannethook.Effect{gannethook.Safe, gannethook.Unsafe} {
		set.Classes = append(set.Classes, gannethook.Class{Aim: 1500, Worth: 1, Effect: e, OneStage: true})
	}
	submit := func(d *Driver, class int) Answer {
		j, s := newJob(class), newSink(t)
		j.Path, j.Body = "/v1/embeddings", []byte("{}")
		if _, err := d.Submit(j, s); err != nil {
			t.Fatal(err)
		}
		<-s.done
		if s.tokens != 0 {
			t.Errorf("%d tokens", s.tokens)
		}
		return s.finals[0]
	}
	runWithSettings(t, f, set, func(d *Driver) {
		if a := submit(d, 2); a.Outcome != Served || string(a.Body) != "{}" || !a.MayHaveRun {
			t.Errorf("%+v", a)
		}
		f.writeResult = attempt.Result{Outcome: gannethook.Broken}
		if a := submit(d, 3); a.Outcome != Failed || !a.MayHaveRun || f.writes != 2 {
			t.Errorf("unsafe work after a broken attempt: %+v, %d attempts", a, f.writes)
		}
		f.writeResult.Outcome = gannethook.Full
		if a := submit(d, 3); a.Outcome != Refused || a.MayHaveRun {
			t.Errorf("%+v", a)
		}
		synctest.Wait()
		if held := f.stillHeld(); len(held) > 0 || f.reads > 0 {
			t.Errorf("held %v, %d reads", held, f.reads)
		}
	})
}

// stillHeld lists what is held and was never released, including what the served answer consumed.
func (f *fakeEngines) stillHeld() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for k := range f.held {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

func TestServed(t *testing.T) {
	f := newFakeEngines()
	runDriver(t, f, func(d *Driver) {
		s, a := submitAndWait(t, d, 1)
		if a.Outcome != Served || a.Tokens != 5 || s.tokens != 5 || !a.MayHaveRun {
			t.Errorf("%+v, %d tokens", a, s.tokens)
		}
		synctest.Wait()
		if held := f.stillHeld(); len(held) != 2 { // the state that was fetched and the place that the stream uses
			t.Errorf("held: %v", held)
		}
	})
}

// The final answer comes within the client's time limit, regardless of what is in flight.
func TestDeadline(t *testing.T) {
	for name, slowDown := range map[string]func(*fakeEngines){
		"a reader hangs":     func(f *fakeEngines) { f.readTime = time.Hour },
		"a writer hangs":     func(f *fakeEngines) { f.firstTokenTime = time.Hour },
		"holds hang as well": func(f *fakeEngines) { f.firstTokenTime, f.holdTime = time.Hour, time.Hour },
	} {
		f := newFakeEngines()
		slowDown(f)
		runDriver(t, f, func(d *Driver) {
			from := time.Now()
			s, a := submitAndWait(t, d, 1)
			if took := s.answeredAt.Sub(from); took > 3*time.Second || a.Outcome == Served {
				t.Errorf("%s: outcome %v after %v", name, a.Outcome, took)
			}
			if a.Outcome == Refused && a.MayHaveRun {
				t.Errorf("%s: refused although it may have run", name)
			}
		})
		if held := f.stillHeld(); len(held) != 0 {
			t.Errorf("%s: still held: %v", name, held)
		}
	}
}

// An unsafe request that may have run fails without a retry; a safe one is retried.
func TestMayHaveRun(t *testing.T) {
	for _, o := range []gannethook.Outcome{gannethook.Failed, gannethook.Broken} {
		f := newFakeEngines()
		f.writeResult = attempt.Result{Outcome: o}
		runDriver(t, f, func(d *Driver) {
			if _, a := submitAndWait(t, d, 1); a.Outcome != Failed || !a.MayHaveRun || f.writes != 1 {
				t.Errorf("unsafe after %v: %+v, %d writes", o, a, f.writes)
			}
			f.writes = 0
			if submitAndWait(t, d, 0); f.writes < 2 {
				t.Errorf("safe after %v: %d writes", o, f.writes)
			}
		})
	}
	f := newFakeEngines()
	f.writeResult = attempt.Result{Outcome: gannethook.Full}
	runDriver(t, f, func(d *Driver) {
		if _, a := submitAndWait(t, d, 1); a.Outcome != Refused || a.MayHaveRun || a.RetryAfter <= 0 || f.writes < 2 {
			t.Errorf("unsafe after rejections: %+v, %d writes", a, f.writes)
		}
	})
}

// A place that is granted after its request has ended is released.
func TestLateGrant(t *testing.T) {
	f := newFakeEngines()
	f.holdTime = 5 * time.Second
	runDriver(t, f, func(d *Driver) {
		s := newSink(t)
		c, err := d.Submit(newJob(0), s)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * ms)
		c.Cancel()
		<-s.done
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if len(f.released) == 0 || len(f.stillHeld()) != 0 {
			t.Errorf("released %v, still held %v", f.released, f.stillHeld())
		}
	})
}

// A client that disconnects receives no more tokens, and its attempt is cancelled at once.
func TestAbandonStream(t *testing.T) {
	f := newFakeEngines()
	f.stallStream = true
	runDriver(t, f, func(d *Driver) {
		s := newSink(t)
		c, _ := d.Submit(newJob(1), s)
		time.Sleep(time.Second)
		c.Cancel()
		c.Cancel()
		<-s.done
		synctest.Wait()
		if s.finals[0].Outcome != Cancelled || !s.finals[0].MayHaveRun || s.tokens != 1 || d.Open() != 0 {
			t.Errorf("%+v, %d tokens, %d open", s.finals, s.tokens, d.Open())
		}
	})
}

// There is exactly one final answer, whenever the client disconnects.
func TestAbandonRacesWithFinalAnswer(t *testing.T) {
	for at := time.Duration(0); at < 100*ms; at += ms {
		f := newFakeEngines()
		runDriver(t, f, func(d *Driver) {
			s := newSink(t)
			c, _ := d.Submit(newJob(1), s)
			time.Sleep(at)
			go c.Cancel()
			<-s.done
			time.Sleep(time.Second)
			synctest.Wait()
			if len(s.finals) != 1 || d.Open() != 0 {
				t.Errorf("disconnected after %v: %v, %d open", at, s.finals, d.Open())
			}
		})
	}
}

// Once a client has disconnected, nothing starts for its request: not between two attempts, while an attempt waits for a
// release, or while it connects.
func TestNothingStartsAfterClientDisconnects(t *testing.T) {
	for at := time.Duration(0); at < 200*ms; at += 7 * ms {
		f := newFakeEngines()
		f.failFirstRead, f.releaseTime, f.holdTime = true, 60*ms, 30*ms
		runDriver(t, f, func(d *Driver) {
			s, j := newSink(t), newJob(1)
			j.Name = "a"
			c, _ := d.Submit(j, s)
			time.Sleep(at)
			c.Cancel()
			synctest.Wait()
			f.mu.Lock()
			reads, writes := f.reads, f.writes
			f.mu.Unlock()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if f.reads != reads || f.writes != writes {
				t.Errorf("disconnected after %v: %d reads and %d writes started since", at, f.reads-reads, f.writes-writes)
			}
		})
		if held := f.stillHeld(); len(held) > 0 && f.writes == 0 {
			t.Errorf("disconnected after %v: still held: %v", at, held)
		}
	}
}

// Requests beyond the limit are rejected before the decision module sees them, and nothing of them runs.
func TestBusy(t *testing.T) {
	f := newFakeEngines()
	f.readTime = time.Hour
	runDriver(t, f, func(d *Driver) {
		busy := 0
		for range 60 {
			if _, err := d.Submit(newJob(0), newSink(t)); err == ErrBusy {
				busy++
			}
			synctest.Wait()
		}
		if busy != 10 || f.reads > 50 {
			t.Errorf("%d rejected, %d reads", busy, f.reads)
		}
		time.Sleep(time.Minute)
		if d.Open() != 0 {
			t.Errorf("%d open after their time limit", d.Open())
		}
	})
}

// A driver that stops answers all open requests.
func TestStopAnswersOpenRequests(t *testing.T) {
	f := newFakeEngines()
	f.firstTokenTime = time.Hour
	var sinks []*recordingSink
	runDriver(t, f, func(d *Driver) {
		for i := range 20 {
			s := newSink(t)
			if _, err := d.Submit(newJob(i%2), s); err != nil {
				t.Fatal(err)
			}
			sinks = append(sinks, s)
		}
		time.Sleep(50 * ms)
	})
	for i, s := range sinks {
		if len(s.finals) != 1 {
			t.Errorf("request %d: %v", i, s.finals)
		}
	}
	if held := f.stillHeld(); len(held) != 0 {
		t.Errorf("still held: %v", held)
	}
}

// An attempt that exceeds its timeout ends once; later results of it have no effect.
func TestAttemptTimeout(t *testing.T) {
	f := newFakeEngines()
	synctest.Test(t, func(t *testing.T) {
		var events []gannethook.Event
		d, err := New(Config{Settings: testSettings(), InboxSize: 10, MaxOpen: 10, Engines: f,
			Decider: deciderFunc(func(ev gannethook.Event) []gannethook.Action {
				events = append(events, ev)
				switch ev := ev.(type) {
				case gannethook.Request:
					return []gannethook.Action{gannethook.Send{ID: ev.ID, Server: "s2", Timeout: 5}}
				case gannethook.Ended:
					return []gannethook.Action{gannethook.Fail{ID: ev.ID}, gannethook.Release{ID: ev.ID}}
				}
				return nil
			})})
		stop := startDriver(t, d, err)
		d.Update(gannethook.Membership{Servers: []gannethook.Server{{ID: "s2", Kind: 1, State: gannethook.Ready}}})
		if _, a := submitAndWait(t, d, 1); a.Outcome != Failed {
			t.Errorf("%+v", a)
		}
		time.Sleep(time.Second)
		stop()
		ends := 0
		for _, ev := range events {
			if e, ok := ev.(gannethook.Ended); ok {
				if ends++; e.Outcome != gannethook.TimedOut {
					t.Errorf("ended with %v", e.Outcome)
				}
			}
		}
		if ends != 1 {
			t.Errorf("%d ends", ends)
		}
	})
}

// A cancelled attempt is in flight until it has left its server's connection: a refusal before that would promise that
// nothing may run while the request can still reach the server.
func TestRefusalWaitsForCancelledAttemptToClose(t *testing.T) {
	for _, timeout := range []gannethook.Millis{0, 10} { // cancelled by the decision module, or by its timeout
		f := newFakeEngines()
		f.readTime, f.closeDelay = time.Hour, 30*ms
		synctest.Test(t, func(t *testing.T) {
			var ended gannethook.Ended
			d, err := New(Config{Settings: testSettings(), InboxSize: 10, MaxOpen: 10, Engines: f,
				Decider: deciderFunc(func(ev gannethook.Event) (acts []gannethook.Action) {
					switch ev := ev.(type) {
					case gannethook.Request:
						acts = append(acts, gannethook.Send{ID: ev.ID, Server: "s0", Timeout: timeout})
						if timeout == 0 {
							acts = append(acts, gannethook.Wake{In: 10})
						}
					case gannethook.Wakeup:
						acts = append(acts, gannethook.Cancel{ID: 1}, gannethook.Cancel{ID: 1})
					case gannethook.Ended:
						ended = ev
						acts = append(acts, gannethook.Refuse{ID: ev.ID}, gannethook.Release{ID: ev.ID})
					}
					return acts
				})})
			stop := startDriver(t, d, err)
			d.Update(gannethook.Membership{Servers: []gannethook.Server{{ID: "s0", State: gannethook.Ready}}})
			s, a := submitAndWait(t, d, 1)
			if a.Outcome != Refused || f.closedAt.IsZero() || s.answeredAt.Before(f.closedAt.Add(20*ms)) { // and its close has arrived
				t.Errorf("%v at %v, attempt left its connection at %v", a.Outcome, s.answeredAt, f.closedAt)
			}
			if want := map[bool]gannethook.Outcome{true: gannethook.Cancelled, false: gannethook.TimedOut}[timeout == 0]; ended.Outcome != want {
				t.Errorf("ended with %v, %v expected", ended.Outcome, want)
			}
			stop()
		})
	}
}

// Guards against a refusal that overtakes the close of a connection whose answer the router could not parse.
func TestRefusalWaitsForCloseOfMalformedAnswer(t *testing.T) {
	for _, end := range []attempt.Result{
		{Outcome: gannethook.Failed, Interrupted: true}, // malformed or truncated answer
		{Outcome: gannethook.Broken, Interrupted: true}, // local error: the server has ended nothing
		{Outcome: gannethook.Failed, Interrupted: true, Detail: "status 500"},
	} {
		t.Run(fmt.Sprint(end.Outcome, end.Detail), func(t *testing.T) { testRefusalAfterClose(t, end) })
	}
}

// testRefusalAfterClose checks that the refusal after the given result of a read waits until the server has observed the
// close.
func testRefusalAfterClose(t *testing.T, end attempt.Result) {
	f := newFakeEngines()
	f.readResult = end
	synctest.Test(t, func(t *testing.T) {
		var repeats []Repeat
		d, err := New(Config{Settings: testSettings(), InboxSize: 10, MaxOpen: 10, Engines: f,
			OnRepeat: func(r Repeat) { repeats = append(repeats, r) },
			Decider: deciderFunc(func(ev gannethook.Event) (acts []gannethook.Action) {
				switch ev := ev.(type) {
				case gannethook.Request:
					acts = append(acts, gannethook.Send{ID: ev.ID, Server: "s0"})
				case gannethook.Ended:
					acts = append(acts, gannethook.Refuse{ID: ev.ID}, gannethook.Release{ID: ev.ID})
				}
				return acts
			})})
		stop := startDriver(t, d, err)
		defer stop()
		d.Update(gannethook.Membership{Servers: []gannethook.Server{{ID: "s0", State: gannethook.Ready}}})
		s, a := submitAndWait(t, d, 1)
		if delay := s.answeredAt.Sub(f.closedAt); a.Outcome != Refused || delay < heldstate.CloseGrace {
			t.Errorf("%v, %v after the close", a.Outcome, delay)
		}
		if len(repeats) != 1 || repeats[0].Earlier != "s0" || repeats[0].After != heldstate.CloseGrace {
			t.Errorf("reported: %+v", repeats)
		}
	})
}

type deciderFunc func(gannethook.Event) []gannethook.Action

func (f deciderFunc) Handle(_ gannethook.Millis, ev gannethook.Event) []gannethook.Action {
	return f(ev)
}

func BenchmarkDecisions(b *testing.B) {
	f := newFakeEngines()
	f.readTime, f.firstTokenTime, f.tokenGap, f.holdTime, f.tokens = 0, 0, 0, 0, 1
	events := 0 // on the driver's goroutine alone
	d, _ := New(Config{Settings: testSettings(), InboxSize: 1000, MaxOpen: 1000, Engines: f,
		OnEventTime: func(time.Duration) { events++ }})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	m := gannethook.Membership{Whole: true}
	for i := range 64 {
		m.Servers = append(m.Servers, gannethook.Server{ID: gannethook.ServerID(fmt.Sprintf("s%d", i)), Kind: i / 32, State: gannethook.Ready})
	}
	d.Update(m)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s := newSink(nil)
			if _, err := d.Submit(newJob(0), s); err == nil {
				<-s.done
			}
		}
	})
	took := b.Elapsed().Seconds()
	cancel()
	wg.Wait()
	b.ReportMetric(float64(events)/took, "events/s")
}

// A release of a named request affects everything held for it: it is sent before the next attempt, which would lose its
// state to it.
func TestReleasePrecedesNextAttempt(t *testing.T) {
	f := newFakeEngines()
	f.failFirstRead = true
	f.releaseTime = 50 * ms
	runDriver(t, f, func(d *Driver) {
		s, j := newSink(t), newJob(0)
		j.Name = "a"
		if _, err := d.Submit(j, s); err != nil {
			t.Fatal(err)
		}
		<-s.done
		f.mu.Lock()
		defer f.mu.Unlock()
		if a := s.finals[0]; a.Outcome != Served || f.reads != 2 {
			t.Errorf("%+v after %d reads", a, f.reads)
		}
		if !f.releaseDone || f.readDuringRelease {
			t.Errorf("released %v, read during the release %v", f.releaseDone, f.readDuringRelease)
		}
	})
}

// A release may overtake the close of a connection. What a cancelled or broken read leaves held is released all the same,
// within the pin limit, also where its request was refused because of it.
func TestReleaseAfterLateClose(t *testing.T) {
	for _, broken := range []bool{false, true} {
		f := newFakeEngines()
		f.readTime, f.lateStateDelay, f.holdOK = 300*ms, 60*ms, false
		if broken {
			f.readTime, f.readResult = 10*ms, attempt.Result{Outcome: gannethook.Broken}
		}
		runDriver(t, f, func(d *Driver) {
			s, j := newSink(t), newJob(0)
			j.Name = "a"
			c, err := d.Submit(j, s)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * ms)
			if !broken {
				c.Cancel()
			}
			<-s.done
			time.Sleep(500 * ms)
			if held := f.stillHeld(); len(held) != 0 {
				t.Errorf("broken %v: still held: %v", broken, held)
			}
		})
	}
}

// A release waits for the close of a cancelled read to arrive: it would preserve a place that the read, for its server, still
// waits for.
func TestReleaseWaitsForClose(t *testing.T) {
	f := newFakeEngines()
	f.readTime, f.holdTime = 300*ms, ms
	runDriver(t, f, func(d *Driver) {
		s, j := newSink(t), newJob(0)
		j.Name = "a"
		c, err := d.Submit(j, s)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * ms)
		c.Cancel()
		<-s.done
		time.Sleep(10 * ms)
		f.mu.Lock()
		early := f.releases
		f.mu.Unlock()
		time.Sleep(100 * ms)
		if held := f.stillHeld(); early != 0 || len(held) != 0 {
			t.Errorf("%d releases within 10 ms of the close; still held: %v", early, held)
		}
	})
}

// A place of a named request that is granted after its read failed is kept while the next read is in flight, since a release
// by the name would release that read's state too. It is released with the rest.
func TestLateGrantForNamedRequest(t *testing.T) {
	f := newFakeEngines()
	f.failFirstRead, f.holdTime, f.firstTokenTime = true, 30*ms, time.Hour
	runDriver(t, f, func(d *Driver) {
		s, j := newSink(t), newJob(0)
		j.Name = "a"
		if _, err := d.Submit(j, s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(35 * ms) // the first grant arrived during the second read
		f.mu.Lock()
		n := f.releases
		f.mu.Unlock()
		if n > 2 { // of what the first read held: its state and its place
			t.Errorf("%d releases while the second read is in flight", n)
		}
		<-s.done
	})
	if held := f.stillHeld(); len(held) != 0 {
		t.Errorf("still held: %v", held)
	}
}

// As TestReleaseAfterLateClose, while another read of the answered request is in flight, as at a server that does not answer
// where attempts are not cancelled.
func TestReleaseAfterLateCloseWithReadInFlight(t *testing.T) {
	f := newFakeEngines()
	f.readTime, f.lateStateDelay, f.holdOK = 10*ms, 60*ms, false
	f.readResult = attempt.Result{Outcome: gannethook.Broken}
	synctest.Test(t, func(t *testing.T) {
		d, err := New(Config{Settings: testSettings(), InboxSize: 10, MaxOpen: 10, Engines: f,
			Decider: deciderFunc(func(ev gannethook.Event) (acts []gannethook.Action) {
				switch ev := ev.(type) {
				case gannethook.Request:
					acts = append(acts, gannethook.Send{ID: ev.ID, Server: "s0"})
				case gannethook.Ended:
					if ev.Attempt == 0 {
						f.mu.Lock()
						f.readTime, f.lateStateDelay = 5*time.Second, 0
						f.mu.Unlock()
						acts = append(acts, gannethook.Release{ID: ev.ID}, gannethook.Send{ID: ev.ID, Server: "s0"}, gannethook.Refuse{ID: ev.ID})
					}
				}
				return acts
			})})
		stop := startDriver(t, d, err)
		d.Update(gannethook.Membership{Servers: []gannethook.Server{{ID: "s0", State: gannethook.Ready}}})
		s, j := newSink(t), newJob(0)
		j.Name = "a"
		if _, err := d.Submit(j, s); err != nil {
			t.Fatal(err)
		}
		<-s.done
		time.Sleep(500 * ms)
		if held := f.stillHeld(); len(held) != 0 {
			t.Errorf("still held: %v", held)
		}
		stop()
	})
}
