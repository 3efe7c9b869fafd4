package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the system clocks. Unlike the monotonic clock of the Go runtime, Now includes the time during which the
// machine was suspended, so that a lease that expired meanwhile is noticed.
type Clock struct {
	now func() time.Duration // replaces the system clock in tests
}

// Now returns the time since the machine booted.
func (c Clock) Now() time.Duration {
	if c.now != nil {
		return c.now()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Wall returns the time of day.
func (Clock) Wall() time.Time { return time.Now() }
