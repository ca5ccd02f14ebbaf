package gannethook

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Where only a part of the requests is refused, the refusals are drawn: no session is refused throughout, and the
// longest prompts of a class are accepted at no less than half of the class's rate where little headroom is left, two
// thirds where a little is short.
func TestRefusalsAreSpread(t *testing.T) {
	const sessions, each = 60, 20
	for _, tc := range []struct {
		name  string
		took  Millis // time of every read
		least float64
	}{{"a little is short", 620, 2. / 3}, {"little is left", 900, 0.5}} {
		script := newScript(t, testSettings(func(set *Settings) { set.Tenants = nil }), readers(8)...)
		rnd := rand.New(rand.NewPCG(1, 1))
		script.router.learnPace(1000, 100) // so that the rest of a read's time counts as queueing
		type taken struct {
			prompt float64
			in     bool
		}
		var all []taken
		refused, total := map[int]int{}, map[int]int{}
		for id := RequestID(1); id <= sessions*each; id++ {
			entry := newRequest(id, 0)
			session := rnd.IntN(sessions)
			entry.Session, entry.Prompt = Key(session+1), 800*math.Exp(0.8*rnd.NormFloat64())
			script.handle(100, entry)
			in := len(summaries(script.actions)) > 1 || len(summaries(script.actions)) == 1 && summaries(script.actions)[0][:4] == "send"
			total[session]++
			if !in {
				refused[session]++
			}
			all = append(all, taken{entry.Prompt, in})
			if !in {
				continue
			}
			on := script.sentTo()
			script.handle(tc.took, Ended{ID: id, Server: on, Outcome: ReadDone})
			on = script.sentTo()
			script.handle(10, Streaming{ID: id, Attempt: 1, Server: on})
			script.handle(1, Ended{ID: id, Attempt: 1, Server: on, Outcome: Served, Done: true})
		}
		for session, n := range total {
			if refused[session] == n {
				t.Errorf("%s: session %d: all %d requests are refused", tc.name, session, n)
			}
		}
		share := func(list []taken) float64 {
			in := 0.0
			for _, entry := range list {
				if entry.in {
					in++
				}
			}
			return in / float64(len(list))
		}
		slices.SortFunc(all, func(a, b taken) int { return int(b.prompt - a.prompt) })
		whole, tenth, fifth := share(all), share(all[:len(all)/10]), share(all[len(all)/10:3*len(all)/10])
		t.Logf("%s: %.2f accepted, %.2f of the longest tenth, %.2f of the next fifth", tc.name, whole, tenth, fifth)
		if whole > 0.99 || whole < 0.02 {
			t.Errorf("%s: %.2f are accepted: the test shows nothing", tc.name, whole)
		}
		if tenth < tc.least*whole || fifth < tc.least*whole {
			t.Errorf("%s: %.2f are accepted, %.2f of the longest tenth, %.2f of the next fifth", tc.name, whole, tenth, fifth)
		}
	}
}
