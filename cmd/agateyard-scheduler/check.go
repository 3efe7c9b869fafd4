package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/platform"
)

// checkCommand validates a settings file and prints all errors found.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [settings file]",
		Short: "Check the settings file and exit",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if len(args) == 1 {
				path = args[0]
			}
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			options := settings.Options()
			if err := options.Validate(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
}
