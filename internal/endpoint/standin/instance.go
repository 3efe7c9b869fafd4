package standin

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// throttleFactor is how much slower a throttled task runs.
const throttleFactor = 2

// instance is one start of an endpoint. Its ledger is guarded by the mutex of
// the endpoint.
type instance struct {
	id      string
	ledger  *ledger
	started time.Time // with monotonic reading
	ctx     context.Context
	cancel  context.CancelFunc
	lapse   *time.Timer
}

func (e *Endpoint) newInstance() *instance {
	in := &instance{id: uuid.NewString(), started: time.Now()}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.ledger = newLedger(in.id, e.cfg.Capacity, e.cfg.LeaseTTL)
	in.ledger.setLeaving(0, e.faults.Leaving, !e.faults.LeavingAccepts)
	in.ledger.onEnd = func(a *attempt) { e.logStep(in, a, EffectEnd) }
	in.lapse = time.AfterFunc(e.cfg.LeaseTTL, func() { e.lapse(in) })
	return in
}

// now returns the clock of the instance.
func (in *instance) now() time.Duration { return time.Since(in.started) }

// lapse stops the work of an instance whose lease has passed.
func (e *Endpoint) lapse(in *instance) {
	if !e.frozen.wait(in.ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	in.ledger.advance(in.now())
}

// run performs the attempt. It returns when the attempt has ended.
func (e *Endpoint) run(in *instance, a *attempt) {
	done := e.progress.take(a.id)
	if done = e.elapse(in, a, done); done < a.work.duration() || a.work.endless() {
		e.stopped(in, a, done)
		return
	}
	if !e.frozen.wait(in.ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w := a.work
	w.Fail = w.Fail || e.faults.fails(a.template)
	if !w.Fail && in.ledger.perform(in.now(), a) {
		e.logStep(in, a, EffectPerformed)
	}
	if in.ledger.finish(in.now(), a, NewAnswer(a.id, a.template, w)) {
		e.logStep(in, a, EffectEnd)
	}
}

// elapse lets the run time pass, more slowly while the attempt is throttled,
// and returns how much of the work is done when it is complete or stopped.
func (e *Endpoint) elapse(in *instance, a *attempt, done time.Duration) time.Duration {
	var limit <-chan time.Time
	if a.limit > 0 {
		t := time.NewTimer(a.limit)
		defer t.Stop()
		limit = t.C
	}
	for done < a.work.duration() || a.work.endless() {
		since := time.Now()
		speed := e.speed(a)
		var complete <-chan time.Time
		if !a.work.endless() {
			t := time.NewTimer((a.work.duration() - done) * speed)
			defer t.Stop()
			complete = t.C
		}
		select {
		case <-complete:
			return a.work.duration()
		case <-limit:
			e.lapse(in)
			return done + time.Since(since)/speed
		case <-a.stop:
			return done + time.Since(since)/speed
		case <-in.ctx.Done():
			return done
		case <-a.change:
			done += time.Since(since) / speed
		}
	}
	return done
}

func (e *Endpoint) speed(a *attempt) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.throttled {
		return throttleFactor
	}
	return 1
}

// stopped saves the progress of a checkpointed attempt.
func (e *Endpoint) stopped(in *instance, a *attempt, done time.Duration) {
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

// logStep adds a step of the attempt to the effect log.
func (e *Endpoint) logStep(in *instance, a *attempt, event EffectEvent) {
	entry := Effect{
		Event: event, Endpoint: e.cfg.ID, Instance: in.id, Attempt: a.id, Template: a.template,
		Echo: a.work.Echo, Token: a.token, LeavingMS: a.leaving.Milliseconds(),
	}
	if event == EffectEnd {
		entry.Reason = a.reason
	}
	e.log.add(entry)
}
