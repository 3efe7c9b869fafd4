package bench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// sample is the state of all counters at one time.
type sample struct {
	at        time.Time
	entries   []usage
	toStore   []int64
	fromStore []int64
	endpoints usage
	store     standin.Counters
}

func (c *cell) sample() (sample, error) {
	s := sample{at: time.Now()}
	for _, e := range c.entries {
		u, err := readUsage(e.pid())
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, u)
		s.toStore = append(s.toStore, e.link.read.Load())
		s.fromStore = append(s.fromStore, e.link.written.Load())
	}
	var err error
	if c.endpoints != nil {
		if s.endpoints, err = readUsage(c.endpoints.pid()); err != nil {
			return s, err
		}
	}
	s.store, err = c.counters()
	return s, err
}

// Run starts a cell, measures it and stops it.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.Validate(); err != nil {
		return Result{}, err
	}
	c, err := startCell(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	if _, err := c.apply(ctx, 0); err != nil {
		return Result{}, err
	}
	if err := c.fillQueue(ctx); err != nil {
		return Result{}, err
	}
	if o.StallConfigWatch {
		c.entries[len(c.entries)-1].link.stall.Store(true)
	}
	loaded := c.startLoad(ctx)
	ctxtime.Sleep(ctx, o.Settle)
	before, err := c.sample()
	if err != nil {
		return Result{}, err
	}
	changes, err := c.change(ctx)
	if err != nil {
		return Result{}, err
	}
	ctxtime.Sleep(ctx, time.Until(before.at.Add(o.Duration)))
	after, err := c.sample()
	if err != nil {
		return Result{}, err
	}
	r := compare(o, before, after)
	r.changes = changes
	r.load = <-loaded
	return r, ctx.Err()
}

// change makes the configuration changes of the options, evenly spread.
func (c *cell) change(ctx context.Context) ([]time.Duration, error) {
	var out []time.Duration
	for i := range c.opts.ConfigChanges {
		took, err := c.apply(ctx, uint64(i+1))
		if err != nil {
			return out, err
		}
		out = append(out, took.Round(time.Millisecond))
		ctxtime.Sleep(ctx, c.opts.Duration/time.Duration(c.opts.ConfigChanges)-took)
	}
	return out, nil
}

// compare returns the rates between two samples.
func compare(o Options, a, b sample) Result {
	took := b.at.Sub(a.at)
	seconds := took.Seconds()
	r := Result{opts: o, took: took, calls: map[string]float64{}, processors: loadAverage()}
	for i, now := range b.entries {
		was := a.entries[i]
		r.core.add(100*(now.cpu-was.cpu).Seconds()/seconds, i)
		r.memory.add(float64(now.rss)/1e6, i)
		r.sent.add(float64(now.written-was.written)/seconds/kilobyte, i)
		r.received.add(float64(now.read-was.read)/seconds/kilobyte, i)
		r.sends.add(float64(now.writes-was.writes)/seconds, i)
		r.storeSent.add(float64(b.toStore[i]-a.toStore[i])/seconds/kilobyte, i)
		r.storeRecv.add(float64(b.fromStore[i]-a.fromStore[i])/seconds/kilobyte, i)
	}
	r.endpoint = usage{
		cpu: b.endpoints.cpu - a.endpoints.cpu, rss: b.endpoints.rss,
		read: b.endpoints.read - a.endpoints.read, written: b.endpoints.written - a.endpoints.written,
	}
	r.writes = float64(b.store.Writes-a.store.Writes) / seconds
	r.reads = float64(b.store.Reads-a.store.Reads) / seconds
	r.watches = b.store.PendingWatches
	for call, count := range b.store.Calls {
		if d := count - a.store.Calls[call]; d > 0 {
			r.calls[string(call)] = float64(int(10*float64(d)/seconds)) / 10
		}
	}
	return r
}

// loadAverage returns the load of the machine over the last minute.
func loadAverage() float64 {
	var v float64
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		_, _ = fmt.Sscan(string(raw), &v)
	}
	return v
}
