package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// shutdownLimit is the maximum duration of a graceful shutdown.
const shutdownLimit = 5 * time.Second

// Command returns the subcommand "platform", which serves the stand-in until
// SIGINT or SIGTERM.
func Command() *cobra.Command {
	var cfg Config
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve a stand-in of the platform's key-value service and VM list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return Serve(ctx, listen, cfg)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7400", "address to listen on")
	flags.DurationVar(&cfg.VMLag, "vm-lag", 0, "delay before a change of a VM appears in the list")
	flags.Float64Var(&cfg.WritesPerSecond, "writes", DefaultWritesPerSecond, "limit of writes per second, negative for none")
	flags.Float64Var(&cfg.ReadsPerSecond, "reads", DefaultReadsPerSecond, "limit of reads per second, negative for none")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of the faults that occur with a probability")
	return cmd
}

// Serve runs the stand-in on the address until ctx ends.
func Serve(ctx context.Context, listen string, cfg Config) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return oops.In("standin").With("listen", listen).Wrapf(err, "platform stand-in failed to listen")
	}
	s := New(cfg)
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: shutdownLimit}
	logrus.Infof("standin: platform listens on %s", l.Addr())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err = <-failed:
		return oops.In("standin").Wrapf(err, "platform stand-in stopped")
	case <-ctx.Done():
	}
	s.Close() // ends the pending watches, which would otherwise delay the shutdown
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	if err = server.Shutdown(stopCtx); err != nil {
		return oops.In("standin").Wrapf(err, "platform stand-in did not shut down in time")
	}
	if err = <-failed; !errors.Is(err, http.ErrServerClosed) {
		return oops.In("standin").Wrapf(err, "platform stand-in stopped")
	}
	logrus.Info("standin: platform stopped")
	return nil
}
