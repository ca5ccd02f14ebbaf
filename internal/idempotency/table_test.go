package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook"
	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

var testScope = Scope{Key: "k"}

var (
	safeClass   = &gannethook.Class{Effect: gannethook.Safe}
	unsafeClass = &gannethook.Class{Effect: gannethook.Unsafe}
	keyedClass  = &gannethook.Class{Effect: gannethook.Keyed, Group: gannethook.GroupAll, Window: 5000}
	zoneClass   = &gannethook.Class{Effect: gannethook.Keyed, Group: gannethook.GroupZone, Window: 5000}
)

// Each verdict follows from the earlier attempts with the key and from the effect of the class.
func TestVerdicts(t *testing.T) {
	const s = time.Second
	begin := func(tb *Table, at time.Duration, retry bool) Verdict {
		return tb.Begin(at, testScope, unsafeClass, retry)
	}
	for _, c := range []struct {
		name string
		do   func(*Table) Verdict
		want Verdict
	}{
		{"a first try", func(tb *Table) Verdict { return begin(tb, 0, false) }, Proceed},
		{"a second while the first is open", func(tb *Table) Verdict {
			begin(tb, 0, false)
			return begin(tb, s, true)
		}, InProgress},
		{"after one that may have run", func(tb *Table) Verdict {
			begin(tb, 0, false)
			tb.End(s, testScope, true)
			return begin(tb, 2*s, false)
		}, MayHaveRun},
		{"after one that did not run", func(tb *Table) Verdict {
			begin(tb, 0, false)
			tb.End(s, testScope, false)
			return begin(tb, 2*s, false)
		}, Proceed},
		{"a repeat of a try at another router", func(tb *Table) Verdict { return begin(tb, 0, true) }, Unknown},
		{"a repeat without a key", func(tb *Table) Verdict {
			return tb.Begin(0, Scope{}, unsafeClass, true)
		}, Unknown},
		{"a first try without a key", func(tb *Table) Verdict {
			return tb.Begin(0, Scope{}, unsafeClass, false)
		}, Proceed},
		{"the window is over", func(tb *Table) Verdict {
			begin(tb, 0, false)
			tb.End(s, testScope, true)
			return begin(tb, 12*s, false)
		}, Proceed},
		{"another tenant's key", func(tb *Table) Verdict {
			begin(tb, 0, false)
			return tb.Begin(s, Scope{Tenant: 1, Key: "k"}, unsafeClass, false)
		}, Proceed},
		{"the table is full", func(tb *Table) Verdict {
			for _, k := range []string{"a", "b", "c"} {
				tb.Begin(0, Scope{Key: k}, unsafeClass, false)
			}
			return begin(tb, s, false)
		}, TableFull},
		{"safe is never held up", func(tb *Table) Verdict {
			tb.Begin(0, testScope, safeClass, false)
			return tb.Begin(0, testScope, safeClass, true)
		}, Proceed},
		{"keyed everywhere: the engines drop the repeat", func(tb *Table) Verdict {
			tb.Begin(0, testScope, keyedClass, false)
			tb.End(s, testScope, true)
			return tb.Begin(2*s, testScope, keyedClass, true)
		}, Proceed},
		{"keyed, but the engines remember it no longer", func(tb *Table) Verdict {
			tb.Begin(0, testScope, keyedClass, false)
			tb.End(s, testScope, true)
			return tb.Begin(6*s, testScope, keyedClass, false)
		}, MayHaveRun},
		{"keyed, and a repeat that was refused does not hide the first", func(tb *Table) Verdict {
			tb.Begin(0, testScope, keyedClass, false)
			tb.End(s, testScope, true)
			tb.Begin(2*s, testScope, keyedClass, true)
			tb.End(3*s, testScope, false)
			return tb.Begin(6*s, testScope, keyedClass, false)
		}, MayHaveRun},
		{"keyed in a zone: the next server may be outside", func(tb *Table) Verdict {
			tb.Begin(0, testScope, zoneClass, false)
			tb.End(s, testScope, true)
			return tb.Begin(2*s, testScope, zoneClass, false)
		}, MayHaveRun},
	} {
		if got := c.do(New(10*s, 3)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// For any order of attempts, an unsafe request that may have run never proceeds again within the retention period, and
// the table keeps its bound.
func TestUnsafeKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention, maxKeys = 10 * time.Second, 4
		tb := New(retention, maxKeys)
		open, ranAt := map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
			scope := Scope{Key: key}
			if rapid.Bool().Draw(t, "end") {
				ran := rapid.Bool().Draw(t, "ran")
				if tb.End(now, scope, ran); open[key] {
					if delete(open, key); ran {
						ranAt[key] = now
					}
				}
				continue
			}
			v := tb.Begin(now, scope, unsafeClass, rapid.Bool().Draw(t, "retry"))
			at, ran := ranAt[key]
			if v == Proceed && (open[key] || ran && now-at < retention) {
				t.Fatalf("%s proceeds again at %v: open %v, ran at %v", key, now, open[key], at)
			}
			if v == Proceed {
				open[key] = true
				delete(ranAt, key)
			}
			if tb.Len() > maxKeys {
				t.Fatalf("%d keys are stored", tb.Len())
			}
		}
	})
}
