package bench

import (
	"time"

	"github.com/spf13/cobra"
)

// Command returns the command line of agateyard-bench.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "agateyard-bench",
		Short:         "Measure the control-plane overhead of a cell on the loopback interface",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(cellCommand())
	return root
}

func cellCommand() *cobra.Command {
	var o Options
	c := &cobra.Command{
		Use:   "cell",
		Short: "Start a cell, measure it and stop it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			return r.Print(cmd.OutOrStdout())
		},
	}
	fl := c.Flags()
	fl.StringVar(&o.Bin, "bin", "bin", "directory with the binaries")
	fl.IntVar(&o.Members, "members", 3, "number of entry processes")
	fl.IntVar(&o.Zones, "zones", 3, "number of availability zones")
	fl.IntVar(&o.Workers, "workers", 0, "number of workers")
	fl.IntVar(&o.PerRack, "per-rack", 8, "workers per rack")
	fl.IntVar(&o.Runners, "runners", 0, "number of runners")
	fl.DurationVar(&o.Settle, "settle", 3*time.Second, "warm-up before the measurement")
	fl.DurationVar(&o.Duration, "duration", 20*time.Second, "duration of the measurement")
	fl.Float64Var(&o.JobRate, "jobs", 0, "task starts per second")
	fl.DurationVar(&o.RunTime, "run", 5*time.Second, "mean run time (exponential distribution)")
	fl.Float64Var(&o.RequestRate, "requests", 0, "requests per second")
	fl.Float64Var(&o.NonIdempotentShare, "once", 0.2, "fraction of non-idempotent jobs and requests")
	fl.IntVar(&o.Queued, "queued", 0, "jobs that stay queued during the measurement; requires a cell without workers")
	fl.IntVar(&o.ConfigChanges, "changes", 0, "number of configuration changes during the measurement")
	fl.BoolVar(&o.StallConfigWatch, "stall", false, "stall the configuration watches of the last entry process")
	fl.StringVar(&o.Logs, "logs", "", "existing directory for process logs, which are kept; a temporary directory if empty")
	return c
}
