package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Over any arrivals, what passed in any window is no more than the burst and
// the window's rate; what was told to wait so long passes then; and a tenant
// that keeps to its rate is never made to wait.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rate{PerSecond: rapid.Float64Range(1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(10, 50).Draw(t, "burst")}
		var m Meter
		type pass struct {
			at   time.Duration
			size float64
		}
		var list []pass
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			size := rapid.Float64Range(0.1, 10).Draw(t, "size")
			if wait := m.Wait(now, r, size); wait > 0 {
				if m.Wait(now+wait, r, size) != 0 || m.Wait(now+wait*99/100, r, size) == 0 {
					t.Fatalf("a wait of %v is not the least that passes", wait)
				}
				continue
			}
			m.Take(now, r, size)
			list = append(list, pass{now, size})
			sum := 0.0
			for i := len(list) - 1; i >= 0; i-- {
				sum += list[i].size
				if most := r.Burst + r.PerSecond*(now-list[i].at).Seconds(); sum > most*(1+1e-6)+1e-6 {
					t.Fatalf("%g passed in %v, at the most %g", sum, now-list[i].at, most)
				}
			}
		}
		var regular Meter
		at := now
		for range 50 {
			if regular.Wait(at, r, 1) != 0 {
				t.Fatal("a tenant at its rate waits")
			}
			regular.Take(at, r, 1)
			at += time.Duration(float64(time.Second)/r.PerSecond) + 1
		}
	})
}

// Work that is given back counts for nothing, and is not given twice.
func TestRefund(t *testing.T) {
	r := Rate{PerSecond: 10, Burst: 10}
	var m Meter
	m.Take(0, r, 10)
	if m.Wait(0, r, 1) == 0 {
		t.Fatal("more than the burst passes")
	}
	m.Refund(10)
	if m.Available(0, r) != 10 || m.TimeToFull(0, r) != 0 {
		t.Errorf("%g left after all was given back", m.Available(0, r))
	}
	m.Take(0, r, 10)
	now := 3 * time.Second // time has forgiven it
	m.Refund(10)
	if m.Available(now, r) > r.Burst {
		t.Errorf("%g left, the burst is %g", m.Available(now, r), r.Burst)
	}
	if !r.NeverAllows(10.5) || r.NeverAllows(10) || (Rate{}).NeverAllows(1e9) {
		t.Error("what is larger than the burst never passes, and nothing else")
	}
}
