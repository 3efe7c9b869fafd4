package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the system clocks. Unlike the monotonic clock of the Go runtime, Now includes the time during which the
// machine was suspended, so that a lease that expired meanwhile is noticed.
type Clock struct{}

// Now returns the time since the machine booted.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Wall returns the time of day.
func (Clock) Wall() time.Time { return time.Now() }
