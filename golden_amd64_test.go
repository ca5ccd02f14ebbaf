package gannethook

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden.txt")

// goldenTrace hashes the events of routers and their actions, in order. A line of the golden file has the trace's name,
// the number of events and actions, and the hash of their text.
type goldenTrace struct {
	sum             hash.Hash
	events, actions int
}

func (g *goldenTrace) add(at Millis, event Event, actions []Action) {
	g.events, g.actions = g.events+1, g.actions+len(actions)
	fmt.Fprintf(g.sum, "%v %s%v\n", at, goldenKind(event), goldenText(event))
	for _, action := range actions {
		fmt.Fprintf(g.sum, "  %s%v\n", goldenKind(action), action)
	}
}

// goldenText returns an event's text without the settings that were added after the file was written and are not set.
func goldenText(event Event) string {
	text := fmt.Sprint(event)
	if ev, ok := event.(Reconfigure); ok && !ev.Settings.SparesWaited {
		return strings.TrimSuffix(text, " false}}") + "}}"
	}
	return text
}

// goldenKind names an event or action as the file does, whatever the name of its type.
func goldenKind(v any) string {
	switch v.(type) {
	case Membership:
		return "membership"
	case Request:
		return "request"
	case Streaming:
		return "streaming"
	case Held:
		return "held"
	case Ended:
		return "ended"
	case ClientGone:
		return "gone"
	case Wakeup:
		return "wakeup"
	case Reconfigure:
		return "reconfigure"
	case Send:
		return "send"
	case Cancel:
		return "cancel"
	case Hold:
		return "hold"
	case Release:
		return "release"
	case Refuse:
		return "refuse"
	case Fail:
		return "fail"
	case Wake:
		return "wake"
	case Subscribe:
		return "subscribe"
	}
	return ""
}

func (g *goldenTrace) line(name string) string {
	return fmt.Sprintf("%s: %d events, %d actions, %x", name, g.events, g.actions, g.sum.Sum(nil))
}

// goldenSettings returns settings that together reach every decision.
func goldenSettings() map[string]Settings {
	return map[string]Settings{
		"plain":         testSettings(),
		"no cancels":    testSettings(func(s *Settings) { s.Cancel = false }),
		"no holds":      testSettings(func(s *Settings) { s.Holds = false }),
		"writers read":  testSettings(func(s *Settings) { s.WritersRead = true }),
		"asked for":     testSettings(func(s *Settings) { s.AskDiscovery = true }),
		"repeats part":  testSettings(func(s *Settings) { s.RepeatPart, s.MaxAttempts = 0.2, 6 }),
		"keyed for all": testSettings(func(s *Settings) { s.Classes[2].Group, s.Classes[2].Window = GroupAll, 600 }),
		"tenants": testSettings(func(s *Settings) {
			s.Tenants = []Tenant{{QuotaPerS: 0.5}, {QuotaPerS: 50}}
			s.Classes[3].OneStage, s.Classes[3].Worth, s.ConnIdle = true, 9, 3000
		}),
	}
}

// goldenScenario plays a small fleet through slow start, failures, reports, cached prompts, drains, failed
// subscriptions and new settings.
func goldenScenario(trace *goldenTrace, set Settings, seed uint64) {
	var servers []Server
	for i := range 6 {
		servers = append(servers, newServer(fmt.Sprint("r", i), 0, i%2, i%3), newServer(fmt.Sprint("w", i), 1, i%2, i%3))
	}
	sim := newSlowStartFleet(slowStartCase{routers: 3, load: "steady", limits: slowStartLimits{0.25, 10000, 2.5, 2000, set.Holds}}, seed, nil)
	sim.trace = func(i int, ev Event, actions []Action) { trace.add(sim.now+Millis(i)/1e6, ev, actions) }
	for i := range sim.routers {
		sim.routers[i], _ = New(set, seed+uint64(i))
	}
	for i := range sim.routers {
		sim.deliver(i, Membership{Whole: true, Servers: servers})
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	sim.varyRequest = func(q *Request) {
		q.Class, q.Tenant, q.Prompt = rnd.IntN(len(set.Classes)), rnd.IntN(3), float64(100+rnd.IntN(6000))
		q.Session = Key(1 + rnd.IntN(40))
	}
	sim.varyOutcome = func(end *Ended) {
		end.Reported, end.Memory, end.Kept = rnd.IntN(2) == 0, rnd.Float64(), float64(rnd.IntN(3000))
		if outcome := Outcome(1 + rnd.IntN(int(UnknownEnd))); rnd.IntN(12) == 0 && outcome != Served && outcome != ReadDone {
			end.Outcome, end.Done, end.NoState = outcome, false, outcome == Full && rnd.IntN(2) == 0
		}
	}
	sim.play(8000, 40)
	for i, srv := range servers[:4] {
		srv.Since, srv.State = sim.now, ServerState(1+i%2)
		sim.updateServers(srv)
	}
	sim.failing["r4"], sim.failing["w4"] = true, true
	sim.play(6000, 90)
	for i := range sim.routers {
		sim.deliver(i, Membership{Failed: true})
		sim.deliver(i, ClientGone{ID: sim.id})
	}
	next := set
	next.Classes, next.MaxAttempts = append(next.Classes[:len(next.Classes):len(next.Classes)], next.Classes[0]), 3
	for i := range sim.routers {
		sim.deliver(i, Reconfigure{Settings: next})
	}
	sim.play(4000, 40)
	for _, r := range sim.routers {
		fmt.Fprintf(trace.sum, "%v\n", r.View(sim.now))
	}
}

// For the same events and seed the module takes the same actions as when testdata/golden.txt was written. The file is
// for this architecture: others may round differently.
func TestGoldenTrace(t *testing.T) {
	var lines []string
	settings := goldenSettings()
	for _, name := range []string{"plain", "no cancels", "no holds", "writers read", "asked for", "repeats part", "keyed for all", "tenants"} {
		trace := &goldenTrace{sum: sha256.New()}
		goldenScenario(trace, settings[name], 5)
		lines = append(lines, trace.line("day, "+name))
		stream := &goldenTrace{sum: sha256.New()}
		for seed := range uint64(3) {
			for i, action := range runRandomStream(t, seed, settings[name]) {
				stream.add(Millis(i), nil, []Action{action})
			}
		}
		lines = append(lines, stream.line("stream, "+name))
	}
	text := []byte(strings.Join(lines, "\n") + "\n")
	const path = "testdata/golden.txt"
	if *updateGolden {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("the module's actions differ from the golden file:\n%s\nwant\n%s", text, want)
	}
}
