// Package faultproxy is a TCP proxy that delays, slows and cuts connections,
// for tests of links between zones.
package faultproxy

import (
	"errors"
	"time"
)

// Settings are the faults of a link. They apply to open connections at once.
type Settings struct {
	DelayMS        int64   `json:"delay_ms,omitempty"`         // one way, each direction
	DelayMicros    int64   `json:"delay_us,omitempty"`         // added to DelayMS
	JitterMS       int64   `json:"jitter_ms,omitempty"`        // up to this much is added at random; order is kept
	BytesPerSecond int64   `json:"bytes_per_second,omitempty"` // each direction of each connection; 0 for no limit
	RefuseNew      bool    `json:"refuse_new,omitempty"`       // new connections are reset
	StallForward   bool    `json:"stall_forward,omitempty"`    // nothing passes from client to server; the connection stays
	StallBackward  bool    `json:"stall_backward,omitempty"`   // nothing passes from server to client
	CutsPerSecond  float64 `json:"cuts_per_second,omitempty"`  // random resets of each connection
}

// Validate returns all faults of the settings, joined.
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

// transfer returns how long n bytes take at the byte rate.
func (s Settings) transfer(n int) time.Duration {
	if s.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(s.BytesPerSecond) * float64(time.Second))
}

// stalled reports whether the direction is cut.
func (s Settings) stalled(d direction) bool {
	if d == forward {
		return s.StallForward
	}
	return s.StallBackward
}

// direction is a way through the proxy.
type direction int

const (
	forward  direction = iota // client to server
	backward                  // server to client
)
