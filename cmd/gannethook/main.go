// Command gannethook is the router and what goes with it: see gannethook help.
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

// exitCode is 1 unless the error has its own.
func exitCode(err error) int {
	var e *fleet.ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return 1
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "gannethook",
		Short:         "A router for model services whose readers take in prompts and whose writers stream answers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(demoCommand(), serveCommand(), checkCommand(), chatCommand(), dayCommand(), idleCommand(), engineCommand(), rosterCommand(),
		fleetCommand(), certCommand(), keyCommand(), loadCommand(), platformCommand(), soakCommand())
	return cmd
}

// newLogger writes JSON lines to standard error, or nowhere for level "off".
// Its level may change while it runs.
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
