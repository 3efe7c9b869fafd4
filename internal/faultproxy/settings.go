// Package faultproxy implements a TCP proxy that adds delay, limits throughput and
// resets or stalls connections, to test links between availability zones.
package faultproxy

import (
	"errors"
	"time"
)

// Settings are the faults that the proxy injects. Changes apply to open connections
// immediately, but data that has already been received keeps its delay, and RefuseNew
// applies only to new connections.
type Settings struct {
	DelayMS        int64   `json:"delay_ms,omitempty"`         // one way, each direction
	DelayMicros    int64   `json:"delay_us,omitempty"`         // added to DelayMS
	JitterMS       int64   `json:"jitter_ms,omitempty"`        // maximum random addition to the delay; the order of data is kept
	BytesPerSecond int64   `json:"bytes_per_second,omitempty"` // each direction of each connection; 0 for no limit
	RefuseNew      bool    `json:"refuse_new,omitempty"`       // new connections are reset
	StallForward   bool    `json:"stall_forward,omitempty"`    // data from client to server is held back; connections stay open
	StallBackward  bool    `json:"stall_backward,omitempty"`   // data from server to client is held back; connections stay open
	CutsPerSecond  float64 `json:"cuts_per_second,omitempty"`  // mean rate of random resets of each connection
}

// Validate returns all errors in the settings, joined.
func (s Settings) Validate() error {
	var errs []error
	if s.DelayMS < 0 || s.DelayMicros < 0 || s.JitterMS < 0 {
		errs = append(errs, errors.New("delay and jitter must not be negative"))
	}
	if s.BytesPerSecond < 0 {
		errs = append(errs, errors.New("bytes_per_second must not be negative"))
	}
	if s.CutsPerSecond < 0 {
		errs = append(errs, errors.New("cuts_per_second must not be negative"))
	}
	return errors.Join(errs...)
}

// delay returns the fixed one-way delay.
func (s Settings) delay() time.Duration {
	return time.Duration(s.DelayMS)*time.Millisecond + time.Duration(s.DelayMicros)*time.Microsecond
}

// transferTime returns the time that n bytes take at the configured byte rate.
func (s Settings) transferTime(n int) time.Duration {
	if s.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(s.BytesPerSecond) * float64(time.Second))
}

// stalled reports whether the direction is stalled.
func (s Settings) stalled(d direction) bool {
	if d == forward {
		return s.StallForward
	}
	return s.StallBackward
}

// direction is the direction of data through the proxy.
type direction int

const (
	forward  direction = iota // client to server
	backward                  // server to client
)
