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

// errRules makes the exit status tell that a rule broke.
var errRules = errors.New("a rule broke; see breaks.txt in the day's folder")

func dayCommand() *cobra.Command {
	var dir, policies, chart, ops string
	var seeds []uint
	var short float64
	cmd := &cobra.Command{
		Use:   "day [SCRIPT]",
		Short: "Play a scripted bad day through router processes and judge the five rules",
		Long: "Play a scripted day: routers as processes, stand-in engines and roster, clients at a rate, faults at their\n" +
			"times. Without a script, the embedded bad day. The five rules are judged from what passed on the sockets;\n" +
			"the exit status is not 0 if one broke.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			script := func() (*scenario.Script, error) { return scenario.Parse("bad.gann", scenario.Bad) }
			if len(args) > 0 {
				script = func() (*scenario.Script, error) { return scenario.Load(args[0]) }
			}
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "gannethook-day-"); err != nil {
					return err
				}
			}
			return days(cmd, script, strings.Split(policies, ","), seeds, short, dir, chart, ops)
		},
	}
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "folder for settings, logs and records; a new one if not given")
	f.StringVar(&policies, "policy", "module", "module, random or round-robin; several with commas play one after the other")
	f.StringVar(&chart, "chart", "", "draw the share served in time over the day into this file (svg, png or pdf)")
	f.StringVar(&ops, "operations", "", "draw what drains and restarts took into this file; of the last day")
	f.UintSliceVar(&seeds, "seed", nil, "seeds to play; the script's if not given")
	f.Float64Var(&short, "times", 1, "stretch all times of the script by this")
	return cmd
}

// days plays a script with each policy and seed.
func days(cmd *cobra.Command, load func() (*scenario.Script, error), policies []string, seeds []uint, times float64, dir, chart, ops string) error {
	var list []*scenario.Result
	ok := true
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
			s.Stretch(times)
			at := filepath.Join(dir, fmt.Sprintf("%s-%d", policy, seed))
			if err := os.MkdirAll(at, 0o755); err != nil {
				return err
			}
			r, err := scenario.Run(cmd.Context(), s, policy, at, command)
			if err != nil {
				return err
			}
			r.Write(cmd.OutOrStdout())
			fmt.Fprintf(cmd.OutOrStdout(), "records in %s\n\n", at)
			ok = ok && (r.OK() || policy != "module")
			list = append(list, r)
		}
	}
	if len(list) > 1 {
		scenario.Compare(cmd.OutOrStdout(), list)
	}
	if ops != "" {
		if err := list[len(list)-1].ChartOperations(ops); err != nil {
			return err
		}
	}
	if chart != "" {
		if err := scenario.Chart(chart, list); err != nil {
			return err
		}
	}
	if !ok {
		return errRules
	}
	return nil
}

// beRouter makes a test's binary serve; the real one needs nothing.
const beRouter = "GANNETHOOK_BE_ROUTER"

// command runs this very program.
func command(args ...string) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	cmd := exec.CommandContext(context.Background(), self, args...)
	cmd.Env = append(os.Environ(), beRouter+"=1")
	return cmd
}
