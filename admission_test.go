package gannethook

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Where part of the requests is refused, chance alone tells which: no session is refused throughout, and the longest
// prompts of a class are let in as the others are, with half of the class's share at the least where little is left
// and two thirds where a little is short.
func TestRefusalsSpread(t *testing.T) {
	const sessions, each = 60, 20
	for _, c := range []struct {
		name  string
		took  Millis // of every read
		least float64
	}{{"a little is short", 620, 2. / 3}, {"little is left", 900, 0.5}} {
		s := newScript(t, fleet(func(set *Settings) { set.Tenants = nil }), readers(8)...)
		rnd := rand.New(rand.NewPCG(1, 1))
		s.r.learnPace(1000, 100) // so that the rest of a read is waiting
		type taken struct {
			prompt float64
			in     bool
		}
		var all []taken
		refused, of := map[int]int{}, map[int]int{}
		for id := RequestID(1); id <= sessions*each; id++ {
			q := ask(id, 0)
			session := rnd.IntN(sessions)
			q.Session, q.Prompt = Key(session+1), 800*math.Exp(0.8*rnd.NormFloat64())
			s.on(100, q)
			in := len(shorts(s.acts)) > 1 || len(shorts(s.acts)) == 1 && shorts(s.acts)[0][:4] == "send"
			of[session]++
			if !in {
				refused[session]++
			}
			all = append(all, taken{q.Prompt, in})
			if !in {
				continue
			}
			on := s.sent()
			s.on(c.took, Ended{ID: id, Server: on, Outcome: ReadDone})
			on = s.sent()
			s.on(10, Streaming{ID: id, Attempt: 1, Server: on})
			s.on(1, Ended{ID: id, Attempt: 1, Server: on, Outcome: Served, Done: true})
		}
		for session, n := range of {
			if refused[session] == n {
				t.Errorf("%s: session %d is refused throughout, %d times", c.name, session, n)
			}
		}
		share := func(list []taken) float64 {
			in := 0.0
			for _, q := range list {
				if q.in {
					in++
				}
			}
			return in / float64(len(list))
		}
		slices.SortFunc(all, func(a, b taken) int { return int(b.prompt - a.prompt) })
		whole, tenth, fifth := share(all), share(all[:len(all)/10]), share(all[len(all)/10:3*len(all)/10])
		t.Logf("%s: %.2f answered, %.2f of the longest tenth, %.2f of the next fifth", c.name, whole, tenth, fifth)
		if whole > 0.99 || whole < 0.02 {
			t.Errorf("%s: %.2f are let in: nothing is shown", c.name, whole)
		}
		if tenth < c.least*whole || fifth < c.least*whole {
			t.Errorf("%s: %.2f are let in, %.2f of the longest tenth, %.2f of the next fifth", c.name, whole, tenth, fifth)
		}
	}
}
