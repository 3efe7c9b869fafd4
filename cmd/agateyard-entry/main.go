// Command agateyard-entry runs the entry process of agateyard: it accepts the
// requests of callers and operators, and schedules them together with its peers.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/settings"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:           "agateyard-entry",
		Short:         "Run an entry process",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			return serve(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&path, "config", "agateyard-entry.toml", "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return cmd
}
