// Package timeline records events with hybrid logical timestamps and merges the
// events of several processes.
package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock (HLC) timestamp: wall time in microseconds
// and a counter for events with the same wall time. A cause always has a lower
// timestamp than its effect.
type Timestamp struct {
	WallMicros int64  `json:"wall_us"`
	Logical    uint32 `json:"logical"`
}

// Less reports whether t is before o.
func (t Timestamp) Less(o Timestamp) bool {
	if t.WallMicros != o.WallMicros {
		return t.WallMicros < o.WallMicros
	}
	return t.Logical < o.Logical
}

// String returns the UTC wall time and the counter.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", time.UnixMicro(t.WallMicros).UTC().Format("15:04:05.000000"), t.Logical)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a timestamp that is later than all those returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance()
}

// Observe advances the clock so that later timestamps are after t, which was
// received from another process.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Less(t) {
		c.last = t
	}
}

func (c *Clock) advance() Timestamp {
	wall := c.now().UnixMicro()
	if wall > c.last.WallMicros {
		c.last = Timestamp{WallMicros: wall}
		return c.last
	}
	c.last.Logical++
	return c.last
}
