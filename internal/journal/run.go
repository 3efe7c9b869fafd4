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

// batch is a set of records that form one segment.
type batch struct {
	records []*pending
	number  uint64
	change  uuid.UUID
	encoded []byte
	// uncertain is set once a write may have reached the store. From then on neither
	// the number nor the content may change until the fate is known.
	uncertain bool
}

// Run writes segments until ctx ends (the error of ctx) or the journal is found
// sealed (ErrSealed). All records are reported when it returns.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.stopped)
	renew := time.NewTicker(renewLeaseEvery)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.stop(ctx)
		case <-renew.C:
			w.renewLeases(ctx)
		case r := <-w.turns:
			w.rotate(r)
		case <-w.wake:
			if err := w.drain(ctx); err != nil {
				return err
			}
		}
	}
}

// stop fails what is queued when ctx has ended.
func (w *Writer) stop(ctx context.Context) error {
	w.fail(fmt.Errorf("%w: writer has stopped", ErrNotWritten))
	return ctx.Err()
}

// drain writes segments until nothing is queued, and takes turns with compactions.
func (w *Writer) drain(ctx context.Context) error {
	for w.hasQueued() {
		if w.waitTurn(ctx) != nil {
			return w.stop(ctx)
		}
		if b := w.take(); b != nil {
			if err := w.write(ctx, b); err != nil {
				return err
			}
		}
		select {
		case r := <-w.turns:
			w.rotate(r)
		default:
		}
	}
	return nil
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSettled()
	return len(w.queue) > 0
}

// dropSettled removes records from the front that have expired; the caller holds the lock.
func (w *Writer) dropSettled() {
	for len(w.queue) > 0 && w.queue[0].progress == settled {
		w.queue = w.queue[1:]
	}
}

// take forms a segment from the front of the queue, or returns nil if all have expired.
func (w *Writer) take() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &batch{number: w.number.Load() + 1, change: uuid.New()}
	size := headerBytes + checksumBytes
	n := 0
	for ; n < len(w.queue); n++ {
		p := w.queue[n]
		if p.progress == settled {
			continue
		}
		size += encodedBytes(p.record)
		if size > maxValueBytes {
			break
		}
		p.progress = sent
		w.bytes -= len(p.record)
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
	v := value{kind: kindSegment, change: b.change, number: b.number}
	for _, p := range b.records {
		v.records = append(v.records, p.record)
	}
	return v
}

// putBack returns the records of a segment that certainly was not written to the
// front of the queue, where they can expire with a definite error.
func (w *Writer) putBack(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var back []*pending
	for _, p := range b.records {
		if p.progress == sent {
			p.progress = queued
			w.bytes += len(p.record)
			back = append(back, p)
		}
	}
	w.queue = append(back, w.queue...)
}

// write attempts a segment until its fate is known. A segment that certainly was not
// written is put back and nil returned.
func (w *Writer) write(ctx context.Context, b *batch) error {
	delay := platform.NewBackOff(firstRetry, maxRetry)
	for {
		err := w.attemptOnce(ctx, b)
		switch {
		case err == nil:
			w.number.Store(b.number)
			w.metrics.segments.Inc()
			w.finish(b.records, nil)
			return nil
		case errors.Is(err, ErrSealed):
			logrus.Warnf("journal: segment %d of %s is not ours, the journal is sealed", b.number, w.cfg.Incarnation)
			w.finish(b.records, ErrSealed)
			w.fail(ErrSealed)
			return ErrSealed
		}
		logrus.Debugf("journal: segment %d not written yet: %v", b.number, err)
		if !b.uncertain {
			w.putBack(b)
		}
		if w.pause(ctx, delay.NextBackOff()) != nil {
			if b.uncertain {
				w.finish(b.records, fmt.Errorf("%w: writer has stopped", ErrUncertain))
			}
			// No compaction may follow: the segment can be in the store without being counted.
			return w.stop(ctx)
		}
		if !b.uncertain {
			if b = w.take(); b == nil {
				return nil
			}
		}
	}
}

// pause waits before another attempt, which takes part in the write rate as well.
func (w *Writer) pause(ctx context.Context, d time.Duration) error {
	if err := platform.Sleep(ctx, d); err != nil {
		return err
	}
	return w.waitTurn(ctx)
}

// waitTurn waits for the write rate, or returns the error of ctx when it ends first.
func (w *Writer) waitTurn(ctx context.Context) error {
	r := w.limiter.Reserve()
	err := platform.Sleep(ctx, r.Delay())
	if err != nil {
		r.Cancel()
	}
	return err
}

// attemptOnce makes one attempt to write a segment, or to learn the fate of earlier
// ones. It returns nil when the segment is in the store and ErrSealed when another
// value has its place.
func (w *Writer) attemptOnce(ctx context.Context, b *batch) error {
	if b.uncertain {
		landed, err := w.readBack(ctx, b)
		if landed || err != nil {
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
		w.forgetLease()
		return err
	case !platform.NotApplied(err):
		b.uncertain = true
	}
	return err
}

// readBack reports whether the segment is in the store. It returns ErrSealed when
// another value has its place, and false when the place is free.
func (w *Writer) readBack(ctx context.Context, b *batch) (bool, error) {
	e, err := w.cfg.Store.Get(ctx, segmentKey(w.cfg.Incarnation, b.number))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	v, err := decode(e.Value)
	if err != nil || v.change != b.change {
		return false, ErrSealed
	}
	return true, nil
}

// resolveConflict finds out whose value has the place of the segment. A place that
// was taken and is free again belonged to a seal that was swept away: a segment of
// this writer is deleted only after it was acknowledged.
func (w *Writer) resolveConflict(ctx context.Context, b *batch) error {
	delay := platform.NewBackOff(firstRetry, maxRetry)
	for {
		landed, err := w.readBack(ctx, b)
		if landed {
			return nil
		}
		if err == nil {
			return ErrSealed
		}
		if errors.Is(err, ErrSealed) {
			return err
		}
		if platform.Sleep(ctx, delay.NextBackOff()) != nil {
			// An earlier attempt may have landed, or the store performed the write twice.
			b.uncertain = true
			return err
		}
	}
}
