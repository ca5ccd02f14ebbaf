package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gannethook/internal/realtime"
	"gannethook/internal/record"
	"gannethook/internal/rules"
)

func badScript(t *testing.T) *Script {
	t.Helper()
	s, err := Parse("bad.gann", BadScript)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The same seed gives the same requests at the same times; another seed does not.
func TestPlan(t *testing.T) {
	s := badScript(t)
	one, two := fmt.Sprint(s.plan()), fmt.Sprint(s.plan())
	if one != two {
		t.Error("the same seed gives two plans")
	}
	n := 0
	for _, v := range s.plan() {
		n += len(v.requests)
	}
	if want := s.Rate * s.Length.Seconds(); float64(n) < 0.9*want || float64(n) > 1.1*want {
		t.Errorf("%d requests, want about %g", n, want)
	}
	s.Seed++
	if fmt.Sprint(s.plan()) == one {
		t.Error("two seeds give one plan")
	}
}

func TestChosen(t *testing.T) {
	s := badScript(t)
	for i, f := range s.Faults {
		if got, want := len(s.chooseTargets(i, 16)), max(int(f.Share*16+0.5), 1); got != want {
			t.Errorf("%v: affects %d of 16, want %d", &f, got, want)
		}
	}
}

func TestStretch(t *testing.T) {
	s := badScript(t)
	s.Stretch(0.5)
	if s.Length != 30*time.Second || s.Faults[0].From != 6*time.Second || s.Rate != 95 || s.check() != nil {
		t.Errorf("%+v", s)
	}
}

// Events after a final answer, also those during the close of a session, reach the checker as violations of rule 1.
func TestLateEventsCount(t *testing.T) {
	s := badScript(t)
	f := &fleet{script: s, log: record.New()}
	u := &virtualUser{pool: &userPool{fleet: f}, name: "c", router: &router{name: "r0"}}
	a := &plannedRequest{name: "x"}
	u.lastRequest, u.lastTry, u.responseID = a, 1, "resp"
	u.logEvent(a, 1, record.Offer, "", 1000)
	u.logEvent(a, 1, record.Final, "served", 0)
	u.recordLate(&realtime.ServerEvent{Type: realtime.ItemDone}) // belongs to no response
	if v := rules.Check(f.ruleConfig(), f.log.Events()); len(v.Violations) != 0 {
		t.Errorf("%v", v.Violations)
	}
	u.recordLate(&realtime.ServerEvent{Type: realtime.TextDelta, ResponseID: "resp"})
	if v := rules.Check(f.ruleConfig(), f.log.Events()); v.Count(1) != 1 {
		t.Errorf("%v", v.Violations)
	}
}

func TestScriptErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"(fault crash", "(fault crahs", `fault "crahs" is not known`},
		{"(effect unsafe)", "(effect bad)", `effect "bad" is not safe, keyed or unsafe`},
		{"(prompt 300 2500)", "(prompt 2500 300)", "(prompt LEAST MOST)"},
		{"(at 25s) (for 6s)", "(at 55s) (for 6s)", "the fault ends after the scenario"},
		{"(part 0.18)", "(part 1.8)", "a part is 1 at the most"},
		{"(rate 95)", "(rate 0)", "above 0"},
	} {
		_, err := Parse("f", strings.Replace(BadScript, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}

// A drain's duration is compared with the longest answer that was open, which may end after the drain: if only answers that
// end before it counted, no drain could be shorter than its longest answer.
func TestOperations(t *testing.T) {
	ev := func(at float64, kind, req, note string) record.Event {
		return record.Event{T: at, Kind: kind, Req: req, Try: 1, Router: "r0", Key: "t1", Note: note}
	}
	events := []record.Event{ev(1, record.Offer, "a", ""), ev(2, record.Offer, "b", ""), ev(10, record.ToolBegin, "", "drain"),
		ev(30, record.Final, "a", "served"), ev(40, record.ToolEnd, "", "drain"), ev(90, record.Final, "b", "served")}
	list := operations(events)
	if len(list) != 1 || list[0].OpenTries != 2 || list[0].Took != 30 || list[0].Longest != 80 {
		t.Errorf("%+v", list)
	}
	killed := append(events[:3:3], ev(20, record.Killed, "", ""), ev(40, record.ToolEnd, "", "drain"))
	if list := operations(killed); len(list) != 0 {
		t.Errorf("the drain of a killed router is included: %+v", list)
	}
}
