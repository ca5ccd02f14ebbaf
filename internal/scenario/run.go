package scenario

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gannethook/internal/record"
	"gannethook/internal/rules"
)

// Counts counts requests by outcome.
type Counts struct {
	Offered, InTime, Served, Refused, Failed, Lost, Tries int
	FirstToken                                            *hdrhistogram.Histogram // ms to the first token
	Worth                                                 float64                 // worth of the requests served in time
}

// Result is the result of one run.
type Result struct {
	Script      *Script
	Policy      string
	All         Counts
	Class       []Counts
	Tenant      []Counts
	Reasons     map[string]int // requests that were not served, by the router's last reason
	Verdict     *rules.Verdict
	Events      []record.Event
	Outcomes    []outcome // of the requests
	Applied     int       // effects that the stand-ins counted
	Duplicated  int       // requests that took effect more than once, as the stand-ins counted
	Elapsed     time.Duration
	Ops         *rules.Operations // runs of the fleet tool
	LoadFactor  float64           // factor on the script's rate, when it is run at several loads
	ShutdownErr error             // fault during the shutdown of the run
}

// Run runs a scenario in a folder, which keeps settings, logs and records.
func Run(ctx context.Context, s *Script, policy, dir string, command Command) (*Result, error) {
	f := &fleet{script: s, log: record.New(), command: command, policy: policy, dir: dir}
	err := f.setUp(ctx)
	if err != nil {
		f.tearDown()
		return nil, err
	}
	f.start = time.Now()
	pool := &userPool{fleet: f}
	f.faultsDone.Go(func() { f.runFaults(ctx) })
	pool.run(ctx, s.plan())
	f.faultsDone.Wait()
	if err := ctx.Err(); err != nil { // an interrupted run gives no result
		f.tearDown()
		return nil, err
	}
	time.Sleep(s.Settings.PinLimit) // holds that are not released within the pin limit show in the records
	res := &Result{Script: s, Policy: policy, Elapsed: time.Since(f.start), ShutdownErr: f.tearDown()}
	res.Events = f.log.Events()
	res.Outcomes = pool.outcomes
	res.countOutcomes(pool.outcomes)
	res.countEffects(f)
	res.Verdict = rules.Check(f.ruleConfig(), res.Events)
	res.Ops = rules.Operators(res.Events, 2000) // the timeout of connect and connectHTTP, in ms
	return res, res.save(dir)
}

// ruleConfig returns the limits that the checker uses.
func (f *fleet) ruleConfig() rules.Config {
	cfg := rules.Config{Classes: map[string]rules.Class{}, Engines: map[string]rules.Location{},
		AnswerMargin: 250, DrainGrace: f.script.Settings.Grace.Seconds() * 1000,
		PinLimit: f.script.Settings.PinLimit.Seconds() * 1000, ReleaseMargin: 100, DialTimeouts: 800}
	for _, c := range f.script.Classes {
		cfg.Classes[c.Name] = rules.Class{Effect: c.Effect, Group: c.Group, Window: c.Window.Seconds() * 1000}
	}
	for _, e := range f.engines() {
		_, zone, cell := f.location(e)
		cfg.Engines[e.Addr()] = rules.Location{Zone: zone, Cell: cell}
	}
	return cfg
}

func newCounts() Counts { return Counts{FirstToken: hdrhistogram.New(1, 120000, 3)} }

func (t *Counts) add(o *outcome) {
	t.Offered++
	t.Tries += o.tries
	switch o.kind {
	case "served":
		t.Served++
		t.FirstToken.RecordValue(max(o.firstToken.Milliseconds(), 1))
		if o.inTime {
			t.InTime++
		}
	case "refused":
		t.Refused++
	case "failed":
		t.Failed++
	default:
		t.Lost++
	}
}

func (r *Result) countOutcomes(ends []outcome) {
	r.All = newCounts()
	for range r.Script.Classes {
		r.Class = append(r.Class, newCounts())
	}
	for range r.Script.Tenants {
		r.Tenant = append(r.Tenant, newCounts())
	}
	r.Reasons = map[string]int{}
	for i := range ends {
		r.All.add(&ends[i])
		r.Class[ends[i].class].add(&ends[i])
		worth := r.Script.Classes[ends[i].class].Worth
		for _, t := range r.countsFor(&ends[i]) {
			if ends[i].inTime && ends[i].kind == "served" {
				t.Worth += worth
			}
		}
		if t := ends[i].tenant; t >= 0 && t < len(r.Tenant) {
			r.Tenant[t].add(&ends[i])
		}
		if ends[i].kind == "refused" || ends[i].kind == "failed" {
			reason := ends[i].kind + ": " + ends[i].reason
			if t := ends[i].tenant; t >= 0 {
				reason += " (" + r.Script.Tenants[t].Name + ")"
			}
			r.Reasons[reason]++
		}
	}
}

// countsFor returns the counts that a request belongs to.
func (r *Result) countsFor(o *outcome) []*Counts {
	list := []*Counts{&r.All, &r.Class[o.class]}
	if o.tenant >= 0 && o.tenant < len(r.Tenant) {
		list = append(list, &r.Tenant[o.tenant])
	}
	return list
}

// Jain returns Jain's fairness index over the tenants' served worth by weight: 1 if all got the same, 1/n if one got
// everything.
func (r *Result) Jain() float64 {
	sum, squares := 0.0, 0.0
	for i := range r.Tenant {
		x := r.Tenant[i].Worth / max(r.Script.Tenants[i].Weight, 1e-9)
		sum, squares = sum+x, squares+x*x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / squares / float64(len(r.Tenant))
}

// countEffects sums the effects that the stand-ins counted.
func (r *Result) countEffects(f *fleet) {
	sum := map[string]int{}
	for _, e := range f.engines() {
		for req, n := range e.Applied() {
			sum[req] += n
		}
	}
	safe := map[string]bool{}
	for _, e := range r.Events {
		if e.Kind == record.Offer {
			for _, c := range r.Script.Classes {
				if c.Name == e.Class && c.Effect == "safe" {
					safe[e.Req] = true
				}
			}
		}
	}
	for req, n := range sum {
		if safe[req] {
			continue
		}
		r.Applied += n
		if n > 1 {
			r.Duplicated++
		}
	}
}

// save writes the records, and the timelines of violations.
func (r *Result) save(dir string) error {
	w, err := os.Create(filepath.Join(dir, "records.jsonl"))
	if err != nil {
		return err
	}
	err = record.Write(w, r.Events)
	if err2 := w.Close(); err == nil {
		err = err2
	}
	if err != nil || len(r.Verdict.Violations) == 0 {
		return err
	}
	w, err = os.Create(filepath.Join(dir, "breaks.txt"))
	if err != nil {
		return err
	}
	for i := range r.Verdict.Violations {
		r.Verdict.Violations[i].Write(w)
	}
	return w.Close()
}

// OK reports whether no rule was violated, the stand-ins counted no effect twice, the check of operations passed and the
// shutdown succeeded.
func (r *Result) OK() bool {
	return len(r.Verdict.Violations) == 0 && r.Duplicated == 0 && r.ShutdownErr == nil && len(r.Ops.Violations) == 0
}

func share(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

// Write prints the table of a run.
func (r *Result) Write(w io.Writer) {
	s := r.Script
	fmt.Fprintf(w, "day %s, seed %d, policy %s: %d routers, %d readers, %d writers, %.3g requests a second for %v (stand-ins)\n",
		s.Name, s.Seed, r.Policy, s.Routers, s.Readers, s.Writers, s.Rate, s.Length)
	for i := range s.Faults {
		fmt.Fprintf(w, "  %v\n", &s.Faults[i])
	}
	fmt.Fprintf(w, "%-16s %8s %8s %8s %8s %8s %8s %7s %7s %7s\n", "class", "offered", "in time", "served", "refused",
		"failed", "lost", "tries", "p50 ms", "p99 ms")
	row := func(name string, t *Counts) {
		fmt.Fprintf(w, "%-16s %8d %8s %8s %8s %8s %8s %7.2f %7d %7d\n", name, t.Offered, share(t.InTime, t.Offered),
			share(t.Served, t.Offered), share(t.Refused, t.Offered), share(t.Failed, t.Offered), share(t.Lost, t.Offered),
			float64(t.Tries)/max(float64(t.Offered), 1), t.FirstToken.ValueAtQuantile(50), t.FirstToken.ValueAtQuantile(99))
	}
	for i := range s.Classes {
		row(s.Classes[i].Name, &r.Class[i])
	}
	row("all", &r.All)
	for i := range r.Tenant {
		row("tenant "+s.Tenants[i].Name, &r.Tenant[i])
	}
	if len(r.Tenant) > 0 {
		fmt.Fprintf(w, "Jain's index over the tenants' served worth: %.3f\n", r.Jain())
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "  %6d %s\n", r.Reasons[reason], reason)
	}
	fmt.Fprintf(w, "attempts at engines %d, effects %d, effects twice %d\n", r.Verdict.Attempts, r.Applied, r.Duplicated)
	for rule := 1; rule <= 5; rule++ {
		status := "kept"
		if n := r.Verdict.Count(rule); n > 0 {
			status = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(w, "rule %d %s\n", rule, status)
	}
	for _, b := range r.Verdict.Violations[:min(len(r.Verdict.Violations), 5)] {
		fmt.Fprintf(w, "  %v\n", &b)
	}
	if r.Ops.Runs > 0 {
		fmt.Fprintf(w, "fleet tool: %d runs, by exit status %v; %d exit statuses or doors wrong\n", r.Ops.Runs, r.Ops.Codes, len(r.Ops.Violations))
	}
	for _, b := range r.Ops.Violations[:min(len(r.Ops.Violations), 5)] {
		fmt.Fprintf(w, "  %s\n", b)
	}
	r.WriteOperations(w)
	fmt.Fprintf(w, "clients without a session %d, of these at routers dead, stopping or drained %d\n", r.Ops.NoSession, r.Ops.Excused)
	if r.ShutdownErr != nil {
		fmt.Fprintf(w, "at the end: %v\n", r.ShutdownErr)
	}
}

// Compare prints runs of one script under several policies, one line each.
func Compare(w io.Writer, results []*Result) {
	fmt.Fprintf(w, "%-12s %5s %8s %8s %8s %8s %8s %8s %7s %s\n", "policy", "seed", "offered", "in time", "served",
		"refused", "failed", "lost", "tries", "rules")
	for _, r := range results {
		t, kept := &r.All, "kept"
		if !r.OK() {
			var violated []int
			for _, b := range r.Verdict.Violations {
				violated = append(violated, b.Rule)
			}
			slices.Sort(violated)
			kept = fmt.Sprintf("broken: %v", slices.Compact(violated))
		}
		fmt.Fprintf(w, "%-12s %5d %8d %8s %8s %8s %8s %8s %7.2f %s\n", r.Policy, r.Script.Seed, t.Offered,
			share(t.InTime, t.Offered), share(t.Served, t.Offered), share(t.Refused, t.Offered),
			share(t.Failed, t.Offered), share(t.Lost, t.Offered), float64(t.Tries)/max(float64(t.Offered), 1), kept)
	}
}
