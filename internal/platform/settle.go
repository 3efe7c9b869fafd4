package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// Delays between the steps of settling a write whose reply was lost.
const (
	settleFirstDelay = 20 * time.Millisecond
	settleMaxDelay   = time.Second
)

// PutWithReadBack writes like Store.Put and settles a lost reply: it reads the key
// and looks for changeID among the identifiers that extract finds in the value.
// Where the key still has the version of the condition, the first write may yet
// land, so the same write is sent again: the condition lets at most one of them
// take effect. It goes on until the outcome is known or ctx ends.
//
// The returned version is that of this write, or 0 if a later write has already
// replaced the value: a following write on condition of it then conflicts.
//
// ErrUncertain is returned only when ctx has ended first. ErrConflict means that
// the write did not take effect, or that a later write replaced it and the
// value no longer names changeID; a caller for which this matters keeps earlier
// identifiers in the value. Other errors are those of the first Put and definite.
func PutWithReadBack(ctx context.Context, s Store, key string, value []byte, opts PutOptions,
	changeID string, extract func(value []byte) []string,
) (uint64, error) {
	version, err := s.Put(ctx, key, value, opts)
	if err == nil || NotApplied(err) {
		return version, err
	}
	delay := NewBackOff(settleFirstDelay, settleMaxDelay)
	for {
		found, settled, err := readBack(ctx, s, key, value, opts.IfVersion, changeID, extract)
		if settled {
			return found, err
		}
		if err == nil {
			version, err = s.Put(ctx, key, value, opts)
			if err == nil {
				return version, nil
			}
		}
		switch {
		case errors.Is(err, ErrLeaseGone):
			return 0, err // a write that landed before was deleted with the lease
		case errors.Is(err, ErrConflict):
			continue // the key has moved on, so the next read settles it
		}
		if sleepErr := Sleep(ctx, delay.NextBackOff()); sleepErr != nil {
			return 0, fmt.Errorf("settle %s: %w: %w", key, ErrUncertain, err)
		}
	}
}

// readBack reports whether the fate of a write is settled, and how. Not settled
// without an error means that the key still has the version of the condition.
func readBack(ctx context.Context, s Store, key string, value []byte, ifVersion uint64, changeID string,
	extract func([]byte) []string,
) (uint64, bool, error) {
	e, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		if ifVersion == CreateOnly {
			return 0, false, nil
		}
		return 0, true, fmt.Errorf("settle %s: key is gone: %w", key, ErrConflict)
	}
	if err != nil {
		return 0, false, err
	}
	for _, id := range extract(e.Value) {
		if id != changeID {
			continue
		}
		if !bytes.Equal(e.Value, value) {
			return 0, true, nil
		}
		return e.Version, true, nil
	}
	if e.Version == ifVersion {
		return 0, false, nil
	}
	return 0, true, fmt.Errorf("settle %s: %w", key, ErrConflict)
}

// NotApplied reports whether the error of a write means that nothing was written.
func NotApplied(err error) bool {
	_, _, ok := Refusal(err)
	return ok
}

// NewBackOff returns exponential delays with jitter, from first up to limit.
// Jitter keeps processes that failed together from retrying together.
func NewBackOff(first, limit time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     first,
		RandomizationFactor: 0.5,
		Multiplier:          2,
		MaxInterval:         limit,
	}
}

// Sleep waits for d, or returns the error of ctx when it ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
