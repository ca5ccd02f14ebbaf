package main

import (
	"cmp"
	"context"
	"os"

	"github.com/spf13/cobra"

	"gannethook/internal/platform"
	"gannethook/internal/platform/config"
)

func platformCommand() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a router on the users' platform",
		Long: `Run a router that speaks the users' platform's protocol (docs/platform.md). What
it needs to know comes by EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY.

SIGTERM answers all that was taken and stops. SIGHUP reads the configuration again.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals, stopNotify := platform.Notify() // from the first moment on
			defer stopNotify()
			cfg, err := config.LoadAtStart(os.Getenv)
			if err != nil {
				return err
			}
			log, _, err := newLogger(level)
			if err != nil {
				return err
			}
			platform.Bound(cfg)
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
