package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// ledger is the protocol state of one instance of an endpoint: session, lease and
// attempts. It performs no I/O. Its methods take the current time as duration
// since the start of the instance. session, start, cancel, checkpoint, throttle,
// perform and finish call advance first, so that an expired lease takes effect.
type ledger struct {
	instance string
	capacity model.Resources
	leaseTTL time.Duration

	token        uint64
	owner        string
	leaseUntil   time.Duration
	leaving      bool
	leavingSince time.Duration // when the endpoint announced that it is leaving
	refuseStarts bool          // whether starts are refused while leaving

	seen           map[model.AttemptID]attemptRecord
	active         map[model.AttemptID]*attempt
	used           model.Resources
	unacknowledged []*attempt // ended attempts that the owner has not acknowledged, in order of their sequence numbers
	seq            uint64

	// retained lists ended and blocked attempts in the order in which their
	// records are discarded.
	retained []retainedRecord

	// onEnd is called when an attempt ends other than by finish.
	onEnd func(*attempt)
}

// retainedRecord is the entry of an ended or blocked attempt whose record is kept
// until a time.
type retainedRecord struct {
	id    model.AttemptID
	until time.Duration
}

// attemptRecord is kept for each started or blocked attempt to detect repeated start
// commands.
type attemptRecord struct {
	blocked bool // cancelled before its start command arrived
}

// attempt is a running or ended attempt.
type attempt struct {
	id              model.AttemptID
	template        string
	resources       model.Resources
	work            Work
	token           uint64
	leavingFor      time.Duration // time from the announcement to the start of the attempt; 0 if not leaving
	running         bool
	throttled       bool
	effectDone      bool
	startedAt       time.Duration
	endedAt         time.Duration
	runLimit        time.Duration // 0 for no limit
	reason          EndReason
	seq             uint64
	answer          model.Answer
	stop            chan struct{} // closed when the attempt ends other than by finish
	throttleChanged chan struct{} // receives a value when throttled changes
}

func newLedger(instance string, capacity model.Resources, leaseTTL time.Duration) *ledger {
	return &ledger{instance: instance, capacity: capacity, leaseTTL: leaseTTL, seen: map[model.AttemptID]attemptRecord{}, active: map[model.AttemptID]*attempt{}}
}

// hasLease reports whether the lease is valid.
func (l *ledger) hasLease(now time.Duration) bool {
	return l.token != 0 && now < l.leaseUntil
}

// advance stops the running attempts if the lease has expired, stops those whose
// run limit has passed, and discards old records.
func (l *ledger) advance(now time.Duration) {
	expired := !l.hasLease(now)
	for _, a := range l.running() {
		switch {
		case expired:
			l.stopAttempt(now, a, EndLeaseExpired)
		case a.runLimit > 0 && now >= a.startedAt+a.runLimit:
			l.stopAttempt(now, a, EndRunLimit)
		}
	}
	for len(l.retained) > 0 && l.retained[0].until <= now {
		delete(l.seen, l.retained[0].id)
		l.retained = l.retained[1:]
	}
}

// setLeaving announces that the endpoint is leaving, or withdraws the announcement.
func (l *ledger) setLeaving(now time.Duration, on, refuseStarts bool) {
	if on && !l.leaving {
		l.leavingSince = now
	}
	l.leaving, l.refuseStarts = on, refuseStarts
}

// leavingFor returns the time since the announcement that the endpoint is leaving,
// at least 1 ms. It returns 0 if the endpoint is not leaving.
func (l *ledger) leavingFor(now time.Duration) time.Duration {
	if !l.leaving {
		return 0
	}
	return max(now-l.leavingSince, time.Millisecond)
}

// session opens a session or renews its lease, and applies the acknowledgement.
// The code is empty on success.
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
	l.unacknowledged = slices.DeleteFunc(l.unacknowledged, func(a *attempt) bool {
		if a.seq > seq {
			return false
		}
		a.answer = model.Answer{} // frees the answer, which the owner has received
		return true
	})
}

// checkToken returns the refusal for a token that is not the token of the session,
// or an empty code if it is.
func (l *ledger) checkToken(token uint64) endpoint.RefusalCode {
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

// start starts the attempt, or refuses it. It checks for a repeated command first,
// because any other refusal would mean that the attempt never ran.
func (l *ledger) start(now time.Duration, req endpoint.StartRequest, w Work) (*attempt, endpoint.RefusalCode) {
	l.advance(now)
	if s, ok := l.seen[req.Attempt]; ok {
		if s.blocked {
			return nil, endpoint.RefusalCancelled
		}
		return nil, endpoint.RefusalRepeated
	}
	if code := l.checkToken(req.Token); code != "" {
		return nil, code
	}
	deadline := time.Duration(req.StartBeforeMS) * time.Millisecond
	switch {
	case req.Instance != "" && req.Instance != l.instance:
		return nil, endpoint.RefusalExpired
	case now >= deadline:
		return nil, endpoint.RefusalExpired
	case deadline > now+maxStartWindow:
		return nil, endpoint.RefusalBadRequest
	case !l.hasLease(now):
		return nil, endpoint.RefusalNoLease
	case l.leaving && l.refuseStarts:
		return nil, endpoint.RefusalLeaving
	}
	resources := l.reservedResources(req.Resources)
	if !l.used.Add(resources).Fits(l.capacity) {
		return nil, endpoint.RefusalNoCapacity
	}
	a := &attempt{
		id: req.Attempt, template: req.Template, resources: resources, work: w, token: req.Token,
		leavingFor: l.leavingFor(now), running: true, startedAt: now, runLimit: req.RunLimit, stop: make(chan struct{}),
		throttleChanged: make(chan struct{}, 1),
	}
	l.seen[a.id] = attemptRecord{}
	l.active[a.id] = a
	l.used = l.used.Add(resources)
	return a, ""
}

// reservedResources returns the resources to reserve for an attempt: at least one
// slot on a runner.
func (l *ledger) reservedResources(r model.Resources) model.Resources {
	if l.capacity.Slots > 0 && r.Slots == 0 {
		r.Slots = 1
	}
	return r
}

// perform reports whether the attempt may perform its effect now, and records that
// it does. It checks the lease at the time of the effect, so an endpoint whose
// lease expired while it was frozen performs no effect.
func (l *ledger) perform(now time.Duration, a *attempt) bool {
	l.advance(now)
	if !a.running || a.effectDone {
		return false
	}
	a.effectDone = true
	return true
}

// finish ends the attempt with its answer. It reports false if the attempt has
// already ended.
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
	l.recordEnd(now, a, reason)
	return true
}

// stopAttempt stops a running attempt.
func (l *ledger) stopAttempt(now time.Duration, a *attempt, reason EndReason) {
	l.recordEnd(now, a, reason)
	close(a.stop)
	if l.onEnd != nil {
		l.onEnd(a)
	}
}

func (l *ledger) recordEnd(now time.Duration, a *attempt, reason EndReason) {
	delete(l.active, a.id)
	a.running = false
	a.endedAt = now
	a.reason = reason
	l.seq++
	a.seq = l.seq
	l.used = l.used.Sub(a.resources)
	l.unacknowledged = append(l.unacknowledged, a)
	l.retained = append(l.retained, retainedRecord{a.id, now + attemptRetention})
}

// cancel stops the attempt. If the start command has not arrived yet, cancel
// blocks the attempt, so that the command will be refused.
func (l *ledger) cancel(now time.Duration, token uint64, id model.AttemptID) (started bool, code endpoint.RefusalCode) {
	l.advance(now)
	if code := l.checkToken(token); code != "" {
		return false, code
	}
	if s, ok := l.seen[id]; ok && s.blocked {
		return false, ""
	} else if !ok {
		l.seen[id] = attemptRecord{blocked: true}
		l.retained = append(l.retained, retainedRecord{id, now + attemptRetention})
		return false, ""
	}
	if a := l.active[id]; a != nil {
		l.stopAttempt(now, a, EndCancelled)
	}
	return true, ""
}

// checkpoint stops a running attempt; Endpoint.run then saves the progress.
func (l *ledger) checkpoint(now time.Duration, token uint64, id model.AttemptID) (*attempt, endpoint.RefusalCode) {
	l.advance(now)
	if code := l.checkToken(token); code != "" {
		return nil, code
	}
	a := l.active[id]
	if a == nil {
		return nil, endpoint.RefusalBadRequest
	}
	l.stopAttempt(now, a, EndCheckpointed)
	return a, ""
}

// throttle turns throttling of a running attempt on or off.
func (l *ledger) throttle(now time.Duration, token uint64, id model.AttemptID, on bool) endpoint.RefusalCode {
	l.advance(now)
	if code := l.checkToken(token); code != "" {
		return code
	}
	a := l.active[id]
	if a == nil {
		return endpoint.RefusalBadRequest
	}
	if a.throttled != on {
		a.throttled = on
		select {
		case a.throttleChanged <- struct{}{}:
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
