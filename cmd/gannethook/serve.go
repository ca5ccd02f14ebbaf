package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gannethook/internal/daemon"
	"gannethook/internal/settings"
)

func serveCommand() *cobra.Command {
	var config, level, policy string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a router",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(config)
			if err != nil {
				return err
			}
			log, err := logger(level)
			if err != nil {
				return err
			}
			defer log.Sync()
			d, err := daemon.Start(cfg, policy, log)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			d.Stop(secondSignal())
			return nil
		},
	}
	cmd.Flags().StringVarP(&config, "config", "c", "", "settings file")
	cmd.Flags().StringVar(&level, "log", "info", "level of the log: debug, info, warn, error or off")
	cmd.Flags().StringVar(&policy, "policy", "module", "module, or a baseline for comparisons: random or round-robin")
	cmd.MarkFlagRequired("config")
	return cmd
}

// secondSignal ends at a further signal: the stop is cut short.
func secondSignal() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-again
		cancel(errors.New("second signal"))
	}()
	return ctx
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			bad := 0
			for _, path := range files {
				f, err := settings.Load(path)
				if err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					bad++
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: router %s, %d classes, %d kinds\n", path, f.Name, len(f.Classes), len(f.Kinds))
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files are wrong", bad, len(files))
			}
			return nil
		},
	}
}
