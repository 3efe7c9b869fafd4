package pool

import (
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Pool is the state of one pool at its owner.
type Pool struct {
	id    model.PoolID
	owner string
	token uint64
	cfg   Config
	rnd   *rand.Rand

	endpointsListed bool // the VM list was applied in full
	endpoints       map[string]*endpointState
	ordered         []*endpointState // by identifier
	// Endpoints that left the VM list. One that returns lists ends that were already handled.
	dropped map[string]*endpointState
	index   freeIndex

	activeCapacity  model.Resources // of schedulable endpoints
	activeCharged   model.Resources // on schedulable endpoints
	inactiveCharged model.Resources // on all others

	templates map[model.TemplateID]*templateState
	// templateOrder is in order of creation; templatesWithReserve is the subset with a reserve.
	templateOrder        []*templateState
	templatesWithReserve []*templateState
	workspaces           map[string]*workspaceState
	classes              map[classKey]*demandClass
	classOrder           []*demandClass // in order of creation, so that a run can be replayed
	sources              map[string]*demandSource

	attempts      map[model.AttemptID]*attemptState
	grants        map[uint64]*issuedGrant
	openGrants    []*issuedGrant // by time of issue; closed ones are removed after nextExpiry
	nextExpiry    time.Time
	settled       map[model.AttemptID]*settledRecord
	settledByTime []*settledRecord // by time of settlement
	lastGrant     uint64

	version           uint64 // incremented whenever a blocked class may have become placeable
	changes           uint64 // incremented with every change that may affect the summary
	summary           summaryCache
	pending           Effects
	chosen            []*endpointState // endpoints of the grant being placed
	candidates        []*demandClass
	placementID       uint64          // of the latest call of place
	preempting        []*attemptState // attempts being preempted, in the order in which they were selected
	reservedEndpoints int             // number of endpoints reserved for waiting work
	starvingReserved  bool            // the current plan has reserved endpoints for a class that has waited for starveAfter
	quarantined       []*endpointState
}

// New returns a pool without endpoints. token is the fencing token: the number of
// the view in which the owner took over the pool.
func New(id model.PoolID, owner string, token uint64, cfg Config, rnd *rand.Rand) *Pool {
	return &Pool{
		id: id, owner: owner, token: token, cfg: cfg, rnd: rnd,
		endpoints:  map[string]*endpointState{},
		dropped:    map[string]*endpointState{},
		index:      &scanIndex{leastLoaded: isRunnerPool(id)},
		templates:  map[model.TemplateID]*templateState{},
		workspaces: map[string]*workspaceState{},
		classes:    map[classKey]*demandClass{},
		sources:    map[string]*demandSource{},
		attempts:   map[model.AttemptID]*attemptState{},
		grants:     map[uint64]*issuedGrant{},
		settled:    map[model.AttemptID]*settledRecord{},
		// A random start keeps grant identifiers distinct over all pools of an owner.
		lastGrant: rnd.Uint64() >> 1,
		version:   1,
	}
}

// SetTemplates replaces all templates.
func (p *Pool) SetTemplates(now time.Time, templates map[model.TemplateID]model.Template) {
	for id, state := range p.templates {
		_, state.known = templates[id]
	}
	for id, t := range templates {
		p.template(id).configure(t, p.id)
	}
	p.templatesWithReserve = p.templatesWithReserve[:0]
	for _, t := range p.templateOrder {
		if t.known && t.runnable && t.Reserve > 0 {
			p.templatesWithReserve = append(p.templatesWithReserve, t)
		}
	}
	p.version++
	p.changes++
}

// template returns the state of a template and creates it if needed.
func (p *Pool) template(id model.TemplateID) *templateState {
	t := p.templates[id]
	if t == nil {
		t = newTemplateState(id, p.workspace(id.Workspace))
		p.templates[id] = t
		p.templateOrder = append(p.templateOrder, t)
	}
	return t
}

func (p *Pool) workspace(name string) *workspaceState {
	w := p.workspaces[name]
	if w == nil {
		w = &workspaceState{name: name}
		p.workspaces[name] = w
	}
	return w
}

// total returns the capacity that shares refer to. It includes what is charged on
// endpoints that are not schedulable, since that also counts as use.
func (p *Pool) total() model.Resources {
	return p.activeCapacity.Add(p.inactiveCharged)
}

func (p *Pool) free() model.Resources {
	return p.activeCapacity.Sub(p.activeCharged)
}

// takeEffects returns and clears the accumulated effects.
func (p *Pool) takeEffects() Effects {
	e := p.pending
	p.pending = Effects{}
	return e
}
