package journal

import (
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
	j, err := read(ctx, s, incarnation)
	if err != nil {
		return fmt.Errorf("replay %s: %w", incarnation, err)
	}
	records, err := j.records()
	if err != nil {
		return fmt.Errorf("replay %s: %w", incarnation, err)
	}
	for _, r := range records {
		if err = fn(r); err != nil {
			return err
		}
	}
	return nil
}

// records returns all records of a sealed journal in order.
func (j *contents) records() ([][]byte, error) {
	seal, sealed := j.seal()
	if !sealed {
		return nil, ErrNotSealed
	}
	if j.segments[seal].kind == kindTombstone {
		return nil, ErrRemoved
	}
	records := j.snapshot
	for n := j.covered + 1; n < seal; n++ {
		v, ok := j.segments[n]
		if !ok || v.kind != kindSegment {
			return nil, fmt.Errorf("segment %d: %w", n, ErrGap)
		}
		records = append(records, v.records...)
	}
	return records, nil
}
