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

// certCommand creates an authority and issues certificates, one subcommand for each role.
func certCommand() *cobra.Command {
	var dir, domain string
	var valid time.Duration
	cmd := &cobra.Command{
		Use:   "cert",
		Short: "Create a fleet's certificate authority and issue certificates, for a first installation",
		Long: `Create a fleet's certificate authority and issue certificates, for a first installation.

An organisation's own issuer can replace this command: a certificate needs the
SPIFFE ID spiffe://DOMAIN/ROLE/NAME, where ROLE is router, operator or read-only;
a client's certificate needs an ID that (identity ...) of its tenant names.`,
	}
	authority := &cobra.Command{Use: "authority", Short: "Create the authority", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := certs.NewAuthority(dir, domain, valid, time.Now())
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "authority of %s in %s; keep %s secret\n", a.Domain(), dir, certs.AuthorityKey)
			}
			return err
		}}
	authority.Flags().StringVar(&domain, "domain", "", "trust domain, for example fleet.example")
	authority.Flags().DurationVar(&valid, "valid", 5*365*24*time.Hour, "validity period")
	authority.MarkFlagRequired("domain")
	cmd.PersistentFlags().StringVar(&dir, "authority", "authority", "directory of the authority")
	cmd.AddCommand(authority)
	for _, role := range []struct {
		role  control.Role
		short string
	}{{control.RouterRole, "Issue or renew a router's certificate"}, {control.Operator, "Issue or renew an operator's certificate"},
		{control.ReadOnly, "Issue or renew a certificate with read-only access"}, {"client", "Issue or renew a client certificate of a tenant"}} {
		cmd.AddCommand(issueCommand(&dir, string(role.role), role.short))
	}
	return cmd
}

// issueCommand issues a certificate for role to the name given as argument, with the authority in *dir.
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
	cmd.Flags().DurationVar(&valid, "valid", 90*24*time.Hour, "validity period")
	return cmd
}
