package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// endpointState is one endpoint of the pool.
type endpointState struct {
	id string

	removed         bool // no longer in the VM list
	droppedAt       time.Time
	leavingMarked   bool // marked as leaving by a drain or the VM list
	leavingReported bool // the endpoint reported that it is leaving
	reported        bool // has reported under this owner's token
	fenced          bool // has seen a higher fencing token

	instance       string
	clockMS        int64     // endpoint's clock at the last report
	clockReadAt    time.Time // when the report arrived; the clock was read before this
	lastReportSent time.Time // when the call of the last report was sent
	capacity       model.Resources
	charged        model.Resources // allocated to grants and attempts

	leaseUntil      time.Time // latest possible expiry of the endpoint's lease
	sessionInFlight bool      // a session call has not returned
	sessionSentAt   time.Time // when the last session call was sent
	failedSessions  int       // consecutive session calls without a reply
	lostReplies     int       // those of them that may have reached the endpoint
	stale           bool      // leaseUntil has passed without a new report

	attempts        map[model.AttemptID]*attemptState
	grants          map[uint64]*issuedGrant
	serviceReplicas map[*templateState]int // replicas by template
	acks            ackQueue
	health          endpointHealth

	active          bool            // counted as schedulable in the totals of the pool
	countedCharge   model.Resources // charged, as counted in the totals of the pool
	countedCapacity model.Resources // capacity, as counted in the totals of the pool

	lastPlacement uint64       // last call of place that put a task on the endpoint
	reservedFor   *demandClass // waiting work that the endpoint is reserved for

	// Valid only while preemption is planned.
	prevReservedFor *demandClass
	plannedFree     model.Resources // free capacity plus what preemption frees, minus what planned tasks use
	preemptedFree   model.Resources // capacity that preemption frees, minus what planned tasks use

	cell cellRef // position in the grid index
}

func newEndpointState(id string) *endpointState {
	return &endpointState{
		id:       id,
		attempts: map[model.AttemptID]*attemptState{},
		grants:   map[uint64]*issuedGrant{},
	}
}

func (e *endpointState) leaving() bool {
	return e.leavingMarked || e.leavingReported
}

// acceptsStarts reports whether a start may be sent to the endpoint.
func (e *endpointState) acceptsStarts(cfg *Config) bool {
	return e.reported && !e.fenced && !e.removed && !e.leaving() && !e.stale && e.failedSessions < cfg.SuspectAfter
}

// schedulable reports whether the endpoint gets grants other than probes.
func (e *endpointState) schedulable(cfg *Config) bool {
	return e.acceptsStarts(cfg) && !e.health.quarantined
}

func (e *endpointState) free() model.Resources {
	return e.capacity.Sub(e.charged)
}

// clock returns an estimate of the endpoint's clock at the given time that is
// never ahead of it, apart from drift.
func (e *endpointState) clock(now time.Time) int64 {
	return e.clockMS + max(0, now.Sub(e.clockReadAt).Milliseconds())
}

// leaseExpired reports whether the lease has certainly expired.
func (e *endpointState) leaseExpired(now time.Time, cfg *Config) bool {
	return !e.sessionInFlight && now.After(e.leaseUntil.Add(cfg.LeaseMargin))
}

// unreachable reports whether the endpoint has never reported to this owner and the
// last SuspectAfter or more session calls have failed.
func (e *endpointState) unreachable(cfg *Config) bool {
	return !e.reported && e.failedSessions >= cfg.SuspectAfter
}

// planRelease counts the capacity of an attempt to be preempted as free in the plan.
func (e *endpointState) planRelease(r model.Resources) {
	e.plannedFree = e.plannedFree.Add(r)
	e.preemptedFree = e.preemptedFree.Add(r)
}

// planUse counts capacity as used by planned work.
func (e *endpointState) planUse(r model.Resources) {
	e.plannedFree = e.plannedFree.Sub(r)
	e.preemptedFree = e.preemptedFree.Sub(r)
}

// reserveFor reserves the endpoint for a class. An existing reservation stays.
func (e *endpointState) reserveFor(c *demandClass) {
	if e.reservedFor == nil {
		e.reservedFor = c
	}
}

// reservedForOther reports whether the endpoint is reserved for another class that
// is at least as urgent.
func (e *endpointState) reservedForOther(c *demandClass) bool {
	return e.reservedFor != nil && e.reservedFor != c && e.reservedFor.template.Urgency >= c.template.Urgency
}
