package control

import (
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// Options are the settings of a process.
type Options struct {
	Name    string
	Zone    string
	Address string // where peers call this process
	Seeds   []string
	Weight  int // CPU available to this process, in millicores
	// LinkMbps and MemoryMB are what this process may use of its VM's link and memory; 0 means that it is not known.
	LinkMbps float64
	MemoryMB int
	// DescriptorLimit is the number of file descriptors that this process may have open. It bounds the connections to
	// runners; 0 means no limit.
	DescriptorLimit int
	// KeysRequired makes all routes that aren't public need a key, also while the configuration lists no tenants.
	KeysRequired bool
	// RevokeLimit is how long a configuration that nobody confirms stays good for keys if StrictRevoke is set.
	RevokeLimit  time.Duration
	StrictRevoke bool
	// ConfigApply is the time after which a change of the configuration has to be in force everywhere.
	ConfigApply time.Duration
	Scheduler   scheduler.Config
}

// Validate returns all errors of the options, joined into one.
func (o *Options) Validate() error {
	var findings []error
	if o.Address == "" {
		findings = append(findings, oops.Errorf("peer address is missing"))
	}
	if o.ConfigApply <= 0 {
		findings = append(findings, oops.Errorf("time until a configuration is in force is %s, must be positive", o.ConfigApply))
	}
	if o.Scheduler.RunLease < time.Second {
		findings = append(findings, oops.Errorf("run lease is %s, must be at least 1s", o.Scheduler.RunLease))
	}
	if o.Scheduler.StatusRetention <= 0 {
		findings = append(findings, oops.Errorf("retention of final job states is %s, must be positive", o.Scheduler.StatusRetention))
	}
	if o.StrictRevoke && o.RevokeLimit <= 0 {
		findings = append(findings, oops.Errorf("limit of unconfirmed keys is %s, must be positive with strict revocation", o.RevokeLimit))
	}
	return oops.Join(findings...)
}
