// Command agateyard-load sends open-loop load to entry processes and checks the
// invariants of the system.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/load"
)

var errCheckFailed = errors.New("check failed: wrong answers, violated invariants or faults not injected")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "agateyard-load: %v\n", err)
		os.Exit(1)
	}
}

// flags holds the command-line flags.
type flags struct {
	entries  []string
	effects  []string
	settle   time.Duration
	factor   float64
	seed     uint64
	jsonPath string
}

func newCommand() *cobra.Command {
	f := &flags{}
	c := &cobra.Command{
		Use:           "agateyard-load <scenario.toml>",
		Short:         "Send open-loop load from a scenario file and check the effect logs",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	fl := c.Flags()
	fl.StringSliceVar(&f.entries, "entry", nil, "addresses of entry processes or their load balancer; override those of the scenario")
	fl.StringSliceVar(&f.effects, "check-effects", nil, "addresses of the effect logs of endpoints to check after the load")
	fl.DurationVar(&f.settle, "settle", 2*time.Second, "wait before reading the effect logs")
	fl.Float64Var(&f.factor, "rate-factor", 1, "factor for all rates of the scenario")
	fl.Uint64Var(&f.seed, "seed", 0, "random seed; 0 uses the seed of the scenario")
	fl.StringVar(&f.jsonPath, "json", "", "file for the JSON report; - writes it to standard output instead of the table")
	return c
}

func (f *flags) run(cmd *cobra.Command, path string) error {
	s, err := load.ReadScenario(path)
	if err != nil {
		return err
	}
	if len(f.entries) > 0 {
		s.Entries = f.entries
	}
	if f.seed != 0 {
		s.Seed = f.seed
	}
	s.Scale(f.factor)
	rep, err := load.Run(cmd.Context(), s, load.Options{Effects: f.effects, Settle: f.settle})
	if rep.Started.IsZero() {
		return err
	}
	if err := errors.Join(err, f.write(rep)); err != nil {
		return err
	}
	if len(rep.Failures()) > 0 {
		return errCheckFailed
	}
	return nil
}

func (f *flags) write(rep load.Report) error {
	if f.jsonPath == "" {
		return rep.Table(os.Stdout)
	}
	raw, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	if f.jsonPath == "-" {
		_, err = os.Stdout.Write(raw)
		return err
	}
	if err := os.WriteFile(f.jsonPath, raw, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return rep.Table(os.Stdout)
}
