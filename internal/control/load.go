package control

import (
	"context"
	"slices"
	"strings"

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
	items, err := o.readJobs()
	if err == nil {
		err = o.ctx.Err() // the ownership has ended meanwhile
	}
	if err != nil {
		return err
	}
	read := o.n.clock.Now()
	active := 0
	var records []*job.Record
	for _, item := range items {
		record, err := job.DecodeRecord(item.Value)
		if err == nil && jobPrefix+record.ID != item.Key {
			err = oops.Errorf("the record of job %s is stored under another key", record.ID)
		}
		if err != nil {
			o.n.dep.Log.Log("bad-record", logrus.Fields{"key": item.Key, "error": err.Error()})
			o.unreadable[strings.TrimPrefix(item.Key, jobPrefix)] = true
			continue
		}
		o.writer.revs[record.ID] = item.Rev
		records = append(records, record)
		if record.Final == "" {
			active++
		}
	}
	o.restoreAll(records)
	o.publishPending()
	o.progress.done.Store(true)
	now := o.n.clock.Now()
	o.n.dep.Metrics.Takeover.Observe((now - started).Seconds())
	o.n.dep.Log.Log("owner", logrus.Fields{
		"term": o.info.Term, "fence": o.info.Rev, "jobs": len(items), "active": active,
		"took_ms": (now - started).Milliseconds(), "read_ms": (read - started).Milliseconds(), "bytes": o.progress.bytes.Load(),
	})
	return nil
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
		o.n.dep.Log.Log("bad-record", logrus.Fields{"key": jobPrefix + panicking.ID, "error": "it panics in the scheduler"})
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

// readJobs reads the records of all jobs, with one parallel read for each first digit of the identifier. After the claim
// only this process changes records, so the parts are consistent with each other.
func (o *ownership) readJobs() ([]Item, error) {
	var parts [len(job.IDDigits)][]Item
	var g errgroup.Group
	for i, digit := range job.IDDigits {
		prefix := jobPrefix + string(digit)
		g.Go(func() error {
			return o.retryRead(prefix, func() (err error) {
				parts[i], _, err = o.n.readRange(o.ctx, prefix)
				if err == nil {
					o.progress.read(parts[i])
				}
				return err
			})
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(parts[:]...), nil
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
