package rules

import (
	"strings"
	"testing"

	"gannethook/internal/record"
)

var cfg = Config{
	Classes:      map[string]Class{"q": {Effect: Safe}, "a": {Effect: Unsafe}, "k": {Effect: Keyed, Group: "zone", Window: 1000}},
	Engines:      map[string]Location{"w1": {Zone: "n"}, "w2": {Zone: "s"}, "w3": {Zone: "n", Cell: 1}},
	AnswerMargin: 100, DrainGrace: 2000, PinLimit: 500, ReleaseMargin: 100, DialTimeouts: 800,
}

func offer(at float64, class string, try int) record.Event {
	return record.Event{T: at, Who: "c", Kind: record.Offer, Req: "x", Try: try, Router: "r0", Class: class, N: 1000}
}

func client(at float64, kind, note string, try int) record.Event {
	return record.Event{T: at, Who: "c", Kind: kind, Req: "x", Try: try, Router: "r0", Note: note}
}

func engine(at float64, who, kind, note string) record.Event {
	return record.Event{T: at, Who: who, Kind: kind, Req: "x", Key: "r0-boot-1-0", Note: note}
}

// served returns the events of a served request of a class.
func served(class string) []record.Event {
	return []record.Event{offer(0, class, 1), engine(1, "rd", record.Arrive, "read"), engine(10, "rd", record.Held, "state"),
		engine(10, "rd", record.End, "read"), engine(11, "w1", record.Arrive, "write"), engine(12, "rd", record.Freed, "state taken"),
		engine(13, "w1", record.Apply, ""), client(14, record.Token, "", 1), engine(50, "w1", record.End, "served"),
		client(51, record.Final, "served", 1)}
}

// For every rule, the checker must find the violations below and accept the similar cases that are none.
func TestViolations(t *testing.T) {
	endOfLog := record.Event{T: 9000, Kind: record.Fault}
	for _, c := range []struct {
		name   string
		rule   int // 0: no violation
		events []record.Event
	}{
		{"a served request", 0, served("a")},
		{"one-stage work at a reader", 0, []record.Event{offer(0, "a", 1), engine(1, "rd", record.Arrive, "whole"), engine(2, "rd", record.Apply, ""),
			engine(9, "rd", record.End, "served"), client(10, record.Final, "served", 1)}},
		{"one-stage work sent again while the first attempt may have run", 2, []record.Event{offer(0, "a", 1), engine(1, "rd", record.Arrive, "whole"),
			engine(5, "rd", record.End, "error"), engine(6, "w3", record.Arrive, "whole"), client(10, record.Final, "failed", 1)}},
		{"one-stage work sent again after a rejection", 0, []record.Event{offer(0, "a", 1), engine(1, "rd", record.Arrive, "whole"),
			engine(5, "rd", record.End, "full"), engine(6, "w3", record.Arrive, "whole"), client(10, record.Final, "failed", 1)}},
		{"one-stage work refused after it ran", 2, []record.Event{offer(0, "a", 1), engine(1, "rd", record.Arrive, "whole"), engine(2, "rd", record.Apply, ""),
			engine(9, "rd", record.End, "error"), client(10, record.Final, "refused", 1)}},
		{"no final answer", 1, []record.Event{offer(0, "q", 1), endOfLog}},
		{"the connection broke at a running router", 1, []record.Event{offer(0, "q", 1), client(5, record.Lost, "connection", 1)}},
		{"its router was killed", 0, []record.Event{offer(0, "q", 1), {T: 4, Kind: record.Killed, Router: "r0"}, client(5, record.Lost, "connection", 1)}},
		{"another router was killed", 1, []record.Event{offer(0, "q", 1), {T: 4, Kind: record.Killed, Router: "r1"}, client(5, record.Lost, "connection", 1)}},
		{"its router was killed before the session was opened", 1, []record.Event{{T: 1, Kind: record.Killed, Router: "r0"},
			{T: 2, Who: "c", Kind: record.Open, Router: "r0"}, offer(3, "q", 1), client(5, record.Lost, "connection", 1)}},
		{"its session was opened between the signal and the exit of the router", 0, []record.Event{{T: 1, Kind: record.Killed, Router: "r0"},
			{T: 2, Who: "c", Kind: record.Open, Router: "r0"}, offer(3, "q", 1), client(5, record.Lost, "connection", 1), {T: 6, Kind: record.Reaped, Router: "r0"}}},
		{"its client disconnected", 0, []record.Event{offer(0, "q", 1), client(5, record.Lost, "left", 1)}},
		{"the client timed out", 1, []record.Event{offer(0, "q", 1), client(3000, record.Lost, "gave up", 1)}},
		{"two final answers", 1, append(served("q"), client(52, record.Final, "failed", 1))},
		{"a token after the final answer", 1, append(served("q"), client(52, record.After, "delta", 1))},
		{"a refusal after the client's deadline", 1, []record.Event{offer(0, "q", 1), client(1200, record.Final, "refused", 1)}},
		{"a late refusal by a suspended router", 0, []record.Event{offer(0, "q", 1), {T: 500, Kind: record.Killed, Router: "r0", Note: "hangs"},
			{T: 1100, Kind: record.Reaped, Router: "r0"}, client(1200, record.Final, "refused", 1)}},
		{"a stream may end after the client's deadline", 0, []record.Event{offer(0, "q", 1), client(900, record.Token, "", 1), client(1200, record.Final, "served", 1)}},
		{"its effect happened twice", 2, append(served("a"), engine(60, "w2", record.Apply, ""))},
		{"a safe effect may happen twice", 0, append(served("q"), engine(60, "w2", record.Apply, ""))},
		{"refused after it ran", 2, append(served("a")[:7], client(20, record.Final, "refused", 1))},
		{"it ran after it was refused", 2, []record.Event{offer(0, "a", 1), client(5, record.Final, "refused", 1), engine(6, "w1", record.Apply, "")}},
		{"sent again after an error", 2, []record.Event{offer(0, "a", 1), engine(1, "w1", record.Arrive, "write"),
			engine(2, "w1", record.End, "error"), engine(3, "w2", record.Arrive, "write"), client(9, record.Final, "failed", 1)}},
		{"sent again while an attempt is in flight", 2, []record.Event{offer(0, "a", 1), engine(1, "w1", record.Arrive, "write"),
			engine(3, "w2", record.Arrive, "write"), client(9, record.Final, "failed", 1)}},
		{"sent again after a rejection", 0, []record.Event{offer(0, "a", 1), engine(1, "w1", record.Arrive, "write"),
			engine(2, "w1", record.End, "full"), engine(3, "w2", record.Arrive, "write"), client(9, record.Final, "served", 1)}},
		{"keyed inside its group", 0, []record.Event{offer(0, "k", 1), engine(1, "w1", record.Arrive, "write"),
			engine(2, "w1", record.End, "error"), engine(3, "w3", record.Arrive, "write"), client(9, record.Final, "served", 1)}},
		{"keyed outside its group", 2, []record.Event{offer(0, "k", 1), engine(1, "w1", record.Arrive, "write"),
			engine(2, "w1", record.End, "error"), engine(3, "w2", record.Arrive, "write"), client(9, record.Final, "served", 1)}},
		{"keyed after its window", 2, []record.Event{offer(0, "k", 1), engine(1, "w1", record.Arrive, "write"), client(9, record.Final, "failed", 1),
			engine(2, "w1", record.End, "error"), engine(1100, "w3", record.Arrive, "write")}},
		{"new work for a drained engine", 3, append([]record.Event{{T: -3000, Kind: record.Told, Router: "r0", Key: "w1", Note: "draining"}}, served("q")...)},
		{"new work within the grace", 0, append([]record.Event{{T: -1000, Kind: record.Told, Router: "r0", Key: "w1", Note: "draining"}}, served("q")...)},
		{"another router was notified", 0, append([]record.Event{{T: -3000, Kind: record.Told, Router: "r1", Key: "w1", Note: "gone"}}, served("q")...)},
		{"it was ready again", 0, append([]record.Event{{T: -3000, Kind: record.Told, Router: "r0", Key: "w1", Note: "gone"},
			{T: -2500, Kind: record.Told, Router: "r0", Key: "w1", Note: "ready"}}, served("q")...)},
		{"the grace starts with the first notification", 3, append([]record.Event{{T: -3000, Kind: record.Told, Router: "r0", Key: "w1", Note: "draining"},
			{T: -1000, Kind: record.Told, Router: "r0", Key: "w1", Note: "gone"}}, served("q")...)},
		{"a cold engine fell over", 4, append(served("q"), record.Event{T: 70, Who: "w1", Kind: record.Fell})},
		{"a state is not released", 5, append(served("q")[:4], client(20, record.Final, "refused", 1), endOfLog)},
		{"a state is released late", 5, append(served("q")[:4], client(20, record.Final, "refused", 1), engine(700, "rd", record.Freed, "state let go"))},
		{"a state is released in time", 0, append(served("q")[:4], client(20, record.Final, "refused", 1), engine(400, "rd", record.Freed, "state let go"))},
		{"a place is not released after the stream", 5, append(append(served("q"), engine(52, "w2", record.Held, "place")), endOfLog)},
		{"a place of a dead engine", 0, append(served("q"), engine(52, "w2", record.Held, "place"), record.Event{T: 60, Who: "w2", Kind: record.Dead}, endOfLog)},
		{"a state whose router was killed", 0, append(served("q")[:4], record.Event{T: 30, Kind: record.Killed, Router: "r0"}, endOfLog)},
		{"a state is held during dials that time out", 0, append(append([]record.Event{{T: 5, Who: "w9", Kind: record.Jammed}}, served("q")[:4]...),
			engine(900, "w1", record.Arrive, "write"), engine(901, "rd", record.Freed, "state taken"), client(902, record.Token, "", 1),
			engine(910, "w1", record.End, "served"), client(911, record.Final, "served", 1))},
		{"a state is held longer than all dials", 5, append(append([]record.Event{{T: 5, Who: "w9", Kind: record.Jammed}}, served("q")[:4]...),
			client(900, record.Final, "refused", 1), engine(1900, "rd", record.Freed, "state let go"))},
		{"an answer of a frozen reader has not been sent", 0, []record.Event{offer(0, "q", 1), engine(1, "rd", record.Arrive, "read"),
			engine(2, "w2", record.Held, "place"), {T: 3, Who: "rd", Kind: record.Frozen}, engine(10, "rd", record.End, "read"),
			engine(2000, "w2", record.Freed, "place let go"), client(900, record.Final, "refused", 1), {T: 2500, Who: "rd", Kind: record.Dead}}},
		{"a place is held after its frozen reader died", 5, []record.Event{offer(0, "q", 1), engine(1, "rd", record.Arrive, "read"),
			engine(2, "w2", record.Held, "place"), {T: 3, Who: "rd", Kind: record.Frozen}, client(900, record.Final, "refused", 1),
			{T: 1000, Who: "rd", Kind: record.Dead}, engine(3000, "w2", record.Freed, "place let go")}},
		{"swallowed, and sent again", 2, []record.Event{offer(0, "a", 1), engine(1, "w1", record.Swallow, "write"),
			engine(300, "w2", record.Arrive, "write"), client(900, record.Final, "failed", 1)}},
		{"swallowed, and arrived after the thaw", 0, []record.Event{offer(0, "a", 1), engine(1, "w1", record.Swallow, "write"),
			engine(300, "w1", record.Arrive, "write"), engine(301, "w1", record.End, "served"), client(900, record.Final, "served", 1)}},
		{"a state is held while an attempt is in flight", 0, append(served("q")[:4], engine(11, "w1", record.Arrive, "write"),
			engine(2000, "w1", record.End, "called off"), client(2001, record.Final, "failed", 1), client(12, record.Token, "", 1),
			engine(2100, "rd", record.Freed, "state let go"))},
	} {
		v := Check(cfg, c.events)
		switch {
		case c.rule == 0 && len(v.Violations) > 0:
			t.Errorf("%s: %v", c.name, &v.Violations[0])
		case c.rule > 0 && (v.Count(c.rule) == 0 || len(v.Violations) != v.Count(c.rule)):
			t.Errorf("%s: rule %d not found alone in %v", c.name, c.rule, v.Violations)
		}
	}
}

// A violation shows its request's timeline, including the events of the engines.
func TestTimeline(t *testing.T) {
	v := Check(cfg, append(served("a"), engine(60, "w2", record.Apply, "")))
	var b strings.Builder
	v.Violations[0].Write(&b)
	for _, want := range []string{"rule 2, x", "offer", "rd ", "state taken", "w2"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}
