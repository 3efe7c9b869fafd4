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

// Delays between the attempts to resolve a write whose reply was lost.
const (
	readBackFirstDelay = 20 * time.Millisecond
	readBackMaxDelay   = time.Second
)

// PutWithReadBack writes like Store.Put. If the outcome is uncertain, it reads the
// key back and searches for changeID among the identifiers that extract finds in
// the value. If the key still has the version of the condition, the first write may
// still be applied later, so the same write is sent again: the condition lets at
// most one of them take effect. It retries until the outcome is known or ctx ends.
//
// The returned version is that of this write, or 0 if a later write has already
// replaced the value: a following write on condition of it then fails with
// ErrConflict.
//
// ErrUncertain is returned only if ctx ends first. ErrConflict means that the write
// did not take effect, that the key has been deleted since, or that a later write
// replaced it and the value no longer contains changeID; a caller that must tell a
// replaced write from one without effect keeps earlier identifiers in the value. Any
// other error means that the write did not take effect or that its lease has ended.
func PutWithReadBack(ctx context.Context, s Store, key string, value []byte, opts PutOptions,
	changeID string, extract func(value []byte) []string,
) (uint64, error) {
	version, err := s.Put(ctx, key, value, opts)
	if err == nil || NotApplied(err) {
		return version, err
	}
	delay := NewBackOff(readBackFirstDelay, readBackMaxDelay)
	for {
		found, resolved, err := readBack(ctx, s, key, value, opts.IfVersion, changeID, extract)
		if resolved {
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
			return 0, err // a write that was applied before was deleted with the lease
		case errors.Is(err, ErrConflict):
			continue // the key has changed, so the next read resolves the outcome
		}
		if sleepErr := Sleep(ctx, delay.NextBackOff()); sleepErr != nil {
			return 0, fmt.Errorf("read back %s: %w: %w", key, ErrUncertain, err)
		}
	}
}

// readBack reads the key and reports whether the outcome of the write is known and
// what it is. If it is unknown and the error is nil, the key still has the version
// of the condition.
func readBack(ctx context.Context, s Store, key string, value []byte, ifVersion uint64, changeID string,
	extract func([]byte) []string,
) (uint64, bool, error) {
	e, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		if ifVersion == CreateOnly {
			return 0, false, nil
		}
		return 0, true, fmt.Errorf("read back %s: key no longer exists: %w", key, ErrConflict)
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
	return 0, true, fmt.Errorf("read back %s: %w", key, ErrConflict)
}

// NotApplied reports whether the error of a write to a Store means that nothing was
// written. It must not be used for the ErrUncertain of PutWithReadBack, which also wraps
// the error of the last call.
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

// Sleep waits for d, or returns the error of ctx if it ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
