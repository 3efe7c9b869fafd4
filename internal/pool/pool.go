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

	listed    bool // the VM list was applied in full
	endpoints map[string]*endpointState
	ordered   []*endpointState // by identifier
	// Endpoints that left: one that comes back lists ends that were handled before.
	dropped map[string]*endpointState
	index   freeIndex

	activeCapacity  model.Resources // of endpoints that take work
	activeCharged   model.Resources // on endpoints that take work
	inactiveCharged model.Resources // on all others

	templates map[model.TemplateID]*templateState
	// In order of creation and, below, those of them with a reserve.
	templateOrder []*templateState
	reserving     []*templateState
	workspaces    map[string]*workspaceState
	classes       map[classKey]*demandClass
	classOrder    []*demandClass // in order of creation, so that runs can be replayed
	sources       map[string]*demandSource

	attempts   map[model.AttemptID]*attemptState
	grants     map[uint64]*issuedGrant
	expiry     []*issuedGrant // by time of issue; used ones are dropped at nextExpiry
	nextExpiry time.Time
	settled    map[model.AttemptID]*settledRecord
	forget     []*settledRecord // by time of settlement
	lastGrant  uint64

	version     uint64 // grows whenever a blocked class may have become placeable
	changes     uint64 // grows with every change of the summary
	summary     summaryCache
	pending     Effects
	chosen      []*endpointState // endpoints of the grant being placed
	candidates  []*demandClass
	generation  uint64          // of the marks on chosen endpoints
	victims     []*attemptState // in preemption, in order of choice
	earmarked   int             // endpoints kept for waiting work
	starving    bool            // an endpoint is kept for work that is passed by
	quarantined []*endpointState
}

// New returns a pool without endpoints. The token is the number of the view in
// which the owner took the pool.
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
		// Grant identifiers are unique over all pools of an owner.
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
	p.reserving = p.reserving[:0]
	for _, t := range p.templateOrder {
		if t.known && t.runs && t.Reserve > 0 {
			p.reserving = append(p.reserving, t)
		}
	}
	p.version++
	p.changes++
}

// template returns the state of a template and creates it where needed.
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

// total returns the capacity that shares refer to. Work on endpoints that take
// no more work counts on both sides.
func (p *Pool) total() model.Resources {
	return p.activeCapacity.Add(p.inactiveCharged)
}

func (p *Pool) free() model.Resources {
	return p.activeCapacity.Sub(p.activeCharged)
}

// take returns the accumulated effects.
func (p *Pool) take() Effects {
	e := p.pending
	p.pending = Effects{}
	return e
}
