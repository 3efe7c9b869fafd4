package bench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// sample is a snapshot of all counters.
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
		s.toStore = append(s.toStore, e.proxy.bytesRead.Load())
		s.fromStore = append(s.fromStore, e.proxy.bytesWritten.Load())
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
	if _, err := c.applyTemplates(ctx, 0); err != nil {
		return Result{}, err
	}
	if err := c.fillQueue(ctx); err != nil {
		return Result{}, err
	}
	if o.StallConfigWatch {
		c.entries[len(c.entries)-1].proxy.stallConfigWatch.Store(true)
	}
	loadReport := c.startLoad(ctx)
	ctxtime.Sleep(ctx, o.Settle)
	before, err := c.sample()
	if err != nil {
		return Result{}, err
	}
	changes, err := c.applyChanges(ctx)
	if err != nil {
		return Result{}, err
	}
	ctxtime.Sleep(ctx, time.Until(before.at.Add(o.Duration)))
	after, err := c.sample()
	if err != nil {
		return Result{}, err
	}
	r := resultBetween(o, before, after)
	r.changeTimes = changes
	r.load = <-loadReport
	return r, ctx.Err()
}

// applyChanges makes the configuration changes, spread evenly over the measurement.
// It returns the time that each took to be in force at all members.
func (c *cell) applyChanges(ctx context.Context) ([]time.Duration, error) {
	var out []time.Duration
	for i := range c.opts.ConfigChanges {
		elapsed, err := c.applyTemplates(ctx, uint64(i+1))
		if err != nil {
			return out, err
		}
		out = append(out, elapsed.Round(time.Millisecond))
		ctxtime.Sleep(ctx, c.opts.Duration/time.Duration(c.opts.ConfigChanges)-elapsed)
	}
	return out, nil
}

// resultBetween computes rates from two samples.
func resultBetween(o Options, a, b sample) Result {
	elapsed := b.at.Sub(a.at)
	seconds := elapsed.Seconds()
	r := Result{opts: o, elapsed: elapsed, calls: map[string]float64{}, loadAverage: loadAverage()}
	for i, after := range b.entries {
		before := a.entries[i]
		r.cpuPercent.add(100*(after.cpu-before.cpu).Seconds()/seconds, i)
		r.rssMB.add(float64(after.rss)/1e6, i)
		r.sent.add(float64(after.written-before.written)/seconds/kilobyte, i)
		r.received.add(float64(after.read-before.read)/seconds/kilobyte, i)
		r.writeCalls.add(float64(after.writeCalls-before.writeCalls)/seconds, i)
		r.storeSent.add(float64(b.toStore[i]-a.toStore[i])/seconds/kilobyte, i)
		r.storeReceived.add(float64(b.fromStore[i]-a.fromStore[i])/seconds/kilobyte, i)
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

// loadAverage returns the one-minute load average of the machine.
func loadAverage() float64 {
	var v float64
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		_, _ = fmt.Sscan(string(raw), &v)
	}
	return v
}
