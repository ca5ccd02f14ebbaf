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

// Tally counts how requests ended.
type Tally struct {
	Offered, InTime, Served, Refused, Failed, Lost, Tries int
	First                                                 *hdrhistogram.Histogram // ms to the first token
	Worth                                                 float64                 // served in time
}

// Result is a day's.
type Result struct {
	Script  *Script
	Policy  string
	All     Tally
	Class   []Tally
	Tenant  []Tally
	Why     map[string]int // requests that were not served, by the router's last reason
	Verdict *rules.Verdict
	Events  []record.Event
	Ends    []outcome // of the requests
	Applied int       // effects that happened, as the stand-ins count them
	Twice   int       // requests whose effect happened more than once, as they count
	Took    time.Duration
	Ops     *rules.Operations // what operators did
	Times   float64           // the script's rate, where it was played at several
	Lower   error             // what went wrong as all was stopped
}

// Run plays a day in a folder, which keeps settings, logs and records.
func Run(ctx context.Context, s *Script, policy, dir string, command Command) (*Result, error) {
	f := &fleet{s: s, log: record.New(), command: command, policy: policy, dir: dir}
	err := f.raise(ctx)
	if err != nil {
		f.lower()
		return nil, err
	}
	f.start = time.Now()
	c := &crowd{f: f}
	f.seconds.Go(func() { f.troubles(ctx) })
	c.run(ctx, s.plan())
	f.seconds.Wait()
	if err := ctx.Err(); err != nil { // an interrupted day proves nothing
		f.lower()
		return nil, err
	}
	time.Sleep(s.Settings.PinLimit) // what is held to the last shows itself
	res := &Result{Script: s, Policy: policy, Took: time.Since(f.start), Lower: f.lower()}
	res.Events = f.log.Events()
	res.Ends = c.ends
	res.tally(c.ends)
	res.count(f)
	res.Verdict = rules.Check(f.ruleConfig(), res.Events)
	res.Ops = rules.Operators(res.Events, 2000)
	return res, res.keep(dir)
}

// ruleConfig is what the checker judges by.
func (f *fleet) ruleConfig() rules.Config {
	cfg := rules.Config{Classes: map[string]rules.Class{}, Engines: map[string]rules.Place{},
		Slack: 250, Grace: f.s.Settings.Grace.Seconds() * 1000, Pin: f.s.Settings.PinLimit.Seconds() * 1000, PinSlop: 100, Dials: 800}
	for _, c := range f.s.Classes {
		cfg.Classes[c.Name] = rules.Class{Effect: c.Effect, Group: c.Group, Window: c.Window.Seconds() * 1000}
	}
	for _, e := range f.engines() {
		_, zone, cell := f.place(e)
		cfg.Engines[e.Addr()] = rules.Place{Zone: zone, Cell: cell}
	}
	return cfg
}

func newTally() Tally { return Tally{First: hdrhistogram.New(1, 120000, 3)} }

func (t *Tally) add(o *outcome) {
	t.Offered++
	t.Tries += o.tries
	switch o.kind {
	case "served":
		t.Served++
		t.First.RecordValue(max(o.first.Milliseconds(), 1))
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

func (r *Result) tally(ends []outcome) {
	r.All = newTally()
	for range r.Script.Classes {
		r.Class = append(r.Class, newTally())
	}
	for range r.Script.Tenants {
		r.Tenant = append(r.Tenant, newTally())
	}
	r.Why = map[string]int{}
	for i := range ends {
		r.All.add(&ends[i])
		r.Class[ends[i].class].add(&ends[i])
		worth := r.Script.Classes[ends[i].class].Worth
		for _, t := range r.tallies(&ends[i]) {
			if ends[i].inTime && ends[i].kind == "served" {
				t.Worth += worth
			}
		}
		if t := ends[i].tenant; t >= 0 && t < len(r.Tenant) {
			r.Tenant[t].add(&ends[i])
		}
		if ends[i].kind == "refused" || ends[i].kind == "failed" {
			why := ends[i].kind + ": " + ends[i].why
			if t := ends[i].tenant; t >= 0 {
				why += " (" + r.Script.Tenants[t].Name + ")"
			}
			r.Why[why]++
		}
	}
}

// tallies are those that a request counts in.
func (r *Result) tallies(o *outcome) []*Tally {
	list := []*Tally{&r.All, &r.Class[o.class]}
	if o.tenant >= 0 && o.tenant < len(r.Tenant) {
		list = append(list, &r.Tenant[o.tenant])
	}
	return list
}

// Jain is Jain's index over the tenants' served worth for their weights: 1 where
// all got alike, 1/n where one got all.
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

// count takes the stand-ins' own count of effects.
func (r *Result) count(f *fleet) {
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
			r.Twice++
		}
	}
}

// keep writes the records, and the timelines of what broke.
func (r *Result) keep(dir string) error {
	w, err := os.Create(filepath.Join(dir, "records.jsonl"))
	if err != nil {
		return err
	}
	err = record.Write(w, r.Events)
	if err2 := w.Close(); err == nil {
		err = err2
	}
	if err != nil || len(r.Verdict.Breaks) == 0 {
		return err
	}
	w, err = os.Create(filepath.Join(dir, "breaks.txt"))
	if err != nil {
		return err
	}
	for i := range r.Verdict.Breaks {
		r.Verdict.Breaks[i].Write(w)
	}
	return w.Close()
}

// OK tells whether no rule broke and the stand-ins agree.
func (r *Result) OK() bool {
	return len(r.Verdict.Breaks) == 0 && r.Twice == 0 && r.Lower == nil && len(r.Ops.Breaks) == 0
}

func share(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

// Write prints a day's table.
func (r *Result) Write(w io.Writer) {
	s := r.Script
	fmt.Fprintf(w, "day %s, seed %d, policy %s: %d routers, %d readers, %d writers, %.3g requests a second for %v (stand-ins)\n",
		s.Name, s.Seed, r.Policy, s.Routers, s.Readers, s.Writers, s.Rate, s.Length)
	for i := range s.Faults {
		fmt.Fprintf(w, "  %v\n", &s.Faults[i])
	}
	fmt.Fprintf(w, "%-16s %8s %8s %8s %8s %8s %8s %7s %7s %7s\n", "class", "offered", "in time", "served", "refused",
		"failed", "lost", "tries", "p50 ms", "p99 ms")
	row := func(name string, t *Tally) {
		fmt.Fprintf(w, "%-16s %8d %8s %8s %8s %8s %8s %7.2f %7d %7d\n", name, t.Offered, share(t.InTime, t.Offered),
			share(t.Served, t.Offered), share(t.Refused, t.Offered), share(t.Failed, t.Offered), share(t.Lost, t.Offered),
			float64(t.Tries)/max(float64(t.Offered), 1), t.First.ValueAtQuantile(50), t.First.ValueAtQuantile(99))
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
	for _, why := range slices.Sorted(maps.Keys(r.Why)) {
		fmt.Fprintf(w, "  %6d %s\n", r.Why[why], why)
	}
	fmt.Fprintf(w, "attempts at engines %d, effects %d, effects twice %d\n", r.Verdict.Attempts, r.Applied, r.Twice)
	for rule := 1; rule <= 5; rule++ {
		word := "kept"
		if n := r.Verdict.Of(rule); n > 0 {
			word = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(w, "rule %d %s\n", rule, word)
	}
	for _, b := range r.Verdict.Breaks[:min(len(r.Verdict.Breaks), 5)] {
		fmt.Fprintf(w, "  %v\n", &b)
	}
	if r.Ops.Runs > 0 {
		fmt.Fprintf(w, "fleet tool: %d runs, by exit status %v; %d exit statuses or doors wrong\n", r.Ops.Runs, r.Ops.Codes, len(r.Ops.Breaks))
	}
	for _, b := range r.Ops.Breaks[:min(len(r.Ops.Breaks), 5)] {
		fmt.Fprintf(w, "  %s\n", b)
	}
	r.WriteOperations(w)
	fmt.Fprintf(w, "clients without a session %d, of these at routers dead, stopping or drained %d\n", r.Ops.ShutOut, r.Ops.Excused)
	if r.Lower != nil {
		fmt.Fprintf(w, "at the end: %v\n", r.Lower)
	}
}

// Compare prints days of one script under several policies, a line each.
func Compare(w io.Writer, days []*Result) {
	fmt.Fprintf(w, "%-12s %5s %8s %8s %8s %8s %8s %8s %7s %s\n", "policy", "seed", "offered", "in time", "served",
		"refused", "failed", "lost", "tries", "rules")
	for _, r := range days {
		t, kept := &r.All, "kept"
		if !r.OK() {
			var broken []int
			for _, b := range r.Verdict.Breaks {
				broken = append(broken, b.Rule)
			}
			slices.Sort(broken)
			kept = fmt.Sprintf("broken: %v", slices.Compact(broken))
		}
		fmt.Fprintf(w, "%-12s %5d %8d %8s %8s %8s %8s %8s %7.2f %s\n", r.Policy, r.Script.Seed, t.Offered,
			share(t.InTime, t.Offered), share(t.Served, t.Offered), share(t.Refused, t.Offered),
			share(t.Failed, t.Offered), share(t.Lost, t.Offered), float64(t.Tries)/max(float64(t.Offered), 1), kept)
	}
}
