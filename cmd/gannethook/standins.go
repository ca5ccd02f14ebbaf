package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/standin"
)

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
	f.StringVar(&role, "role", "reader", "what it does: reader, writer or mixed")
	f.StringVar(&c.Addr, "listen", "127.0.0.1:0", "host:port; port 0 takes a free one, which is printed")
	f.IntVar(&c.Slots, "slots", 8, "requests at once")
	f.IntVar(&c.Queue, "queue", 32, "requests that may wait")
	f.Float64Var(&c.Memory, "memory", 160000, "memory in tokens")
	f.Float64Var(&c.ReadRate, "read-rate", 15000, "prompt tokens a second in one slot")
	f.Float64Var(&c.FetchRate, "fetch-rate", 200000, "tokens a second of a state on its way")
	f.DurationVar(&c.TokenGap, "token-gap", 30*time.Millisecond, "time between two tokens")
	f.Float64Var(&c.Early, "early", 0.7, "part of a state that flows while it is read, where a place is held")
	f.Float64Var(&c.ColdFrom, "cold-from", 0.3, "part of its speed that a cold engine starts with")
	f.DurationVar(&c.WarmAfter, "warm-after", 10*time.Second, "time to its whole speed")
	f.Float64Var(&c.Overload, "overload", 3, "multiple of its speed that pushes a cold engine over")
	f.DurationVar(&c.Fall, "fall", 3*time.Second, "when sent for so long; 0: never")
	f.DurationVar(&c.Keep, "keep", 5*time.Second, "time after which a state that nobody takes is dropped")
	f.BoolVar(&c.Extended, "extension", true, "speak the extension for places and releases")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of its chances")
	f.BoolVar(&cold, "cold", false, "start cold")
	return cmd
}

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
				r.Set(standin.Listed{Addr: a, Kind: "prompt", State: "ready"})
			}
			for _, a := range writers {
				r.Set(standin.Listed{Addr: a, Kind: "answer", State: "ready"})
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
	f.StringVar(&listen, "listen", "127.0.0.1:0", "host:port; port 0 takes a free one, which is printed")
	f.StringVar(&service, "service", "engines", "service of the slices")
	f.StringSliceVar(&readers, "reader", nil, "readers, listed as kind prompt")
	f.StringSliceVar(&writers, "writer", nil, "writers, listed as kind answer")
	return cmd
}
