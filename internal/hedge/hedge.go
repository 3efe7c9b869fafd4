// Package hedge repeats reads whose answer takes long. The connection of the first attempt may have gone silent, or the
// answer may be on its way to a process that is short of processor time: neither is given up for the other.
package hedge

import (
	"context"
	"time"
)

// Limits bound a read by its progress: a large answer on a narrow link takes as long as it needs.
type Limits struct {
	Again time.Duration // without progress of any attempt, after which another one begins
	Stall time.Duration // without progress of any attempt, after which the read fails; 0: no limit but that of the context
}

// errStalled is the error of a read of which nothing has arrived for too long. It is a timeout.
type errStalled struct{}

// Error implements error.
func (errStalled) Error() string { return "nothing of the answer has arrived in time" }

// Timeout implements net.Error.
func (errStalled) Timeout() bool { return true }

// Temporary implements net.Error.
func (errStalled) Temporary() bool { return true }

// Is makes the error equal to that of a context whose deadline has passed.
func (errStalled) Is(target error) bool { return target == context.DeadlineExceeded }

// Do calls read, and again each time that no attempt has progressed or ended for limits.Again, until one succeeds, all that
// have begun have failed, none has progressed for limits.Stall, or ctx is done. A read reports its progress, such as a part of
// its answer, by calling progressed. Attempts are counted from 0. Before each further attempt Do calls again, unless that is
// nil. The read must be without effects.
func Do[T any](
	ctx context.Context, limits Limits, again func(), read func(ctx context.Context, attempt int, progressed func()) (T, error),
) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx) // ends the attempts that are not needed any more
	defer cancel()
	results := make(chan result)
	progress := make(chan struct{}, 1)
	progressed := func() {
		select {
		case progress <- struct{}{}:
		default: // the one before has not been noticed yet
		}
	}
	running, attempt := 0, 0
	begin := func() {
		number := attempt
		attempt++
		running++
		go func() {
			value, err := read(ctx, number, progressed)
			select {
			case results <- result{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	begin()
	timer := time.NewTimer(limits.Again)
	defer timer.Stop()
	stall := newStallTimer(limits.Stall)
	defer stall.Stop()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.value, r.err
			}
		case <-progress:
			timer.Reset(limits.Again)
			if limits.Stall > 0 {
				stall.Reset(limits.Stall)
			}
		case <-timer.C:
			if again != nil {
				again()
			}
			begin()
			timer.Reset(limits.Again)
		case <-stall.C:
			var zero T
			return zero, errStalled{}
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// newStallTimer returns a timer that fires after a duration; never if that is 0.
func newStallTimer(d time.Duration) *time.Timer {
	if d > 0 {
		return time.NewTimer(d)
	}
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}
