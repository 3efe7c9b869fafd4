package endpoint

import (
	"errors"
	"time"
)

// Options are the settings of an HTTPClient.
type Options struct {
	MaxConnections     int           // connections to the endpoint, for all commands
	ControlConnections int           // part of MaxConnections that is reserved for commands other than Start
	DialTimeout        time.Duration // per connection
	IdleTimeout        time.Duration // idle connections are closed after this time
	MaxAnswerBytes     int64         // a larger answer results in ErrOutcomeUnknown
}

// DefaultOptions returns the options for a runner of 8 slots.
func DefaultOptions() Options {
	return Options{
		// A runner allows about 60 connections. A limit of 20 leaves capacity for
		// the old and the new pool owner at once, and for a third that is paused.
		MaxConnections: 20,
		// If session calls had to wait for running requests, leases would expire under load.
		ControlConnections: 4,
		DialTimeout:        time.Second,
		// Shorter than the idle timeout of the endpoints (2 min). If the endpoint
		// closes a connection while a command is written, the command fails with
		// ErrOutcomeUnknown instead of a definite error.
		IdleTimeout:    30 * time.Second,
		MaxAnswerBytes: 64 << 20,
	}
}

// Validate returns all invalid options, joined.
func (o Options) Validate() error {
	var errs []error
	if o.ControlConnections < 1 {
		errs = append(errs, errors.New("control connections must be at least 1"))
	}
	if o.MaxConnections <= o.ControlConnections {
		errs = append(errs, errors.New("max connections must exceed control connections"))
	}
	if o.DialTimeout <= 0 {
		errs = append(errs, errors.New("dial timeout must be positive"))
	}
	if o.IdleTimeout <= 0 {
		errs = append(errs, errors.New("idle timeout must be positive"))
	}
	if o.MaxAnswerBytes <= 0 {
		errs = append(errs, errors.New("max answer bytes must be positive"))
	}
	return errors.Join(errs...)
}
