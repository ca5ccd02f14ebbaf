package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/fleet"
	"gannethook/internal/rollout"
)

// fleetFlags are the flags that the fleet commands share.
type fleetFlags struct {
	file  string // path of the fleet file
	json  bool
	quiet bool // no progress lines
	yes   bool // commands to several routers need no confirmation
}

// fleetCommand shows and operates the routers of a fleet file.
func fleetCommand() *cobra.Command {
	f := &fleetFlags{}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Show and operate the routers of a fleet",
		Long: `Show and operate the routers of a fleet.

Routers are selected by name, centre=NAME, label=NAME or all; several selectors
select the union.

Exit codes:
  0  done on all routers
  1  error in the command line, a file or the tool itself; nothing was sent
  3  partly done: done on some routers, not on others; the outcome of each is known
  4  unknown: the outcome of at least one router is not known
  5  all routers refused
  6  no router could be reached
  7  a rollout was rolled back
  8  a rollout ended before it was complete`,
	}
	cmd.PersistentFlags().StringVarP(&f.file, "fleet", "f", os.Getenv("GANNETHOOK_FLEET"), "fleet file; default $GANNETHOOK_FLEET")
	cmd.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON")
	cmd.PersistentFlags().BoolVarP(&f.quiet, "quiet", "q", false, "print no progress")
	cmd.AddCommand(f.list(), f.statusCommand("status", "Show the state of routers", fleet.WriteStatus),
		f.statusCommand("limits", "Show queued and in-flight requests, and refusals by reason", fleet.WriteLimits),
		f.operationCommand("drain", "Finish open requests and accept no new ones", pb.Command_DRAIN),
		f.operationCommand("resume", "Have drained routers accept sessions again", pb.Command_RESUME),
		f.operationCommand("reload", "Have routers reload their settings", pb.Command_RELOAD),
		f.operationCommand("restart", "Replace routers by successor processes that take over their ports", pb.Command_RESTART),
		f.operationCommand("stop", "Drain routers and stop them", pb.Command_STOP),
		f.rollout(), f.watch(), f.top(), f.engines(), f.sessions(), f.diff(), f.logLevel(), f.rehearse())
	return cmd
}

// tool loads the fleet file and its certificates.
func (f *fleetFlags) tool(cmd *cobra.Command) (*fleet.Tool, error) {
	if f.file == "" {
		return nil, errors.New("no fleet file: give --fleet or set GANNETHOOK_FLEET")
	}
	file, err := fleet.Load(f.file)
	if err != nil {
		return nil, err
	}
	certs, err := file.Certs()
	if err != nil {
		return nil, err
	}
	return &fleet.Tool{File: file, Certs: certs, Err: cmd.ErrOrStderr(), Quiet: f.quiet || f.json}, nil
}

// selectRouters returns the routers that the selectors of a command line match; without selectors, all.
func (f *fleetFlags) selectRouters(cmd *cobra.Command, selectors []string) (*fleet.Tool, []fleet.Router, error) {
	t, err := f.tool(cmd)
	if err != nil {
		return nil, nil, err
	}
	if len(selectors) == 0 {
		selectors = []string{"all"}
	}
	list, err := t.File.Select(selectors)
	return t, list, err
}

// completeSelectors completes selectors on the command line: names, centres and labels.
func (f *fleetFlags) completeSelectors(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	file, err := fleet.Load(f.file)
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	seen := map[string]bool{"all": true}
	selectors := []string{"all"}
	for _, r := range file.Routers {
		for _, selector := range append([]string{r.Name, "centre=" + r.Centre}, addPrefix("label=", r.Labels)...) {
			if !seen[selector] {
				seen[selector] = true
				selectors = append(selectors, selector)
			}
		}
	}
	return selectors, cobra.ShellCompDirectiveNoFileComp
}

func addPrefix(prefix string, list []string) (out []string) {
	for _, s := range list {
		out = append(out, prefix+s)
	}
	return out
}

func (f *fleetFlags) list() *cobra.Command {
	return &cobra.Command{Use: "list [ROUTER...]", Short: "List the routers of the fleet file", ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			_, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			if f.json {
				return fleet.WriteJSON(cmd.OutOrStdout(), list)
			}
			fleet.WriteList(cmd.OutOrStdout(), list)
			return nil
		}}
}

// showStatus prints the statuses of routers as a table or as JSON. Routers that can't be reached determine the exit code.
func (f *fleetFlags) showStatus(cmd *cobra.Command, t *fleet.Tool, list []fleet.Router, table func(io.Writer, []fleet.StatusLine)) error {
	lines := t.QueryStatus(cmd.Context(), list)
	if f.json {
		if err := fleet.WriteJSON(cmd.OutOrStdout(), fleet.StatusJSON(lines)); err != nil {
			return err
		}
	} else {
		table(cmd.OutOrStdout(), lines)
	}
	var reports []fleet.Report
	for _, l := range lines {
		r := fleet.Report{Outcome: fleet.Done}
		if l.Err != nil {
			r.Outcome = fleet.Unreachable
		}
		reports = append(reports, r)
	}
	return fleet.ExitStatus(reports)
}

// statusCommand returns a command that prints statuses with the given table.
func (f *fleetFlags) statusCommand(name, short string, table func(io.Writer, []fleet.StatusLine)) *cobra.Command {
	return &cobra.Command{Use: name + " [ROUTER...]", Short: short, ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			return f.showStatus(cmd, t, list, table)
		}}
}

// confirm asks the operator before a command to more than one router.
func (f *fleetFlags) confirm(cmd *cobra.Command, action string, list []fleet.Router) error {
	if f.yes || len(list) < 2 {
		return nil
	}
	var names []string
	for _, r := range list {
		names = append(names, r.Name)
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "%s %d routers: %s\nContinue? [y/N] ", action, len(list), strings.Join(names, " "))
	answer, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	if a := strings.ToLower(strings.TrimSpace(answer)); a != "y" && a != "yes" {
		return errors.New("not confirmed; nothing was sent (--yes confirms beforehand)")
	}
	return nil
}

// operationCommand returns a command that sends op to routers, one after another by default.
func (f *fleetFlags) operationCommand(name, short string, op pb.Command_Op) *cobra.Command {
	order := fleet.Command{Op: op}
	var parallel int
	var continueOnFailure bool
	cmd := &cobra.Command{Use: name + " ROUTER...", Short: short, Args: cobra.MinimumNArgs(1), ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			if err := f.confirm(cmd, name, list); err != nil {
				return err
			}
			reports := t.Do(cmd.Context(), list, order, parallel, !continueOnFailure)
			if f.json {
				if err := fleet.WriteJSON(cmd.OutOrStdout(), reports); err != nil {
					return err
				}
			} else {
				fleet.WriteReports(cmd.OutOrStdout(), reports)
			}
			return fleet.ExitStatus(reports)
		}}
	cmd.Flags().BoolVarP(&f.yes, "yes", "y", false, "do not ask for confirmation")
	cmd.Flags().IntVar(&parallel, "at-once", 1, "number of routers at a time")
	cmd.Flags().BoolVar(&continueOnFailure, "go-on", false, "continue after a router that failed or refused")
	if op != pb.Command_RESUME && op != pb.Command_RELOAD {
		cmd.Flags().DurationVar(&order.Limit, "limit", 0, "time after which requests that are still open fail; by default (times (drain ...)) of the fleet file")
	}
	if op == pb.Command_RESTART {
		cmd.Flags().StringVar(&order.Release, "release", "", "release that the successor runs; by default the same program")
		cmd.Flags().BoolVar(&order.NoWait, "no-wait", false, "do not wait until the predecessor has exited")
	}
	return cmd
}

// rollout returns the command that restarts routers under the constraints of the fleet file, or prints the plan.
func (f *fleetFlags) rollout() *cobra.Command {
	var release, journal string
	var planOnly bool
	cmd := &cobra.Command{Use: "rollout [ROUTER...]", Short: "Restart many routers under the fleet file's constraints", ValidArgsFunction: f.completeSelectors,
		Long: `Restart many routers under the constraints of the fleet file's (rollout ...).

Decisions are kept in a journal on disk: a rollout whose tool was killed continues
when the same command is given again.`,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			if err := t.File.CheckFeasible(list); err != nil {
				return err
			}
			if planOnly {
				plan := t.Plan(list)
				if f.json {
					return fleet.WriteJSON(cmd.OutOrStdout(), plan)
				}
				fleet.WritePlan(cmd.OutOrStdout(), plan)
				return nil
			}
			if err := f.confirm(cmd, "roll out over", list); err != nil {
				return err
			}
			if journal == "" {
				journal = filepath.Join(filepath.Dir(f.file), t.File.Name+".rollout")
			}
			return f.runRollout(cmd, t, list, release, journal)
		}}
	cmd.Flags().BoolVarP(&f.yes, "yes", "y", false, "do not ask for confirmation")
	cmd.Flags().StringVar(&release, "release", "", "release that the successors run; by default the same program")
	cmd.Flags().StringVar(&journal, "journal", "", "file of the journal; by default next to the fleet file")
	cmd.Flags().BoolVar(&planOnly, "plan", false, "print the plan without executing it")
	return cmd
}

// runRollout runs or continues the rollout of a journal and prints its steps.
func (f *fleetFlags) runRollout(cmd *cobra.Command, t *fleet.Tool, list []fleet.Router, release, journal string) error {
	j, err := fleet.OpenJournal(journal)
	if err != nil {
		return err
	}
	defer j.Close()
	outcome, err := t.RunRollout(cmd.Context(), list, release, j, func(at time.Duration, kind, router, text string) {
		switch {
		case f.json:
			fleet.WriteJSON(cmd.OutOrStdout(), map[string]any{"at_ms": at.Milliseconds(), "kind": kind, "router": router, "text": text})
		case router != "":
			fmt.Fprintf(cmd.OutOrStdout(), "%8.1fs  %-9s %s: %s\n", at.Seconds(), kind, router, text)
		default:
			fmt.Fprintf(cmd.OutOrStdout(), "%8.1fs  %-9s %s\n", at.Seconds(), kind, text)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), outcome)
	switch outcome {
	case rollout.AllDone:
		return nil
	case rollout.RolledBack:
		return &fleet.ExitError{Code: fleet.ExitRolledBack, Text: "the rollout was rolled back"}
	}
	return &fleet.ExitError{Code: fleet.ExitStuck, Text: "the rollout ended before it was complete; see fleet status"}
}

// watch returns the command that prints the events of routers as they happen.
func (f *fleetFlags) watch() *cobra.Command {
	var once bool
	cmd := &cobra.Command{Use: "watch [ROUTER...]", Short: "Follow the events of routers", ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			var mu sync.Mutex
			var reports []fleet.Report
			t.Each(list, len(list), func(i int, l *fleet.ControlClient, err error) {
				if err == nil {
					err = l.Tail(cmd.Context(), !once, func(router string, at time.Time, e *pb.Event) {
						mu.Lock()
						defer mu.Unlock()
						if e.Missed > 0 {
							fmt.Fprintf(cmd.OutOrStdout(), "%s  %-12s %d events missed\n", at.Format("15:04:05.000"), router, e.Missed)
						}
						fmt.Fprintf(cmd.OutOrStdout(), "%s  %-12s %-9s %s\n", at.Format("15:04:05.000"), router, e.Kind, e.Text)
					})
				}
				mu.Lock()
				defer mu.Unlock()
				r := fleet.Report{Router: list[i].Name, Outcome: fleet.Done}
				if err != nil && cmd.Context().Err() == nil {
					r.Outcome = fleet.Unreachable
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", list[i].Name, err)
				}
				reports = append(reports, r)
			})
			return fleet.ExitStatus(reports)
		}}
	cmd.Flags().BoolVar(&once, "once", false, "print the events recorded so far and exit")
	return cmd
}

// top returns the command that refreshes the status table periodically.
func (f *fleetFlags) top() *cobra.Command {
	var interval time.Duration
	var refreshes int
	cmd := &cobra.Command{Use: "top [ROUTER...]", Short: "Show the state of routers, refreshed periodically", ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			tick := time.NewTicker(max(interval, 100*time.Millisecond))
			defer tick.Stop()
			for n := 1; ; n++ {
				if refreshes != 1 {
					fmt.Fprint(cmd.OutOrStdout(), "\x1b[H\x1b[2J")
				}
				if err = f.showStatus(cmd, t, list, fleet.WriteStatus); n == refreshes {
					return err
				}
				select {
				case <-tick.C:
				case <-cmd.Context().Done():
					return nil
				}
			}
		}}
	cmd.Flags().DurationVar(&interval, "every", 2*time.Second, "time between two refreshes, 100ms or more")
	cmd.Flags().IntVar(&refreshes, "times", 0, "number of refreshes; 0 continues until interrupted")
	return cmd
}

// perRouterCommand returns a command that calls do for each selected router in turn.
func (f *fleetFlags) perRouterCommand(use, short string, do func(ctx context.Context, cmd *cobra.Command, l *fleet.ControlClient) error) *cobra.Command {
	return &cobra.Command{Use: use + " ROUTER...", Short: short, Args: cobra.MinimumNArgs(1), ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			var reports []fleet.Report
			t.Each(list, 1, func(i int, l *fleet.ControlClient, err error) {
				if err == nil {
					err = do(cmd.Context(), cmd, l)
				}
				r := fleet.Report{Router: list[i].Name, Outcome: fleet.Done}
				if err != nil {
					r.Outcome = fleet.Unreachable
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", list[i].Name, err)
				}
				reports = append(reports, r)
			})
			return fleet.ExitStatus(reports)
		}}
}

func (f *fleetFlags) engines() *cobra.Command {
	return f.perRouterCommand("engines", "Show the engines as seen by routers", func(ctx context.Context, cmd *cobra.Command, l *fleet.ControlClient) error {
		return l.Engines(ctx, cmd.OutOrStdout())
	})
}

func (f *fleetFlags) sessions() *cobra.Command {
	var limit int
	cmd := f.perRouterCommand("sessions", "Show open sessions", func(ctx context.Context, cmd *cobra.Command, l *fleet.ControlClient) error {
		return l.Sessions(ctx, cmd.OutOrStdout(), limit)
	})
	cmd.Flags().IntVar(&limit, "most", 100, "maximum number of sessions shown")
	return cmd
}

func (f *fleetFlags) diff() *cobra.Command {
	return f.perRouterCommand("diff", "Compare the active settings with the settings files", func(ctx context.Context, cmd *cobra.Command, l *fleet.ControlClient) error {
		return l.Diff(ctx, cmd.OutOrStdout())
	})
}

func (f *fleetFlags) logLevel() *cobra.Command {
	var level string
	cmd := f.perRouterCommand("log-level", "Show or set the log level", func(ctx context.Context, cmd *cobra.Command, l *fleet.ControlClient) error {
		got, err := l.LogLevel(ctx, level)
		if err == nil {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", l.Name, got)
		}
		return err
	})
	cmd.Flags().StringVar(&level, "set", "", "new level: debug, info, warn or error")
	return cmd
}

// rehearse returns the command that simulates a rollout with faults and checks its limits.
func (f *fleetFlags) rehearse() *cobra.Command {
	r := rollout.Simulation{Target: "new"}
	var seeds, synthetic int
	cmd := &cobra.Command{Use: "rehearse [ROUTER...]", Short: "Simulate a rollout with simulated routers, in simulated time", ValidArgsFunction: f.completeSelectors,
		RunE: func(cmd *cobra.Command, selectors []string) error {
			t, list, err := f.selectRouters(cmd, selectors)
			if err != nil {
				return err
			}
			r.All, r.Todo, r.Limits = t.File.RolloutRouters(t.File.Routers), t.File.RolloutRouters(list), t.File.Limits()
			if synthetic > 0 {
				r.All = rollout.GenerateFleet(synthetic, 2, t.File.Rollout.Expect, 1)
				r.Todo = r.All
			} else if err := t.File.CheckFeasible(list); err != nil {
				return err
			}
			plan := rollout.Plan(r.All, r.Todo, r.Limits, 2000, 1)
			r.Order = plan.Order()
			r.PollInterval = t.File.Rollout.Look
			fmt.Fprintf(cmd.OutOrStdout(), "plan %v, no order is shorter than %v (simulated)\n", plan.Length.Round(time.Second), plan.Bound.Round(time.Second))
			for seed := range seeds {
				r.Seed = uint64(seed) + 1
				result := r.Run()
				fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %v after %v, %.2f times the bound; %d restarts; at least %.0f%% up, at most %d down in a centre; limits violated %d times\n",
					r.Seed, result.Ending, result.Duration.Round(time.Second), result.Duration.Seconds()/max(plan.Bound.Seconds(), 1), result.Restarts, 100*result.MinUpShare, result.MaxDown, len(result.Violations))
			}
			return nil
		}}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of simulations")
	cmd.Flags().IntVar(&synthetic, "made-up", 0, "number of synthetic routers in two centres that replace those of the fleet file")
	cmd.Flags().Float64Var(&r.Spread, "spread", 0.2, "fraction by which the duration of restarts varies around the expected one")
	cmd.Flags().IntVar(&r.RoutersToCrash, "lose", 0, "number of routers that crash during their restart")
	cmd.Flags().DurationVar(&r.RecoveryTime, "back", time.Minute, "time after which crashed routers are back")
	cmd.Flags().DurationVar(&r.CrashToolAt, "kill-tool", 0, "time after which the tool is killed and run again; 0: never")
	cmd.Flags().BoolVar(&r.BadRelease, "bad", false, "the new release does not start")
	cmd.Flags().Float64Var(&r.FailureShare, "worse", 0, "fraction by which the new release serves fewer requests")
	return cmd
}
