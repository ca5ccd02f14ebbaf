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

// fleet are settings with readers (kind 0), writers (1) and mixed servers (2), and classes of each effect.
func fleet(change ...func(*Settings)) Settings {
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

// script drives a router and keeps what it did.
type script struct {
	t    *testing.T
	r    *Router
	now  Millis
	acts []Action
}

func newScript(t *testing.T, set Settings, servers ...Server) *script {
	t.Helper()
	r, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, r: r, now: 1e6}
	s.on(0, Membership{Whole: true, Servers: servers})
	return s
}

// on hands in one event after a span and returns the actions.
func (s *script) on(after Millis, ev Event) []Action {
	s.now += after
	s.acts = s.r.Handle(s.now, ev)
	return s.acts
}

// want checks the last actions, timers left out, each by a prefix of its short form.
func (s *script) want(short ...string) {
	s.t.Helper()
	got := shorts(s.acts)
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

// shorts puts actions in a short form, timers left out.
func shorts(acts []Action) []string {
	var out []string
	for _, a := range acts {
		switch a := a.(type) {
		case Wake:
		case Send:
			out = append(out, fmt.Sprintf("send %d %s %.0f", a.ID, a.Server, a.Timeout))
		case Hold:
			out = append(out, fmt.Sprintf("hold %d %s", a.ID, a.Server))
		default:
			out = append(out, fmt.Sprintf("%s %v", strings.ToLower(reflect.TypeOf(a).Name()), reflect.ValueOf(a).Field(0)))
		}
	}
	return out
}

func at(id string, kind, zone, cell int) Server {
	return Server{ID: ServerID(id), Kind: kind, Zone: zone, Cell: cell, State: Ready}
}

func ask(id RequestID, class int) Request {
	return Request{ID: id, Class: class, Session: Key(id), Budget: 6000, Prompt: 1000, MaxOut: 200}
}

// sent is the server of the last actions' send.
func (s *script) sent() ServerID {
	s.t.Helper()
	for _, a := range s.acts {
		if send, ok := a.(Send); ok {
			return send.Server
		}
	}
	s.t.Fatalf("no send in %q", shorts(s.acts))
	return ""
}

var oneEach = []Server{at("r1", 0, 0, 0), at("w1", 1, 0, 0)}
var twoEach = []Server{at("r1", 0, 0, 0), at("r2", 0, 0, 1), at("w1", 1, 0, 0), at("w2", 1, 0, 1)}

func TestOrdinaryPath(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	s.on(1, ask(1, 0))
	s.want("send 1 r1", "hold 1 w1")
	s.on(5, Held{ID: 1, Attempt: 0, OK: true})
	s.want()
	s.on(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	s.want("send 1 w1")
	s.on(50, Streaming{ID: 1, Attempt: 1, Server: "w1"})
	s.on(900, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Served, Done: true})
	s.want()
	if len(s.r.requests) != 0 || len(s.r.servers["w1"].streams) != 0 || s.r.servers["r1"].inFlightPrice != 0 {
		t.Error("an ended request is still in the books")
	}
}

// TestHeldPlaceIsUsed: a hold's answer goes by the attempt; the held writer gets the state.
func TestHeldPlaceIsUsed(t *testing.T) {
	s := newScript(t, fleet(), twoEach...)
	s.on(1, ask(1, 0))
	held := s.acts[len(s.acts)-1].(Hold).Server
	reader := s.sent()
	s.on(5, Held{ID: 1, Attempt: 0, OK: true})
	s.on(195, Ended{ID: 1, Attempt: 0, Server: reader, Outcome: ReadDone})
	s.want("send 1 " + string(held))
}

func TestHoldRefusedAsksNext(t *testing.T) {
	s := newScript(t, fleet(), twoEach...)
	s.on(1, ask(1, 0))
	first := s.acts[len(s.acts)-1].(Hold).Server
	s.on(5, Held{ID: 1, Attempt: 0})
	if len(s.acts) != 1 || s.acts[0].(Hold).Server == first {
		t.Fatalf("got %q, want a hold at the other writer", shorts(s.acts))
	}
}

// TestHeldColdWriterIsUsed: the hold itself spends a cold writer's credit; the send to it needs no more.
func TestHeldColdWriterIsUsed(t *testing.T) {
	cold := at("w1", 1, 0, 0)
	cold.Since = 1e6 - 1000
	s := newScript(t, fleet(), at("r1", 0, 0, 0), cold, at("w2", 1, 1, 1))
	s.r.servers["w1"].sendTokens = 1
	s.on(1, ask(1, 0))
	s.want("send 1 r1", "hold 1 w1")
	s.on(5, Held{ID: 1, Attempt: 0, OK: true})
	s.on(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	s.want("send 1 w1")
}

// TestNoStateReleases: a place may hold the state that its reader has not; waiting must not pin it.
func TestNoStateReleases(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	s.on(1, ask(1, 0))
	s.on(5, Held{ID: 1, Attempt: 0, OK: true})
	s.on(94, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	s.on(1, Membership{Servers: []Server{{ID: "r1", Kind: 0, State: Gone}}})
	s.on(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Full, NoState: true})
	s.want("release 1")
}

// TestErrorAfterTheFetch: a writer that gives an error may have fetched the state. With attempts for one read
// and one write left, the prompt is read anew; a turn at the next writer could be the last, and find no state.
// Writers that are not reached leave the state at its reader, and the time for which it may wait goes on: past it the
// state is let go and the prompt read anew; where no attempts are left for that, the request is refused at once.
func TestStateOutlivesDials(t *testing.T) {
	for _, most := range []int{8, 4} {
		set := fleet(func(set *Settings) { set.MaxAttempts, set.Holds = most, false })
		s := newScript(t, set, at("r1", 0, 0, 0), at("r2", 0, 0, 0), at("w1", 1, 0, 0), at("w2", 1, 0, 0), at("w3", 1, 0, 0), at("w4", 1, 0, 0))
		s.on(1, ask(1, 1))
		s.on(100, Ended{ID: 1, Server: s.sent(), Outcome: ReadDone})
		first := s.sent()
		s.on(251, Ended{ID: 1, Attempt: 1, Server: first, Outcome: ConnectFailed})
		second := s.sent()
		s.on(251, Ended{ID: 1, Attempt: 2, Server: second, Outcome: ConnectFailed})
		if most == 4 {
			s.want("release 1", "refuse 1", "release 1")
			continue
		}
		s.want("release 1", "send 1 r")
		// The next state has a time of its own, and a failed dial that is quick does not end it.
		s.on(100, Ended{ID: 1, Attempt: 3, Server: s.sent(), Outcome: ReadDone})
		s.on(1, Ended{ID: 1, Attempt: 4, Server: s.sent(), Outcome: ConnectFailed})
		s.want("send 1 w")
	}
}

func TestErrorAfterTheFetch(t *testing.T) {
	for _, c := range []struct {
		most int
		how  Outcome
		anew bool
	}{{4, Failed, true}, {5, Failed, false}, {0, Failed, false}, {4, Broken, true}, {4, ConnectFailed, false}, {4, Full, false}, {4, TimedOut, true}} {
		set := fleet()
		set.MaxAttempts = c.most
		s := newScript(t, set, twoEach...)
		s.on(1, ask(1, 0))
		reader := s.sent()
		s.on(5, Held{ID: 1, Attempt: 0, OK: true})
		s.on(94, Ended{ID: 1, Attempt: 0, Server: reader, Outcome: ReadDone})
		s.on(1, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: c.how})
		if got := strings.Join(shorts(s.acts), ", "); strings.HasPrefix(got, "release 1, send 1 r") != c.anew {
			t.Errorf("%d attempts, outcome %v: %s", c.most, c.how, got)
		}
	}
}

// TestSpoiltStreamsChargeNobody: answers that are spoilt on their way, from all writers alike, leave their writers
// in use; an error before an answer began charges, and so does a connection that broke.
func TestSpoiltStreamsChargeNobody(t *testing.T) {
	for _, c := range []struct {
		how     Outcome
		begun   bool
		charged bool
	}{{Failed, true, false}, {Broken, true, true}, {Failed, false, true}} {
		s := newScript(t, fleet(), oneEach...)
		s.on(1, ask(1, 0))
		s.on(5, Held{ID: 1, Attempt: 0, OK: true})
		s.on(94, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		if c.begun {
			s.on(10, Streaming{ID: 1, Attempt: 1, Server: "w1"})
		}
		s.on(10, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: c.how, Done: c.begun})
		if got := s.r.penaltyOf(s.r.servers["w1"]); (got > 0.5) != c.charged {
			t.Errorf("outcome %v, begun %v: charge %v", c.how, c.begun, got)
		}
	}
}

// TestQuickFailuresLeaveRoom: where every server fails a part of what it gets, at once, requests are taken on as
// before; what is slow refuses them.
func TestQuickFailuresLeaveRoom(t *testing.T) {
	for _, c := range []struct {
		quick bool
		taken int
	}{{true, 50}, {false, 0}} {
		s := newScript(t, fleet(), twoEach...)
		s.on(1, ask(1, 0))
		for _, v := range s.r.listed {
			s.r.recordFailure(v, c.quick)
			s.r.recordFailure(v, c.quick)
		}
		taken := 0
		for id := RequestID(100); id < 150; id++ {
			s.on(0, ask(id, 0))
			if !strings.Contains(strings.Join(shorts(s.acts), ", "), "send") {
				continue
			}
			taken++
			reader := s.sent()
			s.on(0, ClientGone{ID: id})
			s.on(0, Ended{ID: id, Attempt: 0, Server: reader, Outcome: Cancelled, Done: true})
		}
		if taken != c.taken {
			t.Errorf("quick %v: %d taken", c.quick, taken)
		}
	}
}

// TestLongPromptIsTaken: a long prompt's own quadratic price does not refuse it at an idle fleet.
func TestLongPromptIsTaken(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	long := ask(1, 0)
	long.Prompt = 30000
	s.on(1, long)
	s.want("send 1 r1", "hold 1 w1")
}

func TestUnsafeMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Broken, Cancelled, UnknownEnd} {
		s := newScript(t, fleet(), twoEach...)
		s.on(1, ask(1, 1))
		s.on(5, Held{ID: 1, Attempt: 0, OK: true})
		s.on(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		s.on(95, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: o})
		s.want("fail 1", "release 1")
	}
}

func TestUnsafeReadsAgain(t *testing.T) {
	s := newScript(t, fleet(), twoEach...)
	s.on(1, ask(1, 1))
	first := s.sent()
	s.on(500, Ended{ID: 1, Attempt: 0, Server: first, Outcome: TimedOut})
	if got := shorts(s.acts); len(got) != 3 || got[0] != "release 1" || strings.Contains(got[1], string(first)) {
		t.Fatalf("got %q, want another reader", got)
	}
}

func TestLastAnswerBeforeDeadline(t *testing.T) {
	for class, last := range []string{"refuse 1", "fail 1", "fail 1", "refuse 1"} {
		s := newScript(t, fleet(), oneEach...)
		s.on(1, ask(1, class))
		timer := s.acts[0].(Wake)
		s.on(5, Held{ID: 1, Attempt: 0, OK: true})
		s.on(95, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		s.on(timer.In-100, Wakeup{Ref: timer.Ref})
		s.want(last, "cancel 1")
		s.on(4, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Cancelled, Done: true})
		s.want("release 1")
		if timer.In >= 6000 {
			t.Error("the timer is due after the deadline")
		}
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	s := newScript(t, fleet(), twoEach...)
	drained := at("r1", 0, 0, 0)
	drained.State = Draining
	w := at("w1", 1, 0, 0)
	w.State = Gone
	s.on(1, Membership{Servers: []Server{drained, w}})
	for id := RequestID(1); id < 5; id++ {
		s.on(1, ask(id, 0))
		s.want(fmt.Sprintf("send %d r2", id), fmt.Sprintf("hold %d w2", id))
	}
}

// TestOddEvents: late, repeated and unknown events cause no action.
func TestOddEvents(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	s.on(1, ask(1, 0))
	for _, ev := range []Event{ask(1, 0), ask(2, 99), ask(2, -1), Streaming{ID: 9}, Held{ID: 9}, Ended{ID: 9},
		Ended{ID: 1, Attempt: 7, Server: "x"}, ClientGone{ID: 9}, Wakeup{Ref: 4*9 + 2}, Wakeup{Ref: 3},
		Membership{Failed: true}, Membership{Servers: []Server{{ID: "x", Kind: 9, State: Ready}}}} {
		s.on(1, ev)
		s.want()
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"negative time":  func(s *Settings) { s.PinLimit = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].Aim = -1 },
		"unknown role":   func(s *Settings) { s.Kinds[0].Role = 9 },
		"unknown effect": func(s *Settings) { s.Classes[0].Effect = 0 },
		"unknown group":  func(s *Settings) { s.Classes[2].Group = 0 },
		"no routers":     func(s *Settings) { s.Routers = 0 },
	} {
		if _, err := New(fleet(change), 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestColdServerBudget: a cold server's sends follow its warmth and the overload factor, a warm one's nothing.
func TestColdServerBudget(t *testing.T) {
	for factor, most := range map[float64]int{2.5: 12, 0.2: 2} {
		cold := at("r2", 0, 0, 0)
		cold.Since = 1e6
		s := newScript(t, fleet(func(set *Settings) { set.OverloadFactor = factor }), at("r1", 0, 0, 0), cold, at("w1", 1, 0, 0))
		sent := 0
		for id := RequestID(1); id <= 80; id++ {
			s.on(50, ask(id, 0))
			reader := s.sent()
			if reader == "r2" {
				sent++
			}
			s.on(10, Ended{ID: id, Attempt: 0, Server: reader, Outcome: ReadDone})
			s.on(5, Streaming{ID: id, Attempt: 1, Server: "w1"})
			s.on(5, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Served, Done: true})
		}
		if sent > most {
			t.Errorf("factor %v: a cold reader got %d of 80 prompts in 6 s, %d at most", factor, sent, most)
		}
	}
}

// TestWorthSetsFloor: as freeness falls, what is worth far more is refused later.
func TestWorthSetsFloor(t *testing.T) {
	s := newScript(t, fleet(func(set *Settings) { set.Classes[3].Worth = 9 }), oneEach...)
	taken := [2]int{}
	for id := RequestID(1); id <= 400; id++ {
		class := 3 * int(id%2)
		long := ask(id, class)
		long.Prompt = 2000
		s.on(1, long)
		if len(shorts(s.acts)) == 2 {
			taken[id%2]++
		}
		s.on(1, ClientGone{ID: id - 8})
		s.on(0, Ended{ID: id - 8, Attempt: 0, Server: "r1", Outcome: Cancelled})
	}
	if taken[1] <= taken[0] {
		t.Errorf("%d of the class of high worth taken, %d of the other", taken[1], taken[0])
	}
}

// TestProgressKeepsRead: a read is taken away only from a reader that ends nothing, or that ended what was sent
// later.
func TestProgressKeepsRead(t *testing.T) {
	for _, c := range []struct{ ended, watched RequestID }{{91, 92}, {0, 92}, {92, 91}} {
		s := newScript(t, fleet(func(set *Settings) { set.MaxAttempts = 0 }), oneEach...)
		s.rounds(30, 50)
		var watch Wake
		for id := RequestID(91); id <= 92; id++ {
			q := ask(id, 0)
			q.Prompt = 100
			s.on(1, q)
			for _, a := range s.acts {
				if w, ok := a.(Wake); ok && w.Ref == uint64(c.watched)*refsPerRequest+refReadCheck {
					watch = w
				}
			}
		}
		if c.ended != 0 {
			s.on(100, Ended{ID: c.ended, Attempt: 0, Server: "r1", Outcome: ReadDone})
		} else {
			s.on(100, Wakeup{Ref: 3})
		}
		s.on(watch.In-100, Wakeup{Ref: watch.Ref})
		if c.ended == 91 {
			s.want()
		} else {
			s.want(fmt.Sprintf("cancel %d", c.watched))
		}
	}
}

// TestFullReaderHasNoHeadroom: when readers turn prompts away, admission refuses although own books are empty.
func TestFullReaderHasNoHeadroom(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	s.on(1, ask(1, 0))
	s.on(1, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: Full})
	s.on(1, ClientGone{ID: 1})
	s.on(1, ask(2, 0))
	s.want("refuse 2")
	s.on(20000, ask(3, 0))
	s.want("send 3 r1", "hold 3 w1")
}

// TestUnsafeReadOutFails: at its last answer an unsafe request with a read still out fails, for a refusal
// needs an outcome of every attempt.
func TestUnsafeReadOutFails(t *testing.T) {
	s := newScript(t, fleet(), oneEach...)
	s.on(1, ask(1, 1))
	timer := s.acts[0].(Wake)
	s.on(timer.In, Wakeup{Ref: timer.Ref})
	s.want("fail 1", "cancel 1")
}

// TestKeyedStaysInGroup: a keyed request that may have run goes on inside its cell and window, else fails.
func TestKeyedStaysInGroup(t *testing.T) {
	for _, c := range []struct {
		after Millis
		want  []string
	}{{1990, []string{"send 1 w3"}}, {2010, []string{}}} {
		s := newScript(t, fleet(), at("r1", 0, 0, 0), at("w1", 1, 0, 0), at("w2", 1, 0, 1), at("w3", 1, 0, 0))
		s.on(1, ask(1, 2))
		held := s.acts[len(s.acts)-1].(Hold).Server
		s.on(5, Held{ID: 1, Attempt: 0, OK: true})
		s.on(100, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		s.on(c.after, Ended{ID: 1, Attempt: 1, Server: held, Outcome: TimedOut})
		if held == "w3" && len(c.want) > 0 {
			c.want[0] = "send 1 w1"
		}
		s.want(c.want...)
	}
}

// TestKeyedRefusedInItsWindow: a keyed request that may have run is refused only while its group still drops a repeat
// that follows the advised wait; later it fails, which promises nothing. A read that is out has run nothing.
func TestKeyedRefusedInItsWindow(t *testing.T) {
	for _, c := range []struct {
		window Millis
		want   string
	}{{2000, "refuse 1"}, {900, "fail 1"}} {
		s := newScript(t, fleet(func(set *Settings) {
			set.Classes[2].Group, set.Classes[2].Window, set.Holds = GroupAll, c.window, false
		}), at("r1", 0, 0, 0), at("w1", 1, 0, 0))
		s.on(1, ask(1, 2))
		deadline := s.acts[0].(Wake)
		s.on(10, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
		s.want("send 1 w1")
		s.on(700, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: Broken}) // 250 ms are advised
		s.on(deadline.In, Wakeup{Ref: deadline.Ref})
		if !slices.Contains(shorts(s.acts), "fail 1") { // by then all windows are over
			t.Errorf("window %v, at the deadline: %v", c.window, shorts(s.acts))
		}
		s.on(1, ask(2, 2))
		s.on(10, Ended{ID: 2, Attempt: 0, Server: "r1", Outcome: ReadDone})
		s.on(700, Ended{ID: 2, Attempt: 1, Server: "w1", Outcome: Broken})
		q := s.r.requests[2]
		s.acts = nil
		s.r.finish(q)
		if got := shorts(s.r.actions)[0]; got != strings.Replace(c.want, "1", "2", 1) {
			t.Errorf("window %v: %v", c.window, got)
		}
		s.r.actions = nil
		s.on(5000, ask(3, 2))
		s.on(1500, ClientGone{ID: 99})
		if s.r.finish(s.r.requests[3]); shorts(s.r.actions)[0] != "refuse 3" {
			t.Errorf("window %v, with a read out: %v", c.window, shorts(s.r.actions))
		}
	}
}

// TestRepeatIsWrittenInItsWindow: a keyed request's repeat tells until when it may be written, what is left of the
// window since the send that may have run; others tell nothing.
func TestRepeatIsWrittenInItsWindow(t *testing.T) {
	s := newScript(t, fleet(func(set *Settings) { set.Classes[2].Group, set.Holds = GroupAll, false }),
		at("r1", 0, 0, 0), at("w1", 1, 0, 0), at("w2", 1, 0, 0))
	within := func() Millis {
		for _, a := range s.acts {
			if send, ok := a.(Send); ok {
				return send.Within
			}
		}
		t.Fatalf("no send: %v", s.acts)
		return 0
	}
	s.on(1, ask(1, 2))
	first := within()
	s.on(10, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	second, writer := within(), s.sent()
	s.on(700, Ended{ID: 1, Attempt: 1, Server: writer, Outcome: Broken})
	if third := within(); first != 0 || second != 0 || third != 1300 {
		t.Errorf("%v, %v, then %v of a window of 2000", first, second, third)
	}
}

// TestMixedServerTakesAll: a mixed server gets the whole request, without a hold.
func TestMixedServerTakesAll(t *testing.T) {
	s := newScript(t, fleet(), at("m1", 2, 0, 0))
	s.on(1, ask(1, 0))
	s.want("send 1 m1")
}

// TestKeyedLeavesNoCell: with no other writer in its cell a keyed request that may have run is sent nowhere.
func TestKeyedLeavesNoCell(t *testing.T) {
	s := newScript(t, fleet(), at("r1", 0, 0, 0), at("w1", 1, 0, 0), at("w2", 1, 0, 1))
	s.on(1, ask(1, 2))
	s.want("send 1 r1", "hold 1 w1")
	s.on(5, Held{ID: 1, Attempt: 0, OK: true})
	s.on(100, Ended{ID: 1, Attempt: 0, Server: "r1", Outcome: ReadDone})
	s.on(100, Ended{ID: 1, Attempt: 1, Server: "w1", Outcome: TimedOut})
	s.want()
}

// TestManyRoutersOneColdServer: the cold budget holds for the sum over all routers, uneven and restarted ones
// too. 100 routers share 4 warm readers; none knows of another, and a fifth reader starts cold.
func TestManyRoutersOneColdServer(t *testing.T) {
	const routers, span = 100, 2000
	warm := []Server{at("r1", 0, 0, 0), at("r2", 0, 0, 0), at("r3", 0, 0, 0), at("r4", 0, 0, 0), at("w1", 1, 0, 0)}
	var fleetOf []*script
	for i := range routers {
		s := &script{t: t, now: 1e6}
		s.r, _ = New(fleet(func(set *Settings) { set.Routers = routers }), uint64(i)*7919)
		s.on(0, Membership{Whole: true, Servers: warm})
		fleetOf = append(fleetOf, s)
	}
	id, reads, cold := RequestID(0), 0, 0
	turn := func(ms Millis) {
		for i, s := range fleetOf {
			s.now += ms
			if i%2 == 1 && id%3 != 0 { // uneven fronts: every other router sees a third
				id++
				continue
			}
			id++
			s.on(0, ask(id, 0))
			for _, a := range s.acts {
				if send, ok := a.(Send); ok {
					if reads++; send.Server == "r5" {
						cold++
					}
					s.on(0, Ended{ID: id, Attempt: 0, Server: send.Server, Outcome: ReadDone})
					s.on(0, ClientGone{ID: id})
					s.on(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
				}
			}
		}
	}
	for range 20 {
		turn(1500)
	}
	each := float64(reads) / 4 / (20 * 1500) * span // what a warm reader takes in the span
	fresh := at("r5", 0, 0, 0)
	fresh.Since = fleetOf[0].now
	for i, s := range fleetOf {
		if i < 20 { // restarted just now
			s.r, _ = New(*s.r.settings, uint64(i))
			s.on(0, Membership{Whole: true, Servers: append(slices.Clone(warm), fresh)})
		}
		s.on(0, Membership{Servers: []Server{fresh}})
	}
	cold = 0
	for range 4 {
		turn(span / 4)
	}
	set := fleetOf[0].r.settings
	if most := set.OverloadFactor * (set.ColdFrom + 0.15) * each; float64(cold) > most {
		t.Errorf("%d reads at the cold reader within its window, %.1f at most", cold, most)
	}
}

// Slow start holds for the sum of all routers, however many there are and however unevenly they are used: what they
// send a cold server within the time in which it falls stays within N + 2 sqrt(N) + 2 reads, N being what the
// settings allow it. And what is cold is used: it gets a third of its share by warmth at the least.
func TestColdServerBySumOfRouters(t *testing.T) {
	const span = 2000 // ms; the settings' window
	for _, routers := range []int{20, 30, 300} {
		for seed := range uint64(3) {
			rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
			var fleetOf []*script
			var part []float64 // of the traffic; one in ten sees four times the mean
			total := 0.0
			warm := []Server{at("w1", 1, 0, 0)}
			for i := range 8 {
				warm = append(warm, at(fmt.Sprint("r", i), 0, 0, 0))
			}
			for i := range routers {
				s := &script{t: t, now: 1e6}
				s.r, _ = New(fleet(func(set *Settings) { set.Routers = routers }), rnd.Uint64())
				s.on(0, Membership{Whole: true, Servers: warm})
				fleetOf = append(fleetOf, s)
				share := 0.2 + rnd.Float64()
				if i%10 == 0 {
					share *= 4
				}
				part, total = append(part, share), total+share
			}
			id, reads, cold := RequestID(0), 0, 0
			play := func(length Millis) { // 64 reads a second, eight for each warm reader
				for end := fleetOf[0].now + length; fleetOf[0].now < end; {
					gap := Millis(rnd.ExpFloat64() * 1000 / 64)
					for _, s := range fleetOf {
						s.now += gap
					}
					at, i := rnd.Float64()*total, 0
					for ; i < routers-1 && at > part[i]; i++ {
						at -= part[i]
					}
					s := fleetOf[i]
					id++
					q := ask(id, 0)
					q.Prefix, q.PrefixLen = Key(1+id%7), 500
					s.on(0, q)
					for _, a := range s.acts {
						if send, ok := a.(Send); ok {
							if reads++; send.Server == "cold" {
								cold++
							}
							s.on(0, Ended{ID: id, Server: send.Server, Outcome: ReadDone})
							s.on(0, ClientGone{ID: id})
							s.on(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
						}
					}
				}
			}
			play(20000)
			each := float64(reads) / 8 / 20000 * span // what a warm reader takes in the span
			fresh := at("cold", 0, 0, 0)
			fresh.Since = fleetOf[0].now
			for _, s := range fleetOf {
				s.on(0, Membership{Servers: []Server{fresh}})
			}
			set, all, share := fleetOf[0].r.settings, 0, 0.0
			for window := range 3 {
				cold = 0
				play(span)
				warmth := set.ColdFrom + (1-set.ColdFrom)*(float64(window)+0.5)*span/float64(set.WarmAfter)
				n := set.OverloadFactor * warmth * each * 2 // its capacity is twice what it is used for
				if most := n + 2*math.Sqrt(n) + 2; float64(cold) > most {
					t.Errorf("%d routers, seed %d, window %d: %d reads at the cold reader, %.1f at most", routers, seed, window, cold, most)
				}
				all, share = all+cold, share+warmth*each
			}
			if least := share / 3; float64(all) < least {
				t.Errorf("%d routers, seed %d: %d reads at the cold reader, whose share is %.1f", routers, seed, all, share)
			}
		}
	}
}

// Slow start holds for the sum of all routers also where the cold servers are all that is left, whose share of the
// requests would be far more than a warm one's: the rest failed and is charged, turns this flow away, or has left the list.
func TestColdServersLeftAlone(t *testing.T) {
	const routers, span = 84, 2000
	for how, lose := range map[string]func(*script, ServerID){
		"charged": func(s *script, id ServerID) {
			s.r.recordFailure(s.r.servers[id], true)
			s.r.recordFailure(s.r.servers[id], true)
		},
		"full": func(s *script, id ServerID) { s.r.servers[id].rejectionPenalties[0] = decayingValue{1, s.now} },
		"gone": func(s *script, id ServerID) {
			gone := at(string(id), 0, 0, 0)
			gone.State = Gone
			s.on(0, Membership{Servers: []Server{gone}})
		},
	} {
		rnd := rand.New(rand.NewPCG(1, 2))
		var fleetOf []*script
		warm := []Server{at("w1", 1, 0, 0)}
		for i := range 12 {
			warm = append(warm, at(fmt.Sprint("r", i), 0, 0, 0))
		}
		for range routers {
			s := &script{t: t, now: 1e6}
			s.r, _ = New(fleet(func(set *Settings) { set.Routers = routers }), rnd.Uint64())
			s.on(0, Membership{Whole: true, Servers: warm})
			fleetOf = append(fleetOf, s)
		}
		id, reads := RequestID(0), map[ServerID]int{}
		play := func(length Millis) { // 96 requests a second, eight for each warm reader
			clear(reads)
			for end := fleetOf[0].now + length; fleetOf[0].now < end; {
				gap := Millis(rnd.ExpFloat64() * 1000 / 96)
				for _, s := range fleetOf {
					s.now += gap
				}
				s := fleetOf[rnd.IntN(routers)]
				id++
				s.on(0, ask(id, 0))
				for _, a := range s.acts {
					if send, ok := a.(Send); ok {
						reads[send.Server]++
						s.on(0, Ended{ID: id, Server: send.Server, Outcome: ReadDone})
						s.on(0, ClientGone{ID: id})
						s.on(0, Ended{ID: id, Attempt: 1, Server: "w1", Outcome: Cancelled})
					}
				}
			}
		}
		play(20000)
		for _, s := range fleetOf {
			for i := range 12 {
				lose(s, ServerID(fmt.Sprint("r", i)))
			}
			for i := range 2 {
				fresh := at(fmt.Sprint("cold", i), 0, 0, 0)
				fresh.Since = fleetOf[0].now
				s.on(0, Membership{Servers: []Server{fresh}})
			}
		}
		play(span)
		set := fleetOf[0].r.settings
		n := set.OverloadFactor * (set.ColdFrom + 0.075) * 8 * span / 1000 * 2 // its capacity is twice what it is used for
		if most := int(n + 2*math.Sqrt(n) + 2); reads["cold0"] > most || reads["cold1"] > most || reads["cold0"] == 0 {
			t.Errorf("%s: %d and %d reads at the cold readers, %d at most", how, reads["cold0"], reads["cold1"], most)
		}
	}
}
