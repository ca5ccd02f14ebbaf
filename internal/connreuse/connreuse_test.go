package connreuse

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordSeconds records ten requests a second on reused and on new connections, of which each breakReused-th and
// breakNew-th breaks (0: none).
func recordSeconds(p *Policy, from time.Duration, seconds, breakReused, breakNew int) time.Duration {
	for i := range seconds * 10 {
		from += 100 * time.Millisecond
		p.Record(from, true, breakReused > 0 && i%breakReused == 0)
		p.Record(from, false, breakNew > 0 && i%breakNew == 0)
	}
	return from
}

func TestReuseWithoutResets(t *testing.T) {
	var p Policy
	now := recordSeconds(&p, 0, 20, 0, 0)
	if p.UseNewConnection(now, true, -1) || p.UseNewConnection(now, false, 3) {
		t.Error("connections are not reused although none has broken")
	}
	p.Record(now, true, true)
	if p.UseNewConnection(now, false, 3) {
		t.Error("one break ends the reuse of connections")
	}
}

func TestResets(t *testing.T) {
	for _, c := range []struct {
		name                  string
		reusedBreak, newBreak int
		single, usual         bool
	}{
		{"reused ones break", 10, 0, true, true},
		{"reused ones break sometimes", 40, 0, true, false},
		{"both break as often", 10, 10, false, false},
		{"new ones break", 0, 10, false, false},
	} {
		var p Policy
		now := recordSeconds(&p, 0, 20, c.reusedBreak, c.newBreak)
		single, last, any, usual := p.UseNewConnection(now, true, 3), p.UseNewConnection(now, false, 1), p.UseNewConnection(now, false, -1), p.UseNewConnection(now, false, 3)
		if single != c.single || last != c.single || any != c.usual || usual != c.usual {
			t.Errorf("%s: unsafe %v, last %v, without limit %v, usual %v", c.name, single, last, any, usual)
		}
	}
}

// After resets have ended connections are reused again, thanks to the requests that still reuse one.
func TestReuseResumesAfterResets(t *testing.T) {
	var p Policy
	now, newConns := recordSeconds(&p, 0, 20, 5, 0), 0
	for range 600 {
		now += 100 * time.Millisecond
		if p.UseNewConnection(now, false, 3) {
			newConns++
			p.Record(now, false, false)
		} else {
			p.Record(now, true, false)
		}
	}
	if p.UseNewConnection(now, true, -1) || newConns == 0 || newConns > 400 {
		t.Errorf("%d new connections in a minute", newConns)
	}
}

// For any history, shares stay between 0 and 1, and connections are reused while new ones break as often.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Policy
		now := time.Duration(0)
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(-1000, 100000).Draw(t, "ms")) * time.Millisecond
			broken := rapid.Bool().Draw(t, "bad")
			p.Record(now, true, broken)
			p.Record(now, false, broken)
			if share := p.brokenShare(true); share < 0 || share > 1 {
				t.Fatalf("share %v", share)
			}
			if p.UseNewConnection(now, true, -1) {
				t.Fatal("connections are not reused although new ones break as often")
			}
		}
	})
}
