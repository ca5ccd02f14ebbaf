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

// soakFlags are the flags of the soak.
type soakFlags struct {
	seed         uint64
	seeds        string
	only         []string
	jobs         int
	keepDir      string
	allowStarved bool // runs whose times can't be judged are no failure
	cfg          soak.Config
}

func soakCommand() *cobra.Command {
	f := &soakFlags{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play random troubles on router processes and judge every promise from outside",
		Long: `Play random troubles on router processes, on loopback, and judge every promise
from the sides of clients, workers and discovery (docs/soak.md).

Each seed draws two or three troubles that overlap, and one or two more. One line
tells of a seed; the exit status is 0 only if every promise was kept. A seed that
failed prints the command that plays it again. A seed on whose run the machine was
too busy to judge by is played again, twice at the most, and then counts as failed.

System calls fail and the wall clock is stepped only in a build with the tag:

    go run -tags faults ./cmd/gannethook soak --seeds 1-100 --jobs 2`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&f.seed, "seed", 1, "the seed to play")
	flags.StringVar(&f.seeds, "seeds", "", "seeds to play, as A-B")
	flags.DurationVar(&f.cfg.Length, "for", 12*time.Second, "length of a seed's run")
	flags.IntVar(&f.cfg.Routers, "routers", 10, "router processes")
	flags.IntVar(&f.cfg.Workers, "workers", 12, "workers, half of them for prefill")
	flags.IntVar(&f.cfg.Clients, "clients", 5, "clients for each router")
	flags.StringSliceVar(&f.only, "only", nil, "kinds of trouble to draw from")
	flags.IntVar(&f.jobs, "jobs", 1, "seeds to play side by side")
	flags.BoolVar(&f.allowStarved, "allow-starved", false, "a seed that found the machine too busy each time fails only by what needs no clock")
	flags.StringVar(&f.keepDir, "keep", "", "folder to keep logs of seeds that failed in")
	flags.StringVar(&f.cfg.Program, "program", "", "another build of the router to play; this one if empty")
	flags.StringVar(&f.cfg.Break, "break", "", "guard that the routers leave out, to try the checks; only with the build tag")
	flags.BoolVar(&f.cfg.Strict, "strict", false, "judge also what is excused as a known failure (KNOWN-RED.txt)")
	return cmd
}

var errSoakFailed = errors.New("a promise was not kept")

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
		if f.cfg.Break != "" {
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
				t.add(f.play(ctx, dir, seed))
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

func (f *soakFlags) seedRange() (first, last uint64, err error) {
	if f.seeds == "" {
		return f.seed, f.seed, nil
	}
	a, b, ok := strings.Cut(f.seeds, "-")
	if first, err = strconv.ParseUint(a, 10, 32); err == nil && ok {
		last, err = strconv.ParseUint(b, 10, 32)
	}
	if err != nil || !ok || last < first {
		return 0, 0, fmt.Errorf("--seeds: %q is not A-B", f.seeds)
	}
	return first, last, nil
}

func parseKinds(names []string) ([]soak.Kind, error) {
	var list []soak.Kind
	for _, name := range names {
		if !slices.Contains(soak.Kinds, soak.Kind(name)) {
			return nil, fmt.Errorf("--only: %q is no kind of trouble: %v", name, soak.Kinds)
		}
		list = append(list, soak.Kind(name))
	}
	return list, nil
}

// maxStarvedRuns is how often a seed is played whose machine was too busy to judge by.
const maxStarvedRuns = 3

// seedResult is a seed's last play.
type seedResult struct {
	soak.Result
	err          error
	runs         int
	rerunCommand string // the command that plays it again

	untimed bool // judged only by what needs no clock
}

func (f *soakFlags) play(ctx context.Context, dir string, seed uint64) seedResult {
	cfg := f.cfg
	cfg.Dir = soak.DirOf(dir, seed)
	r := seedResult{rerunCommand: f.rerunCommand(seed)}
	for r.runs < maxStarvedRuns && ctx.Err() == nil {
		r.runs++
		os.RemoveAll(cfg.Dir)
		if r.Result, r.err = soak.Run(ctx, cfg, seed); r.err != nil || !r.Starved {
			break
		}
	}
	if r.Starved && f.allowStarved {
		r.Breaks = slices.DeleteFunc(r.Breaks, func(b soak.Break) bool { return !slices.Contains(soak.Untimed, b.Invariant) })
		r.untimed = true
	}
	if r.ok() {
		os.RemoveAll(cfg.Dir)
	} else {
		f.writeBreaks(cfg.Dir, r)
	}
	return r
}

func (f *soakFlags) rerunCommand(seed uint64) string {
	c := fmt.Sprintf("gannethook soak --seed %d --for %v --routers %d --workers %d --clients %d", seed, f.cfg.Length, f.cfg.Routers, f.cfg.Workers, f.cfg.Clients)
	if len(f.only) > 0 {
		c += " --only " + strings.Join(f.only, ",")
	}
	if f.cfg.Strict {
		c += " --strict"
	}
	if f.cfg.Break != "" {
		c += " --break " + f.cfg.Break
	}
	return c
}

func (f *soakFlags) writeBreaks(dir string, r seedResult) {
	var b strings.Builder
	fmt.Fprintln(&b, r.Plan.String())
	for _, br := range r.Breaks {
		fmt.Fprintf(&b, "%s: %s\n", br.Invariant, br.Detail)
	}
	os.WriteFile(filepath.Join(dir, "breaks.txt"), []byte(b.String()), 0o644)
}

func (r *seedResult) ok() bool {
	return r.err == nil && (r.untimed || !r.Starved) && len(r.Breaks) == 0
}

// pairCount counts the runs in which a pair of troubles overlapped.
type pairCount struct{ seeds, failed int }

// soakSummary sums up the seeds.
type soakSummary struct {
	out io.Writer

	mu             sync.Mutex
	pairs          map[string]*pairCount
	played, failed int
	requests       int
	releases       int // calls that let go of what is held
}

func (t *soakSummary) add(r seedResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.played++
	t.requests += r.Requests
	t.releases += r.Releases
	verdict := "ok"
	switch {
	case r.err != nil:
		verdict = "NOT PLAYED: " + r.err.Error()
	case r.ok() && r.untimed:
		verdict = fmt.Sprintf("ok, its times not judged: timers %v late", r.Latest)
	case r.Starved && !r.untimed:
		verdict = fmt.Sprintf("STARVED: timers %v late", r.Latest)
	case len(r.Breaks) > 0:
		verdict = fmt.Sprintf("FAILED %d: %s: %.300s", len(r.Breaks), r.Breaks[0].Invariant, r.Breaks[0].Detail)
	}
	fmt.Fprintf(t.out, "seed %d: %s; %s: %d requests, %d served, %d refused, %d releases, %d connections turned away, %d went on behind a lost close, %d keyed begun late and run again, late %v, tries %d: %s\n", r.Plan.Seed, r.Plan.String(), r.Terms, r.Requests, r.Served,
		r.Refused, r.Releases, r.Turned, r.WentOn, r.LateRuns, r.Latest.Round(time.Millisecond), r.runs, verdict)
	if !r.ok() {
		t.failed++
		fmt.Fprintln(t.out, "  again:", r.rerunCommand)
	}
	for _, pair := range r.Plan.Pairs() {
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

// print lists the pairs of troubles that met, and names those that no seed played.
func (t *soakSummary) print() {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "%d seeds, %d failed, %d requests, %d releases\n", t.played, t.failed, t.requests, t.releases)
	var missing []string
	for i, a := range soak.Kinds {
		for _, b := range soak.Kinds[i+1:] {
			pair := soak.PairOf(a, b)
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
