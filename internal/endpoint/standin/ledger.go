package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// ledger is the protocol state of one instance of an endpoint. It performs no
// I/O and takes the time, as duration since the start of the instance, as
// argument. Every method first lapses the lease if its time has come.
type ledger struct {
	instance string
	capacity model.Resources
	leaseTTL time.Duration

	token      uint64
	owner      string
	leaseUntil time.Duration
	leaving    bool
	leavingAt  time.Duration // announcement
	refuses    bool          // starts while leaving

	seen   map[model.AttemptID]seenAttempt
	active map[model.AttemptID]*attempt
	used   model.Resources
	ended  []*attempt // not acknowledged, by sequence number
	seq    uint64

	// forget orders ended and blocked attempts by the time they are forgotten.
	forget []forgetEntry

	// onEnd is called when an attempt ends other than by finish.
	onEnd func(*attempt)
}

type forgetEntry struct {
	id model.AttemptID
	at time.Duration
}

// seenAttempt is what is remembered of every attempt.
type seenAttempt struct {
	blocked bool // cancelled before it arrived
}

// attempt is an attempt that runs or has ended.
type attempt struct {
	id        model.AttemptID
	template  string
	resources model.Resources
	work      Work
	token     uint64
	leaving   time.Duration // since the announcement, at the start
	running   bool
	throttled bool
	effect    bool
	started   time.Duration
	ended     time.Duration
	limit     time.Duration // of the run; 0 for none
	reason    EndReason
	seq       uint64
	answer    model.Answer
	stop      chan struct{} // closed when the attempt ends other than by finish
	change    chan struct{} // signals a change of throttled
}

func newLedger(instance string, capacity model.Resources, leaseTTL time.Duration) *ledger {
	return &ledger{instance: instance, capacity: capacity, leaseTTL: leaseTTL, seen: map[model.AttemptID]seenAttempt{}, active: map[model.AttemptID]*attempt{}}
}

// leased reports whether the lease is valid.
func (l *ledger) leased(now time.Duration) bool {
	return l.token != 0 && now < l.leaseUntil
}

// advance stops the work whose lease or run limit has passed and forgets old attempts.
func (l *ledger) advance(now time.Duration) {
	lapsed := !l.leased(now)
	for _, a := range l.running() {
		switch {
		case lapsed:
			l.end(now, a, EndLeaseExpired)
		case a.limit > 0 && now >= a.started+a.limit:
			l.end(now, a, EndRunLimit)
		}
	}
	for len(l.forget) > 0 && l.forget[0].at <= now {
		delete(l.seen, l.forget[0].id)
		l.forget = l.forget[1:]
	}
}

// setLeaving announces that the endpoint leaves, or takes it back.
func (l *ledger) setLeaving(now time.Duration, on, refuses bool) {
	if on && !l.leaving {
		l.leavingAt = now
	}
	l.leaving, l.refuses = on, refuses
}

// leavingFor returns the time since the announcement, at least 1 ms; 0 without one.
func (l *ledger) leavingFor(now time.Duration) time.Duration {
	if !l.leaving {
		return 0
	}
	return max(now-l.leavingAt, time.Millisecond)
}

// session takes over or renews, and reports. An empty code is success.
func (l *ledger) session(now time.Duration, req endpoint.SessionRequest) endpoint.RefusalCode {
	l.advance(now)
	if req.Token == 0 || req.Owner == "" {
		return endpoint.RefusalBadRequest
	}
	if req.Token < l.token || (req.Token == l.token && req.Owner != l.owner) {
		return endpoint.RefusalStaleToken
	}
	l.token, l.owner = req.Token, req.Owner
	l.leaseUntil = now + l.leaseTTL
	if req.Instance == l.instance || (req.Instance == "" && req.Ack <= l.seq) {
		l.acknowledge(req.Ack)
	}
	return ""
}

func (l *ledger) acknowledge(seq uint64) {
	l.ended = slices.DeleteFunc(l.ended, func(a *attempt) bool {
		if a.seq > seq {
			return false
		}
		a.answer = model.Answer{} // only the identifier is still needed
		return true
	})
}

// check refuses a token other than that of the session.
func (l *ledger) check(token uint64) endpoint.RefusalCode {
	switch {
	case token == 0:
		return endpoint.RefusalBadRequest
	case token < l.token:
		return endpoint.RefusalStaleToken
	case token > l.token:
		return endpoint.RefusalNoLease
	}
	return ""
}

// start starts the attempt, or refuses it. Repeats are told apart first: any
// other code would say that the attempt never ran.
func (l *ledger) start(now time.Duration, req endpoint.StartRequest, w Work) (*attempt, endpoint.RefusalCode) {
	l.advance(now)
	if s, ok := l.seen[req.Attempt]; ok {
		if s.blocked {
			return nil, endpoint.RefusalCancelled
		}
		return nil, endpoint.RefusalRepeated
	}
	if code := l.check(req.Token); code != "" {
		return nil, code
	}
	limit := time.Duration(req.StartBeforeMS) * time.Millisecond
	switch {
	case req.Instance != "" && req.Instance != l.instance:
		return nil, endpoint.RefusalExpired
	case now >= limit:
		return nil, endpoint.RefusalExpired
	case limit > now+maxStartAhead:
		return nil, endpoint.RefusalBadRequest
	case !l.leased(now):
		return nil, endpoint.RefusalNoLease
	case l.leaving && l.refuses:
		return nil, endpoint.RefusalLeaving
	}
	resources := l.charge(req.Resources)
	if !l.used.Add(resources).Fits(l.capacity) {
		return nil, endpoint.RefusalNoCapacity
	}
	a := &attempt{
		id: req.Attempt, template: req.Template, resources: resources, work: w, token: req.Token,
		leaving: l.leavingFor(now), running: true, started: now, limit: req.RunLimit, stop: make(chan struct{}),
		change: make(chan struct{}, 1),
	}
	l.seen[a.id] = seenAttempt{}
	l.active[a.id] = a
	l.used = l.used.Add(resources)
	return a, ""
}

// charge returns the resources that an attempt takes: at least one slot on a runner.
func (l *ledger) charge(r model.Resources) model.Resources {
	if l.capacity.Slots > 0 && r.Slots == 0 {
		r.Slots = 1
	}
	return r
}

// perform reports whether the attempt may perform its effect now, and records
// that it does. The lease is checked at this very moment, so an endpoint that
// was frozen past its lease performs nothing.
func (l *ledger) perform(now time.Duration, a *attempt) bool {
	l.advance(now)
	if !a.running || a.effect {
		return false
	}
	a.effect = true
	return true
}

// finish ends the attempt with its answer. It reports false for one that ended earlier.
func (l *ledger) finish(now time.Duration, a *attempt, answer model.Answer) bool {
	l.advance(now)
	if !a.running {
		return false
	}
	a.answer = answer
	reason := EndDone
	if answer.Failed() {
		reason = EndFailed
	}
	l.close(now, a, reason)
	return true
}

// end stops a running attempt.
func (l *ledger) end(now time.Duration, a *attempt, reason EndReason) {
	l.close(now, a, reason)
	close(a.stop)
	if l.onEnd != nil {
		l.onEnd(a)
	}
}

func (l *ledger) close(now time.Duration, a *attempt, reason EndReason) {
	delete(l.active, a.id)
	a.running = false
	a.ended = now
	a.reason = reason
	l.seq++
	a.seq = l.seq
	l.used = l.used.Sub(a.resources)
	l.ended = append(l.ended, a)
	l.forget = append(l.forget, forgetEntry{a.id, now + memory})
}

// cancel stops the attempt, or blocks one that has not arrived.
func (l *ledger) cancel(now time.Duration, token uint64, id model.AttemptID) (started bool, code endpoint.RefusalCode) {
	l.advance(now)
	if code := l.check(token); code != "" {
		return false, code
	}
	if s, ok := l.seen[id]; ok && s.blocked {
		return false, ""
	} else if !ok {
		l.seen[id] = seenAttempt{blocked: true}
		l.forget = append(l.forget, forgetEntry{id, now + memory})
		return false, ""
	}
	if a := l.active[id]; a != nil {
		l.end(now, a, EndCancelled)
	}
	return true, ""
}

// checkpoint stops a running attempt after saving its progress.
func (l *ledger) checkpoint(now time.Duration, token uint64, id model.AttemptID) (*attempt, endpoint.RefusalCode) {
	l.advance(now)
	if code := l.check(token); code != "" {
		return nil, code
	}
	a := l.active[id]
	if a == nil {
		return nil, endpoint.RefusalBadRequest
	}
	l.end(now, a, EndCheckpointed)
	return a, ""
}

// throttle slows a running attempt down or lets it run freely.
func (l *ledger) throttle(now time.Duration, token uint64, id model.AttemptID, on bool) endpoint.RefusalCode {
	l.advance(now)
	if code := l.check(token); code != "" {
		return code
	}
	a := l.active[id]
	if a == nil {
		return endpoint.RefusalBadRequest
	}
	if a.throttled != on {
		a.throttled = on
		select {
		case a.change <- struct{}{}:
		default:
		}
	}
	return ""
}

// running returns the running attempts in order of their identifiers.
func (l *ledger) running() []*attempt {
	out := make([]*attempt, 0, len(l.active))
	for _, a := range l.active {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return out
}
