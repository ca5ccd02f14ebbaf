package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// For any arrivals, the work admitted in any window is at most the burst plus the rate times the window; work is admitted
// after the wait that was returned for it and not much earlier; and a tenant within its rate never waits.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rate{PerSecond: rapid.Float64Range(1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(10, 50).Draw(t, "burst")}
		var m Meter
		type pass struct {
			at   time.Duration
			size float64
		}
		var admitted []pass
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			size := rapid.Float64Range(0.1, 10).Draw(t, "size")
			if wait := m.Wait(now, r, size); wait > 0 {
				if m.Wait(now+wait, r, size) != 0 || m.Wait(now+wait*99/100, r, size) == 0 {
					t.Fatalf("%v is not the shortest wait after which the work is admitted", wait)
				}
				continue
			}
			m.Take(now, r, size)
			admitted = append(admitted, pass{now, size})
			sum := 0.0
			for i := len(admitted) - 1; i >= 0; i-- {
				sum += admitted[i].size
				if most := r.Burst + r.PerSecond*(now-admitted[i].at).Seconds(); sum > most*(1+1e-6)+1e-6 {
					t.Fatalf("%g admitted in %v, at most %g allowed", sum, now-admitted[i].at, most)
				}
			}
		}
		var regular Meter
		at := now
		for range 50 {
			if regular.Wait(at, r, 1) != 0 {
				t.Fatal("a tenant within its rate waits")
			}
			regular.Take(at, r, 1)
			at += time.Duration(float64(time.Second)/r.PerSecond) + 1
		}
	})
}

// Refunded work is not charged, and what has drained already isn't refunded again.
func TestRefund(t *testing.T) {
	r := Rate{PerSecond: 10, Burst: 10}
	var m Meter
	m.Take(0, r, 10)
	if m.Wait(0, r, 1) == 0 {
		t.Fatal("more than the burst is admitted")
	}
	m.Refund(10)
	if m.Available(0, r) != 10 || m.TimeToFull(0, r) != 0 {
		t.Errorf("%g available after everything was refunded", m.Available(0, r))
	}
	m.Take(0, r, 10)
	now := 3 * time.Second // the meter has drained
	m.Refund(10)
	if m.Available(now, r) > r.Burst {
		t.Errorf("%g available, the burst is %g", m.Available(now, r), r.Burst)
	}
	if !r.NeverAllows(10.5) || r.NeverAllows(10) || (Rate{}).NeverAllows(1e9) {
		t.Error("NeverAllows must hold exactly for work larger than the burst")
	}
}
