package endpoint

import (
	"errors"
	"time"
)

// Options are the settings of an HTTPClient.
type Options struct {
	MaxConnections     int           // to the endpoint, over all commands
	ControlConnections int           // of MaxConnections, kept for commands other than Start
	DialTimeout        time.Duration // of one connection
	IdleTimeout        time.Duration // idle connections are closed after it
	MaxAnswerBytes     int64         // a longer answer is ErrLost
}

// DefaultOptions returns the options for a runner of 8 slots.
func DefaultOptions() Options {
	return Options{
		// A runner allows about 60 connections. With 20 an old and a new pool
		// owner fit beside each other, and one more that is paused.
		MaxConnections: 20,
		// Session calls must not wait behind running requests, or leases lapse under load.
		ControlConnections: 4,
		DialTimeout:        time.Second,
		// Shorter than the idle timeout of the endpoints (2 min): a connection that
		// the endpoint closes while a command is written is lost, not refused.
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
