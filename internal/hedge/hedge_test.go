package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const interval = 500 * time.Millisecond

// TestDo guards against a read that hangs on a dead connection although another attempt would succeed, against answers that
// are thrown away because they come late, and against attempts that go on without end.
func TestDo(t *testing.T) {
	failed := errors.New("refused")
	type answer struct {
		after time.Duration // 0: never
		err   error
	}
	for name, c := range map[string]struct {
		answers  []answer // by attempt; the last one also for those after it
		limit    time.Duration
		want     int // the attempt that succeeds; -1: none
		took     time.Duration
		attempts int32
		err      error
	}{
		"at once":                      {answers: []answer{{time.Millisecond, nil}}, limit: time.Second, want: 0, took: time.Millisecond, attempts: 1},
		"failure at once":              {answers: []answer{{time.Millisecond, failed}}, limit: time.Second, want: -1, took: time.Millisecond, attempts: 1, err: failed},
		"silent, then an answer":       {answers: []answer{{}, {time.Millisecond, nil}}, limit: 5 * time.Second, want: 1, took: interval + time.Millisecond, attempts: 2},
		"three silent ones":            {answers: []answer{{}, {}, {}, {time.Millisecond, nil}}, limit: 5 * time.Second, want: 3, took: 3*interval + time.Millisecond, attempts: 4},
		"late answers":                 {answers: []answer{{1200 * time.Millisecond, nil}}, limit: 5 * time.Second, want: 0, took: 1200 * time.Millisecond, attempts: 3},
		"a failure beside an answer":   {answers: []answer{{900 * time.Millisecond, nil}, {time.Millisecond, failed}}, limit: 5 * time.Second, want: 0, took: 900 * time.Millisecond, attempts: 2},
		"no answer before the timeout": {answers: []answer{{}}, limit: 1600 * time.Millisecond, want: -1, took: 1600 * time.Millisecond, attempts: 4, err: context.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), c.limit)
			defer cancel()
			var attempts, again atomic.Int32
			started := time.Now()
			got, err := Do(ctx, Limits{Again: interval}, func() { again.Add(1) }, func(ctx context.Context, attempt int, _ func()) (int, error) {
				attempts.Add(1)
				a := c.answers[min(attempt, len(c.answers)-1)]
				if a.after == 0 {
					<-ctx.Done()
					return -1, ctx.Err()
				}
				select {
				case <-time.After(a.after):
					return attempt, a.err
				case <-ctx.Done():
					return -1, ctx.Err()
				}
			})
			if took := time.Since(started); took != c.took || !errors.Is(err, c.err) || err == nil && got != c.want {
				t.Errorf("%s: attempt %d, error %v, after %s; want %d, %v, %s", name, got, err, took, c.want, c.err, c.took)
			}
			if attempts.Load() != c.attempts || again.Load() != c.attempts-1 {
				t.Errorf("%s: %d attempts, again called %d times, want %d attempts", name, attempts.Load(), again.Load(), c.attempts)
			}
		})
	}
}

// TestProgressIsNoSilence guards against a large answer on a narrow link that is requested again while it arrives, which
// makes the link slower still, and against one that stops half-way and is waited for without end (incident LOST).
func TestProgressIsNoSilence(t *testing.T) {
	const part, parts = 400 * time.Millisecond, 20
	for name, c := range map[string]struct {
		arrive   int // parts of the answer that arrive
		attempts int32
		took     time.Duration
		err      error
	}{
		"all parts arrive":           {arrive: parts, attempts: 1, took: parts * part},
		"the answer stops half-way":  {arrive: parts / 2, attempts: 5, took: parts/2*part + 5*interval, err: context.DeadlineExceeded},
		"nothing of it ever arrives": {attempts: 5, took: 5 * interval, err: context.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			var attempts atomic.Int32
			started := time.Now()
			limits := Limits{Again: interval, Stall: 5 * interval}
			_, err := Do(context.Background(), limits, nil, func(ctx context.Context, attempt int, progressed func()) (int, error) {
				attempts.Add(1)
				for range c.arrive {
					if attempt > 0 {
						break // only the first attempt has a connection that works
					}
					time.Sleep(part)
					progressed()
				}
				if c.arrive < parts {
					<-ctx.Done()
					return 0, ctx.Err()
				}
				return 0, nil
			})
			if took := time.Since(started); took != c.took || !errors.Is(err, c.err) {
				t.Errorf("%s: error %v after %s, want %v after %s", name, err, took, c.err, c.took)
			}
			if attempts.Load() != c.attempts {
				t.Errorf("%s: %d attempts, want %d", name, attempts.Load(), c.attempts)
			}
		})
	}
}
