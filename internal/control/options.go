package control

import (
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// Options are the settings of a process.
type Options struct {
	Name      string
	Zone      string
	Address   string // where peers call this process
	Seeds     []string
	Weight    int // how much of a machine this process has, in thousandths of a core
	Scheduler scheduler.Config
}

// Validate returns every finding about the options, joined into one error.
func (o *Options) Validate() error {
	var findings []error
	if o.Address == "" {
		findings = append(findings, oops.Errorf("peer address: missing"))
	}
	if o.Scheduler.RunLease < time.Second {
		findings = append(findings, oops.Errorf("run lease: %s, at least 1s", o.Scheduler.RunLease))
	}
	if o.Scheduler.StatusRetention <= 0 {
		findings = append(findings, oops.Errorf("time for which final states are kept: %s, must be positive", o.Scheduler.StatusRetention))
	}
	return oops.Join(findings...)
}
