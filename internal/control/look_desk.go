package control

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// lookWait is how long a look waits for an end. The lease of a runner's runs is renewed by each look.
	lookWait = 1500 * time.Millisecond
	// lookSlack is how much later than its wait a look may answer.
	lookSlack = 600 * time.Millisecond
	// silentRetry is the pause between looks at a runner that doesn't answer.
	silentRetry = 200 * time.Millisecond
	// acknowledgeWithin is how long after an answer ends may be acknowledged: numbers of ends begin anew with each life
	// of a runner, and a new life under the same identifier begins later than that.
	acknowledgeWithin = time.Second
	// unacknowledgedRetry is the pause between looks while ends can't be acknowledged, as they come back at once.
	unacknowledgedRetry = 150 * time.Millisecond
)

// lookDesk keeps one look at each runner under way.
type lookDesk struct {
	o     *owner
	looks map[string]*lookState
}

type lookState struct {
	ref        scheduler.RunnerRef
	underWay   bool
	nextAt     time.Duration
	lastEnd    int64 // highest end that the runner has told
	told       int64 // acknowledged by the last look
	answered   bool  // the last look was answered
	answeredAt time.Duration
}

func newLookDesk(o *owner) *lookDesk {
	return &lookDesk{o: o, looks: map[string]*lookState{}}
}

// schedule starts the looks that are due.
func (d *lookDesk) schedule() {
	watched := d.o.sched.RunnersToPoll()
	present := make(map[string]bool, len(watched))
	for _, ref := range watched {
		present[ref.ID] = true
		st := d.looks[ref.ID]
		if st == nil || st.ref.Addr != ref.Addr {
			st = &lookState{}
			d.looks[ref.ID] = st
		}
		if st.ref.Incarnation != ref.Incarnation {
			st.lastEnd, st.told = 0, 0
		}
		st.ref = ref
		if !st.underWay && d.o.seen >= st.nextAt {
			d.look(st)
		}
	}
	for id := range d.looks {
		if !present[id] {
			delete(d.looks, id)
		}
	}
}

// acknowledge looks again at once at runners whose ends have become durable.
func (d *lookDesk) acknowledge() {
	for _, st := range d.looks {
		if !st.underWay && st.answered && d.o.sched.Acknowledged(st.ref.ID) > st.told {
			d.look(st)
		}
	}
}

func (d *lookDesk) look(st *lookState) {
	o := d.o
	l := PollRequest{Fence: o.info.Rev, Wait: lookWait}
	if st.answered && o.seen-st.answeredAt < acknowledgeWithin {
		l.Acknowledged = o.sched.Acknowledged(st.ref.ID)
	}
	if st.answered {
		l.Lease = o.n.opt.Scheduler.RunLease
		o.sched.LeaseSent(st.ref.ID)
	} else {
		l.Wait = 0 // learn its state first; a lease isn't renewed for a runner that may not hear the answer
	}
	st.underWay = true
	st.told = l.Acknowledged
	ref := st.ref
	d.send(ref, l, func(report scheduler.Report, err error) { d.finished(st, ref, report, err) })
}

// inspect looks at a runner once more without waiting.
func (d *lookDesk) inspect(ref scheduler.RunnerRef) {
	if st := d.looks[ref.ID]; st != nil && st.answered {
		d.send(st.ref, PollRequest{Fence: d.o.info.Rev}, func(report scheduler.Report, err error) {
			if err == nil { // the look under way tells of a runner that doesn't answer
				d.o.sched.Report(report)
			}
		})
	}
}

// send looks at a runner and hands the report to the loop.
func (d *lookDesk) send(ref scheduler.RunnerRef, l PollRequest, done func(scheduler.Report, error)) {
	sent := d.o.seen
	go func() {
		ctx, cancel := context.WithTimeout(d.o.ctx, l.Wait+lookSlack)
		defer cancel()
		report, err := d.o.n.dep.Runners.Poll(ctx, ref, l)
		report.RequestedAt = sent
		d.o.post(func() { done(report, err) })
	}()
}

func (d *lookDesk) finished(st *lookState, ref scheduler.RunnerRef, report scheduler.Report, err error) {
	st.underWay = false
	if errors.Is(err, ErrFenced) {
		d.o.fenced("look")
		st.nextAt = d.o.seen + silentRetry
		return
	}
	if err != nil {
		st.answered = false
		st.nextAt = d.o.seen + silentRetry
		d.o.sched.RunnerUnreachable(ref.ID, ref.Addr, err.Error())
		return
	}
	st.answered = true
	st.answeredAt = d.o.seen
	d.o.sched.Report(report)
	for _, end := range report.Ended {
		st.lastEnd = max(st.lastEnd, end.Seq)
	}
	st.nextAt = d.o.seen
	if st.lastEnd > d.o.sched.Acknowledged(ref.ID) {
		st.nextAt = d.o.seen + unacknowledgedRetry
		return
	}
	if d.looks[ref.ID] == st {
		d.look(st)
	}
}
