package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// rotationRequest asks Run to collect a snapshot between two segments and to bind the
// following segments to another lease.
type rotationRequest struct {
	nextLease platform.LeaseID // lease of the segments that follow
	collect   func() ([][]byte, error)
	result    chan<- rotationResult
}

// rotationResult is the answer to a rotationRequest.
type rotationResult struct {
	records       [][]byte
	covered       uint64
	coveredLeases []platform.LeaseID // leases of the covered segments
	err           error
}

// snapshotPart identifies a part of a snapshot in the store. Version 0 means unknown.
type snapshotPart struct {
	key     string
	version uint64
}

// Compact replaces the segments written so far with a snapshot. collect returns the
// records of the state that results from all acknowledged records. Run calls it between
// two segments, after done(nil) was called for every acknowledged record and before it is
// called for any other. A caller whose state is owned by an event loop passes the call
// through the queue that its done functions use, and so gets exactly that state. No
// segment is written while collect runs. The event loop must not call Compact itself,
// since Compact waits for collect, which waits for the event loop.
//
// A crash at any point loses no record: a snapshot is valid only when all its parts are
// written, and segments are deleted only after that. Compact returns ErrCompacting if
// another compaction is in progress and ErrSealed once Run has found the journal sealed;
// after any other error it can be retried.
func (w *Writer) Compact(ctx context.Context, collect func() ([][]byte, error)) error {
	if !w.compactMu.TryLock() {
		return ErrCompacting
	}
	defer w.compactMu.Unlock()
	if w.hasSnapshot && w.lastSegment.Load() == w.covered {
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
	oldParts := w.snapshotParts
	if err = w.writeParts(ctx, r); err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	w.hasSnapshot, w.covered = true, r.covered
	return w.cleanUp(ctx, r.coveredLeases, oldParts)
}

// requestRotation passes the request to Run and waits for the answer.
func (w *Writer) requestRotation(ctx context.Context, lease platform.LeaseID, collect func() ([][]byte, error)) (rotationResult, error) {
	result := make(chan rotationResult, 1)
	select {
	case w.rotations <- rotationRequest{nextLease: lease, collect: collect, result: result}:
	case <-w.stopped:
		return rotationResult{}, w.closedError()
	case <-ctx.Done():
		return rotationResult{}, ctx.Err()
	}
	select {
	case r := <-result:
		return r, r.err
	case <-ctx.Done():
		return rotationResult{}, ctx.Err()
	}
}

// closedError returns the error with which appends fail after Run has returned.
func (w *Writer) closedError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closedErr
}

// rotate collects the snapshot and binds the following segments to the new lease.
func (w *Writer) rotate(r rotationRequest) {
	records, err := r.collect()
	if err != nil {
		r.result <- rotationResult{err: err} // the new lease has no keys and is left to expire
		return
	}
	w.leaseMu.Lock()
	coveredLeases := append([]platform.LeaseID(nil), w.leases...)
	w.leaseMu.Unlock()
	w.useLease(r.nextLease)
	r.result <- rotationResult{records: records, covered: w.lastSegment.Load(), coveredLeases: coveredLeases}
}

// writeParts writes the snapshot in parts of at most maxValueBytes.
func (w *Writer) writeParts(ctx context.Context, r rotationResult) error {
	w.compaction++
	parts, err := splitIntoParts(r.records)
	if err != nil {
		return err
	}
	for i, records := range parts {
		if err = w.waitForRateLimit(ctx); err != nil {
			return err
		}
		v := value{
			kind: kindSnapshot, changeID: uuid.New(), number: r.covered,
			part: uint32(i), parts: uint32(len(parts)), records: records,
		}
		key := snapshotKey(w.cfg.Incarnation, r.covered, w.compaction, i)
		w.snapshotParts = append(w.snapshotParts, snapshotPart{key: key})
		version, err := platform.PutWithReadBack(ctx, w.cfg.Store, key, v.encode(),
			platform.PutOptions{IfVersion: platform.CreateOnly}, v.changeID.String(), changeIDs)
		if err != nil {
			return err
		}
		w.snapshotParts[len(w.snapshotParts)-1].version = version
	}
	return nil
}

// splitIntoParts groups records into parts; there is at least one part.
func splitIntoParts(records [][]byte) ([][][]byte, error) {
	parts := [][][]byte{nil}
	size := headerBytes + checksumBytes
	for _, r := range records {
		if len(r) > MaxRecordBytes {
			return nil, fmt.Errorf("snapshot record: %w", platform.ErrTooLarge)
		}
		if size+maxEncodedBytes(r) > maxValueBytes {
			parts = append(parts, nil)
			size = headerBytes + checksumBytes
		}
		size += maxEncodedBytes(r)
		parts[len(parts)-1] = append(parts[len(parts)-1], r)
	}
	return parts, nil
}

// cleanUp deletes covered segments and earlier snapshots. What it leaves behind after
// an error is harmless and is deleted by the next compaction or by Remove.
func (w *Writer) cleanUp(ctx context.Context, coveredLeases []platform.LeaseID, oldParts []snapshotPart) error {
	for _, lease := range coveredLeases {
		if err := w.cfg.Store.Revoke(ctx, lease); err != nil {
			return fmt.Errorf("compact: delete segments: %w", err)
		}
		w.removeLease(lease)
	}
	for _, p := range oldParts {
		if err := w.deletePart(ctx, p); err != nil {
			return fmt.Errorf("compact: delete snapshot: %w", err)
		}
		w.snapshotParts = w.snapshotParts[1:]
	}
	logrus.Debugf("journal: compacted up to segment %d", w.covered)
	return nil
}

func (w *Writer) deletePart(ctx context.Context, p snapshotPart) error {
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
