package main

import (
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/platform"
)

// checkCommand validates a settings file, an operator's configuration, or both, and prints all errors found.
func checkCommand() *cobra.Command {
	var config string
	command := &cobra.Command{
		Use:   "check [settings file]",
		Short: "Check the settings file or, with --config, the tenants of a configuration, and exit",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if config != "" {
				if err := checkConfig(cmd.OutOrStdout(), config); err != nil || len(args) == 0 {
					return err
				}
			}
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
	command.Flags().StringVar(&config, "config", "", "file with a configuration as stored under op/config")
	return command
}

// checkConfig prints all findings about the tenants in a configuration. It returns an error if there are any.
func checkConfig(out io.Writer, path string) error {
	value, err := os.ReadFile(path)
	if err != nil {
		return oops.Wrapf(err, "read configuration")
	}
	config, err := platform.Directory{}.DecodeConfig(value)
	if err != nil {
		return err
	}
	findings := config.Tenants.Findings()
	for _, finding := range findings {
		fmt.Fprintln(out, finding)
	}
	if len(findings) > 0 {
		return oops.Errorf("%s: %d findings", path, len(findings))
	}
	fmt.Fprintf(out, "configuration %d: %d tenants, ok\n", config.Version, len(config.Tenants.Tenants()))
	return nil
}
