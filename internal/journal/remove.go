package journal

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// TombstoneRetention is how long the seal of a removed journal is kept at least,
// counted from the sealing. An owner that was paused for less time finds it and stops.
const TombstoneRetention = 24 * time.Hour

// Remove deletes a sealed journal after all successors have adopted it. The seal is
// kept as a tombstone. Remove can be retried after an error.
func Remove(ctx context.Context, s platform.Store, incarnation string) error {
	err := remove(ctx, s, incarnation)
	if err != nil {
		return fmt.Errorf("remove %s: %w", incarnation, err)
	}
	return nil
}

func remove(ctx context.Context, s platform.Store, incarnation string) error {
	j, err := read(ctx, s, incarnation)
	if err != nil {
		return err
	}
	seal, sealed := j.seal()
	if !sealed {
		return ErrNotSealed
	}
	// The tombstone is written first, so that an interrupted removal is not taken for a
	// gap in the journal.
	if err = writeTombstone(ctx, s, incarnation, j.segments[seal], j.versions[seal]); err != nil {
		return err
	}
	for n, version := range j.versions {
		if n == seal {
			continue
		}
		if err = s.Delete(ctx, segmentKey(incarnation, n), version); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return deleteAll(ctx, s, snapshotsPrefix(incarnation))
}

func writeTombstone(ctx context.Context, s platform.Store, incarnation string, v value, version uint64) error {
	if v.kind == kindTombstone {
		return nil
	}
	v.kind = kindTombstone
	_, err := s.Put(ctx, segmentKey(incarnation, v.number), v.encode(), platform.PutOptions{IfVersion: version})
	return err
}

// deleteAll deletes every key with the prefix.
func deleteAll(ctx context.Context, s platform.Store, prefix string) error {
	return list(ctx, s, prefix, func(e platform.Entry) error {
		return s.Delete(ctx, e.Key, e.Version)
	})
}

// Sweep deletes tombstones whose seal is older than TombstoneRetention, and the
// snapshots that a late compaction by the dead owner has left behind. One process at a
// time should call it, about once an hour; overlapping calls are harmless. It returns
// the number of tombstones deleted.
func Sweep(ctx context.Context, s platform.Store, now time.Time) (int, error) {
	count := 0
	after := ""
	for {
		// The first value of each journal is enough: a removed journal has only its tombstone.
		page, err := s.List(ctx, journalRoot, after, 1)
		if err != nil || len(page.Entries) == 0 {
			return count, err
		}
		e := page.Entries[0]
		incarnation := incarnationOf(e.Key)
		after = segmentsPrefix(incarnation) + "~"
		if !expiredTombstone(e.Value, now) {
			continue
		}
		if err = deleteAll(ctx, s, snapshotsPrefix(incarnation)); err != nil {
			return count, err
		}
		if err = s.Delete(ctx, e.Key, e.Version); err != nil {
			return count, err
		}
		count++
	}
}

// incarnationOf parses the incarnation in the key of a segment.
func incarnationOf(key string) string {
	rest := key[len(journalRoot):]
	for i := range len(rest) {
		if rest[i] == '/' {
			return rest[:i]
		}
	}
	return rest
}

func expiredTombstone(b []byte, now time.Time) bool {
	v, err := decode(b)
	if err != nil || v.kind != kindTombstone || len(v.records) < 2 {
		return false
	}
	ms, err := strconv.ParseInt(string(v.records[1]), 10, 64)
	return err == nil && now.Sub(time.UnixMilli(ms)) > TombstoneRetention
}
