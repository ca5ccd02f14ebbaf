package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/certs"
	"gannethook/internal/control"
)

func certCommand() *cobra.Command {
	var dir, domain string
	var valid time.Duration
	cmd := &cobra.Command{
		Use:   "cert",
		Short: "Make a fleet's authority and certificates, for a first installation",
		Long: `Make a fleet's authority and certificates, for a first installation.

An organisation's own issuer takes this command's place: certificates need a
SPIFFE id spiffe://DOMAIN/ROLE/NAME, the role being router, operator or read-only; clients' are as (identity ...) names them.`,
	}
	authority := &cobra.Command{Use: "authority", Short: "Make the authority", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := certs.NewAuthority(dir, domain, valid, time.Now())
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "authority of %s in %s; keep %s to yourself\n", a.Domain(), dir, certs.AuthorityKey)
			}
			return err
		}}
	authority.Flags().StringVar(&domain, "domain", "", "trust domain, as fleet.example")
	authority.Flags().DurationVar(&valid, "valid", 5*365*24*time.Hour, "for so long")
	authority.MarkFlagRequired("domain")
	cmd.PersistentFlags().StringVar(&dir, "authority", "authority", "the authority's folder")
	cmd.AddCommand(authority)
	for _, role := range []struct {
		role  control.Role
		short string
	}{{control.AsRouter, "Make or renew a router's certificate"}, {control.Operator, "Make or renew an operator's certificate"},
		{control.ReadOnly, "Make or renew a certificate that may only look"}, {"client", "Make or renew a tenant's certificate"}} {
		cmd.AddCommand(issueCommand(&dir, string(role.role), role.short))
	}
	return cmd
}

func issueCommand(dir *string, role, short string) *cobra.Command {
	var out string
	var valid time.Duration
	cmd := &cobra.Command{Use: role + " NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := certs.LoadAuthority(*dir)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			cert, key := filepath.Join(out, args[0]+".pem"), filepath.Join(out, args[0]+".key")
			if err := a.Issue(cert, key, role, args[0], valid, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s and %s, valid for %v\n", cert, key, valid)
			return nil
		}}
	cmd.Flags().StringVar(&out, "out", ".", "folder")
	cmd.Flags().DurationVar(&valid, "valid", 90*24*time.Hour, "for so long")
	return cmd
}
