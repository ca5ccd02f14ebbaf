// Command gannethook is the router, together with its tools: operation of a fleet, certificates and keys, stand-ins for
// engines and discovery, and scenario, load and soak tests. See gannethook help.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gannethook/internal/fleet"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "gannethook:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit status for an error: its own for a *fleet.ExitError, else 1.
func exitCode(err error) int {
	var e *fleet.ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return 1
}

// root returns the command with all subcommands.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "gannethook",
		Short:         "Router for language models: readers process prompts (prefill), writers stream answers (decode)",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(demoCommand(), serveCommand(), checkCommand(), chatCommand(), dayCommand(), idleCommand(), engineCommand(), rosterCommand(),
		fleetCommand(), certCommand(), keyCommand(), loadCommand(), platformCommand(), soakCommand())
	return cmd
}

// newLogger returns a logger that writes JSON lines to standard error, and its level, which can be changed while it runs.
// For level "off" it logs nothing and the level is nil.
func newLogger(level string) (*zap.Logger, *zap.AtomicLevel, error) {
	if level == "off" {
		return zap.NewNop(), nil, nil
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("--log: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil // every request has its line
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncoderConfig.EncodeDuration = zapcore.MillisDurationEncoder
	log, err := cfg.Build()
	return log, &cfg.Level, err
}
