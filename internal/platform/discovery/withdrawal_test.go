package discovery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against a drain that is undone (rule 3): after a change of the agent, the full list of one that is behind was taken as
// it stood. A list that is newer, of a restarted target, or of an agent that counts anew, still brings a target back.
func TestOlderListUndoesNoWithdrawal(t *testing.T) {
	const before, after = time.Second, withdrawalHold // since the withdrawal
	serving := Target{UID: "a", State: stateServing, Boot: 5}
	other := Target{UID: "b", State: stateServing}
	restarted := Target{UID: "a", State: stateServing, Boot: 6}
	state := func(s string) Target { return Target{UID: "a", State: s, Boot: 5} }
	for _, c := range []struct {
		name       string
		withdrawal List
		update     List
		later      time.Duration
		want       string // state of a
	}{
		{"drained, older list", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, before, stateDraining},
		{"drained, older change", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 41, Targets: []Target{serving}}, before, stateDraining},
		{"drained by a list, older list", List{Rev: 42, All: true, Targets: []Target{state(stateDraining), other}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, before, stateDraining},
		{"drained, older list once all agents have it", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, after, stateServing},
		{"drained, newer list", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 43, All: true, Targets: []Target{serving, other}}, before, stateServing},
		{"drained, older list with a later start", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 41, All: true, Targets: []Target{restarted, other}}, before, stateServing},
		{"drained, older list without it", List{Rev: 42, Targets: []Target{state(stateDraining)}}, List{Rev: 3, All: true, Targets: []Target{other}}, before, ""},
		{"deleted, older list", List{Rev: 42, Targets: []Target{state(stateDeleted)}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, before, ""},
		{"left out, older list", List{Rev: 42, All: true, Targets: []Target{other}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, before, ""},
		{"left out, older list once all agents have it", List{Rev: 42, All: true, Targets: []Target{other}}, List{Rev: 41, All: true, Targets: []Target{serving, other}}, after, stateServing},
		{"serving, older list that drains it", List{Rev: 42, Targets: []Target{serving}}, List{Rev: 3, All: true, Targets: []Target{state(stateDraining), other}}, before, stateDraining},
	} {
		now := time.Now()
		var l List
		l.Merge(&List{Rev: 40, All: true, Targets: []Target{serving, other}}, now)
		l.Merge(&c.withdrawal, now)
		given := slices.Clone(c.update.Targets)
		for range 2 { // told twice, it is no newer
			effective := l.Merge(&c.update, now.Add(c.later))
			got, passedOn := stateOf(l.Targets), stateOf(effective.Targets)
			if got != c.want || passedOn != c.want || effective.All != c.update.All || l.Rev != c.update.Rev {
				t.Errorf("%s: %q, passed on as %q, revision %d", c.name, got, passedOn, l.Rev)
			}
		}
		if !slices.Equal(given, c.update.Targets) {
			t.Errorf("%s: the update was changed", c.name)
		}
	}
}

// stateOf returns the state of target a, "" if it is not listed.
func stateOf(targets []Target) string {
	for _, t := range targets {
		if t.UID == "a" {
			return t.State
		}
	}
	return ""
}

// A full list that is older than the known one is asked for again once withdrawals no longer stand against it.
func TestOlderListIsAskedForAgain(t *testing.T) {
	var mu sync.Mutex
	var fullCalls []time.Time
	addr := startAgent(t, func(_ int, target string) ([]string, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(target, "since=") {
			return []string{"", okResponse(`{"rev":3,"all":false,"targets":[]}`)}, 300 * ms
		}
		fullCalls = append(fullCalls, time.Now())
		return []string{okResponse(`{"rev":3,"all":true,"targets":[]}`)}, 0
	})
	ctx, cancel := context.WithTimeout(context.Background(), withdrawalHold+3*time.Second)
	defer cancel()
	w := &Watch{OnList: func(*List) {}, Log: zap.NewNop(), Rev: 42}
	w.Run(ctx, Source{addr, PushTiming}, make(chan Source))
	mu.Lock()
	defer mu.Unlock()
	if len(fullCalls) != 2 || fullCalls[1].Sub(fullCalls[0]) < withdrawalHold {
		t.Error(fmt.Sprint("full lists were asked for at ", fullCalls))
	}
}

// A late answer to an earlier call does not replace the full list that is due again after an older one.
func TestOlderListIsAskedForAgainBySlowAgent(t *testing.T) {
	var full atomic.Int32
	addr := startAgent(t, func(_ int, target string) ([]string, time.Duration) {
		if strings.Contains(target, "since=") {
			return []string{"", okResponse(`{"rev":3,"all":false,"targets":[]}`)}, withdrawalHold + 800*ms
		}
		return []string{"", okResponse(`{"rev":3,"all":true,"targets":[]}`)}, time.Duration(min(full.Add(1)-1, 1)) * 1500 * ms
	})
	ctx, cancel := context.WithTimeout(context.Background(), withdrawalHold+5*time.Second)
	defer cancel()
	var received int
	w := &Watch{Log: zap.NewNop(), Rev: 42, OnList: func(l *List) {
		if l.All {
			received++
		}
	}}
	w.Run(ctx, Source{addr, PushTiming}, make(chan Source))
	if received < 2 {
		t.Errorf("%d full lists were received, asked for %d times", received, full.Load())
	}
}
