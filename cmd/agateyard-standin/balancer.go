package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/balancer"
)

func balancerCommand() *cobra.Command {
	opts := balancer.DefaultOptions(nil)
	var listen string
	c := &cobra.Command{
		Use:   "balancer",
		Short: "Run a TCP load balancer for entry processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b, err := balancer.Listen(listen, opts)
			if err != nil {
				return err
			}
			defer b.Close()
			fmt.Fprintf(os.Stdout, "balancer %s\n", b.Address())
			<-cmd.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringSliceVar(&opts.Backends, "backend", nil, "addresses of the entry processes")
	c.Flags().DurationVar(&opts.CheckInterval, "check-interval", opts.CheckInterval, "interval between readiness checks")
	c.Flags().DurationVar(&opts.CheckTimeout, "check-timeout", opts.CheckTimeout, "timeout of one readiness check")
	return c
}
