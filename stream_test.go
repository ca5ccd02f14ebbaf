package gannethook

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Tolerances of the rules in ms, which are not among the settings: sends after a drain, final answers after a deadline.
const drainGraceMs, answerToleranceMs = 500, 16

// ruleChecker checks a router's actions over a random legal event stream: one final answer in time, one attempt at a
// time and no more than allowed, no unsafe work run twice, no refusal of what may have run, no work for draining
// servers, and no state held beyond the pin limit.
type ruleChecker struct {
	t                *testing.T
	set              Settings
	now              Millis
	requests         map[RequestID]*requestState
	order            []RequestID
	servers          map[ServerID]Server
	unavailableSince map[ServerID]Millis // when the router was notified that a server drains or is gone
	wakes            []Wakeup
	wakeTimes        []Millis
	log              []string
}

// requestState is what the checker knows of one request.
type requestState struct {
	class, sent             int
	deadline, lastOutcomeAt Millis
	inFlight                map[int]ServerID // attempts in flight
	readOnly                map[int]bool
	mayHaveRun, holdsState  bool
	answered, streaming     bool
}

func (b *ruleChecker) fail(violation string, id RequestID) {
	b.t.Helper()
	b.t.Fatalf("rule broken at %v: %s, request %d (class %d)\n%v", b.now, violation, id, b.requests[id].class, b.log[max(0, len(b.log)-12):])
}

// apply carries out actions and checks each as it comes.
func (b *ruleChecker) apply(actions []Action) {
	b.t.Helper()
	for _, action := range actions {
		b.log = append(b.log, fmt.Sprintf("%v %T%v", b.now, action, action))
		switch action := action.(type) {
		case Wake:
			b.wakes, b.wakeTimes = append(b.wakes, Wakeup{Ref: action.Ref}), append(b.wakeTimes, b.now+action.In)
		case Send:
			b.send(action)
		case Hold:
			b.checkDrained(action.ID, action.Server)
			b.requests[action.ID].holdsState = true
		case Release:
			b.requests[action.ID].holdsState = false
		case Refuse:
			state := b.requests[action.ID]
			effect := b.set.Classes[state.class]
			if effect.Effect != Safe && !(effect.Effect == Keyed && effect.Group == GroupAll) && (state.mayHaveRun || len(state.inFlight) > 0) {
				b.fail("refused although it may have run", action.ID)
			}
			b.checkFinalAnswer(action.ID)
		case Fail:
			b.checkFinalAnswer(action.ID)
		}
	}
}

func (b *ruleChecker) checkDrained(id RequestID, target ServerID) {
	if since, ok := b.unavailableSince[target]; ok && b.now > since+drainGraceMs {
		b.fail("sent to a draining server", id)
	}
}

func (b *ruleChecker) send(send Send) {
	state := b.requests[send.ID]
	b.checkDrained(send.ID, send.Server)
	reads := b.set.Kinds[b.servers[send.Server].Kind].Role == Reader
	switch {
	case state.answered:
		b.fail("sent after its final answer", send.ID)
	case len(state.inFlight) > 0:
		b.fail("two attempts in flight", send.ID)
	case state.mayHaveRun && b.set.Classes[state.class].Effect == Unsafe:
		b.fail("an unsafe request sent again", send.ID)
	case state.sent >= b.set.MaxAttempts:
		b.fail("too many attempts", send.ID)
	}
	state.inFlight[state.sent], state.readOnly[state.sent] = send.Server, reads
	state.sent++
}

func (b *ruleChecker) checkFinalAnswer(id RequestID) {
	if b.requests[id].answered {
		b.fail("two answers", id)
	}
	if b.now > b.requests[id].deadline+answerToleranceMs {
		b.fail("answered late", id)
	}
	b.requests[id].answered = true
}

// checkOverdue checks for missing answers and for states held too long, as time passes.
func (b *ruleChecker) checkOverdue() {
	for _, id := range b.order {
		state := b.requests[id]
		if !state.answered && !state.streaming && b.now > state.deadline+answerToleranceMs {
			b.fail("no answer", id)
		}
		if state.holdsState && len(state.inFlight) == 0 && b.now > state.lastOutcomeAt+b.set.PinLimit {
			b.fail("pinned", id)
		}
	}
}

// nextEvent makes one random legal event.
func (b *ruleChecker) nextEvent(rng *rand.Rand, n int) Event {
	var live []RequestID
	for _, id := range b.order {
		if len(b.requests[id].inFlight) > 0 {
			live = append(live, id)
		}
	}
	switch kind := rng.IntN(20); {
	case kind < 6 || len(live) == 0 && kind < 18:
		id := RequestID(n + 1)
		budget := Millis(20 + rng.IntN(3000))
		b.requests[id] = &requestState{class: rng.IntN(len(b.set.Classes)), deadline: b.now + budget, lastOutcomeAt: b.now,
			inFlight: map[int]ServerID{}, readOnly: map[int]bool{}}
		b.order = append(b.order, id)
		return Request{ID: id, Class: b.requests[id].class, Session: Key(rng.IntN(9)), Prefix: Key(rng.IntN(3)),
			Budget: budget, Prompt: float64(rng.IntN(9000)), MaxOut: 200}
	case kind < 18:
		return b.advanceAttempt(rng, live[rng.IntN(len(live))])
	}
	return b.changeServer(rng)
}

// advanceAttempt makes the next event of an attempt in flight.
func (b *ruleChecker) advanceAttempt(rng *rand.Rand, id RequestID) Event {
	state := b.requests[id]
	var numbers []int
	for n := range state.inFlight {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	n := numbers[0]
	target := state.inFlight[n]
	if state.readOnly[n] && rng.IntN(3) == 0 {
		return Held{ID: id, Attempt: n, OK: rng.IntN(2) == 0}
	}
	if !state.readOnly[n] && !state.streaming && !state.answered && rng.IntN(3) == 0 {
		state.streaming, state.holdsState = true, false
		return Streaming{ID: id, Attempt: n, Server: target}
	}
	delete(state.inFlight, n)
	state.lastOutcomeAt = b.now
	outcome := Outcome(1 + rng.IntN(int(UnknownEnd)))
	if state.readOnly[n] && outcome == Served {
		outcome = ReadDone
	} else if !state.readOnly[n] && outcome == ReadDone {
		outcome = Served
	}
	switch outcome {
	case ReadDone:
		state.holdsState = true
	case Failed, TimedOut, Broken, Cancelled, UnknownEnd:
		state.mayHaveRun = state.mayHaveRun || !state.readOnly[n]
	}
	done := state.answered || state.streaming || outcome == Served
	state.answered = done
	return Ended{ID: id, Attempt: n, Server: target, Outcome: outcome, Done: done, NoState: outcome == Full && rng.IntN(2) == 0}
}

// changeServer makes a change of one server.
func (b *ruleChecker) changeServer(rng *rand.Rand) Event {
	ids := make([]ServerID, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	srv := b.servers[ids[rng.IntN(len(ids))]]
	srv.State = ServerState(1 + rng.IntN(3))
	if srv.State == Ready {
		srv.Since = b.now
		delete(b.unavailableSince, srv.ID)
	} else if _, ok := b.unavailableSince[srv.ID]; !ok {
		b.unavailableSince[srv.ID] = b.now
	}
	return Membership{Servers: []Server{srv}}
}

// runRandomStream plays one random event stream and returns every action.
func runRandomStream(t *testing.T, seed uint64, set Settings) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	r, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{t: t, set: set, now: 1e6, requests: map[RequestID]*requestState{}, servers: map[ServerID]Server{},
		unavailableSince: map[ServerID]Millis{}}
	var list []Server
	for i := range 9 {
		srv := newServer(fmt.Sprint("s", i), i%3, i%2, i%4)
		list = append(list, srv)
		checker.servers[srv.ID] = srv
	}
	var all []Action
	deliver := func(ev Event) {
		checker.log = append(checker.log, fmt.Sprintf("%v in %T%v", checker.now, ev, ev))
		actions := r.Handle(checker.now, ev)
		all = append(all, actions...)
		checker.apply(actions)
	}
	deliver(Membership{Whole: true, Servers: list})
	for n := range 1500 {
		checker.now += set.Quantum * Millis(1+rng.IntN(5))
		for i := 0; i < len(checker.wakeTimes); {
			if checker.wakeTimes[i] > checker.now {
				i++
				continue
			}
			wakeup := checker.wakes[i]
			checker.wakes, checker.wakeTimes = slices.Delete(checker.wakes, i, i+1), slices.Delete(checker.wakeTimes, i, i+1)
			deliver(wakeup)
		}
		deliver(checker.nextEvent(rng, n))
		checker.checkOverdue()
		for id, req := range r.requests {
			if !req.ended && !req.streaming && len(req.inFlight) == 0 && !slices.Contains(r.waiting, req) {
				t.Fatalf("request %d is stuck: no attempt in flight, not waiting for a server, no answer", id)
			}
		}
	}
	for id, req := range r.requests {
		if req.ended && len(req.inFlight) == 0 {
			t.Errorf("request %d is kept although it has ended", id)
		}
	}
	return all
}

// TestRandomStreams checks seeded legal event streams against the rules, and that they are reproducible.
func TestRandomStreams(t *testing.T) {
	for name, set := range map[string]Settings{
		"plain":        testSettings(),
		"no cancel":    testSettings(func(s *Settings) { s.Cancel = false }),
		"no holds":     testSettings(func(s *Settings) { s.Holds = false }),
		"writers read": testSettings(func(s *Settings) { s.WritersRead = true }),
		"asked":        testSettings(func(s *Settings) { s.AskDiscovery = true }),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				if !reflect.DeepEqual(runRandomStream(t, seed, set), runRandomStream(t, seed, set)) {
					t.Fatalf("seed %d: the same events gave different actions", seed)
				}
			}
		})
	}
}
