package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

const sec = time.Second

// fleet returns n generated routers in two data centres.
func fleet(n int, seed uint64) []Router { return GenerateFleet(n, 2, 40*sec, seed) }

var lim = Limits{MinCapacity: 0.8, MinCentreCapacity: 0.7, MaxDown: 8, Canaries: 1, CanaryWatch: 30 * sec, SettleTime: 5 * sec, StatusTimeout: 10 * sec,
	ProgressDeadline: 10 * time.Minute, MaxFailures: 2, MinServed: 0.9, ServedWindow: 10 * sec, MinRequests: 50}

// A schedule keeps the limits at all times, and is no shorter than the lower bound.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "routers")
		all := fleet(n, rapid.Uint64().Draw(t, "seed"))
		l := lim
		l.MinCapacity, l.MinCentreCapacity = rapid.Float64Range(0, 0.9).Draw(t, "share"), rapid.Float64Range(0, 0.9).Draw(t, "centre")
		l.MaxDown, l.Canaries = rapid.IntRange(1, 4).Draw(t, "down"), rapid.IntRange(0, 2).Draw(t, "canaries")
		var todo []Router
		impossible := Infeasible(all, l)
		for _, r := range all {
			if !hasName(impossible, r.Name) && rapid.Bool().Draw(t, "todo") {
				todo = append(todo, r)
			}
		}
		s := Plan(all, todo, l, 20, 1)
		if len(s.Steps) != len(todo) || s.Length < s.Bound {
			t.Fatalf("%d steps for %d routers, length %v, bound %v", len(s.Steps), len(todo), s.Length, s.Bound)
		}
		byName := map[string]Router{}
		for _, r := range all {
			byName[r.Name] = r
		}
		for _, at := range s.Steps {
			r := newBudget(all, l)
			for _, o := range s.Steps {
				if x := byName[o.Router]; o.Start <= at.Start && at.Start < o.End {
					if !r.fits(&x) {
						t.Fatalf("at %v the restart of %s exceeds the limits", at.Start, o.Router)
					}
					r.add(&x, 1)
				}
			}
		}
	})
}

func hasName(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// In small fleets the search finds a schedule at most 20% longer than the shortest of all permutations.
func TestPlanAgainstAllOrders(t *testing.T) {
	for seed := range uint64(20) {
		all := fleet(6, seed)
		l := lim
		l.MinCapacity, l.MinCentreCapacity, l.MaxDown, l.Canaries = 0.5, 0, 2, 0
		if len(Infeasible(all, l)) > 0 {
			continue
		}
		best := time.Duration(1 << 62)
		var permute func(n int)
		o := append([]Router{}, all...)
		permute = func(n int) {
			if n == 0 {
				best = min(best, listSchedule(all, o, l).Length)
				return
			}
			for i := range n {
				o[i], o[n-1] = o[n-1], o[i]
				permute(n - 1)
				o[i], o[n-1] = o[n-1], o[i]
			}
		}
		permute(len(o))
		s := Plan(all, all, l, 200, 1)
		if s.Length < best || s.Length > best*6/5 || s.Bound > best {
			t.Errorf("seed %d: %v, shortest %v, bound %v", seed, s.Length, best, s.Bound)
		}
	}
}

// playRollout simulates a rollout of n routers to release new.
func playRollout(n int, change func(*Simulation)) *SimulationResult {
	all := fleet(n, 7)
	r := Simulation{All: all, Todo: all, Limits: lim, Target: "new", Seed: 3, Spread: 0.2, RecoveryTime: 40 * sec}
	change(&r)
	s := Plan(all, r.Todo, r.Limits, 10, 1)
	r.Order = s.Order()
	return r.Run()
}

// countOnRelease returns the number of routers on a release at the end of a simulation.
func countOnRelease(p *SimulationResult, release string) (n int) {
	for _, r := range p.Releases {
		if r == release {
			n++
		}
	}
	return n
}

func TestRollouts(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*Simulation)
		ending     Ending
		onTarget   int
		mayViolate bool // a crash may violate the limits; the planner may not
	}{
		{"no faults", func(r *Simulation) {}, AllDone, 40, false},
		{"routers crash during their restart", func(r *Simulation) { r.RoutersToCrash = 3 }, AllDone, 40, true},
		{"a router crashes and stays down", func(r *Simulation) { r.RoutersToCrash, r.RecoveryTime = 1, 48*time.Hour }, Stuck, 0, true},
		{"the tool crashes", func(r *Simulation) { r.CrashToolAt = 95 * sec }, AllDone, 40, false},
		{"the tool and routers crash", func(r *Simulation) { r.RoutersToCrash, r.CrashToolAt = 3, 70*sec }, AllDone, 40, true},
		{"the release does not start", func(r *Simulation) { r.BadRelease = true }, RolledBack, 0, false},
		{"the release serves worse", func(r *Simulation) { r.FailureShare = 0.5 }, RolledBack, 0, false},
		{"the tool crashes during the rollback", func(r *Simulation) { r.FailureShare, r.CrashToolAt = 0.5, 75*sec }, RolledBack, 0, false},
	} {
		p := playRollout(40, c.change)
		if p.Ending != c.ending || (c.ending != Stuck && countOnRelease(p, "new") != c.onTarget) || len(p.Violations) > 0 != c.mayViolate && len(p.Violations) > 0 {
			t.Errorf("%s: %v after %v, %d on the new release, %v\n%v", c.name, p.Ending, p.Duration, countOnRelease(p, "new"), p.Violations, p.Notes)
		}
	}
}

// A served share that falls on all routers pauses a rollout without a rollback: the release is not the cause.
func TestPause(t *testing.T) {
	all := fleet(4, 1)
	l := lim
	l.Canaries, l.MinCapacity, l.MinCentreCapacity = 0, 0, 0
	l.MaxDown = 1
	p := New("x", "new", all, all, nil, l, 0)
	observeAll := func(at time.Duration, served, total uint64) (started int) {
		for _, r := range all {
			for _, e := range p.Observe(at, Observation{Router: r.Name, Boot: "1", Release: "old", Ready: true, Served: served, Total: total}) {
				if _, ok := e.(Restart); ok {
					started++
				}
			}
		}
		return started
	}
	l.MinServed = 0.9
	if observeAll(1*sec, 100, 100) != 2 {
		t.Error("want one restart in each data centre")
	}
	observeAll(2*sec, 110, 200)
	if ph, why := p.Phase(); ph != Paused || why == "" {
		t.Errorf("phase %v, reason %q; want a pause with a reason", ph, why)
	}
	for _, e := range p.CommandResult(3*sec, all[0].Name, "x/r000/1", Rejected, "x") {
		if _, ok := e.(Restart); ok {
			t.Error("restart started during a pause")
		}
	}
	observeAll(13*sec, 310, 400)
	if ph, _ := p.Phase(); ph != Forward {
		t.Errorf("phase %v after the served share recovered; want forward", ph)
	}
}

// Over random statuses, results, crashes of routers and of the tool: no restart
// exceeds the limits, a router has one command in flight at most, a rollback
// starts no restart to the target release, and nothing follows the end.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "routers")
		all := fleet(n, rapid.Uint64().Draw(t, "seed"))
		l := lim
		l.MinCapacity, l.MinCentreCapacity, l.MaxDown, l.CanaryWatch = rapid.Float64Range(0, 0.8).Draw(t, "share"), 0, rapid.IntRange(1, 3).Draw(t, "down"), sec
		p := New("x", "new", all, all, nil, l, 0)
		now, ended, rollingBack := time.Duration(0), false, false
		var journal []Entry
		inFlight := map[string]string{} // command in flight, by router
		sent := map[string]bool{}
		seenAt, ready, boots, release := map[string]time.Duration{}, map[string]bool{}, map[string]int{}, map[string]string{}
		check := func(list []Effect) {
			for _, e := range list {
				if ended {
					t.Fatalf("effect %v after the end", e)
				}
				switch e := e.(type) {
				case Restart:
					journal = append(journal, p.JournalEntry(e))
					if inFlight[e.Router] != "" {
						t.Fatalf("two commands in flight for %s", e.Router)
					}
					repeat := sent[e.ID]
					if rollingBack && e.Release == "new" && !repeat {
						t.Fatal("restart to the target release during a rollback")
					}
					inFlight[e.Router], sent[e.ID] = e.ID, true
					downBudget := newBudget(all, l)
					for i := range all {
						// Routers that are not ready may always be restarted; repeated commands start no new restart.
						x := &all[i]
						if _, seen := seenAt[x.Name]; x.Name != e.Router && (inFlight[x.Name] != "" || !seen || !ready[x.Name] || now-seenAt[x.Name] > l.StatusTimeout) {
							downBudget.add(x, 1)
						}
					}
					for i := range all {
						if all[i].Name == e.Router && ready[e.Router] && !repeat && !downBudget.fits(&all[i]) {
							t.Fatalf("restart of %s at %v exceeds the limits", e.Router, now)
						}
					}
				case Note:
					rollingBack = rollingBack || e.Kind == "back"
					if e.Kind == "done" || e.Kind == "refused" || e.Kind == "back" {
						journal = append(journal, Entry{Kind: e.Kind, Router: e.Router})
					}
				case End:
					ended = true
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			r := all[rapid.IntRange(0, n-1).Draw(t, "router")].Name
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // the router crashes and is started again with its previous release
				boots[r]++
				release[r] = "old"
			case 1: // the tool crashes and continues from its journal
				if !ended {
					clear(inFlight)
					p = New("x", "new", all, all, nil, l, now)
					p.Restore(now, journal)
					clear(seenAt)
				}
			case 2, 3, 4:
				if id := inFlight[r]; id != "" {
					o := Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
					if o == Completed || o == NoAnswer && rapid.Bool().Draw(t, "ran") {
						boots[r]++
						release[r] = map[bool]string{true: "old", false: "new"}[rollingBack]
					}
					delete(inFlight, r)
					check(p.CommandResult(now, r, id, o, ""))
				}
			default:
				seenAt[r], ready[r] = now, rapid.IntRange(0, 9).Draw(t, "ready") > 0
				if release[r] == "" {
					release[r] = "old"
				}
				check(p.Observe(now, Observation{Router: r, Boot: fmt.Sprint(boots[r]), Release: release[r], Ready: ready[r]}))
			}
			check(p.Tick(now))
		}
	})
}

// newPairPlanner returns a planner for two routers, of which one may be down at a time.
func newPairPlanner(change func(*Limits)) *Planner {
	all := []Router{{Name: "a", Centre: "c", Capacity: 1}, {Name: "b", Centre: "c", Capacity: 1}}
	l := lim
	l.MinCapacity, l.MinCentreCapacity, l.Canaries, l.MaxDown, l.SettleTime, l.MinServed = 0, 0, 0, 1, 0, 0
	if change != nil {
		change(&l)
	}
	return New("x", "new", all, all, []string{"a", "b"}, l, 0)
}

func observe(p *Planner, now time.Duration, router, boot, release string) string {
	return fmt.Sprint(p.Observe(now, Observation{Router: router, Boot: boot, Release: release, Ready: true}))
}

// A router whose command got no answer counts as down, and is sent the same
// command under the same id if its next status shows the same incarnation.
func TestUnknownOutcome(t *testing.T) {
	p := newPairPlanner(nil)
	observe(p, 1*sec, "a", "1", "old") // b has no status yet, so it counts as down
	first := observe(p, 1*sec, "b", "1", "old")
	if got := p.CommandResult(2*sec, "a", "x/a/1", NoAnswer, "reset"); len(got) != 1 {
		t.Errorf("%v: no other router may be restarted while one is unknown", got)
	}
	if got := observe(p, 3*sec, "b", "1", "old"); got != "[]" {
		t.Errorf("%v: no other router may be restarted while one is unknown", got)
	}
	if got := observe(p, 4*sec, "a", "1", "old"); got != "[{seen a seen again, not restarted; the command is repeated} {a new x/a/1}]" || first != "[{a new x/a/1}]" {
		t.Errorf("%v, first %v", got, first)
	}
}

// A router that reaches the target release after the rollback began is rolled back too.
func TestRollbackOfLateRestart(t *testing.T) {
	p := newPairPlanner(func(l *Limits) { l.MaxDown, l.MaxFailures = 2, 1 })
	observe(p, 1*sec, "a", "1", "old")
	observe(p, 1*sec, "b", "1", "old")
	p.CommandResult(2*sec, "b", "x/b/1", Rejected, "does not come up")
	if ph, _ := p.Phase(); ph != RollingBack {
		t.Fatal(ph)
	}
	p.CommandResult(3*sec, "a", "x/a/1", Completed, "")
	if got := observe(p, 4*sec, "a", "2", "new"); got != "[{a old x/a/2}]" {
		t.Errorf("%v, want a restart to the previous release", got)
	}
	p.CommandResult(5*sec, "a", "x/a/2", Completed, "")
	observe(p, 6*sec, "a", "3", "old")
	if got := observe(p, 7*sec, "a", "3", "old"); got != "[{done a done} {rolled back}]" {
		t.Error(got)
	}
}

// A router whose status is outdated counts as down even if it is not part of the rollout.
func TestOutdatedStatusCountsAsDown(t *testing.T) {
	all := []Router{{Name: "a", Centre: "c", Capacity: 1}, {Name: "b", Centre: "c", Capacity: 1}}
	l := lim
	l.MinCapacity, l.MinCentreCapacity, l.Canaries, l.MaxDown, l.MinServed = 0, 0, 0, 1, 0
	p := New("x", "new", all, all[:1], nil, l, 0)
	observe(p, 1*sec, "b", "1", "old")
	if got := observe(p, 20*sec, "a", "1", "old"); got != "[]" {
		t.Errorf("%s with the other router's status 19 s old", got)
	}
	if got := observe(p, 21*sec, "b", "1", "old"); got != "[{a new x/a/1}]" {
		t.Errorf("%s after the other router's new status", got)
	}
}
