package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// batch is the set of records that are written as one segment.
type batch struct {
	records  []*pendingRecord
	number   uint64
	changeID uuid.UUID
	encoded  []byte
	// uncertain is set once a write may have been applied. From then on neither
	// the number nor the content may change until the outcome is known.
	uncertain bool
}

// Run writes segments until ctx ends (it returns the error of ctx) or finds the journal
// sealed (it returns ErrSealed). Every record was reported by the time it returns.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.stopped)
	renew := time.NewTicker(renewLeaseInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.stop(ctx)
		case <-renew.C:
			w.renewLeases(ctx)
		case r := <-w.rotations:
			w.rotate(r)
		case <-w.wake:
			if err := w.drain(ctx); err != nil {
				return err
			}
		}
	}
}

// stop fails the queued records and all later appends after ctx has ended.
func (w *Writer) stop(ctx context.Context) error {
	w.closeWithError(fmt.Errorf("%w: writer has stopped", ErrNotWritten))
	return ctx.Err()
}

// drain writes segments until the queue is empty, and handles rotation requests of
// compactions between segments.
func (w *Writer) drain(ctx context.Context) error {
	for w.hasQueued() {
		if w.waitForRateLimit(ctx) != nil {
			return w.stop(ctx)
		}
		if b := w.nextBatch(); b != nil {
			if err := w.write(ctx, b); err != nil {
				return err
			}
		}
		select {
		case r := <-w.rotations:
			w.rotate(r)
		default:
		}
	}
	return nil
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropReported()
	return len(w.queue) > 0
}

// dropReported removes expired records from the front of the queue; the caller holds mu.
func (w *Writer) dropReported() {
	for len(w.queue) > 0 && w.queue[0].state == reported {
		w.queue = w.queue[1:]
	}
}

// nextBatch takes the records of the next segment from the front of the queue, or
// returns nil if all queued records have expired.
func (w *Writer) nextBatch() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &batch{number: w.lastSegment.Load() + 1, changeID: uuid.New()}
	size := headerBytes + checksumBytes
	n := 0
	for ; n < len(w.queue); n++ {
		p := w.queue[n]
		if p.state == reported {
			continue
		}
		size += maxEncodedBytes(p.record)
		if size > maxValueBytes {
			break
		}
		p.state = sent
		w.queuedBytes -= len(p.record)
		b.records = append(b.records, p)
	}
	w.queue = w.queue[n:]
	if len(b.records) == 0 {
		return nil
	}
	b.encoded = b.value().encode()
	return b
}

func (b *batch) value() value {
	v := value{kind: kindSegment, changeID: b.changeID, number: b.number}
	for _, p := range b.records {
		v.records = append(v.records, p.record)
	}
	return v
}

// requeue puts the records of a segment whose write was not applied back at the front
// of the queue, so that a deadline that passes there reports ErrNotWritten instead of
// ErrUncertain.
func (w *Writer) requeue(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var back []*pendingRecord
	for _, p := range b.records {
		if p.state == sent {
			p.state = queued
			w.queuedBytes += len(p.record)
			back = append(back, p)
		}
	}
	w.queue = append(back, w.queue...)
}

// write retries until the batch is written, the journal is found sealed or ctx ends.
// While no attempt can have been applied, each retry forms a new batch, and write
// returns nil if all queued records have expired.
func (w *Writer) write(ctx context.Context, b *batch) error {
	delay := platform.NewBackOff(initialRetryDelay, maxRetryDelay)
	for {
		err := w.attemptWrite(ctx, b)
		switch {
		case err == nil:
			w.lastSegment.Store(b.number)
			w.metrics.segments.Inc()
			w.reportAll(b.records, nil)
			return nil
		case errors.Is(err, ErrSealed):
			logrus.Warnf("journal: can't write segment %d of %s: the journal was sealed by a successor", b.number, w.cfg.Incarnation)
			w.reportAll(b.records, ErrSealed)
			w.closeWithError(ErrSealed)
			return ErrSealed
		}
		logrus.Debugf("journal: attempt to write segment %d failed: %v", b.number, err)
		if !b.uncertain {
			w.requeue(b)
		}
		if w.waitForRetry(ctx, delay.NextBackOff()) != nil {
			if b.uncertain {
				w.reportAll(b.records, fmt.Errorf("%w: writer has stopped", ErrUncertain))
			}
			// Run must end, so that no compaction follows: the segment may be in the store
			// although lastSegment doesn't include it.
			return w.stop(ctx)
		}
		if !b.uncertain {
			if b = w.nextBatch(); b == nil {
				return nil
			}
		}
	}
}

// waitForRetry waits for the delay d and then for the rate limit, which retries count against too.
func (w *Writer) waitForRetry(ctx context.Context, d time.Duration) error {
	if err := platform.Sleep(ctx, d); err != nil {
		return err
	}
	return w.waitForRateLimit(ctx)
}

// waitForRateLimit waits until the rate limit allows a write, or returns the error of ctx if it ends first.
func (w *Writer) waitForRateLimit(ctx context.Context) error {
	r := w.limiter.Reserve()
	err := platform.Sleep(ctx, r.Delay())
	if err != nil {
		r.Cancel()
	}
	return err
}

// attemptWrite makes one attempt to write a segment, after checking whether an earlier
// uncertain attempt has succeeded. It returns nil if the segment is in the store and
// ErrSealed if another value has, or had, its key.
func (w *Writer) attemptWrite(ctx context.Context, b *batch) error {
	if b.uncertain {
		written, err := w.readBack(ctx, b)
		if written || err != nil {
			return err
		}
	}
	if err := w.ensureLease(ctx); err != nil {
		return err
	}
	w.metrics.attempts.Inc()
	_, err := w.cfg.Store.Put(ctx, segmentKey(w.cfg.Incarnation, b.number), b.encoded,
		platform.PutOptions{IfVersion: platform.CreateOnly, Lease: w.lease})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return w.resolveConflict(ctx, b)
	case errors.Is(err, platform.ErrLeaseGone):
		w.discardLease()
		return err
	case !platform.NotApplied(err):
		b.uncertain = true
	}
	return err
}

// readBack reports whether the segment is in the store. It returns ErrSealed if its key
// holds another value, and false if the key does not exist.
func (w *Writer) readBack(ctx context.Context, b *batch) (bool, error) {
	e, err := w.cfg.Store.Get(ctx, segmentKey(w.cfg.Incarnation, b.number))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	v, err := decode(e.Value)
	if err != nil || v.changeID != b.changeID {
		return false, ErrSealed
	}
	return true, nil
}

// resolveConflict finds out whether the value that caused a conflict is the segment
// itself or a seal. If the key no longer exists, it is taken for a seal that Sweep has
// deleted, since a compaction deletes a segment only after it was acknowledged.
func (w *Writer) resolveConflict(ctx context.Context, b *batch) error {
	delay := platform.NewBackOff(initialRetryDelay, maxRetryDelay)
	for {
		written, err := w.readBack(ctx, b)
		if written {
			return nil
		}
		if err == nil {
			return ErrSealed
		}
		if errors.Is(err, ErrSealed) {
			return err
		}
		if platform.Sleep(ctx, delay.NextBackOff()) != nil {
			// An earlier attempt may have succeeded, or the store may have applied the
			// write twice.
			b.uncertain = true
			return err
		}
	}
}
