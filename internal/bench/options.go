package bench

import (
	"errors"
	"time"
)

// Options say how large the cell is and what it does while it is measured.
type Options struct {
	Bin                string // directory of the binaries
	Members            int    // entry processes
	Zones              int
	Workers            int
	PerRack            int
	Runners            int // of service orders
	Settle             time.Duration
	Duration           time.Duration // of the measurement
	JobRate            float64       // task starts a second
	RunTime            time.Duration // mean, exponential
	RequestRate        float64       // requests a second
	NonIdempotentShare float64       // share of jobs and requests that are non-idempotent
	Queued             int           // jobs that wait because nothing can run them, submitted before the measurement
	ConfigChanges      int           // configuration changes during the measurement
	StallConfigWatch   bool          // the last entry process gets no replies to watches of the configuration
	Logs               string        // directory for the logs of the processes; a temporary one when empty
}

// Validate returns all faults, joined.
func (o Options) Validate() error {
	var errs []error
	if o.Members < 1 || o.Zones < 1 || o.PerRack < 1 {
		errs = append(errs, errors.New("members, zones and per-rack must be positive"))
	}
	if o.Workers < 0 || o.Runners < 0 || o.Queued < 0 || o.ConfigChanges < 0 {
		errs = append(errs, errors.New("workers, runners, queued and changes must not be negative"))
	}
	if o.Duration <= 0 {
		errs = append(errs, errors.New("duration must be positive"))
	}
	if o.NonIdempotentShare < 0 || o.NonIdempotentShare > 1 || o.JobRate < 0 || o.RequestRate < 0 {
		errs = append(errs, errors.New("once must be within 0 and 1, and rates not negative"))
	}
	return errors.Join(errs...)
}
