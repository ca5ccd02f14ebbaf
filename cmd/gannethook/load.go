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
	var loads []float64
	var off bool
	cmd := &cobra.Command{
		Use:   "load [SCRIPT]",
		Short: "Play a day at several loads, with the limits on and off, and compare",
		Long: "Play a day at several multiples of its rate, with the limits on and, beside them, off: what is served in time\n" +
			"and its worth, who refuses, tenants' fairness, and how soon service is back after a burst. Without a script,\n" +
			"the embedded day of overload.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			script := func() (*scenario.Script, error) { return scenario.Parse("overload.gann", scenario.OverloadDay) }
			if len(args) > 0 {
				script = func() (*scenario.Script, error) { return scenario.Load(args[0]) }
			}
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "gannethook-load-"); err != nil {
					return err
				}
			}
			limits := []bool{true}
			if off {
				limits = append(limits, false)
			}
			var list []*scenario.Result
			play := func(times float64, on bool, without string) error {
				s, err := script()
				if err != nil {
					return err
				}
				s.Rate *= times
				s.Settings.Limits = on
				s.Without(without)
				at := filepath.Join(dir, fmt.Sprintf("%g-%v%s", times, on, without))
				if err := os.MkdirAll(at, 0o755); err != nil {
					return err
				}
				r, err := scenario.Run(cmd.Context(), s, policy, at, command)
				if err != nil {
					return err
				}
				r.Times = times
				r.Write(cmd.OutOrStdout())
				fmt.Fprintln(cmd.OutOrStdout())
				list = append(list, r)
				return nil
			}
			for _, on := range limits {
				for _, times := range loads {
					if err := play(times, on, ""); err != nil {
						return err
					}
				}
			}
			if without != "" {
				if err := play(loads[0], true, without); err != nil {
					return err
				}
			}
			scenario.CompareLoads(cmd.OutOrStdout(), list)
			if chart != "" {
				if err := scenario.ChartLoads(chart, list); err != nil {
					return err
				}
			}
			for _, r := range list {
				if !r.OK() {
					return errRules
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "folder for settings, logs and records; a new one if not given")
	f.Float64SliceVar(&loads, "times", []float64{1, 2, 5, 10}, "multiples of the script's rate")
	f.BoolVar(&off, "off", true, "play each with the limits off as well")
	f.StringVar(&policy, "policy", "module", "module, random or round-robin")
	f.StringVar(&without, "without", "", "play the first load once more without this tenant: what the others get alone")
	f.StringVar(&chart, "chart", "", "draw goodput over load into this file (svg, png or pdf)")
	return cmd
}
