package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"gannethook/internal/scenario"
)

// loadCommand runs a scenario at several multiples of its request rate, with and without limits, and compares the results.
func loadCommand() *cobra.Command {
	var dir, chart, without, policy string
	var multiples []float64
	var alsoUnlimited bool
	cmd := &cobra.Command{
		Use:   "load [SCRIPT]",
		Short: "Run a scenario at several loads, with limits on and off, and compare",
		Long: "Run a scenario at several multiples of its rate, with the limits on and, for comparison, off: requests served\n" +
			"in time and their worth, refusals by cause, fairness between tenants, and recovery time after a burst. Without a\n" +
			"script, the embedded overload scenario runs.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			load := func() (*scenario.Script, error) { return scenario.Parse("overload.gann", scenario.OverloadScript) }
			if len(args) > 0 {
				load = func() (*scenario.Script, error) { return scenario.Load(args[0]) }
			}
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "gannethook-load-"); err != nil {
					return err
				}
			}
			limits := []bool{true}
			if alsoUnlimited {
				limits = append(limits, false)
			}
			var results []*scenario.Result
			runLoad := func(multiple float64, limited bool, without string) error {
				s, err := load()
				if err != nil {
					return err
				}
				s.Rate *= multiple
				s.Settings.Limits = limited
				s.Without(without)
				runDir := filepath.Join(dir, fmt.Sprintf("%g-%v%s", multiple, limited, without))
				if err := os.MkdirAll(runDir, 0o755); err != nil {
					return err
				}
				r, err := scenario.Run(cmd.Context(), s, policy, runDir, selfCommand)
				if err != nil {
					return err
				}
				r.LoadFactor = multiple
				r.Write(cmd.OutOrStdout())
				fmt.Fprintln(cmd.OutOrStdout())
				results = append(results, r)
				return nil
			}
			for _, limited := range limits {
				for _, multiple := range multiples {
					if err := runLoad(multiple, limited, ""); err != nil {
						return err
					}
				}
			}
			if without != "" {
				if err := runLoad(multiples[0], true, without); err != nil {
					return err
				}
			}
			scenario.CompareLoads(cmd.OutOrStdout(), results)
			if chart != "" {
				if err := scenario.ChartLoads(chart, results); err != nil {
					return err
				}
			}
			for _, r := range results {
				if !r.OK() {
					return errRuleBroken
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "directory for settings, logs and records; by default a new one")
	f.Float64SliceVar(&multiples, "times", []float64{1, 2, 5, 10}, "multiples of the script's rate")
	f.BoolVar(&alsoUnlimited, "off", true, "run each load also with the limits off")
	f.StringVar(&policy, "policy", "module", "module, random or round-robin")
	f.StringVar(&without, "without", "", "run the first load once more without this tenant, to show what the others get alone")
	f.StringVar(&chart, "chart", "", "draw goodput over load into this file (svg, png or pdf)")
	return cmd
}
