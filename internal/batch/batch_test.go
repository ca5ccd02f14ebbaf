package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// Parts cover all texts in order and within the bounds, and their number is at most 2 more than twice the minimum.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxTokens: rapid.Float64Range(10, 1000).Draw(t, "tokens"), MaxTexts: rapid.IntRange(1, 50).Draw(t, "items")}
		sizes := rapid.SliceOfN(rapid.Float64Range(0, 300), 1, 200).Draw(t, "sizes")
		parts, at, total := Split(sizes, limits, false), 0, 0.0
		for i, p := range parts {
			sum := 0.0
			for _, n := range sizes[p.From:p.To] {
				sum += n
			}
			total += sum
			if p.From != at || p.To <= p.From || p.To-p.From > limits.MaxTexts || sum > limits.MaxTokens+1e-9 && p.To-p.From > 1 || sum != p.Tokens {
				t.Fatalf("part %d of %d: %+v, %g tokens", i, len(parts), p, sum)
			}
			at = p.To
		}
		if at != len(sizes) {
			t.Fatalf("%d of %d texts", at, len(sizes))
		}
		if least := max(total/limits.MaxTokens, float64(len(sizes))/float64(limits.MaxTexts)); float64(len(parts)) > 2*least+2 {
			t.Fatalf("%d parts, the minimum is %g", len(parts), least)
		}
	})
	if parts := Split([]float64{5, 5, 5}, Limits{MaxTokens: 6, MaxTexts: 1}, true); len(parts) != 1 || parts[0].To != 3 || parts[0].Tokens != 15 {
		t.Errorf("%+v; the batch must not be split", parts)
	}
}

// simulate runs a batch with drawn outcomes of its parts and checks each action and the final answer.
func simulate(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "parts")
	limits := Limits{MaxInFlight: rapid.IntRange(1, 4).Draw(t, "out"), MaxAttempts: rapid.IntRange(1, 3).Draw(t, "tries"), RetryMargin: 100 * time.Millisecond}
	repeatable := rapid.Bool().Draw(t, "free")
	deadline := 5 * time.Second
	m := New(n, limits, deadline, repeatable)
	now := time.Duration(0)
	inFlight, served, attempts, wakes := map[int]bool{}, map[int]bool{}, map[int]int{}, []time.Duration{}
	var final *End
	mayHaveRun := false
	apply := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Submit:
				if final != nil || inFlight[a.Part] || served[a.Part] || a.Retry != (attempts[a.Part] > 0) {
					t.Fatalf("%+v after %+v", a, final)
				}
				inFlight[a.Part] = true
				if attempts[a.Part]++; attempts[a.Part] > limits.MaxAttempts || len(inFlight) > limits.MaxInFlight {
					t.Fatalf("part %d, attempt %d, %d in flight", a.Part, attempts[a.Part], len(inFlight))
				}
			case Cancel:
				if final == nil || !inFlight[a.Part] {
					t.Fatalf("%+v", a)
				}
				delete(inFlight, a.Part)
			case Wake:
				if a.At >= deadline-limits.RetryMargin {
					t.Fatalf("a part is retried at %v", a.At)
				}
				wakes = append(wakes, a.At)
			case Final:
				if final != nil {
					t.Fatal("two final answers")
				}
				final = &a.End
			}
		}
	}
	apply(m.Start(now))
	for final == nil {
		now += 10 * time.Millisecond
		for len(wakes) > 0 && wakes[0] <= now {
			wakes = wakes[1:]
			apply(m.Wake(now))
		}
		if len(inFlight) == 0 {
			if len(wakes) == 0 {
				t.Fatal("no final answer, with no part in flight or scheduled")
			}
			continue
		}
		i := rapid.IntRange(0, n-1).Draw(t, "which")
		if !inFlight[i] {
			continue
		}
		delete(inFlight, i)
		e := End{Kind: Kind(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 2, 3}).Draw(t, "kind")), RetryAfter: 200 * time.Millisecond}
		e.MayHaveRun = e.Kind != Refused
		mayHaveRun = mayHaveRun || e.MayHaveRun
		served[i] = e.Kind == Served
		apply(m.Ended(now, i, e))
		if final == nil {
			continue
		}
		if final.Kind == Refused && !repeatable && mayHaveRun {
			t.Fatal("refused although a part may have run and must not run twice")
		}
		if final.Kind == Served && len(served) != n {
			t.Fatal("served without all parts")
		}
	}
	if actions := m.Ended(now, 0, End{Kind: Served}); len(actions) > 0 || len(inFlight) > 0 {
		t.Fatalf("after the end: %v, %d parts still in flight", actions, len(inFlight))
	}
}

// For any outcomes of its parts a batch has one final answer, followed only by cancels of parts.
func TestOneAnswer(t *testing.T) { rapid.Check(t, simulate) }

func started(m *Machine) *Machine {
	m.Start(0)
	return m
}

// A refused part is retried after its delay while the other parts continue. A batch of which nothing has run is refused
// at once. A batch whose client disconnects is answered and its parts in flight are cancelled.
func TestRefusedPart(t *testing.T) {
	if acts := started(New(3, Limits{MaxInFlight: 1, MaxAttempts: 2}, time.Minute, true)).Ended(1, 0, End{Kind: Refused}); len(acts) != 1 {
		t.Fatalf("the first part was refused and nothing has run: %v", acts)
	}
	m := New(4, Limits{MaxInFlight: 1, MaxAttempts: 2}, time.Minute, true)
	m.Start(0)
	m.Ended(0, 0, End{Kind: Served, MayHaveRun: true})
	steps := []struct {
		acts []Action
		want int
	}{
		{m.Ended(1, 1, End{Kind: Refused, RetryAfter: time.Second}), 2}, // a wake, and the next part
		{m.Ended(2, 2, End{Kind: Served, MayHaveRun: true}), 1},
		{m.Ended(3, 3, End{Kind: Served, MayHaveRun: true}), 0},
		{m.Wake(time.Second + 1), 1},
		{m.Ended(time.Second+2, 1, End{Kind: Served}), 1},
	}
	for i, s := range steps {
		if len(s.acts) != s.want {
			t.Fatalf("step %d: %v", i, s.acts)
		}
	}
	if f, ok := steps[4].acts[0].(Final); !ok || f.Kind != Served || !f.MayHaveRun {
		t.Errorf("%v", steps[4].acts)
	}
	disconnected := New(3, Limits{MaxInFlight: 2, MaxAttempts: 1}, time.Minute, true)
	disconnected.Start(0)
	if acts := disconnected.ClientDisconnected(); len(acts) != 3 {
		t.Errorf("the client disconnected: %v, want a final answer and two cancelled parts", acts)
	}
}
