package streamdrain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func TestNoEarlyEndWithoutResumption(t *testing.T) {
	open := []Stream{{ID: 1}}
	if p := NewPlan(4*sec, false); p.ToEnd(3*sec, open) != nil {
		t.Error("a stream was ended although clients do not resume streams")
	}
}

func TestSpread(t *testing.T) {
	p := NewPlan(4*sec, true)
	var open []Stream
	for i := range 100 {
		open = append(open, Stream{uint64(i), time.Duration(i)})
	}
	if got := p.ToEnd(p.From-1, open); len(got) != 0 {
		t.Errorf("%d ended before From", len(got))
	}
	got := p.ToEnd((p.From+p.Until)/2, open)
	if len(got) != 50 || got[0].ID != 50 {
		t.Errorf("halfway: %d ended, first %v; the 50 youngest expected", len(got), got)
	}
	if got := p.ToEnd(p.Until, open[:50]); len(got) != 50 {
		t.Errorf("%d ended at Until, all 50 expected", len(got))
	}
}

// Whichever streams end by themselves between calls: none is open after Until, none is
// ended before From, and only a few are ended in one call.
func TestRandomOpenStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kill := time.Duration(rapid.IntRange(500, 20000).Draw(t, "kill")) * time.Millisecond
		p := NewPlan(kill, true)
		open := map[uint64]Stream{}
		n := rapid.IntRange(0, 200).Draw(t, "streams")
		for i := range n {
			open[uint64(i)] = Stream{uint64(i), time.Duration(rapid.IntRange(0, 50).Draw(t, "began"))}
		}
		const looks = 50
		for at := time.Duration(0); at <= p.Until; at += p.Until / looks {
			var list []Stream
			for _, s := range open {
				list = append(list, s)
			}
			cut := p.ToEnd(at, list)
			if len(cut) > 0 && at < p.From {
				t.Fatal("ended before From")
			}
			if most := n*2/(looks/4) + 1; at < p.Until && len(cut) > most {
				t.Fatalf("%d of %d ended in one call", len(cut), n)
			}
			for _, s := range cut {
				delete(open, s.ID)
			}
			if rapid.Bool().Draw(t, "one ends") {
				for id := range open {
					delete(open, id)
					break
				}
			}
		}
		var rest []Stream
		for _, s := range open {
			rest = append(rest, s)
		}
		if got := p.ToEnd(p.Until, rest); len(got) != len(rest) {
			t.Fatalf("%d of %d were not ended", len(rest)-len(got), len(rest))
		}
	})
}

// Guards against streams that are lost at the kill because a late request was taken on a guess how long its stream would
// take: after AcceptPeriod a request is accepted only where its stream can be resumed.
func TestAccepts(t *testing.T) {
	const kill = 3700 * time.Millisecond
	for _, c := range []struct {
		name    string
		arrived time.Duration
		resume  bool
		want    bool
	}{
		{"before the stop", -sec, false, true},
		{"soon after the stop", AcceptPeriod, false, true},
		{"late", AcceptPeriod + 1, false, false},
		{"just within the time that the platform excuses", 700 * time.Millisecond, false, false},
		{"the last moment", kill, false, false},
		{"late, can be resumed", 3 * sec, true, true},
	} {
		if got := NewPlan(kill, c.resume).Accepts(c.arrived); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
