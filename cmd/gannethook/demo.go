package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"gannethook/internal/client"
	"gannethook/internal/daemon"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// demoTimeout bounds the whole demo and is far longer than it takes.
const demoTimeout = 30 * time.Second

// demoCommand runs a router, stand-in engines and a stand-in roster in one process and sends a few prompts.
func demoCommand() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run one router with stand-in engines and roster on loopback, send a few prompts and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, _, err := newLogger(level)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			return demo(ctx, cmd.OutOrStdout(), log)
		},
	}
	cmd.Flags().StringVar(&level, "log", "off", "level of the router's log: debug, info, warn, error or off")
	return cmd
}

// demoEngineConfig is the configuration of a stand-in reader, or of a writer if writes is set.
func demoEngineConfig(writes bool) standin.Config {
	return standin.Config{Addr: "127.0.0.1:0", Writes: writes, Slots: 8, Queue: 32, Memory: 160000, ReadRate: 15000,
		FetchRate: 200000, TokenGap: 15 * time.Millisecond, EarlyShare: 0.7, ColdFrom: 0.3, WarmAfter: 10 * time.Second,
		StateLifetime: 5 * time.Second, Extended: true, Seed: 7}
}

func demo(ctx context.Context, out io.Writer, log *zap.Logger) error {
	roster := standin.NewRoster("engines", nil)
	for i := range 4 {
		e := standin.NewEngine(demoEngineConfig(i >= 2), nil, nil)
		if err := e.Start(false); err != nil {
			return err
		}
		defer e.Kill()
		kind := [...]string{"prompt", "prompt", "answer", "answer"}[i]
		roster.Set(standin.Listing{Addr: e.Addr(), Kind: kind, Zone: [...]string{"north", "south"}[i%2], State: "ready"})
		fmt.Fprintf(out, "stand-in %-6s %s\n", kind, e.Addr())
	}
	addr, err := roster.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer roster.Stop()
	cfg, err := settings.Parse("default.gann", settings.Default)
	if err != nil {
		return err
	}
	cfg.Roster.Watch = addr
	d, err := daemon.Start(cfg, "", log)
	if err != nil {
		return err
	}
	defer d.Stop(ctx)
	fmt.Fprintf(out, "router   %s\n\n", d)
	select {
	case <-d.Listed():
	case <-ctx.Done():
		return ctx.Err()
	}
	return demoSession(ctx, out, d.Addr())
}

// demoSession sends prompts of both classes in one session and prints the answers; one that is not served is an error.
func demoSession(ctx context.Context, out io.Writer, addr string) error {
	s, err := client.Open(ctx, addr, "demo")
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Abort)()
	for i, prompt := range []struct{ class, text string }{
		{"question", "Why is my share of Friday's pool forty dollars short?"},
		{"question", "And how were Saturday's hours counted?"},
		{"adjustment", "Move two hours of Friday's closing shift to the kitchen pool."},
	} {
		fmt.Fprintf(out, "%s> %s\n", prompt.class, prompt.text)
		if err := s.AddMessage(prompt.text); err != nil {
			return err
		}
		if err := s.Request(map[string]string{"class": prompt.class, "idempotency_key": fmt.Sprintf("demo-%d", i)}, 24); err != nil {
			return err
		}
		a, err := s.Wait(func(text string) { fmt.Fprint(out, text) })
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "\n  %s: %d tokens, the first after %d ms, all in %d ms\n\n", a.Outcome(), a.Tokens,
			a.TimeToFirstToken.Milliseconds(), a.Duration.Milliseconds())
		if a.Outcome() != "served" {
			return fmt.Errorf("prompt %d was %s: %s", i+1, a.Outcome(), a.Reason)
		}
	}
	return nil
}

// chatCommand sends prompts from standard input to a router.
func chatCommand() *cobra.Command {
	var addr, model, class string
	var maxTokens int
	cmd := &cobra.Command{
		Use:   "chat --router HOST:PORT",
		Short: "Send each line of standard input to a router as a prompt and print the answers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := client.Open(cmd.Context(), addr, model)
			if err != nil {
				return err
			}
			defer s.Close()
			defer context.AfterFunc(cmd.Context(), s.Abort)()
			return chat(cmd.InOrStdin(), cmd.OutOrStdout(), s, class, maxTokens)
		},
	}
	f := cmd.Flags()
	f.StringVarP(&addr, "router", "r", "", "the router's host:port")
	f.StringVar(&model, "model", "", "model to ask for")
	f.StringVar(&class, "class", "", "class of the requests; by default the first of the settings")
	f.IntVar(&maxTokens, "max-tokens", 0, "maximum tokens of an answer")
	cmd.MarkFlagRequired("router")
	return cmd
}

// chat sends each non-empty line as a prompt; the first answer that is not served ends it with an error.
func chat(in io.Reader, out io.Writer, s *client.Session, class string, maxTokens int) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		if err := s.AddMessage(lines.Text()); err != nil {
			return err
		}
		metadata := map[string]string{"idempotency_key": fmt.Sprintf("chat-%d-%d", os.Getpid(), time.Now().UnixNano())}
		if class != "" {
			metadata["class"] = class
		}
		if err := s.Request(metadata, maxTokens); err != nil {
			return err
		}
		a, err := s.Wait(func(text string) { fmt.Fprint(out, text) })
		if err != nil {
			return err
		}
		fmt.Fprintln(out)
		switch a.Outcome() {
		case "refused":
			return fmt.Errorf("refused: nothing has run; retry after %v (%s)", a.RetryAfter, a.Reason)
		case "failed":
			return fmt.Errorf("failed: it may have run (%s)", a.Reason)
		}
	}
	return lines.Err()
}
