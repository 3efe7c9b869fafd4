package journal

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/agateyard/agateyard/internal/platform"
)

// Writer appends to the journal of this incarnation by group commit: at most one segment
// write is in flight, an idle writer writes immediately, and under load the interval between
// writes follows from the number of members. It is safe for concurrent use.
type Writer struct {
	cfg       Config
	limiter   *rate.Limiter // for segments and snapshot parts together
	wake      chan struct{}
	rotations chan rotationRequest
	stopped   chan struct{} // closed when Run returns
	metrics   writerMetrics

	mu          sync.Mutex
	queue       []*pendingRecord
	queuedBytes int           // total size of the records in queue
	unreported  int           // number of appended records that are not in state reported
	allReported chan struct{} // closed when unreported falls to 0; nil while nobody waits
	closedErr   error         // error reported for all later appends; nil while appends are accepted

	lastSegment atomic.Uint64    // last segment written; changed by Run only
	lease       platform.LeaseID // lease that the next segment is bound to; owned by Run

	compactMu sync.Mutex
	leaseMu   sync.Mutex
	leases    []platform.LeaseID // leases of segments that were not deleted by a compaction, oldest first
	// The following fields are guarded by compactMu.
	compaction    int            // number of the last compaction that began to write a snapshot; part of its keys
	covered       uint64         // last segment covered by the last complete snapshot
	hasSnapshot   bool           // whether there is a complete snapshot
	snapshotParts []snapshotPart // parts in the store, of complete and incomplete snapshots
}

// NewWriter returns a writer; Run starts it.
func NewWriter(cfg Config) *Writer {
	w := &Writer{
		cfg:       cfg,
		limiter:   rate.NewLimiter(0, 1),
		wake:      make(chan struct{}, 1),
		rotations: make(chan rotationRequest),
		stopped:   make(chan struct{}),
		metrics:   newWriterMetrics(),
	}
	w.SetMembers(cfg.Members)
	return w
}

// SetMembers sets the number of members, which share the write rate of the journals.
func (w *Writer) SetMembers(n int) {
	w.limiter.SetLimit(rate.Limit(maxWritesPerSecond / float64(max(1, n))))
}

// Append adds a record, which the caller must not change afterwards. done is called
// exactly once, from another goroutine, and must not block:
//
//   - nil: the record is in the journal; a successor will replay it.
//   - ErrNotWritten or ErrSealed: the record is not in the journal and never will be.
//   - ErrUncertain: the deadline passed, or Run ended, before the outcome of a write that
//     contains the record was known. The record may be in the journal or may be written later,
//     since the writer retries the segment for the other records in it. A caller that
//     withdraws an intent after this error must never act on it: a successor that
//     replays the intent finds that it was never dispatched.
//
// A zero deadline means no deadline.
func (w *Writer) Append(record []byte, deadline time.Time, done func(error)) {
	w.append(record, deadline, maxQueuedBytes, done)
}

// AppendState is Append without a deadline and without the limit of the queue, for state that
// this process takes over from another one and holds in memory in any case.
func (w *Writer) AppendState(record []byte, done func(error)) {
	w.append(record, time.Time{}, math.MaxInt, done)
}

func (w *Writer) append(record []byte, deadline time.Time, maxQueued int, done func(error)) {
	if len(record) > MaxRecordBytes {
		w.reject(done, fmt.Errorf("%w: %w", ErrNotWritten, platform.ErrTooLarge))
		return
	}
	p := &pendingRecord{record: record, done: done, appendedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedErr != nil {
		w.reject(done, w.closedErr)
		return
	}
	if w.queuedBytes > maxQueued-len(record) {
		w.reject(done, fmt.Errorf("%w: queue is full", ErrNotWritten))
		return
	}
	w.queue = append(w.queue, p)
	w.queuedBytes += len(record)
	w.unreported++
	if !deadline.IsZero() {
		p.deadlineTimer = time.AfterFunc(time.Until(deadline), func() { w.expire(p) })
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// reject reports the failure of an append that was not queued.
func (w *Writer) reject(done func(error), err error) {
	w.metrics.failed.WithLabelValues("refused").Inc()
	go done(err)
}

// Flush waits until every appended record is marked as reported, whether it was written
// or not. Records that are appended meanwhile count too. done may not have been called
// yet for the last records.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	if w.unreported == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.allReported == nil {
		w.allReported = make(chan struct{})
	}
	idle := w.allReported
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// expire fails a record at its deadline.
func (w *Writer) expire(p *pendingRecord) {
	w.mu.Lock()
	err := fmt.Errorf("%w: deadline passed", ErrNotWritten)
	if p.state == sent {
		err = fmt.Errorf("%w: deadline passed", ErrUncertain)
	}
	marked := w.markReported(p)
	w.mu.Unlock()
	if marked {
		w.metrics.failed.WithLabelValues("expired").Inc()
		p.done(err)
	}
}

// markReported marks a record as reported, or returns false if it already is. The
// caller holds mu and calls done after releasing it.
func (w *Writer) markReported(p *pendingRecord) bool {
	if p.state == reported {
		return false
	}
	if p.state == queued {
		w.queuedBytes -= len(p.record)
	}
	p.state = reported
	if p.deadlineTimer != nil {
		p.deadlineTimer.Stop()
	}
	w.unreported--
	if w.unreported == 0 && w.allReported != nil {
		close(w.allReported)
		w.allReported = nil
	}
	return true
}

// reportAll reports err (nil for success) for the records that are not reported yet, in order.
func (w *Writer) reportAll(records []*pendingRecord, err error) {
	for _, p := range records {
		w.mu.Lock()
		marked := w.markReported(p)
		w.mu.Unlock()
		if !marked {
			continue
		}
		if err == nil {
			w.metrics.records.Inc()
			w.metrics.latency.Observe(time.Since(p.appendedAt).Seconds())
		} else {
			w.metrics.failed.WithLabelValues("failed").Inc()
		}
		p.done(err)
	}
}

// closeWithError makes all later appends fail and reports err for the queued records.
func (w *Writer) closeWithError(err error) {
	w.mu.Lock()
	if w.closedErr == nil {
		w.closedErr = err
	}
	remaining := w.queue
	w.queue = nil
	w.mu.Unlock()
	w.reportAll(remaining, err)
}
