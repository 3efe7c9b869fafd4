package control

import (
	"context"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// bottleneck is a processor or link that serves one call after the other.
type bottleneck struct {
	mu   sync.Mutex
	free time.Time // when it has served all calls so far
}

// pass waits until the bottleneck has served a call that occupies it for the given time. The call is served also if its
// caller gives up.
func (b *bottleneck) pass(ctx context.Context, cost time.Duration) error {
	b.mu.Lock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(cost)
	wait := b.free.Sub(now)
	b.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pause makes the bottleneck serve nothing for a while.
func (b *bottleneck) pause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free = time.Now().Add(d)
}

// narrowRunners simulates runners whose runs last some time and expire with their leases, called by an owner with a slow
// processor behind a narrow link. Calls that are relayed occupy both as well.
type narrowRunners struct {
	cpu, link bottleneck
	share     float64 // of a core
	bandwidth float64 // bytes a second
	length    time.Duration
	began     time.Time
	mu        sync.Mutex
	runners   map[string]*narrowRunner
	started   int
	unknown   int // starts that were executed or may be, whose answer the owner didn't get
	lapsed    int // runs whose lease has expired
	stops     int // of runs that had started
	twice     int // starts of a task that was running
}

type narrowRunner struct {
	lease    int64
	runs     map[job.TaskID]narrowRun
	ended    []scheduler.EndedRun
	lastSeq  int64
	changed  chan struct{}
	stopped  map[job.TaskID]int
	executed map[narrowKey]bool
}

type narrowKey struct {
	task job.TaskID
	run  int
}

type narrowRun struct {
	number int
	end    time.Time
}

const (
	// callCPU is the processor time of one call: a start with its polls and records takes 0.81 ms (docs/CAPACITY.md).
	callCPU = 250 * time.Microsecond
	// startBytes, pollBytes and rowBytes are the sizes of the messages of a start, of a poll, and of a run in its answer.
	startBytes, pollBytes, rowBytes = 900, 600, 70
)

func newNarrowRunners(share, megabits float64, length time.Duration) *narrowRunners {
	return &narrowRunners{
		share: share, bandwidth: megabits * 1e6 / 8, length: length, began: time.Now(), runners: map[string]*narrowRunner{},
	}
}

// transfer occupies the processor and the link with half of a call.
func (n *narrowRunners) transfer(ctx context.Context, bytes int) error {
	if err := n.cpu.pass(ctx, time.Duration(float64(callCPU)/2/n.share)); err != nil {
		return err
	}
	return n.link.pass(ctx, time.Duration(float64(bytes)/n.bandwidth*float64(time.Second)))
}

func (n *narrowRunners) clock() int64 { return time.Since(n.began).Milliseconds() + 1 }

// runner returns a runner whose due runs have ended. The caller holds mu.
func (n *narrowRunners) runner(id string) *narrowRunner {
	r := n.runners[id]
	if r == nil {
		r = &narrowRunner{runs: map[job.TaskID]narrowRun{}, changed: make(chan struct{}), stopped: map[job.TaskID]int{}, executed: map[narrowKey]bool{}}
		n.runners[id] = r
	}
	for task, x := range r.runs {
		switch {
		case r.lease < n.clock():
			n.lapsed++
			r.end(task, x, scheduler.EndLeaseExpired)
		case x.end.Before(time.Now()):
			r.end(task, x, scheduler.EndDone)
		}
	}
	return r
}

func (r *narrowRunner) end(task job.TaskID, x narrowRun, outcome string) {
	delete(r.runs, task)
	r.lastSeq++
	r.ended = append(r.ended, scheduler.EndedRun{Seq: r.lastSeq, Task: task, Run: x.number, Outcome: outcome})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (n *narrowRunners) Start(ctx context.Context, ref scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error) {
	if err := n.transfer(ctx, startBytes); err != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unknown++
		return scheduler.StartUnknown, err
	}
	n.mu.Lock()
	r := n.runner(ref.ID)
	if req.LeaseEnd < n.clock() || req.Run <= r.stopped[req.Task] {
		n.mu.Unlock()
		return scheduler.StartRefused, nil
	}
	r.lease = max(r.lease, req.LeaseEnd)
	for _, other := range n.runners {
		if _, running := other.runs[req.Task]; running {
			n.twice++
		}
	}
	r.runs[req.Task] = narrowRun{number: req.Run, end: time.Now().Add(n.length)}
	r.executed[narrowKey{req.Task, req.Run}] = true
	n.started++
	n.mu.Unlock()
	if err := n.transfer(ctx, startBytes/3); err != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unknown++
		return scheduler.StartUnknown, err
	}
	return scheduler.StartOK, nil
}

func (n *narrowRunners) Stop(ctx context.Context, ref scheduler.RunnerRef, req StopRequest) error {
	if err := n.transfer(ctx, startBytes); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.runner(ref.ID)
	if r.executed[narrowKey{req.Task, req.Run}] {
		n.stops++
	}
	r.stopped[req.Task] = max(r.stopped[req.Task], req.Run)
	if x, ok := r.runs[req.Task]; ok && x.number <= req.Run {
		r.end(req.Task, x, scheduler.EndStopped)
	}
	return nil
}

func (n *narrowRunners) LeaseEnd(_ scheduler.RunnerRef, lease time.Duration) int64 {
	return n.clock() + lease.Milliseconds()
}

func (n *narrowRunners) RecordClock(scheduler.RunnerRef, int64, int64) {}

func (n *narrowRunners) Poll(ctx context.Context, ref scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	if err := n.transfer(ctx, pollBytes); err != nil {
		return scheduler.Report{}, err
	}
	n.mu.Lock()
	r := n.runner(ref.ID)
	r.lease = max(r.lease, req.LeaseEnd)
	for len(r.ended) > 0 && r.ended[0].Seq <= req.Acknowledged {
		r.ended = r.ended[1:]
	}
	deadline := time.Now().Add(req.Wait)
	for len(r.ended) == 0 && time.Now().Before(deadline) {
		next := deadline
		for _, x := range r.runs {
			if x.end.Before(next) {
				next = x.end
			}
		}
		changed := r.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(next) + time.Millisecond):
		case <-ctx.Done():
			return scheduler.Report{}, ctx.Err()
		}
		n.mu.Lock()
		r = n.runner(ref.ID)
	}
	rep := scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: 1, Clock: n.clock()}
	for task, x := range r.runs {
		rep.Running = append(rep.Running, scheduler.RunningRun{Task: task, Run: x.number, Usage: -1})
	}
	rep.Ended = append(rep.Ended, r.ended...)
	n.mu.Unlock()
	return rep, n.transfer(ctx, pollBytes/2+rowBytes*(len(rep.Running)+len(rep.Ended)))
}

// counts ends the runs that are due or whose leases have expired, and returns the counters.
func (n *narrowRunners) counts() (started, unknown, lapsed, stops, twice int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.runners {
		n.runner(id)
	}
	return n.started, n.unknown, n.lapsed, n.stops, n.twice
}
