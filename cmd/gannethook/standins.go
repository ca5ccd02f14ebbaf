package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/standin"
)

// engineCommand runs a stand-in engine in the foreground.
func engineCommand() *cobra.Command {
	var c standin.Config
	var role string
	var cold bool
	cmd := &cobra.Command{
		Use:   "engine --role reader|writer|mixed",
		Short: "Run a stand-in engine until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch role {
			case "reader":
			case "writer":
				c.Writes = true
			case "mixed":
				c.Writes, c.Mixed = true, true
			default:
				return fmt.Errorf("--role: %q is not reader, writer or mixed", role)
			}
			e := standin.NewEngine(c, nil, nil)
			if err := e.Start(cold); err != nil {
				return err
			}
			defer e.Kill()
			fmt.Fprintln(cmd.OutOrStdout(), e.Addr())
			<-cmd.Context().Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&role, "role", "reader", "role of the engine: reader, writer or mixed")
	f.StringVar(&c.Addr, "listen", "127.0.0.1:0", "host:port; with port 0 a free port is used and printed")
	f.IntVar(&c.Slots, "slots", 8, "number of requests processed at a time")
	f.IntVar(&c.Queue, "queue", 32, "maximum number of queued requests")
	f.Float64Var(&c.Memory, "memory", 160000, "memory in tokens")
	f.Float64Var(&c.ReadRate, "read-rate", 15000, "prompt tokens read per second in one slot")
	f.Float64Var(&c.FetchRate, "fetch-rate", 200000, "transfer rate of a state, in tokens per second")
	f.DurationVar(&c.TokenGap, "token-gap", 30*time.Millisecond, "time between two tokens of an answer")
	f.Float64Var(&c.EarlyShare, "early", 0.7, "fraction of a state that is transferred during the read if a place is held")
	f.Float64Var(&c.ColdFrom, "cold-from", 0.3, "fraction of its speed at which slow start begins")
	f.DurationVar(&c.WarmAfter, "warm-after", 10*time.Second, "duration of slow start")
	f.Float64Var(&c.OverloadFactor, "overload", 3, "multiple of its speed at which an engine in slow start crashes")
	f.DurationVar(&c.OverloadWindow, "fall", 3*time.Second, "duration of such an overload that crashes it; 0: never")
	f.DurationVar(&c.StateLifetime, "keep", 5*time.Second, "time after which a state that is not fetched is dropped")
	f.BoolVar(&c.Extended, "extension", true, "support the protocol extension for places and releases")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the random generator")
	f.BoolVar(&cold, "cold", false, "begin with slow start")
	return cmd
}

// rosterCommand runs a stand-in for the discovery API, with a fixed list of engines, in the foreground.
func rosterCommand() *cobra.Command {
	var listen, service string
	var readers, writers []string
	cmd := &cobra.Command{
		Use:   "roster --reader HOST:PORT... --writer HOST:PORT...",
		Short: "Run a stand-in roster (EndpointSlice list and watch) until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := standin.NewRoster(service, nil)
			for _, a := range readers {
				r.Set(standin.Listing{Addr: a, Kind: "prompt", State: "ready"})
			}
			for _, a := range writers {
				r.Set(standin.Listing{Addr: a, Kind: "answer", State: "ready"})
			}
			addr, err := r.Start(listen)
			if err != nil {
				return err
			}
			defer r.Stop()
			fmt.Fprintln(cmd.OutOrStdout(), addr)
			<-cmd.Context().Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "host:port; with port 0 a free port is used and printed")
	f.StringVar(&service, "service", "engines", "service name of the EndpointSlices")
	f.StringSliceVar(&readers, "reader", nil, "addresses of readers, listed with kind prompt")
	f.StringSliceVar(&writers, "writer", nil, "addresses of writers, listed with kind answer")
	return cmd
}
