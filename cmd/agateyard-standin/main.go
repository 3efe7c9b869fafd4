// Command agateyard-standin runs stand-ins for external systems, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "agateyard-standin: %v\n", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "agateyard-standin",
		Short:         "Stand-ins for the platform, endpoints, load balancer and network links",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		runnerCommand(),
		workerCommand(),
		balancerCommand(),
		proxyCommand(),
		platformstandin.Command(),
	)
	return root
}
