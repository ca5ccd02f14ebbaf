package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gannethook/internal/apikeys"
)

func keyCommand() *cobra.Command {
	var tenant string
	var valid time.Duration
	cmd := &cobra.Command{Use: "key", Short: "Make API keys for tenants"}
	newKey := &cobra.Command{Use: "new --tenant NAME", Short: "Make a key: its text for the tenant, its line for the file of keys",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var expires time.Time
			if valid > 0 {
				expires = time.Now().Add(valid)
			}
			text, line := apikeys.New(tenant, expires)
			fmt.Fprintf(cmd.ErrOrStderr(), "%s\n", text) // told once, and apart from the line
			fmt.Fprintln(cmd.OutOrStdout(), line)
			return nil
		}}
	newKey.Flags().StringVar(&tenant, "tenant", "", "the tenant, as the settings name it")
	newKey.Flags().DurationVar(&valid, "valid", 0, "for so long; 0: until it is taken back")
	newKey.MarkFlagRequired("tenant")
	cmd.AddCommand(newKey)
	return cmd
}
