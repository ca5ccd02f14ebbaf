package main

import (
	"cmp"
	"context"
	"os"

	"github.com/spf13/cobra"

	"gannethook/internal/platform"
	"gannethook/internal/platform/config"
)

// platformCommand runs a router that speaks the protocol of the users' platform.
func platformCommand() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a router on the users' platform",
		Long: `Run a router that speaks the protocol of the users' platform (docs/platform.md).
It is configured by EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY.

SIGTERM answers all accepted requests and stops. SIGHUP reloads the configuration.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals, stopNotify := platform.Notify() // before anything else, so that no signal during the start is lost
			defer stopNotify()
			cfg, err := config.LoadAtStart(os.Getenv)
			if err != nil {
				return err
			}
			log, _, err := newLogger(level)
			if err != nil {
				return err
			}
			platform.ApplyLimits(cfg)
			r, err := platform.New(cfg, os.Getenv, log)
			if err != nil {
				return err
			}
			return r.Run(context.Background(), signals)
		},
	}
	cmd.Flags().StringVar(&level, "log", cmp.Or(os.Getenv("GANNETHOOK_LOG"), "info"),
		"level of the log: debug, info, warn, error or off; GANNETHOOK_LOG sets another default")
	return cmd
}
