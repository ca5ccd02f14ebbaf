package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"gannethook/internal/scenario"
)

// errRuleBroken gives a run in which one of the five rules was broken a non-zero exit status.
var errRuleBroken = errors.New("a rule was broken; see breaks.txt in the directory of the run")

// dayCommand runs a scenario script and judges it by the five rules.
func dayCommand() *cobra.Command {
	var dir, policies, chart, operationsChart string
	var seeds []uint
	var stretch float64
	cmd := &cobra.Command{
		Use:   "day [SCRIPT]",
		Short: "Run a scripted failure scenario against router processes and check the five rules",
		Long: "Run a scenario script: router processes, stand-in engines and roster, clients at a given rate, and faults at\n" +
			"given times. Without a script, the embedded scenario bad.gann runs. The five rules are judged from the traffic\n" +
			"on the sockets; the exit status is not 0 if one was broken.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			load := func() (*scenario.Script, error) { return scenario.Parse("bad.gann", scenario.BadScript) }
			if len(args) > 0 {
				load = func() (*scenario.Script, error) { return scenario.Load(args[0]) }
			}
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "gannethook-day-"); err != nil {
					return err
				}
			}
			return playScenarios(cmd, load, strings.Split(policies, ","), seeds, stretch, dir, chart, operationsChart)
		},
	}
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "directory for settings, logs and records; by default a new one")
	f.StringVar(&policies, "policy", "module", "module, random or round-robin; several, separated by commas, run one after the other")
	f.StringVar(&chart, "chart", "", "draw the share served in time over the scenario into this file (svg, png or pdf)")
	f.StringVar(&operationsChart, "operations", "", "draw the durations of drains and restarts of the last run into this file")
	f.UintSliceVar(&seeds, "seed", nil, "seeds to run; by default that of the script")
	f.Float64Var(&stretch, "times", 1, "factor by which all times of the script are stretched")
	return cmd
}

// playScenarios runs a script once for each policy and seed, in a subdirectory of dir for each. Only runs of the policy
// "module" affect the returned error: the baselines are expected to break rules.
func playScenarios(cmd *cobra.Command, load func() (*scenario.Script, error), policies []string, seeds []uint, stretch float64, dir, chart, operationsChart string) error {
	var results []*scenario.Result
	allKept := true
	first, err := load()
	if err != nil {
		return err
	}
	if len(seeds) == 0 {
		seeds = []uint{uint(first.Seed)}
	}
	for _, seed := range seeds {
		for _, policy := range policies {
			s, err := load()
			if err != nil {
				return err
			}
			s.Seed = uint64(seed)
			s.Stretch(stretch)
			runDir := filepath.Join(dir, fmt.Sprintf("%s-%d", policy, seed))
			if err := os.MkdirAll(runDir, 0o755); err != nil {
				return err
			}
			r, err := scenario.Run(cmd.Context(), s, policy, runDir, selfCommand)
			if err != nil {
				return err
			}
			r.Write(cmd.OutOrStdout())
			fmt.Fprintf(cmd.OutOrStdout(), "records in %s\n\n", runDir)
			allKept = allKept && (r.OK() || policy != "module")
			results = append(results, r)
		}
	}
	if len(results) > 1 {
		scenario.Compare(cmd.OutOrStdout(), results)
	}
	if operationsChart != "" {
		if err := results[len(results)-1].ChartOperations(operationsChart); err != nil {
			return err
		}
	}
	if chart != "" {
		if err := scenario.Chart(chart, results); err != nil {
			return err
		}
	}
	if !allKept {
		return errRuleBroken
	}
	return nil
}

// runProgramEnv is an environment variable that makes a test binary run the program instead of its tests. The program
// itself ignores it.
const runProgramEnv = "GANNETHOOK_BE_ROUTER"

// selfCommand returns a command that runs this executable with args.
func selfCommand(args ...string) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	cmd := exec.CommandContext(context.Background(), self, args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	return cmd
}
