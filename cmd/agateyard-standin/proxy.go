package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/faultproxy"
)

func proxyCommand() *cobra.Command {
	var listen, target, admin string
	var seed uint64
	var s faultproxy.Settings
	var delay time.Duration
	c := &cobra.Command{
		Use:   "proxy",
		Short: "Run a TCP proxy with delay, jitter, byte rate limit and random resets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if target == "" {
				return errors.New("target is empty")
			}
			s.DelayMicros = delay.Microseconds()
			p, err := faultproxy.Listen(listen, target, s, seed)
			if err != nil {
				return err
			}
			defer p.Close()
			ln, err := net.Listen("tcp", admin)
			if err != nil {
				return fmt.Errorf("listen on the admin address: %w", err)
			}
			server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
			defer server.Close()
			go func() { _ = server.Serve(ln) }()
			fmt.Fprintf(os.Stdout, "proxy %s\nadmin %s\n", p.Address(), ln.Addr())
			<-cmd.Context().Done()
			return nil
		},
	}
	fl := c.Flags()
	fl.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	fl.StringVar(&target, "target", "", "address to forward to")
	fl.StringVar(&admin, "admin", "127.0.0.1:0", "address of the admin API")
	fl.Uint64Var(&seed, "seed", 1, "seed for jitter and random resets")
	fl.DurationVar(&delay, "delay", 0, "one-way delay")
	fl.Int64Var(&s.JitterMS, "jitter-ms", 0, "maximum random addition to the delay, in milliseconds")
	fl.Int64Var(&s.BytesPerSecond, "bytes-per-second", 0, "byte rate limit of each direction of each connection; 0 for no limit")
	fl.Float64Var(&s.CutsPerSecond, "cuts-per-second", 0, "mean rate of random resets of each connection")
	return c
}
