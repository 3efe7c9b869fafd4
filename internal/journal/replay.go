package journal

import (
	"cmp"
	"context"
	"fmt"

	"github.com/agateyard/agateyard/internal/platform"
)

// Replay passes the records of a sealed journal to fn: first those of the last
// snapshot, then those of the later segments in order. They may include a record whose
// append was never acknowledged. Replay returns ErrNotSealed, ErrRemoved, ErrGap,
// ErrCorrupt or an error of the store before the first call of fn, or the first error
// of fn.
func Replay(ctx context.Context, s platform.Store, incarnation string, fn func(record []byte) error) error {
	records, damage, err := readRecords(ctx, s, incarnation)
	if err = cmp.Or(err, damage); err != nil {
		return fmt.Errorf("replay %s: %w", incarnation, err)
	}
	for _, r := range records {
		if err = fn(r); err != nil {
			return err
		}
	}
	return nil
}

// ReplayReadable is Replay for a journal that is damaged: it passes the records that can be
// read and returns ErrGap or ErrCorrupt as damage if others are missing.
func ReplayReadable(ctx context.Context, s platform.Store, incarnation string, fn func(record []byte)) (damage, err error) {
	records, damage, err := readRecords(ctx, s, incarnation)
	if err != nil {
		return nil, fmt.Errorf("replay %s: %w", incarnation, err)
	}
	for _, r := range records {
		fn(r)
	}
	return damage, nil
}

func readRecords(ctx context.Context, s platform.Store, incarnation string) (records [][]byte, damage, err error) {
	j, err := read(ctx, s, incarnation)
	if err != nil {
		return nil, nil, err
	}
	return j.records()
}

// records returns the readable records of a sealed journal in order, and what is damaged.
func (j *contents) records() (records [][]byte, damage, err error) {
	seal, sealed := j.seal()
	if !sealed {
		return nil, nil, ErrNotSealed
	}
	if j.segments[seal].kind == kindTombstone {
		return nil, nil, ErrRemoved
	}
	records, damage = j.snapshot, j.damage
	for n := j.covered + 1; n < seal; n++ {
		v, ok := j.segments[n]
		if !ok || v.kind != kindSegment {
			damage = cmp.Or(damage, fmt.Errorf("segment %d: %w", n, ErrGap))
			continue
		}
		records = append(records, v.records...)
	}
	return records, damage, nil
}
