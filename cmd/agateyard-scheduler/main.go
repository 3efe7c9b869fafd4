// Command agateyard-scheduler runs one scheduler process of a cell whose store, runners and advice service belong to the
// users' platform (see package platform in the root directory).
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
