package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/job"
)

// load restores the durable state that earlier owners have stored.
func (o *ownership) load() error {
	started := o.n.clock.Now()
	reportCtx, stopReports := context.WithCancel(o.ctx)
	defer stopReports()
	o.n.goProtected("load progress", func() { o.reportProgress(reportCtx) })
	o.applyConfig()
	if err := o.usedRunners.load(); err != nil {
		return err
	}
	stored, err := o.readJobs()
	if err != nil {
		return err
	}
	read := o.n.clock.Now()
	records, active := o.collect(stored)
	o.restoreAll(records)
	if err := o.confirmAfterLoad(started); err != nil {
		return err
	}
	o.publishPending()
	o.progress.done.Store(true)
	now := o.n.clock.Now()
	o.n.view.recordLoadedOwner(o.info.Term, now)
	o.n.dep.Metrics.Takeover.Observe((now - started).Seconds())
	o.n.dep.Log.Log("owner", logrus.Fields{
		"term": o.info.Term, "fence": o.info.Rev, "jobs": len(records) + len(o.unreadable), "active": active,
		"took_ms": (now - started).Milliseconds(), "read_ms": (read - started).Milliseconds(), "bytes": o.progress.bytes.Load(),
	})
	return nil
}

// confirmAfterLoad reads the claim again if the load has taken so long that another process may have claimed ownership
// meanwhile. The time of the load is no pause of the event loop, which has not begun.
func (o *ownership) confirmAfterLoad(started time.Duration) error {
	asked := o.n.clock.Now()
	if asked-started > maxLoopPause {
		var item Item
		err := o.retryRead(ownerKey, func() (err error) {
			asked = o.n.clock.Now()
			ctx, cancel := context.WithTimeout(o.ctx, 2*storeTimeout)
			defer cancel()
			item, _, err = o.n.dep.Store.Get(ctx, ownerKey)
			o.n.recordStoreCall("get", err)
			return err
		})
		if err != nil {
			return err
		}
		if item.Rev != o.info.Rev {
			if item.Rev > 0 {
				o.n.applyOwnerItem(item)
			}
			return oops.Errorf("another process has claimed ownership meanwhile")
		}
		o.confirmedAt = asked
	}
	o.loopTime = asked // a suspension since then is a pause
	return nil
}

// collect returns all records that have been read, and how many of them are of unfinished jobs.
func (o *ownership) collect(stored []storedRecords) (records []*job.Record, active int) {
	for _, part := range stored {
		for i, record := range part.records {
			o.writer.revs[record.ID] = part.revs[i]
			if record.Final == "" {
				active++
			}
		}
		records = append(records, part.records...)
		for _, id := range part.unreadable {
			o.unreadable[id] = true
		}
	}
	return records, active
}

// maxPanickingRecords bounds how many records may be skipped because they panic. A scheduler that panics with more has a
// fault of another kind.
const maxPanickingRecords = 16

// restoreAll restores the records in the scheduler. A record that panics there is skipped, as the successors of this owner would end
// by it one after the other. It may have changed a part of the state, so the others are restored in a new scheduler.
func (o *ownership) restoreAll(records []*job.Record) {
	for attempt := 0; ; attempt++ {
		panicking := o.tryRestore(records, attempt == maxPanickingRecords)
		if panicking == nil {
			return
		}
		o.n.reportBadRecord(jobPrefix+panicking.ID, "it panics in the scheduler")
		o.unreadable[panicking.ID] = true
		records = slices.DeleteFunc(records, func(r *job.Record) bool { return r == panicking })
		o.sched = o.newScheduler()
		o.applyConfig()
		o.usedRunners.inherit()
	}
}

// tryRestore restores the records and returns the one that panics; nil if none does, or if the panic isn't that of a record.
func (o *ownership) tryRestore(records []*job.Record, last bool) (panicking *job.Record) {
	var current *job.Record
	defer func() {
		if current == nil || last {
			return // a panic continues
		}
		if value := recover(); value != nil {
			o.n.logPanic("restore of job "+current.ID, value)
			panicking = current
		}
	}()
	for _, current = range records {
		o.restore(o.sched, current)
	}
	current = nil
	o.sched.RestoreDone()
	return nil
}

// storedRecords are decoded records of jobs.
type storedRecords struct {
	records    []*job.Record
	revs       []int64  // revision of each record
	unreadable []string // identifiers of jobs whose records can't be decoded
}

// decode adds items to the records.
func (s *storedRecords) decode(items []Item, n *Node) {
	for _, item := range items {
		record, err := n.decodeRecord(item)
		if err != nil {
			s.unreadable = append(s.unreadable, strings.TrimPrefix(item.Key, jobPrefix))
			continue
		}
		s.records = append(s.records, record)
		s.revs = append(s.revs, item.Rev)
	}
}

// bandwidthPerRead is the part of a VM's link, in Mbit/s, that one read of a large range is expected to fill. The answers of
// further reads would queue on the link, with pings and other calls behind them.
const bandwidthPerRead = 5

// parallelReads returns how many parts of the durable state a process reads at the same time.
func parallelReads(linkMbps float64) int {
	if linkMbps <= 0 {
		return len(job.IDDigits)
	}
	return min(max(int(linkMbps/bandwidthPerRead), 1), len(job.IDDigits))
}

// readJobs reads the records of all jobs in one part for each first digit of the identifier, as many at the same time as the
// link bears. After the claim only this process changes records, so the parts are consistent with each other.
func (o *ownership) readJobs() ([]storedRecords, error) {
	parts := make([]storedRecords, len(job.IDDigits))
	var g errgroup.Group
	g.SetLimit(parallelReads(o.n.opt.LinkMbps))
	for i, digit := range job.IDDigits {
		reader := &rangeReader{n: o.n, prefix: jobPrefix + string(digit)}
		g.Go(func() error {
			for !reader.done {
				err := o.retryRead(reader.prefix, func() error {
					items, err := reader.next(o.ctx)
					if err != nil {
						return err
					}
					o.progress.read(items, o.n.clock.Now())
					parts[i].decode(items, o.n)
					return nil
				})
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return parts, o.ctx.Err()
}

// retryRead repeats a read until it succeeds or the ownership ends. During a store outage no other process could load
// the state either, so giving up would gain nothing.
func (o *ownership) retryRead(what string, read func() error) error {
	for {
		err := read()
		if err == nil {
			return nil
		}
		o.n.dep.Log.Log("load-retried", logrus.Fields{"term": o.info.Term, "read": what, "error": err.Error()})
		ctxtime.Sleep(o.ctx, storeRetry)
		if o.ctx.Err() != nil {
			return err
		}
	}
}
