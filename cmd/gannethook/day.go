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

// errRuleBroken makes the exit status tell that a rule broke.
var errRuleBroken = errors.New("a rule broke; see breaks.txt in the day's folder")

func dayCommand() *cobra.Command {
	var dir, policies, chart, operationsChart string
	var seeds []uint
	var stretch float64
	cmd := &cobra.Command{
		Use:   "day [SCRIPT]",
		Short: "Play a scripted bad day through router processes and judge the five rules",
		Long: "Play a scripted day: routers as processes, stand-in engines and roster, clients at a rate, faults at their\n" +
			"times. Without a script, the embedded bad day. The five rules are judged from what passed on the sockets;\n" +
			"the exit status is not 0 if one broke.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			load := func() (*scenario.Script, error) { return scenario.Parse("bad.gann", scenario.Bad) }
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
	f.StringVar(&dir, "dir", "", "folder for settings, logs and records; a new one if not given")
	f.StringVar(&policies, "policy", "module", "module, random or round-robin; several with commas play one after the other")
	f.StringVar(&chart, "chart", "", "draw the share served in time over the day into this file (svg, png or pdf)")
	f.StringVar(&operationsChart, "operations", "", "draw what drains and restarts took into this file; of the last day")
	f.UintSliceVar(&seeds, "seed", nil, "seeds to play; the script's if not given")
	f.Float64Var(&stretch, "times", 1, "stretch all times of the script by this")
	return cmd
}

// playScenarios plays a script with each policy and seed.
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

// runProgramEnv makes a test's binary serve; the real one needs nothing.
const runProgramEnv = "GANNETHOOK_BE_ROUTER"

// selfCommand runs this very program.
func selfCommand(args ...string) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	cmd := exec.CommandContext(context.Background(), self, args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	return cmd
}
