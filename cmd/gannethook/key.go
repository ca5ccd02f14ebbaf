package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/apikeys"
)

// keyCommand creates API keys.
func keyCommand() *cobra.Command {
	var tenant string
	var valid time.Duration
	cmd := &cobra.Command{Use: "key", Short: "Create API keys for tenants"}
	newKey := &cobra.Command{Use: "new --tenant NAME", Short: "Create a key: print its text for the tenant to standard error, its line for the key file to standard output",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var expires time.Time
			if valid > 0 {
				expires = time.Now().Add(valid)
			}
			text, line := apikeys.New(tenant, expires)
			fmt.Fprintf(cmd.ErrOrStderr(), "%s\n", text) // the secret is shown only here, apart from the line to store
			fmt.Fprintln(cmd.OutOrStdout(), line)
			return nil
		}}
	newKey.Flags().StringVar(&tenant, "tenant", "", "name of the tenant in the settings")
	newKey.Flags().DurationVar(&valid, "valid", 0, "validity period; 0: until the key is revoked")
	newKey.MarkFlagRequired("tenant")
	cmd.AddCommand(newKey)
	return cmd
}
