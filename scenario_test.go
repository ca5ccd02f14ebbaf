package gannethook

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// testSettings returns settings with readers (kind 0), writers (1) and mixed servers (2), and classes of each effect.
func testSettings(change ...func(*Settings)) Settings {
	set := Settings{
		Routers: 2,
		Classes: []Class{
			{Aim: 1000, AimPer1000: 40, Worth: 1, Effect: Safe, Streamed: true},
			{Aim: 1000, Worth: 1, Effect: Unsafe, Streamed: true},
			{Aim: 1000, Worth: 1, Effect: Keyed, Group: GroupCell, Window: 2000,
				Streamed: true},
			{Aim: 1000, Worth: 1, Effect: Safe},
		},
		Kinds:    []Kind{{Role: Reader, Memory: 2e5}, {Role: Writer, Memory: 1e5}, {Role: Mixed, Memory: 1e5}},
		ColdFrom: 0.25, WarmAfter: 10000, OverloadFactor: 2.5,
		PinLimit: 500, MaxAttempts: 5, MaxRetryAfter: 500, Quantum: 4, Cancel: true, Holds: true,
	}
	for _, c := range change {
		c(&set)
	}
	return set
}

// scriptedRouter drives a router and keeps the actions of the last event.
type scriptedRouter struct {
	t       *testing.T
	router  *Router
	now     Millis
	actions []Action
}

func newScript(t *testing.T, set Settings, servers ...Server) *scriptedRouter {
	t.Helper()
	r, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	script := &scriptedRouter{t: t, router: r, now: 1e6}
	script.handle(0, Membership{Whole: true, Servers: servers})
	return script
}

// handle passes one event to the router after a span and returns the actions.
func (s *scriptedRouter) handle(after Millis, ev Event) []Action {
	s.now += after
	s.actions = s.router.Handle(s.now, ev)
	return s.actions
}

// want checks the last actions without timers, each by a prefix of its summary.
func (s *scriptedRouter) want(short ...string) {
	s.t.Helper()
	got := summaries(s.actions)
	if len(got) == 0 && len(short) == 0 {
		return
	}
	same := len(got) == len(short)
	for i := 0; same && i < len(got); i++ {
		same = strings.HasPrefix(got[i], short[i])
	}
	if !same {
		s.t.Fatalf("at %v got %q, want %q", s.now-1e6, got, short)
	}
}

// summaries returns a short text for each action, without timers.
func summaries(actions []Action) []string {
	var out []string
	for _, action := range actions {
		switch action := action.(type) {
		case Wake:
		case Send:
			out = append(out, fmt.Sprintf("send %d %s %.0f", action.ID, action.Server, action.Timeout))
		case Hold:
			out = append(out, fmt.Sprintf("hold %d %s", action.ID, action.Server))
		default:
			out = append(out, fmt.Sprintf("%s %v", strings.ToLower(reflect.TypeOf(action).Name()), reflect.ValueOf(action).Field(0)))
		}
	}
	return out
}

func newServer(id string, kind, zone, cell int) Server {
	return Server{ID: ServerID(id), Kind: kind, Zone: zone, Cell: cell, State: Ready}
}

func newRequest(id RequestID, class int) Request {
	return Request{ID: id, Class: class, Session: Key(id), Budget: 6000, Prompt: 1000, MaxOut: 200}
}

// sentTo returns the server of the Send among the last actions.
func (s *scriptedRouter) sentTo() ServerID {
	s.t.Helper()
	for _, action := range s.actions {
		if send, ok := action.(Send); ok {
			return send.Server
		}
	}
	s.t.Fatalf("no send in %q", summaries(s.actions))
	return ""
}

var oneOfEach = []Server{newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0)}
var twoOfEach = []Server{newServer("r1", 0, 0, 0), newServer("r2", 0, 0, 1), newServer("w1", 1, 0, 0), newServer("w2", 1, 0, 1)}

func TestReadAndWritePath(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	script.handle(1, newRequest(1, 0))
	script.want("send 1 r1", "hold 1 w1")
	script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
	script.want()
	script.handle(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	script.want("send 1 w1")
	script.handle(50, Streaming{ID: 1, Attempt: 1, Server: "w1"})
	script.handle(900, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Served, Done: true})
	script.want()
	if len(script.router.requests) != 0 || len(script.router.servers["w1"].streams) != 0 || script.router.servers["r1"].inFlightPrice != 0 {
		t.Error("an ended request is still booked")
	}
}

// TestHeldPlaceIsUsed: the writer that granted a place gets the state.
func TestHeldPlaceIsUsed(t *testing.T) {
	script := newScript(t, testSettings(), twoOfEach...)
	script.handle(1, newRequest(1, 0))
	held := script.actions[len(script.actions)-1].(Hold).Server
	reader := script.sentTo()
	script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
	script.handle(195, Ended{ID: 1, Attempt: 0, Server: reader, Outcome: ReadDone})
	script.want("send 1 " + string(held))
}

func TestHoldRefusedAsksNext(t *testing.T) {
	script := newScript(t, testSettings(), twoOfEach...)
	script.handle(1, newRequest(1, 0))
	first := script.actions[len(script.actions)-1].(Hold).Server
	script.handle(5, Held{ID: 1, Attempt: 0})
	if len(script.actions) != 1 || script.actions[0].(Hold).Server == first {
		t.Fatalf("got %q, want a hold at the other writer", summaries(script.actions))
	}
}

// TestHeldSlowStartWriterIsUsed: the hold takes the send token of a writer in slow start; the send to it needs no
// other.
func TestHeldSlowStartWriterIsUsed(t *testing.T) {
	starting := newServer("w1", 1, 0, 0)
	starting.Since = 1e6 - 1000
	script := newScript(t, testSettings(), newServer("r1", 0, 0, 0), starting, newServer("w2", 1, 1, 1))
	script.router.servers["w1"].sendTokens = 1
	script.handle(1, newRequest(1, 0))
	script.want("send 1 r1", "hold 1 w1")
	script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
	script.handle(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	script.want("send 1 w1")
}

// TestNoStateReleases: a held place may have the state that its reader no longer has; waiting must not pin it.
func TestNoStateReleases(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	script.handle(1, newRequest(1, 0))
	script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
	script.handle(94, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	script.handle(1, Membership{Servers: []Server{{ID: "r1", Kind: 0, State: Gone}}})
	script.handle(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Full, NoState: true})
	script.want("release 1")
}

// TestStateOutlivesFailedDials: writers that are not reached leave the state at its reader, where its time limit goes
// on. After it the state is released and the prompt read again; if no attempts are left for that, the request is refused
// at once.
func TestStateOutlivesFailedDials(t *testing.T) {
	for _, maxAttempts := range []int{8, 4} {
		set := testSettings(func(set *Settings) { set.MaxAttempts, set.Holds = maxAttempts, false })
		script := newScript(t, set, newServer("r1", 0, 0, 0), newServer("r2", 0, 0, 0),
			newServer("w1", 1, 0, 0), newServer("w2", 1, 0, 0), newServer("w3", 1, 0, 0), newServer("w4", 1, 0, 0))
		script.handle(1, newRequest(1, 1))
		script.handle(100, Ended{ID: 1, Server: script.sentTo(), Outcome: ReadDone})
		first := script.sentTo()
		script.handle(251, Ended{ID: 1, Attempt: 1, Server: first, Outcome: ConnectFailed})
		second := script.sentTo()
		script.handle(251, Ended{ID: 1, Attempt: 2, Server: second, Outcome: ConnectFailed})
		if maxAttempts == 4 {
			script.want("release 1", "refuse 1", "release 1")
			continue
		}
		script.want("release 1", "send 1 r")
		// The next state has its own time limit, and a dial that fails fast does not end it.
		script.handle(100, Ended{ID: 1, Attempt: 3, Server: script.sentTo(), Outcome: ReadDone})
		script.handle(1, Ended{ID: 1, Attempt: 4, Server: script.sentTo(), Outcome: ConnectFailed})
		script.want("send 1 w")
	}
}

// TestErrorAfterStateFetch: a writer that returns an error may have fetched the state. With attempts left for one read
// and one write only, the prompt is read again; a send to the next writer could be the last attempt, and find no state.
func TestErrorAfterStateFetch(t *testing.T) {
	for _, tc := range []struct {
		maxAttempts int
		outcome     Outcome
		rereads     bool
	}{{4, Failed, true}, {5, Failed, false}, {0, Failed, false}, {4, Broken, true},
		{4, ConnectFailed, false}, {4, Full, false}, {4, TimedOut, true}} {
		set := testSettings()
		set.MaxAttempts = tc.maxAttempts
		script := newScript(t, set, twoOfEach...)
		script.handle(1, newRequest(1, 0))
		reader := script.sentTo()
		script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
		script.handle(94, Ended{ID: 1, Attempt: 0, Server: reader, Outcome: ReadDone})
		script.handle(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: tc.outcome})
		if got := strings.Join(summaries(script.actions), ", "); strings.HasPrefix(got, "release 1, send 1 r") != tc.rereads {
			t.Errorf("%d attempts, outcome %v: %s", tc.maxAttempts, tc.outcome, got)
		}
	}
}

// TestMalformedStreamsPenalizeNoWriter: answers that are malformed, from all writers alike, leave their writers in use;
// an error before an answer began is penalized, and so is a broken connection.
func TestMalformedStreamsPenalizeNoWriter(t *testing.T) {
	for _, tc := range []struct {
		outcome   Outcome
		begun     bool
		penalized bool
	}{{Failed, true, false}, {Broken, true, true}, {Failed, false, true}} {
		script := newScript(t, testSettings(), oneOfEach...)
		script.handle(1, newRequest(1, 0))
		script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
		script.handle(94, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		if tc.begun {
			script.handle(10, Streaming{ID: 1, Attempt: 1, Server: "w1"})
		}
		script.handle(10, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: tc.outcome, Done: tc.begun})
		if got := script.router.penaltyOf(script.router.servers["w1"]); (got > 0.5) != tc.penalized {
			t.Errorf("outcome %v, begun %v: penalty %v", tc.outcome, tc.begun, got)
		}
	}
}

// TestFastFailuresKeepAdmission: where every server fails a part of its requests at once, requests are accepted as
// before; where servers are slow they are refused.
func TestFastFailuresKeepAdmission(t *testing.T) {
	for _, tc := range []struct {
		fast     bool
		accepted int
	}{{true, 50}, {false, 0}} {
		script := newScript(t, testSettings(), twoOfEach...)
		script.handle(1, newRequest(1, 0))
		for _, srv := range script.router.listed {
			script.router.recordFailure(srv, tc.fast)
			script.router.recordFailure(srv, tc.fast)
		}
		accepted := 0
		for id := RequestID(100); id < 150; id++ {
			script.handle(0, newRequest(id, 0))
			if !strings.Contains(strings.Join(summaries(script.actions), ", "), "send") {
				continue
			}
			accepted++
			reader := script.sentTo()
			script.handle(0, ClientGone{ID: id})
			script.handle(0, Ended{ID: id, Attempt: 0, Server: reader, Outcome: Cancelled, Done: true})
		}
		if accepted != tc.accepted {
			t.Errorf("fast failures %v: %d accepted", tc.fast, accepted)
		}
	}
}

// TestLongPromptIsTaken: the quadratic price of a long prompt does not have it refused by an idle fleet.
func TestLongPromptIsTaken(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	long := newRequest(1, 0)
	long.Prompt = 30000
	script.handle(1, long)
	script.want("send 1 r1", "hold 1 w1")
}

func TestUnsafeMayHaveRunFails(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Broken, Cancelled, UnknownEnd} {
		script := newScript(t, testSettings(), twoOfEach...)
		script.handle(1, newRequest(1, 1))
		script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
		script.handle(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		script.handle(95, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: outcome})
		script.want("fail 1", "release 1")
	}
}

func TestUnsafeReadsAgain(t *testing.T) {
	script := newScript(t, testSettings(), twoOfEach...)
	script.handle(1, newRequest(1, 1))
	first := script.sentTo()
	script.handle(500, Ended{ID: 1, Attempt: 0, Server: first, Outcome: TimedOut})
	if got := summaries(script.actions); len(got) != 3 || got[0] != "release 1" || strings.Contains(got[1], string(first)) {
		t.Fatalf("got %q, want another reader", got)
	}
}

func TestLastAnswerBeforeDeadline(t *testing.T) {
	for class, last := range []string{"refuse 1", "fail 1", "fail 1", "refuse 1"} {
		script := newScript(t, testSettings(), oneOfEach...)
		script.handle(1, newRequest(1, class))
		timer := script.actions[0].(Wake)
		script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
		script.handle(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		script.handle(timer.In-100, Wakeup{Ref: timer.Ref})
		script.want(last, "cancel 1")
		script.handle(4, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Cancelled, Done: true})
		script.want("release 1")
		if timer.In >= 6000 {
			t.Error("the timer is due after the deadline")
		}
	}
}

func TestDrainingServerGetsNoWork(t *testing.T) {
	script := newScript(t, testSettings(), twoOfEach...)
	drained := newServer("r1", 0, 0, 0)
	drained.State = Draining
	writer := newServer("w1", 1, 0, 0)
	writer.State = Gone
	script.handle(1, Membership{Servers: []Server{drained, writer}})
	for id := RequestID(1); id < 5; id++ {
		script.handle(1, newRequest(id, 0))
		script.want(fmt.Sprintf("send %d r2", id), fmt.Sprintf("hold %d w2", id))
	}
}

// TestUnexpectedEvents: late, repeated and unknown events cause no action.
func TestUnexpectedEvents(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	script.handle(1, newRequest(1, 0))
	for _, ev := range []Event{newRequest(1, 0), newRequest(2, 99), newRequest(2, -1), Streaming{ID: 9}, Held{ID: 9}, Ended{ID: 9},
		Ended{ID: 1, Attempt: 7, Server: "x"}, ClientGone{ID: 9}, Wakeup{Ref: 4*9 + 2}, Wakeup{Ref: 3},
		Membership{Failed: true}, Membership{Servers: []Server{{ID: "x", Kind: 9, State: Ready}}}} {
		script.handle(1, ev)
		script.want()
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"negative time":  func(s *Settings) { s.PinLimit = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].Aim = -1 },
		"unknown role":   func(s *Settings) { s.Kinds[0].Role = 9 },
		"unknown effect": func(s *Settings) { s.Classes[0].Effect = 0 },
		"unknown group":  func(s *Settings) { s.Classes[2].Group = 0 },
		"no routers":     func(s *Settings) { s.Routers = 0 },
	} {
		if _, err := New(testSettings(change), 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestSlowStartServerBudget: the sends to a server in slow start follow its ramp and the overload factor; those to a
// warm server do not.
func TestSlowStartServerBudget(t *testing.T) {
	for factor, limit := range map[float64]int{2.5: 12, 0.2: 2} {
		starting := newServer("r2", 0, 0, 0)
		starting.Since = 1e6
		script := newScript(t, testSettings(func(set *Settings) { set.OverloadFactor = factor }),
			newServer("r1", 0, 0, 0), starting, newServer("w1", 1, 0, 0))
		sent := 0
		for id := RequestID(1); id <= 80; id++ {
			script.handle(50, newRequest(id, 0))
			reader := script.sentTo()
			if reader == "r2" {
				sent++
			}
			script.handle(10, Ended{ID: id, Attempt: 0, Server: reader, Outcome: ReadDone})
			script.handle(5, Streaming{ID: id, Attempt: 1, Server: "w1"})
			script.handle(5, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Served, Done: true})
		}
		if sent > limit {
			t.Errorf("factor %v: a reader in slow start got %d of 80 prompts in 6 s, limit %d", factor, sent, limit)
		}
	}
}

// TestWorthSetsFloor: as headroom falls, a class of far higher worth is refused later.
func TestWorthSetsFloor(t *testing.T) {
	script := newScript(t, testSettings(func(set *Settings) { set.Classes[3].Worth = 9 }), oneOfEach...)
	accepted := [2]int{}
	for id := RequestID(1); id <= 400; id++ {
		class := 3 * int(id%2)
		long := newRequest(id, class)
		long.Prompt = 2000
		script.handle(1, long)
		if len(summaries(script.actions)) == 2 {
			accepted[id%2]++
		}
		script.handle(1, ClientGone{ID: id - 8})
		script.handle(0, Ended{ID: id - 8, Attempt: 0, Server: "r1", Outcome: Cancelled})
	}
	if accepted[1] <= accepted[0] {
		t.Errorf("%d requests of the class of high worth accepted, %d of the other", accepted[1], accepted[0])
	}
}

// TestProgressKeepsRead: a read is cancelled only at a reader that ends nothing, or that ended reads that were sent
// later.
func TestProgressKeepsRead(t *testing.T) {
	for _, tc := range []struct{ ended, watched RequestID }{{91, 92}, {0, 92}, {92, 91}} {
		script := newScript(t, testSettings(func(set *Settings) { set.MaxAttempts = 0 }), oneOfEach...)
		script.playRequests(30, 50)
		var watch Wake
		for id := RequestID(91); id <= 92; id++ {
			req := newRequest(id, 0)
			req.Prompt = 100
			script.handle(1, req)
			for _, action := range script.actions {
				if wake, ok := action.(Wake); ok && wake.Ref == uint64(tc.watched)*refsPerRequest+refReadCheck {
					watch = wake
				}
			}
		}
		if tc.ended != 0 {
			script.handle(100, Ended{ID: tc.ended, Attempt: 0, Server: "r1", Outcome: ReadDone})
		} else {
			script.handle(100, Wakeup{Ref: 3})
		}
		script.handle(watch.In-100, Wakeup{Ref: watch.Ref})
		if tc.ended == 91 {
			script.want()
		} else {
			script.want(fmt.Sprintf("cancel %d", tc.watched))
		}
	}
}

// TestFullReaderHasNoHeadroom: when readers reject prompts, admission refuses requests although nothing is booked at
// them.
func TestFullReaderHasNoHeadroom(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	script.handle(1, newRequest(1, 0))
	script.handle(1, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: Full})
	script.handle(1, ClientGone{ID: 1})
	script.handle(1, newRequest(2, 0))
	script.want("refuse 2")
	script.handle(20000, newRequest(3, 0))
	script.want("send 3 r1", "hold 3 w1")
}

// TestUnsafeReadInFlightFails: an unsafe request whose read is still in flight at the deadline fails, because a refusal
// needs an outcome of every attempt.
func TestUnsafeReadInFlightFails(t *testing.T) {
	script := newScript(t, testSettings(), oneOfEach...)
	script.handle(1, newRequest(1, 1))
	timer := script.actions[0].(Wake)
	script.handle(timer.In, Wakeup{Ref: timer.Ref})
	script.want("fail 1", "cancel 1")
}

// TestKeyedStaysInGroup: a keyed request that may have run is sent on only inside its cell and window.
func TestKeyedStaysInGroup(t *testing.T) {
	for _, tc := range []struct {
		after Millis
		want  []string
	}{{1990, []string{"send 1 w3"}}, {2010, []string{}}} {
		script := newScript(t, testSettings(), newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0), newServer("w2", 1, 0, 1),
			newServer("w3", 1, 0, 0))
		script.handle(1, newRequest(1, 2))
		held := script.actions[len(script.actions)-1].(Hold).Server
		script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
		script.handle(100, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		script.handle(tc.after, Ended{ID: 1, Attempt: 1, Server: held, Outcome: TimedOut})
		if held == "w3" && len(tc.want) > 0 {
			tc.want[0] = "send 1 w1"
		}
		script.want(tc.want...)
	}
}

// TestKeyedRefusedInItsWindow: a keyed request that may have run is refused only while its group still drops a repeat
// sent after the advised wait; later it fails, which promises nothing. A read in flight has run nothing.
func TestKeyedRefusedInItsWindow(t *testing.T) {
	for _, tc := range []struct {
		window Millis
		want   string
	}{{2000, "refuse 1"}, {900, "fail 1"}} {
		script := newScript(t, testSettings(func(set *Settings) {
			set.Classes[2].Group, set.Classes[2].Window, set.Holds = GroupAll, tc.window, false
		}), newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0))
		script.handle(1, newRequest(1, 2))
		deadline := script.actions[0].(Wake)
		script.handle(10, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		script.want("send 1 w1")
		script.handle(700, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Broken}) // the advised wait is 250 ms
		script.handle(deadline.In, Wakeup{Ref: deadline.Ref})
		if !slices.Contains(summaries(script.actions), "fail 1") { // by then all windows have expired
			t.Errorf("window %v, at the deadline: %v", tc.window, summaries(script.actions))
		}
		script.handle(1, newRequest(2, 2))
		script.handle(10, Ended{ID: 2, Attempt: 0, Server: "r1", Outcome: ReadDone})
		script.handle(700, Ended{ID: 2, Attempt: 1, Server: "w1", Outcome: Broken})
		req := script.router.requests[2]
		script.actions = nil
		script.router.finish(req)
		if got := summaries(script.router.actions)[0]; got != strings.Replace(tc.want, "1", "2", 1) {
			t.Errorf("window %v: %v", tc.window, got)
		}
		script.router.actions = nil
		script.handle(5000, newRequest(3, 2))
		script.handle(1500, ClientGone{ID: 99})
		if script.router.finish(script.router.requests[3]); summaries(script.router.actions)[0] != "refuse 3" {
			t.Errorf("window %v, with a read in flight: %v", tc.window, summaries(script.router.actions))
		}
	}
}

// TestRepeatIsWrittenInItsWindow: the Send of a keyed request's repeat carries what remains of the window since the
// send that may have run, as its limit for being written; other sends carry none.
func TestRepeatIsWrittenInItsWindow(t *testing.T) {
	script := newScript(t, testSettings(func(set *Settings) { set.Classes[2].Group, set.Holds = GroupAll, false }),
		newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0), newServer("w2", 1, 0, 0))
	within := func() Millis {
		for _, action := range script.actions {
			if send, ok := action.(Send); ok {
				return send.Within
			}
		}
		t.Fatalf("no send: %v", script.actions)
		return 0
	}
	script.handle(1, newRequest(1, 2))
	first := within()
	script.handle(10, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	second, writer := within(), script.sentTo()
	script.handle(700, Ended{ID: 1, Attempt: 1, Server: writer, Outcome: Broken})
	if third := within(); first != 0 || second != 0 || third != 1300 {
		t.Errorf("%v, %v, then %v of a window of 2000", first, second, third)
	}
}

// TestMixedServerTakesAll: a mixed server gets the whole request, without a hold.
func TestMixedServerTakesAll(t *testing.T) {
	script := newScript(t, testSettings(), newServer("m1", 2, 0, 0))
	script.handle(1, newRequest(1, 0))
	script.want("send 1 m1")
}

// TestKeyedLeavesNoCell: without another writer in its cell a keyed request that may have run is sent nowhere.
func TestKeyedLeavesNoCell(t *testing.T) {
	script := newScript(t, testSettings(), newServer("r1", 0, 0, 0), newServer("w1", 1, 0, 0), newServer("w2", 1, 0, 1))
	script.handle(1, newRequest(1, 2))
	script.want("send 1 r1", "hold 1 w1")
	script.handle(5, Held{ID: 1, Attempt: 0, OK: true})
	script.handle(100, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	script.handle(100, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: TimedOut})
	script.want()
}

// TestManyRoutersOneSlowStartServer: the slow-start limit holds for the sum over all routers, with uneven traffic and
// with routers that have just restarted. 100 routers share 4 warm readers without knowing of each other, and a fifth
// reader starts.
func TestManyRoutersOneSlowStartServer(t *testing.T) {
	const routers, span = 100, 2000
	warm := []Server{newServer("r1", 0, 0, 0), newServer("r2", 0, 0, 0), newServer("r3", 0, 0, 0),
		newServer("r4", 0, 0, 0), newServer("w1", 1, 0, 0)}
	var scripts []*scriptedRouter
	for i := range routers {
		script := &scriptedRouter{t: t, now: 1e6}
		script.router, _ = New(testSettings(func(set *Settings) { set.Routers = routers }), uint64(i)*7919)
		script.handle(0, Membership{Whole: true, Servers: warm})
		scripts = append(scripts, script)
	}
	id, reads, startingReads := RequestID(0), 0, 0
	step := func(ms Millis) {
		for i, script := range scripts {
			script.now += ms
			if i%2 == 1 && id%3 != 0 { // uneven traffic: every other router gets a third
				id++
				continue
			}
			id++
			script.handle(0, newRequest(id, 0))
			for _, action := range script.actions {
				if send, ok := action.(Send); ok {
					if reads++; send.Server == "r5" {
						startingReads++
					}
					script.handle(0, Ended{ID: id, Attempt: 0, Server: send.Server, Outcome: ReadDone})
					script.handle(0, ClientGone{ID: id})
					script.handle(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
				}
			}
		}
	}
	for range 20 {
		step(1500)
	}
	perReader := float64(reads) / 4 / (20 * 1500) * span // reads that a warm reader gets in the span
	fresh := newServer("r5", 0, 0, 0)
	fresh.Since = scripts[0].now
	for i, script := range scripts {
		if i < 20 { // these routers restart now
			script.router, _ = New(*script.router.settings, uint64(i))
			script.handle(0, Membership{Whole: true, Servers: append(slices.Clone(warm), fresh)})
		}
		script.handle(0, Membership{Servers: []Server{fresh}})
	}
	startingReads = 0
	for range 4 {
		step(span / 4)
	}
	set := scripts[0].router.settings
	if limit := set.OverloadFactor * (set.ColdFrom + 0.15) * perReader; float64(startingReads) > limit {
		t.Errorf("%d reads at the reader in slow start within its window, limit %.1f", startingReads, limit)
	}
}

// Slow start holds for the sum of all routers, however many there are and however uneven their traffic: what they send
// a server within the window in which it would fail stays within N + 2 sqrt(N) + 2 reads, where N is what the settings
// allow. And the server is used: it gets at least a third of its share by ramp.
func TestSlowStartBySumOfRouters(t *testing.T) {
	const span = 2000 // ms; the window of the overload factor
	for _, routers := range []int{20, 30, 300} {
		for seed := range uint64(3) {
			rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
			var scripts []*scriptedRouter
			var part []float64 // shares of the traffic; one router in ten gets four times the mean
			total := 0.0
			warm := []Server{newServer("w1", 1, 0, 0)}
			for i := range 8 {
				warm = append(warm, newServer(fmt.Sprint("r", i), 0, 0, 0))
			}
			for i := range routers {
				script := &scriptedRouter{t: t, now: 1e6}
				script.router, _ = New(testSettings(func(set *Settings) { set.Routers = routers }), rnd.Uint64())
				script.handle(0, Membership{Whole: true, Servers: warm})
				scripts = append(scripts, script)
				share := 0.2 + rnd.Float64()
				if i%10 == 0 {
					share *= 4
				}
				part, total = append(part, share), total+share
			}
			id, reads, startingReads := RequestID(0), 0, 0
			play := func(length Millis) { // 64 reads per second, eight for each warm reader
				for end := scripts[0].now + length; scripts[0].now < end; {
					gap := Millis(rnd.ExpFloat64() * 1000 / 64)
					for _, script := range scripts {
						script.now += gap
					}
					at, i := rnd.Float64()*total, 0
					for ; i < routers-1 && at > part[i]; i++ {
						at -= part[i]
					}
					script := scripts[i]
					id++
					req := newRequest(id, 0)
					req.Prefix, req.PrefixLen = Key(1+id%7), 500
					script.handle(0, req)
					for _, action := range script.actions {
						if send, ok := action.(Send); ok {
							if reads++; send.Server == "cold" {
								startingReads++
							}
							script.handle(0, Ended{ID: id, Server: send.Server, Outcome: ReadDone})
							script.handle(0, ClientGone{ID: id})
							script.handle(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
						}
					}
				}
			}
			play(20000)
			perReader := float64(reads) / 8 / 20000 * span // reads that a warm reader gets in the span
			fresh := newServer("cold", 0, 0, 0)
			fresh.Since = scripts[0].now
			for _, script := range scripts {
				script.handle(0, Membership{Servers: []Server{fresh}})
			}
			set, totalReads, share := scripts[0].router.settings, 0, 0.0
			for window := range 3 {
				startingReads = 0
				play(span)
				ramp := set.ColdFrom + (1-set.ColdFrom)*(float64(window)+0.5)*span/float64(set.WarmAfter)
				allowed := set.OverloadFactor * ramp * perReader * 2 // the capacity is twice the usual load
				if limit := allowed + 2*math.Sqrt(allowed) + 2; float64(startingReads) > limit {
					t.Errorf("%d routers, seed %d, window %d: %d reads at the reader in slow start, limit %.1f",
						routers, seed, window, startingReads, limit)
				}
				totalReads, share = totalReads+startingReads, share+ramp*perReader
			}
			if least := share / 3; float64(totalReads) < least {
				t.Errorf("%d routers, seed %d: %d reads at the reader in slow start, whose share is %.1f", routers, seed, totalReads, share)
			}
		}
	}
}

// Slow start holds for the sum of all routers also if only servers in slow start are left, whose share of the requests
// would be far more than a warm server's: the others failed and are penalized, reject this flow, or have left the list.
func TestOnlySlowStartServersLeft(t *testing.T) {
	const routers, span = 84, 2000
	for how, fail := range map[string]func(*scriptedRouter, ServerID){
		"charged": func(script *scriptedRouter, id ServerID) {
			script.router.recordFailure(script.router.servers[id], true)
			script.router.recordFailure(script.router.servers[id], true)
		},
		"full": func(script *scriptedRouter, id ServerID) {
			script.router.servers[id].rejectionPenalties[0] = decayingValue{1, script.now}
		},
		"gone": func(script *scriptedRouter, id ServerID) {
			gone := newServer(string(id), 0, 0, 0)
			gone.State = Gone
			script.handle(0, Membership{Servers: []Server{gone}})
		},
	} {
		rnd := rand.New(rand.NewPCG(1, 2))
		var scripts []*scriptedRouter
		warm := []Server{newServer("w1", 1, 0, 0)}
		for i := range 12 {
			warm = append(warm, newServer(fmt.Sprint("r", i), 0, 0, 0))
		}
		for range routers {
			script := &scriptedRouter{t: t, now: 1e6}
			script.router, _ = New(testSettings(func(set *Settings) { set.Routers = routers }), rnd.Uint64())
			script.handle(0, Membership{Whole: true, Servers: warm})
			scripts = append(scripts, script)
		}
		id, reads := RequestID(0), map[ServerID]int{}
		play := func(length Millis) { // 96 requests per second, eight for each warm reader
			clear(reads)
			for end := scripts[0].now + length; scripts[0].now < end; {
				gap := Millis(rnd.ExpFloat64() * 1000 / 96)
				for _, script := range scripts {
					script.now += gap
				}
				script := scripts[rnd.IntN(routers)]
				id++
				script.handle(0, newRequest(id, 0))
				for _, action := range script.actions {
					if send, ok := action.(Send); ok {
						reads[send.Server]++
						script.handle(0, Ended{ID: id, Server: send.Server, Outcome: ReadDone})
						script.handle(0, ClientGone{ID: id})
						script.handle(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
					}
				}
			}
		}
		play(20000)
		for _, script := range scripts {
			for i := range 12 {
				fail(script, ServerID(fmt.Sprint("r", i)))
			}
			for i := range 2 {
				fresh := newServer(fmt.Sprint("cold", i), 0, 0, 0)
				fresh.Since = scripts[0].now
				script.handle(0, Membership{Servers: []Server{fresh}})
			}
		}
		play(span)
		set := scripts[0].router.settings
		allowed := set.OverloadFactor * (set.ColdFrom + 0.075) * 8 * span / 1000 * 2 // the capacity is twice the usual load
		if limit := int(allowed + 2*math.Sqrt(allowed) + 2); reads["cold0"] > limit || reads["cold1"] > limit || reads["cold0"] == 0 {
			t.Errorf("%s: %d and %d reads at the readers in slow start, limit %d", how, reads["cold0"], reads["cold1"], limit)
		}
	}
}
