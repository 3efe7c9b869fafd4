package bench

import (
	"time"

	"github.com/spf13/cobra"
)

// Command returns the command line of agateyard-bench.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "agateyard-bench",
		Short:         "Measure the control cost of a cell on the loopback interface",
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
		Short: "Start a cell, measure it for a while and stop it",
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
	fl.StringVar(&o.Bin, "bin", "bin", "directory of the binaries")
	fl.IntVar(&o.Members, "members", 3, "entry processes")
	fl.IntVar(&o.Zones, "zones", 3, "availability zones")
	fl.IntVar(&o.Workers, "workers", 0, "workers")
	fl.IntVar(&o.PerRack, "per-rack", 8, "workers of a rack")
	fl.IntVar(&o.Runners, "runners", 0, "runners")
	fl.DurationVar(&o.Settle, "settle", 3*time.Second, "time before the measurement")
	fl.DurationVar(&o.Duration, "duration", 20*time.Second, "time of the measurement")
	fl.Float64Var(&o.JobRate, "jobs", 0, "task starts a second")
	fl.DurationVar(&o.RunTime, "run", 5*time.Second, "mean run time, exponential")
	fl.Float64Var(&o.RequestRate, "requests", 0, "requests a second")
	fl.Float64Var(&o.NonIdempotentShare, "once", 0.2, "share of non-idempotent work")
	fl.IntVar(&o.Queued, "queued", 0, "jobs that wait during the measurement; give no workers with it")
	fl.IntVar(&o.ConfigChanges, "changes", 0, "configuration changes during the measurement")
	fl.BoolVar(&o.StallConfigWatch, "stall", false, "hold back the configuration watch of the last entry process")
	fl.StringVar(&o.Logs, "logs", "", "existing directory for logs, which are kept there")
	return c
}
