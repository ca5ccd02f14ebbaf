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

var updateGolden = flag.Bool("update", false, "write testdata/golden.txt anew")

// goldenTrace sums up what routers were told and what they did, in order. A line of the golden file is its name, how
// many events and actions it has, and the hash of their text.
type goldenTrace struct {
	sum             hash.Hash
	events, actions int
}

func (g *goldenTrace) add(at Millis, event Event, actions []Action) {
	g.events, g.actions = g.events+1, g.actions+len(actions)
	fmt.Fprintf(g.sum, "%v %s%v\n", at, goldenKind(event), goldenText(event))
	for _, a := range actions {
		fmt.Fprintf(g.sum, "  %s%v\n", goldenKind(a), a)
	}
}

// goldenText is an event's text without settings that came later than the file and that its settings leave out.
func goldenText(event Event) string {
	text := fmt.Sprint(event)
	if ev, ok := event.(Reconfigure); ok && !ev.Settings.SparesWaited {
		return strings.TrimSuffix(text, " false}}") + "}}"
	}
	return text
}

// goldenKind names an event or action in the file's words, which stay as names in the code change.
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

// goldenSettings are settings that between them reach every decision.
func goldenSettings() map[string]Settings {
	return map[string]Settings{
		"plain":         fleet(),
		"no cancels":    fleet(func(s *Settings) { s.Cancel = false }),
		"no holds":      fleet(func(s *Settings) { s.Holds = false }),
		"writers read":  fleet(func(s *Settings) { s.WritersRead = true }),
		"asked for":     fleet(func(s *Settings) { s.AskDiscovery = true }),
		"repeats part":  fleet(func(s *Settings) { s.RepeatPart, s.MaxAttempts = 0.2, 6 }),
		"keyed for all": fleet(func(s *Settings) { s.Classes[2].Group, s.Classes[2].Window = GroupAll, 600 }),
		"tenants": fleet(func(s *Settings) {
			s.Tenants = []Tenant{{QuotaPerS: 0.5}, {QuotaPerS: 50}}
			s.Classes[3].OneStage, s.Classes[3].Worth, s.ConnIdle = true, 9, 3000
		}),
	}
}

// goldenDay plays a small fleet through cold servers, failures, reports, kept text, drains, failed calls for the list
// and new settings.
func goldenDay(g *goldenTrace, set Settings, seed uint64) {
	var servers []Server
	for i := range 6 {
		servers = append(servers, at(fmt.Sprint("r", i), 0, i%2, i%3), at(fmt.Sprint("w", i), 1, i%2, i%3))
	}
	f := newSlowStartFleet(slowStart{routers: 3, load: "steady", rules: slowStartRules{0.25, 10000, 2.5, 2000, set.Holds}}, seed, nil)
	f.trace = func(i int, ev Event, acts []Action) { g.add(f.now+Millis(i)/1e6, ev, acts) }
	for i := range f.routers {
		f.routers[i], _ = New(set, seed+uint64(i))
	}
	for i := range f.routers {
		f.hand(i, Membership{Whole: true, Servers: servers})
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	f.vary = func(q *Request) {
		q.Class, q.Tenant, q.Prompt = rnd.IntN(len(set.Classes)), rnd.IntN(3), float64(100+rnd.IntN(6000))
		q.Session = Key(1 + rnd.IntN(40))
	}
	f.answer = func(end *Ended) {
		end.Reported, end.Memory, end.Kept = rnd.IntN(2) == 0, rnd.Float64(), float64(rnd.IntN(3000))
		if o := Outcome(1 + rnd.IntN(int(UnknownEnd))); rnd.IntN(12) == 0 && o != Served && o != ReadDone {
			end.Outcome, end.Done, end.NoState = o, false, o == Full && rnd.IntN(2) == 0
		}
	}
	f.play(8000, 40)
	for i, s := range servers[:4] {
		s.Since, s.State = f.now, ServerState(1+i%2)
		f.tell(s)
	}
	f.failing["r4"], f.failing["w4"] = true, true
	f.play(6000, 90)
	for i := range f.routers {
		f.hand(i, Membership{Failed: true})
		f.hand(i, ClientGone{ID: f.id})
	}
	next := set
	next.Classes, next.MaxAttempts = append(next.Classes[:len(next.Classes):len(next.Classes)], next.Classes[0]), 3
	for i := range f.routers {
		f.hand(i, Reconfigure{Settings: next})
	}
	f.play(4000, 40)
	for _, r := range f.routers {
		fmt.Fprintf(g.sum, "%v\n", r.View(f.now))
	}
}

// For the same events and seed the module takes the same actions as when testdata/golden.txt was written, before names and
// files changed. The file is for this architecture: others may round otherwise.
func TestGoldenTrace(t *testing.T) {
	var lines []string
	settings := goldenSettings()
	for _, name := range []string{"plain", "no cancels", "no holds", "writers read", "asked for", "repeats part", "keyed for all", "tenants"} {
		g := &goldenTrace{sum: sha256.New()}
		goldenDay(g, settings[name], 5)
		lines = append(lines, g.line("day, "+name))
		stream := &goldenTrace{sum: sha256.New()}
		for seed := range uint64(3) {
			for i, a := range play(t, seed, settings[name]) {
				stream.add(Millis(i), nil, []Action{a})
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
		t.Errorf("the module acts otherwise than it did:\n%s\nthan\n%s", text, want)
	}
}
