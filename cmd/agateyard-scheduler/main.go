// Command agateyard-scheduler runs the scheduler process of an agateyard cell on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "agateyard-scheduler",
		Short:         "Scheduler process of an agateyard cell on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), explainCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "agateyard-scheduler:", err)
		os.Exit(1)
	}
}
