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

// deregisterTimeout bounds the removal of the VMs from the platform's list at the end.
const deregisterTimeout = 3 * time.Second

// hostFlags are the flags that runners and workers share.
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
	fl.IntVar(&f.count, "count", 1, "endpoints in this process, one port each, spread over the zones")
	fl.StringVar(&f.ip, "ip", "127.0.0.1", "IP address to listen on")
	fl.IntVar(&f.port, "port", 0, "port of the first endpoint; 0 takes free ports")
	fl.StringVar(&f.admin, "admin", "127.0.0.1:0", "address of the admin calls for all endpoints of this process")
	fl.StringVar(&f.platform, "platform", "", "base URL of the platform to register the VMs at")
	fl.StringVar(&f.name, "name", "", "prefix of the VM identifiers")
	fl.StringSliceVar(&f.zones, "zone", []string{"zone-1"}, "availability zones")
	fl.DurationVar(&f.run, "run", 20*time.Millisecond, "run time of work that gives none")
	fl.IntVar(&f.answerBytes, "answer-bytes", 200, "filler of answers to work that gives none")
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

// zone returns the zone of the i-th endpoint.
func (f *hostFlags) zone(i int) string { return f.zones[i%len(f.zones)] }

// apply sets the shared settings of a configuration.
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
	// An orderly stop takes the VMs off the list; a killed process leaves them there.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := h.Deregister(bounded); err != nil {
		logrus.Warnf("standin: VMs stay in the list: %v", err)
	}
	return nil
}
