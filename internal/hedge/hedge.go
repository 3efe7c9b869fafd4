// Package hedge repeats reads whose answer takes long. The connection of the first attempt may have gone silent, or the
// answer may be on its way to a process that is short of processor time: neither is given up for the other.
package hedge

import (
	"context"
	"time"
)

// Do calls read, and again each time that no attempt has ended for interval, until one succeeds, all that have begun have
// failed, or ctx is done. Attempts are counted from 0. Before each further attempt it calls again, unless that is nil. The
// read must be without effects.
func Do[T any](ctx context.Context, interval time.Duration, again func(), read func(ctx context.Context, attempt int) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx) // ends the attempts that are not needed any more
	defer cancel()
	results := make(chan result)
	running, attempt := 0, 0
	begin := func() {
		number := attempt
		attempt++
		running++
		go func() {
			value, err := read(ctx, number)
			select {
			case results <- result{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	begin()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.value, r.err
			}
		case <-timer.C:
			if again != nil {
				again()
			}
			begin()
			timer.Reset(interval)
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}
