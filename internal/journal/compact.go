package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// rotation asks Run for a snapshot between two segments.
type rotation struct {
	lease   platform.LeaseID // of the segments that follow
	collect func() ([][]byte, error)
	result  chan<- rotated
}

// rotated is the answer to a rotation.
type rotated struct {
	records [][]byte
	covered uint64
	old     []platform.LeaseID // of covered segments
	err     error
}

// partInfo names a part of a snapshot in the store; version 0 is not known.
type partInfo struct {
	key     string
	version uint64
}

// Compact replaces the segments written so far by a snapshot. collect returns the
// records of the state that all acknowledged records have led to. It is called from
// Run between two segments, after done was called for every acknowledged record and
// before any other; a caller whose state is owned by an event loop passes the call
// through the queue that its done functions use, and so gets exactly that state.
// Segments wait while collect runs, so that event loop must not call Compact itself.
//
// A crash at any point loses nothing: the snapshot counts only when all its parts are
// written, and segments are deleted only after that. Compact returns ErrCompacting if
// another is under way and ErrSealed on a sealed journal; after any other error it
// can be repeated.
func (w *Writer) Compact(ctx context.Context, collect func() ([][]byte, error)) error {
	if !w.compacting.TryLock() {
		return ErrCompacting
	}
	defer w.compacting.Unlock()
	if w.complete && w.number.Load() == w.covered {
		return nil // nothing was written since the last snapshot
	}
	lease, err := w.cfg.Store.GrantLease(ctx, segmentLeaseTTL)
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	r, err := w.requestRotation(ctx, lease, collect)
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	stale := w.parts
	if err = w.writeParts(ctx, r); err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	w.complete, w.covered = true, r.covered
	return w.cleanUp(ctx, r.old, stale)
}

// requestRotation passes the request to Run and waits for the answer.
func (w *Writer) requestRotation(ctx context.Context, lease platform.LeaseID, collect func() ([][]byte, error)) (rotated, error) {
	result := make(chan rotated, 1)
	select {
	case w.turns <- rotation{lease: lease, collect: collect, result: result}:
	case <-w.stopped:
		return rotated{}, w.stopError()
	case <-ctx.Done():
		return rotated{}, ctx.Err()
	}
	select {
	case r := <-result:
		return r, r.err
	case <-ctx.Done():
		return rotated{}, ctx.Err()
	}
}

// stopError returns why appends fail after Run has returned.
func (w *Writer) stopError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// rotate takes the snapshot and binds the following segments to the new lease.
func (w *Writer) rotate(r rotation) {
	records, err := r.collect()
	if err != nil {
		r.result <- rotated{err: err} // the new lease is left to lapse, it has no keys
		return
	}
	w.leaseMu.Lock()
	old := append([]platform.LeaseID(nil), w.leases...)
	w.leaseMu.Unlock()
	w.useLease(r.lease)
	r.result <- rotated{records: records, covered: w.number.Load(), old: old}
}

// writeParts writes the snapshot in parts of less than maxValueBytes.
func (w *Writer) writeParts(ctx context.Context, r rotated) error {
	w.attempt++
	groups, err := split(r.records)
	if err != nil {
		return err
	}
	for i, records := range groups {
		if err = w.waitTurn(ctx); err != nil {
			return err
		}
		v := value{
			kind: kindSnapshot, change: uuid.New(), number: r.covered,
			part: uint32(i), parts: uint32(len(groups)), records: records,
		}
		key := snapshotKey(w.cfg.Incarnation, r.covered, w.attempt, i)
		w.parts = append(w.parts, partInfo{key: key})
		version, err := platform.PutWithReadBack(ctx, w.cfg.Store, key, v.encode(),
			platform.PutOptions{IfVersion: platform.CreateOnly}, v.change.String(), changeOf)
		if err != nil {
			return err
		}
		w.parts[len(w.parts)-1].version = version
	}
	return nil
}

// split groups records into parts; there is at least one part.
func split(records [][]byte) ([][][]byte, error) {
	groups := [][][]byte{nil}
	size := headerBytes + checksumBytes
	for _, r := range records {
		if len(r) > MaxRecordBytes {
			return nil, fmt.Errorf("record of the snapshot: %w", platform.ErrTooLarge)
		}
		if size+encodedBytes(r) > maxValueBytes {
			groups = append(groups, nil)
			size = headerBytes + checksumBytes
		}
		size += encodedBytes(r)
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
	}
	return groups, nil
}

// cleanUp deletes covered segments and earlier snapshots. What it leaves behind after
// an error is harmless and goes with the next compaction or with Remove.
func (w *Writer) cleanUp(ctx context.Context, old []platform.LeaseID, stale []partInfo) error {
	for _, lease := range old {
		if err := w.cfg.Store.Revoke(ctx, lease); err != nil {
			return fmt.Errorf("compact: delete segments: %w", err)
		}
		w.dropLease(lease)
	}
	for _, p := range stale {
		if err := w.deletePart(ctx, p); err != nil {
			return fmt.Errorf("compact: delete snapshot: %w", err)
		}
		w.parts = w.parts[1:]
	}
	logrus.Debugf("journal: compacted up to segment %d", w.covered)
	return nil
}

func (w *Writer) deletePart(ctx context.Context, p partInfo) error {
	if p.version == 0 {
		e, err := w.cfg.Store.Get(ctx, p.key)
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		p.version = e.Version
	}
	return w.cfg.Store.Delete(ctx, p.key, p.version)
}
