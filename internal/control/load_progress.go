package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// progressInterval is how often an owner that loads the durable state reports how far it is.
	progressInterval = 500 * time.Millisecond
	// maxPageTime is how long an owner may take for a page of the durable state and still count as one that makes progress: a
	// page of 1 MB takes 1.1 s on the narrowest links, and longer beside others.
	maxPageTime = 5 * time.Second
	// lifeSignTimeout bounds the ping that tells another process of the progress. It may have to dial, and the answer to the
	// dial waits behind what the owner reads.
	lifeSignTimeout = 5 * time.Second
)

// loadProgress is how much of the durable state an owner has read. It is safe for concurrent use.
type loadProgress struct {
	records atomic.Int64
	bytes   atomic.Int64 // of keys and values, as decoded
	pings   atomic.Int64 // received from other processes while it loads
	lastAt  atomic.Int64 // when the last page was read
	done    atomic.Bool  // the state is restored
}

// read counts the items of a page that has been read.
func (p *loadProgress) read(items []Item, now time.Duration) {
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	p.records.Add(int64(len(items)))
	p.bytes.Add(int64(size))
	p.lastAt.Store(int64(now))
}

// within reports whether a page has been read within the given time.
func (p *loadProgress) within(d, now time.Duration) bool {
	at := time.Duration(p.lastAt.Load())
	return at > 0 && now-at <= d
}

// reportProgress logs the progress until the load has ended. Late timers show that the process is short of processor time; a load
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
		if o.progress.within(maxPageTime, now) {
			o.sendLifeSigns(ctx)
		}
	}
}

// sendLifeSigns pings those who may vote on this owner. Their own pings may wait behind what the owner reads, but what it sends
// has the other direction of the link to itself.
func (o *ownership) sendLifeSigns(ctx context.Context) {
	for _, m := range o.n.voters(o.info) {
		if _, sending := o.lifeSigns.LoadOrStore(m.Address, true); sending {
			continue
		}
		o.n.goProtected("sign of life", func() {
			defer o.lifeSigns.Delete(m.Address)
			_, _ = o.n.sendPing(ctx, m.Address, o.n.pingArgs(), lifeSignTimeout) // one that doesn't arrive is followed by others
		})
	}
}

// noticeLife records a ping of the owner itself, which is as good as a reply to a ping.
func (n *Node) noticeLife(args PingArgs) {
	o, _ := n.view.currentOwner()
	if args.From == o.Incarnation && args.From != n.incarnation && args.Owner.Term == o.Term {
		n.view.recordOwnerReply(n.clock.Now())
	}
}
