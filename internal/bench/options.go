package bench

import (
	"errors"
	"time"
)

// Options configure the size of the cell and its load during the measurement.
type Options struct {
	Bin                string // directory with the binaries
	Members            int    // entry processes
	Zones              int
	Workers            int
	PerRack            int
	Runners            int // of the service "orders"
	Settle             time.Duration
	Duration           time.Duration // of the measurement
	JobRate            float64       // task starts per second
	RunTime            time.Duration // mean of an exponential distribution
	RequestRate        float64       // requests per second
	NonIdempotentShare float64       // fraction of jobs and requests that are non-idempotent
	Queued             int           // jobs submitted before the measurement that stay queued because nothing can run them
	ConfigChanges      int           // configuration changes during the measurement
	StallConfigWatch   bool          // the last entry process gets no replies to configuration watches
	Logs               string        // directory for process logs; a temporary one when empty
}

// Validate returns all errors, joined.
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
