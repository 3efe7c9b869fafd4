package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// progressInterval is how often an owner that loads the durable state reports how far it is.
const progressInterval = 500 * time.Millisecond

// loadProgress is how much of the durable state an owner has read. It is safe for concurrent use.
type loadProgress struct {
	records atomic.Int64
	bytes   atomic.Int64 // of keys and values, as decoded
	pings   atomic.Int64 // received from other processes while it loads
	done    atomic.Bool  // the state is restored
}

// read counts items that have been read.
func (p *loadProgress) read(items []Item) {
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	p.records.Add(int64(len(items)))
	p.bytes.Add(int64(size))
}

// report logs the progress until the load has ended. Late timers show that the process is short of processor time; a load
// that takes long without them waits for the link or the store.
func (o *ownership) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	began := o.n.clock.Now()
	for due := began + progressInterval; ; due += progressInterval {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := o.n.clock.Now()
		o.n.dep.Log.Log("load-progress", logrus.Fields{
			"term": o.info.Term, "records": o.progress.records.Load(), "bytes": o.progress.bytes.Load(),
			"after_ms": (now - began).Milliseconds(), "timer_late_ms": max(now-due, 0).Milliseconds(), "pings": o.progress.pings.Load(),
		})
	}
}
