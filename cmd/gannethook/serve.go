package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/spf13/cobra"

	"gannethook/internal/daemon"
	"gannethook/internal/handover"
	"gannethook/internal/lifecycle"
	"gannethook/internal/settings"
)

// serveCommand runs a router in the foreground.
func serveCommand() *cobra.Command {
	var config, level, policy, release string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a router",
		Long: `Run a router until a signal or an operator stops it.

SIGTERM and SIGINT drain and stop; a second one ends the drain at once. SIGHUP
reloads the settings. SIGUSR2 starts a successor that takes over the ports.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Before anything else: a stop during the start is not lost. Stop signals have a channel of their own, which other
			// signals can't fill.
			stopSignals, commandSignals := make(chan os.Signal, 2), make(chan os.Signal, 2)
			signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
			signal.Notify(commandSignals, syscall.SIGHUP, syscall.SIGUSR2)
			defer signal.Stop(stopSignals)
			defer signal.Stop(commandSignals)
			link, err := handover.Receive()
			if err != nil {
				return err
			}
			d, err := startRouter(config, level, policy, release, link)
			if err != nil {
				if link != nil {
					link.Fail(err)
				}
				return err
			}
			handleSignals(d, stopSignals, commandSignals)
			d.Stop(context.Background())
			if d.ExitCode() != 0 {
				return errors.New("the router failed")
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&config, "config", "c", "", "settings file")
	cmd.Flags().StringVar(&level, "log", "info", "level of the log: debug, info, warn, error or off")
	cmd.Flags().StringVar(&policy, "policy", "module", "module, or a baseline for comparisons: random or round-robin")
	cmd.Flags().StringVar(&release, "release", "", "release name of this program; by default the name of its directory under (releases ...)")
	cmd.MarkFlagRequired("config")
	return cmd
}

// startRouter loads the settings and starts a router. link is the connection to the predecessor, nil if there is none.
func startRouter(config, level, policy, release string, link *handover.Predecessor) (*daemon.Daemon, error) {
	cfg, err := settings.Load(config)
	if err != nil {
		return nil, err
	}
	log, atomicLevel, err := newLogger(level)
	if err != nil {
		return nil, err
	}
	listeners, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("socket activation: %w", err)
	}
	argv, err := selfArgv()
	if err != nil {
		return nil, err
	}
	if release == "" {
		release = releaseOf(argv[0], cfg.Control.ReleaseDir)
	}
	return daemon.StartWith(cfg, daemon.Options{Policy: policy, Config: config, Release: release, Argv: argv, Predecessor: link,
		SystemdListeners: listeners, Level: atomicLevel}, log)
}

// selfArgv returns the absolute path of this program and its arguments. Symbolic links in the path are not resolved: after
// a deployment has moved one, a restart runs the new program.
func selfArgv() ([]string, error) {
	path, err := exec.LookPath(os.Args[0])
	if err == nil {
		path, err = filepath.Abs(path)
	}
	if err != nil {
		return nil, fmt.Errorf("own program: %w", err)
	}
	return append([]string{path}, os.Args[1:]...), nil
}

// releaseOf returns the release of a program at RELEASES/RELEASE/NAME, or "" if it is not in a subdirectory of releases.
func releaseOf(path, releases string) string {
	dir := filepath.Dir(path)
	if releases == "" || filepath.Dir(dir) != filepath.Clean(releases) {
		return ""
	}
	return filepath.Base(dir)
}

// handleSignals turns signals into lifecycle commands until the router has ended: stop signals into Stop, SIGUSR2 into
// Restart, others (SIGHUP) into Reload.
func handleSignals(d *daemon.Daemon, stopSignals, commandSignals <-chan os.Signal) {
	for n := 1; ; n++ {
		c := lifecycle.Command{ID: fmt.Sprintf("signal %d of process %d", n, os.Getpid())}
		select {
		case <-stopSignals:
			c.Op = lifecycle.Stop
		case s := <-commandSignals:
			c.Op = lifecycle.Reload
			if s == syscall.SIGUSR2 {
				c.Op = lifecycle.Restart
			}
		case <-d.Ended():
			return
		}
		go d.Command(context.Background(), c)
	}
}

// checkCommand checks settings files and prints the first error of each.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			invalid := 0
			for _, path := range files {
				f, err := settings.Load(path)
				if err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					invalid++
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: router %s, %d classes, %d kinds\n", path, f.Name, len(f.Classes), len(f.Kinds))
			}
			if invalid > 0 {
				return fmt.Errorf("%d of %d files are invalid", invalid, len(files))
			}
			return nil
		},
	}
}
