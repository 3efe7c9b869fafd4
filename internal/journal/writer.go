package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/agateyard/agateyard/internal/platform"
)

// Writer appends to the journal of this incarnation by group commit: one write is
// in flight, an idle writer writes at once, and under load the spacing of the writes
// follows from the number of members. It is safe for concurrent use.
type Writer struct {
	cfg     Config
	limiter *rate.Limiter // of segments and snapshot parts together
	wake    chan struct{}
	turns   chan rotation
	stopped chan struct{} // closed when Run returns
	metrics writerMetrics

	mu     sync.Mutex
	queue  []*pending
	bytes  int           // of the records in queue
	open   int           // records whose done was not called
	idle   chan struct{} // closed when open falls to 0; nil while nobody waits
	failed error         // of all later appends

	number atomic.Uint64    // last segment written; changed by Run only
	lease  platform.LeaseID // of the next segment; owned by Run

	compacting sync.Mutex
	leaseMu    sync.Mutex
	leases     []platform.LeaseID // with segments that no snapshot covers, oldest first
	// Guarded by compacting.
	attempt  int
	covered  uint64     // by the last complete snapshot
	complete bool       // whether there is one
	parts    []partInfo // of snapshots written so far
}

// NewWriter returns a writer; Run starts it.
func NewWriter(cfg Config) *Writer {
	w := &Writer{
		cfg:     cfg,
		limiter: rate.NewLimiter(0, 1),
		wake:    make(chan struct{}, 1),
		turns:   make(chan rotation),
		stopped: make(chan struct{}),
		metrics: newWriterMetrics(),
	}
	w.SetMembers(cfg.Members)
	return w
}

// SetMembers sets the number of members, which share the write rate of the journals.
func (w *Writer) SetMembers(n int) {
	w.limiter.SetLimit(rate.Limit(writesPerSecond / float64(max(1, n))))
}

// Append adds a record, which the caller must not change afterwards. done is called
// exactly once, from another goroutine, and must not block:
//
//   - nil: the record is in the journal; a successor will replay it.
//   - ErrNotWritten or ErrSealed: the record is not in the journal and never will be.
//   - ErrUncertain: the deadline passed, or Run ended, while a write that holds the
//     record was under way. The record may be in the journal or may land later, since
//     the writer retries the segment for the records that share it. A caller that
//     withdraws an intent after it must never act on it: a successor that replays
//     the intent finds that it was never dispatched.
//
// A zero deadline means none.
func (w *Writer) Append(record []byte, deadline time.Time, done func(error)) {
	if len(record) > MaxRecordBytes {
		w.refuse(done, fmt.Errorf("%w: %w", ErrNotWritten, platform.ErrTooLarge))
		return
	}
	p := &pending{record: record, done: done, appended: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed != nil {
		w.refuse(done, w.failed)
		return
	}
	if w.bytes+len(record) > maxQueuedBytes {
		w.refuse(done, fmt.Errorf("%w: queue is full", ErrNotWritten))
		return
	}
	w.queue = append(w.queue, p)
	w.bytes += len(record)
	w.open++
	if !deadline.IsZero() {
		p.expiry = time.AfterFunc(time.Until(deadline), func() { w.expire(p) })
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// refuse reports the failure of an append that was not queued.
func (w *Writer) refuse(done func(error), err error) {
	w.metrics.failed.WithLabelValues("refused").Inc()
	go done(err)
}

// Flush waits until no record is left whose fate is not known.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	if w.open == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// expire fails a record at its deadline.
func (w *Writer) expire(p *pending) {
	w.mu.Lock()
	err := fmt.Errorf("%w: deadline passed", ErrNotWritten)
	if p.progress == sent {
		err = fmt.Errorf("%w: deadline passed", ErrUncertain)
	}
	first := w.settle(p)
	w.mu.Unlock()
	if first {
		w.metrics.failed.WithLabelValues("expired").Inc()
		p.done(err)
	}
}

// settle marks a record as reported, unless it already is; the caller holds the lock
// and calls done after it has released it.
func (w *Writer) settle(p *pending) bool {
	if p.progress == settled {
		return false
	}
	if p.progress == queued {
		w.bytes -= len(p.record)
	}
	p.progress = settled
	if p.expiry != nil {
		p.expiry.Stop()
	}
	w.open--
	if w.open == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
	return true
}

// finish reports the fate of records that are not reported yet, in order.
func (w *Writer) finish(records []*pending, err error) {
	for _, p := range records {
		w.mu.Lock()
		first := w.settle(p)
		w.mu.Unlock()
		if !first {
			continue
		}
		if err == nil {
			w.metrics.records.Inc()
			w.metrics.latency.Observe(time.Since(p.appended).Seconds())
		} else {
			w.metrics.failed.WithLabelValues("failed").Inc()
		}
		p.done(err)
	}
}

// fail makes all later appends fail and reports the queued ones.
func (w *Writer) fail(err error) {
	w.mu.Lock()
	if w.failed == nil {
		w.failed = err
	}
	rest := w.queue
	w.queue = nil
	w.mu.Unlock()
	w.finish(rest, err)
}
