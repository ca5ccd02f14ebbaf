package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/client"
)

// idleCommand opens idle sessions at a router and measures the memory that they take.
func idleCommand() *cobra.Command {
	var addr string
	var count, pid int
	var keep time.Duration
	cmd := &cobra.Command{
		Use:   "idle --router HOST:PORT --sessions N",
		Short: "Open idle sessions at a router and measure its memory per session",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			before := residentKiB(pid)
			started := time.Now()
			for i := range count {
				s, err := client.Open(cmd.Context(), addr, "")
				if err != nil {
					return fmt.Errorf("session %d: %w", i+1, err)
				}
				defer s.Abort()
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d sessions open after %v\n", count, time.Since(started).Round(time.Millisecond))
			ctx, cancel := context.WithTimeout(cmd.Context(), keep)
			defer cancel()
			<-ctx.Done()
			if after := residentKiB(pid); pid != 0 && count > 0 {
				fmt.Fprintf(out, "resident memory of %d: %d KiB before, %d KiB after, %.1f KiB a session\n", pid, before, after,
					float64(after-before)/float64(count))
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVarP(&addr, "router", "r", "", "the router's host:port")
	f.IntVar(&count, "sessions", 1000, "number of sessions")
	f.IntVar(&pid, "pid", 0, "process ID of the router, to read its memory")
	f.DurationVar(&keep, "keep", 2*time.Second, "time for which the sessions stay open")
	cmd.MarkFlagRequired("router")
	return cmd
}

// residentKiB returns the resident memory of a process in KiB from Linux's /proc; 0 where that is not available.
func residentKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(text, []byte("VmRSS:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(string(fields[0]))
	return n
}
