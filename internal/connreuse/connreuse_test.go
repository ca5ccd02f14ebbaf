package connreuse

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// day notes requests ten a second, of which each nth on a kept and on a new connection breaks.
func day(k *Policy, from time.Duration, seconds, kept, fresh int) time.Duration {
	for i := range seconds * 10 {
		from += 100 * time.Millisecond
		k.Record(from, true, kept > 0 && i%kept == 0)
		k.Record(from, false, fresh > 0 && i%fresh == 0)
	}
	return from
}

func TestCalm(t *testing.T) {
	var k Policy
	now := day(&k, 0, 20, 0, 0)
	if k.UseNewConnection(now, true, -1) || k.UseNewConnection(now, false, 3) {
		t.Error("kept connections are not trusted on a calm day")
	}
	k.Record(now, true, true)
	if k.UseNewConnection(now, false, 3) {
		t.Error("one break changes all")
	}
}

func TestResets(t *testing.T) {
	for _, c := range []struct {
		name        string
		kept, fresh int
		once, usual bool
	}{
		{"kept ones break", 10, 0, true, true},
		{"kept ones break a little", 40, 0, true, false},
		{"all break alike", 10, 10, false, false},
		{"new ones break", 0, 10, false, false},
	} {
		var k Policy
		now := day(&k, 0, 20, c.kept, c.fresh)
		once, last, any, usual := k.UseNewConnection(now, true, 3), k.UseNewConnection(now, false, 1), k.UseNewConnection(now, false, -1), k.UseNewConnection(now, false, 3)
		if once != c.once || last != c.once || any != c.usual || usual != c.usual {
			t.Errorf("%s: unsafe %v, last %v, without limit %v, usual %v", c.name, once, last, any, usual)
		}
	}
}

// After the trouble kept connections are used again, by what still goes by them.
func TestAfterwards(t *testing.T) {
	var k Policy
	now, fresh := day(&k, 0, 20, 5, 0), 0
	for range 600 {
		now += 100 * time.Millisecond
		if k.UseNewConnection(now, false, 3) {
			fresh++
			k.Record(now, false, false)
		} else {
			k.Record(now, true, false)
		}
	}
	if k.UseNewConnection(now, true, -1) || fresh == 0 || fresh > 400 {
		t.Errorf("fresh %d times in a minute", fresh)
	}
}

// Whatever is noted, parts stay parts and what is seen of both alike is trusted.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Policy
		now := time.Duration(0)
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(-1000, 100000).Draw(t, "ms")) * time.Millisecond
			bad := rapid.Bool().Draw(t, "bad")
			k.Record(now, true, bad)
			k.Record(now, false, bad)
			if p := k.brokenShare(true); p < 0 || p > 1 {
				t.Fatalf("part %v", p)
			}
			if k.UseNewConnection(now, true, -1) {
				t.Fatal("kept ones are left though new ones do as badly")
			}
		}
	})
}
