package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"gannethook/internal/scenario"
)

func loadCommand() *cobra.Command {
	var dir, chart, without, policy string
	var multiples []float64
	var alsoUnlimited bool
	cmd := &cobra.Command{
		Use:   "load [SCRIPT]",
		Short: "Play a day at several loads, with the limits on and off, and compare",
		Long: "Play a day at several multiples of its rate, with the limits on and, beside them, off: what is served in time\n" +
			"and its worth, who refuses, tenants' fairness, and how soon service is back after a burst. Without a script,\n" +
			"the embedded day of overload.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			load := func() (*scenario.Script, error) { return scenario.Parse("overload.gann", scenario.OverloadDay) }
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
			play := func(multiple float64, limited bool, without string) error {
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
				r.Times = multiple
				r.Write(cmd.OutOrStdout())
				fmt.Fprintln(cmd.OutOrStdout())
				results = append(results, r)
				return nil
			}
			for _, limited := range limits {
				for _, multiple := range multiples {
					if err := play(multiple, limited, ""); err != nil {
						return err
					}
				}
			}
			if without != "" {
				if err := play(multiples[0], true, without); err != nil {
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
	f.StringVar(&dir, "dir", "", "folder for settings, logs and records; a new one if not given")
	f.Float64SliceVar(&multiples, "times", []float64{1, 2, 5, 10}, "multiples of the script's rate")
	f.BoolVar(&alsoUnlimited, "off", true, "play each with the limits off as well")
	f.StringVar(&policy, "policy", "module", "module, random or round-robin")
	f.StringVar(&without, "without", "", "play the first load once more without this tenant: what the others get alone")
	f.StringVar(&chart, "chart", "", "draw goodput over load into this file (svg, png or pdf)")
	return cmd
}
