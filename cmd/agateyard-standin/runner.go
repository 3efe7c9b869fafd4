package main

import (
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

func runnerCommand() *cobra.Command {
	f := &hostFlags{}
	var service string
	var slots int64
	var connections int
	c := &cobra.Command{
		Use:   "runner",
		Short: "Run stand-ins of runners of one service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var configs []standin.Config
			for i := range f.count {
				conf := standin.RunnerConfig(f.id("runner-"+service, i), f.zone(i), service)
				conf.Capacity = model.Resources{Slots: slots}
				conf.MaxConnections = connections
				configs = append(configs, f.apply(conf))
			}
			return f.serve(cmd.Context(), configs)
		},
	}
	f.add(c)
	c.Flags().StringVar(&service, "service", "orders", "service of the runners")
	c.Flags().Int64Var(&slots, "slots", standin.RunnerSlots, "maximum concurrent requests of a runner")
	c.Flags().IntVar(&connections, "connections", standin.RunnerConnections, "maximum open connections of a runner")
	return c
}
