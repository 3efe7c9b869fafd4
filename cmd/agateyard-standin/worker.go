package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

func workerCommand() *cobra.Command {
	f := &hostFlags{}
	var cores, memoryMB, accelerators int64
	var rack string
	var perRack int
	c := &cobra.Command{
		Use:   "worker",
		Short: "Run stand-ins of workers, grouped in racks",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			capacity := model.Resources{CoresMilli: cores * 1000, MemoryMB: memoryMB, Accelerators: accelerators}
			var configs []standin.Config
			for i := range f.count {
				// Worker i is in zone i mod len(zones); racks are filled one by one within each zone.
				r := fmt.Sprintf("%s-%s-%02d", rack, f.zone(i), i/len(f.zones)/max(perRack, 1))
				configs = append(configs, f.apply(standin.WorkerConfig(f.id("worker", i), f.zone(i), r, capacity)))
			}
			return f.serve(cmd.Context(), configs)
		},
	}
	f.add(c)
	c.Flags().Int64Var(&cores, "cores", 32, "cores of a worker")
	c.Flags().Int64Var(&memoryMB, "memory-mb", 64<<10, "memory of a worker in mebibytes")
	c.Flags().Int64Var(&accelerators, "accelerators", 0, "accelerators of a worker")
	c.Flags().StringVar(&rack, "rack", "rack", "prefix of the rack names, followed by zone and number")
	c.Flags().IntVar(&perRack, "per-rack", 6, "number of workers per rack")
	return c
}
