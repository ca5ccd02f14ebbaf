package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/faults"
	"gannethook/internal/soak"
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	seed         uint64
	seeds        string   // range A-B that replaces seed
	only         []string // kinds of fault to draw from; empty: all
	jobs         int      // seeds run in parallel
	keepDir      string   // directory for logs of failed seeds; "": a temporary one
	allowStarved bool     // a run whose times can't be judged is no failure
	cfg          soak.Config
}

// soakCommand injects random faults into a fleet of router processes and checks the invariants from outside.
func soakCommand() *cobra.Command {
	f := &soakFlags{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into router processes and check the invariants from outside",
		Long: `Inject random faults into router processes on loopback and check the invariants as
seen by clients, workers and discovery (docs/soak.md).

Each seed draws two or three faults that overlap, and one or two more. Each seed
prints one line; the exit status is 0 only if every invariant held. For a seed that
failed, the command that runs it again is printed. A seed during whose run the
machine was too busy for a verdict is run again, at most twice, and then counts as
failed.

Faults of system calls and steps of the wall clock need a build with the tag faults:

    go run -tags faults ./cmd/gannethook soak --seeds 1-100 --jobs 2`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&f.seed, "seed", 1, "seed to run")
	flags.StringVar(&f.seeds, "seeds", "", "range of seeds to run, A-B")
	flags.DurationVar(&f.cfg.Length, "for", 12*time.Second, "duration of the run of a seed")
	flags.IntVar(&f.cfg.Routers, "routers", 10, "number of router processes")
	flags.IntVar(&f.cfg.Workers, "workers", 12, "number of workers, half of them for prefill")
	flags.IntVar(&f.cfg.Clients, "clients", 5, "number of clients for each router")
	flags.StringSliceVar(&f.only, "only", nil, "kinds of fault to draw from; by default all")
	flags.IntVar(&f.jobs, "jobs", 1, "number of seeds run in parallel")
	flags.BoolVar(&f.allowStarved, "allow-starved", false, "a seed for which the machine was too busy each time fails only by checks that need no clock")
	flags.StringVar(&f.keepDir, "keep", "", "directory that keeps the logs of failed seeds")
	flags.StringVar(&f.cfg.Program, "program", "", "other build of the router to run; by default this program")
	flags.StringVar(&f.cfg.DisabledGuard, "break", "", "guard that the routers omit, to test the checks; only in a build with the tag faults")
	flags.BoolVar(&f.cfg.Strict, "strict", false, "fail also for known failures (KNOWN-RED.txt)")
	return cmd
}

var errSoakFailed = errors.New("an invariant was violated")

// run runs the seeds in f.jobs parallel workers and prints the summary.
func (f *soakFlags) run(ctx context.Context, out io.Writer) error {
	first, last, err := f.seedRange()
	if err != nil {
		return err
	}
	if f.cfg.Only, err = parseKinds(f.only); err != nil {
		return err
	}
	if f.cfg.Program == "" {
		if f.cfg.Program, err = os.Executable(); err != nil {
			return err
		}
	}
	if !faults.Enabled {
		if f.cfg.DisabledGuard != "" {
			return errors.New("--break: this build injects no faults: build it with -tags faults")
		}
		fmt.Fprintln(out, "this build injects no faults of system calls, files and the clock: build it with -tags faults")
	}
	dir := f.keepDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "gannethook-soak-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	t := &soakSummary{out: out, pairs: map[string]*pairCount{}}
	queue := make(chan uint64)
	var jobs sync.WaitGroup
	for range max(f.jobs, 1) {
		jobs.Go(func() {
			for seed := range queue {
				t.add(f.runSeed(ctx, dir, seed))
			}
		})
	}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		queue <- seed
	}
	close(queue)
	jobs.Wait()
	t.print()
	if t.failed > 0 {
		return errSoakFailed
	}
	return ctx.Err()
}

// seedRange returns the first and the last seed to run.
func (f *soakFlags) seedRange() (first, last uint64, err error) {
	if f.seeds == "" {
		return f.seed, f.seed, nil
	}
	a, b, ok := strings.Cut(f.seeds, "-")
	if first, err = strconv.ParseUint(a, 10, 32); err == nil && ok {
		last, err = strconv.ParseUint(b, 10, 32)
	}
	if err != nil || !ok || last < first {
		return 0, 0, fmt.Errorf("--seeds: %q is not a range A-B", f.seeds)
	}
	return first, last, nil
}

// parseKinds checks the names of --only.
func parseKinds(names []string) ([]soak.FaultKind, error) {
	var list []soak.FaultKind
	for _, name := range names {
		if !slices.Contains(soak.Kinds, soak.FaultKind(name)) {
			return nil, fmt.Errorf("--only: %q is not a kind of fault; known are %v", name, soak.Kinds)
		}
		list = append(list, soak.FaultKind(name))
	}
	return list, nil
}

// maxStarvedRuns bounds the runs of a seed for which the machine was too busy for a verdict.
const maxStarvedRuns = 3

// seedResult is the result of the last run of a seed.
type seedResult struct {
	soak.Result
	err          error
	runs         int
	rerunCommand string // the command line that runs the seed again

	untimed bool // judged only by the invariants that need no clock
}

// runSeed runs a seed until the machine is idle enough for a verdict, at most maxStarvedRuns times. The directory of the seed
// is kept if it failed.
func (f *soakFlags) runSeed(ctx context.Context, dir string, seed uint64) seedResult {
	cfg := f.cfg
	cfg.Dir = soak.SeedDir(dir, seed)
	r := seedResult{rerunCommand: f.rerunCommand(seed)}
	for r.runs < maxStarvedRuns && ctx.Err() == nil {
		r.runs++
		os.RemoveAll(cfg.Dir)
		if r.Result, r.err = soak.Run(ctx, cfg, seed); r.err != nil || !r.Starved {
			break
		}
	}
	if r.Starved && f.allowStarved {
		r.Violations = slices.DeleteFunc(r.Violations, func(b soak.Violation) bool { return !slices.Contains(soak.UntimedInvariants, b.Invariant) })
		r.untimed = true
	}
	if r.ok() {
		os.RemoveAll(cfg.Dir)
	} else {
		f.writeBreaks(cfg.Dir, r)
	}
	return r
}

// rerunCommand returns the command line that repeats a seed with the flags of this run.
func (f *soakFlags) rerunCommand(seed uint64) string {
	c := fmt.Sprintf("gannethook soak --seed %d --for %v --routers %d --workers %d --clients %d", seed, f.cfg.Length, f.cfg.Routers, f.cfg.Workers, f.cfg.Clients)
	if len(f.only) > 0 {
		c += " --only " + strings.Join(f.only, ",")
	}
	if f.cfg.Strict {
		c += " --strict"
	}
	if f.cfg.DisabledGuard != "" {
		c += " --break " + f.cfg.DisabledGuard
	}
	return c
}

// writeBreaks writes the plan of a run and the invariants that it violated to breaks.txt.
func (f *soakFlags) writeBreaks(dir string, r seedResult) {
	var b strings.Builder
	fmt.Fprintln(&b, r.Schedule.String())
	for _, br := range r.Violations {
		fmt.Fprintf(&b, "%s: %s\n", br.Invariant, br.Detail)
	}
	os.WriteFile(filepath.Join(dir, "breaks.txt"), []byte(b.String()), 0o644)
}

// ok reports whether the seed was run, could be judged and violated no invariant.
func (r *seedResult) ok() bool {
	return r.err == nil && (r.untimed || !r.Starved) && len(r.Violations) == 0
}

// pairCount counts the seeds in which a pair of fault kinds overlapped, and those of them that failed.
type pairCount struct{ seeds, failed int }

// soakSummary prints a line for each seed and adds up their results.
type soakSummary struct {
	out io.Writer

	mu            sync.Mutex
	pairs         map[string]*pairCount // by soak.PairName
	seeds, failed int
	requests      int
	releases      int // calls that release held state
}

// add prints the line of a seed and counts it.
func (t *soakSummary) add(r seedResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds++
	t.requests += r.Requests
	t.releases += r.Releases
	verdict := "ok"
	switch {
	case r.err != nil:
		verdict = "NOT PLAYED: " + r.err.Error()
	case r.ok() && r.untimed:
		verdict = fmt.Sprintf("ok, its times not judged: timers %v late", r.MaxTimerDelay)
	case r.Starved && !r.untimed:
		verdict = fmt.Sprintf("STARVED: timers %v late", r.MaxTimerDelay)
	case len(r.Violations) > 0:
		verdict = fmt.Sprintf("FAILED %d: %s: %.300s", len(r.Violations), r.Violations[0].Invariant, r.Violations[0].Detail)
	}
	fmt.Fprintf(t.out, "seed %d: %s; %s: %d requests, %d served, %d refused, %d releases, %d connections turned away, %d went on behind a lost close, %d keyed begun late and run again, late %v, tries %d: %s\n", r.Schedule.Seed, r.Schedule.String(), r.Settings, r.Requests, r.Served,
		r.Refused, r.Releases, r.RejectedConns, r.OutlivedCloses, r.LateKeyedRuns, r.MaxTimerDelay.Round(time.Millisecond), r.runs, verdict)
	if !r.ok() {
		t.failed++
		fmt.Fprintln(t.out, "  again:", r.rerunCommand)
	}
	for _, pair := range r.Schedule.Pairs() {
		n := t.pairs[pair]
		if n == nil {
			n = &pairCount{}
			t.pairs[pair] = n
		}
		n.seeds++
		if !r.ok() {
			n.failed++
		}
	}
}

// print prints the totals, the pairs of fault kinds that overlapped, and the pairs that did not occur.
func (t *soakSummary) print() {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "%d seeds, %d failed, %d requests, %d releases\n", t.seeds, t.failed, t.requests, t.releases)
	var missing []string
	for i, a := range soak.Kinds {
		for _, b := range soak.Kinds[i+1:] {
			pair := soak.PairName(a, b)
			if n := t.pairs[pair]; n != nil {
				fmt.Fprintf(t.out, "pair %s: %d seeds, %d failed\n", pair, n.seeds, n.failed)
			} else {
				missing = append(missing, pair)
			}
		}
	}
	if len(missing) > 0 {
		fmt.Fprintf(t.out, "%d pairs not played: %s\n", len(missing), strings.Join(missing, " "))
	}
}
