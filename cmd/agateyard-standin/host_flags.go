package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
)

// deregisterTimeout is the timeout for removing the VMs from the platform's list at
// shutdown.
const deregisterTimeout = 3 * time.Second

// hostFlags are the common flags of the runner and worker commands.
type hostFlags struct {
	count       int
	ip          string
	port        int
	admin       string
	platform    string
	name        string
	zones       []string
	run         time.Duration
	answerBytes int
	usageLag    time.Duration
}

func (f *hostFlags) add(c *cobra.Command) {
	fl := c.Flags()
	fl.IntVar(&f.count, "count", 1, "number of endpoints in this process, one port each, distributed over the zones")
	fl.StringVar(&f.ip, "ip", "127.0.0.1", "IP address to listen on")
	fl.IntVar(&f.port, "port", 0, "port of the first endpoint, followed by consecutive ports; 0 selects free ports")
	fl.StringVar(&f.admin, "admin", "127.0.0.1:0", "address of the admin API for all endpoints of this process")
	fl.StringVar(&f.platform, "platform", "", "base URL of the platform to register the VMs with; empty for no registration")
	fl.StringVar(&f.name, "name", "", "prefix of the VM identifiers")
	fl.StringSliceVar(&f.zones, "zone", []string{"zone-1"}, "availability zones")
	fl.DurationVar(&f.run, "run", 20*time.Millisecond, "run time of work that doesn't specify one")
	fl.IntVar(&f.answerBytes, "answer-bytes", 200, "bytes of filler in answers to work that doesn't specify them")
	fl.DurationVar(&f.usageLag, "usage-lag", time.Second, "age of reported usage")
}

// id returns the identifier of the i-th VM.
func (f *hostFlags) id(fallback string, i int) string {
	name := f.name
	if name == "" {
		name = fallback
	}
	return fmt.Sprintf("%s-%04d", name, i)
}

// zone returns the availability zone of the i-th endpoint.
func (f *hostFlags) zone(i int) string { return f.zones[i%len(f.zones)] }

// apply sets the fields of a configuration that the common flags determine.
func (f *hostFlags) apply(c standin.Config) standin.Config {
	c.Defaults.RunMS = f.run.Milliseconds()
	c.Defaults.AnswerBytes = f.answerBytes
	c.UsageLag = f.usageLag
	return c
}

// serve runs the endpoints until the context ends.
func (f *hostFlags) serve(ctx context.Context, configs []standin.Config) error {
	h, err := standin.NewHost(f.ip, f.port, f.admin, configs)
	if err != nil {
		return err
	}
	defer h.Close()
	fmt.Fprintf(os.Stdout, "admin %s\n", h.AdminAddress())
	for _, e := range h.Endpoints() {
		fmt.Fprintf(os.Stdout, "endpoint %s %s\n", e.Config().ID, e.Address())
	}
	if f.platform != "" {
		if err := h.Register(ctx, f.platform); err != nil && ctx.Err() == nil {
			return fmt.Errorf("register: %w", err)
		}
		logrus.Infof("standin: %d VMs registered", len(configs))
	}
	<-ctx.Done()
	// A graceful shutdown removes the VMs from the list; a killed process leaves them there.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := h.Deregister(bounded); err != nil {
		logrus.Warnf("standin: deregistration failed, VMs may remain in the platform's list: %v", err)
	}
	return nil
}
