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
	leavingSet      bool // by drain or VM list
	leavingReported bool // by its own report
	reported        bool // has reported under our token
	fenced          bool // has seen a higher token

	instance string
	clockMS  int64     // endpoint's clock at the last report
	clockAt  time.Time // when the report arrived; the reading is older than this
	lastSent time.Time // when the call of the last report was sent
	capacity model.Resources
	charged  model.Resources

	leaseUntil  time.Time // latest end of the endpoint's lease
	calling     bool      // a session call is under way
	calledAt    time.Time // when the last session call was sent
	failures    int       // session calls without a reply, in a row
	lostReplies int       // those of them that may have arrived
	stale       bool      // no report within the lease

	attempts map[model.AttemptID]*attemptState
	grants   map[uint64]*issuedGrant
	services map[*templateState]int // replicas by template
	acks     ackQueue
	health   endpointHealth

	active  bool            // counted as taking work
	counted model.Resources // charged, as counted in the totals of the pool
	offered model.Resources // capacity, as counted in the totals of the pool

	mark    uint64       // generation in which the endpoint was chosen for a gang
	earmark *demandClass // work that the endpoint is kept for

	// In the course of a preemption plan.
	formerEarmark *demandClass
	planned       model.Resources // free, with what victims leave and without what is planned
	yielded       model.Resources // left by victims and not planned
	cell          cellRef         // position in the grid index
}

func newEndpointState(id string) *endpointState {
	return &endpointState{
		id:       id,
		attempts: map[model.AttemptID]*attemptState{},
		grants:   map[uint64]*issuedGrant{},
	}
}

func (e *endpointState) leaving() bool {
	return e.leavingSet || e.leavingReported
}

// startable reports whether a start may be sent to the endpoint.
func (e *endpointState) startable(cfg *Config) bool {
	return e.reported && !e.fenced && !e.removed && !e.leaving() && !e.stale && e.failures < cfg.SuspectAfter
}

// takesWork reports whether the endpoint gets ordinary grants.
func (e *endpointState) takesWork(cfg *Config) bool {
	return e.startable(cfg) && !e.health.quarantined
}

func (e *endpointState) free() model.Resources {
	return e.capacity.Sub(e.charged)
}

// clock returns the endpoint's clock at the given time, on the early side.
func (e *endpointState) clock(now time.Time) int64 {
	return e.clockMS + max(0, now.Sub(e.clockAt).Milliseconds())
}

// lapsed reports whether the lease has certainly run out.
func (e *endpointState) lapsed(now time.Time, cfg *Config) bool {
	return !e.calling && now.After(e.leaseUntil.Add(cfg.LeaseMargin))
}

// unreachable reports whether the endpoint could not be taken over so far.
func (e *endpointState) unreachable(cfg *Config) bool {
	return !e.reported && e.failures >= cfg.SuspectAfter
}

// credit counts the room of a victim as free in the plan.
func (e *endpointState) credit(r model.Resources) {
	e.planned = e.planned.Add(r)
	e.yielded = e.yielded.Add(r)
}

// debit takes room for planned work.
func (e *endpointState) debit(r model.Resources) {
	e.planned = e.planned.Sub(r)
	e.yielded = e.yielded.Sub(r)
}

// keepFor keeps the endpoint for a class. The first in order keeps it.
func (e *endpointState) keepFor(c *demandClass) {
	if e.earmark == nil {
		e.earmark = c
	}
}

// keptAgainst reports whether the endpoint is kept for other work that is at
// least as urgent.
func (e *endpointState) keptAgainst(c *demandClass) bool {
	return e.earmark != nil && e.earmark != c && e.earmark.template.Urgency >= c.template.Urgency
}
