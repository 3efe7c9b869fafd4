package standin

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// throttleFactor is the factor by which a throttled task runs slower.
const throttleFactor = 2

// instance is the state of an endpoint between two restarts. The mutex of the
// endpoint guards its ledger.
type instance struct {
	id         string
	ledger     *ledger
	started    time.Time // includes a monotonic clock reading
	ctx        context.Context
	cancel     context.CancelFunc
	leaseTimer *time.Timer
}

func (e *Endpoint) newInstance() *instance {
	in := &instance{id: uuid.NewString(), started: time.Now()}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.ledger = newLedger(in.id, e.cfg.Capacity, e.cfg.LeaseTTL)
	in.ledger.setLeaving(0, e.faults.Leaving, !e.faults.LeavingAccepts)
	in.ledger.onEnd = func(a *attempt) { e.logEffect(in, a, EffectEnd) }
	in.leaseTimer = time.AfterFunc(e.cfg.LeaseTTL, func() { e.advanceLedger(in) })
	return in
}

// now returns the time since the start of the instance.
func (in *instance) now() time.Duration { return time.Since(in.started) }

// advanceLedger stops the work of the instance whose lease or run limit has
// expired. If the endpoint is frozen, it first waits for its resumption.
func (e *Endpoint) advanceLedger(in *instance) {
	if !e.freezeGate.wait(in.ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	in.ledger.advance(in.now())
}

// run executes the attempt and returns when the attempt has ended.
func (e *Endpoint) run(in *instance, a *attempt) {
	done := e.progress.take(a.id)
	if done = e.runWork(in, a, done); done < a.work.duration() || a.work.endless() {
		e.saveIfCheckpointed(in, a, done)
		return
	}
	if !e.freezeGate.wait(in.ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w := a.work
	w.Fail = w.Fail || e.faults.fails(a.template)
	if !w.Fail && in.ledger.perform(in.now(), a) {
		e.logEffect(in, a, EffectPerformed)
	}
	if in.ledger.finish(in.now(), a, NewAnswer(a.id, a.template, w)) {
		e.logEffect(in, a, EffectEnd)
	}
}

// runWork waits for the remaining run time of the attempt, which passes more
// slowly while the attempt is throttled. It returns how much of the run time has
// passed when the work is complete or was stopped.
func (e *Endpoint) runWork(in *instance, a *attempt, done time.Duration) time.Duration {
	var limit <-chan time.Time
	if a.runLimit > 0 {
		t := time.NewTimer(a.runLimit)
		defer t.Stop()
		limit = t.C
	}
	for done < a.work.duration() || a.work.endless() {
		since := time.Now()
		factor := e.timeFactor(a)
		var complete <-chan time.Time
		if !a.work.endless() {
			t := time.NewTimer((a.work.duration() - done) * factor)
			defer t.Stop()
			complete = t.C
		}
		select {
		case <-complete:
			return a.work.duration()
		case <-limit:
			e.advanceLedger(in)
			return done + time.Since(since)/factor
		case <-a.stop:
			return done + time.Since(since)/factor
		case <-in.ctx.Done():
			return done
		case <-a.throttleChanged:
			done += time.Since(since) / factor
		}
	}
	return done
}

// timeFactor returns the factor by which the attempt currently runs slower.
func (e *Endpoint) timeFactor(a *attempt) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.throttled {
		return throttleFactor
	}
	return 1
}

// saveIfCheckpointed saves the progress of the attempt if it ended by a checkpoint.
func (e *Endpoint) saveIfCheckpointed(in *instance, a *attempt, done time.Duration) {
	if in.ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	reason := a.reason
	e.mu.Unlock()
	if reason == EndCheckpointed {
		e.progress.save(a.id, done)
	}
}

// logEffect adds an event of the attempt to the effect log.
func (e *Endpoint) logEffect(in *instance, a *attempt, event EffectEvent) {
	entry := Effect{
		Event: event, Endpoint: e.cfg.ID, Instance: in.id, Attempt: a.id, Template: a.template,
		Echo: a.work.Echo, Token: a.token, LeavingMS: a.leavingFor.Milliseconds(),
	}
	if event == EffectEnd {
		entry.Reason = a.reason
	}
	e.log.add(entry)
}
