package shard

import (
	"cmp"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Table holds all shards that one process owns.
type Table struct {
	cfg         Config
	rnd         *rand.Rand
	seq         uint64
	journalDown bool
	members     int // shard owners of the cell, which share the capacity
	shards      [model.ShardCount]*shardState
	templates   map[model.TemplateID]*templateState
	ordered     []*templateState // by name, for a reproducible order
	workspaces  map[string]*workspaceState
	pools       []model.PoolSummary
	capacities  map[string]capacity // by pool prefix
	attempts    map[model.AttemptID]*attempt
	intents     map[model.AttemptID]*unit // by the first attempt of the intent
	jobTimers   dueHeap[*job]
	unitTimers  dueHeap[*unit]
	foundAges   []foundAge // in order of time
	shedAt      time.Time  // last look at queues that may be too long
}

// foundAge tells when a found attempt was reported.
type foundAge struct {
	at    time.Time
	shard model.ShardID
	hash  uint64
}

// New returns a table without shards. The random source is used for jitter and
// for the nonces of attempt identifiers; it must differ between incarnations.
func New(cfg Config, rnd *rand.Rand) *Table {
	return &Table{
		cfg:        cfg.withDefaults(),
		rnd:        rnd,
		templates:  map[model.TemplateID]*templateState{},
		workspaces: map[string]*workspaceState{},
		capacities: map[string]capacity{},
		attempts:   map[model.AttemptID]*attempt{},
		intents:    map[model.AttemptID]*unit{},
	}
}

// SetTemplates replaces the templates. Queued requests follow the new urgency
// and retry limits of their template; their task count and resources stay.
// Requests of a removed template finish with its last parameters; new ones are
// refused.
func (t *Table) SetTemplates(_ time.Time, templates map[model.TemplateID]model.Template) {
	for id, state := range t.templates {
		if _, ok := templates[id]; !ok {
			state.removed = true
		}
	}
	for id, template := range templates {
		template.ID = id
		state := t.ensureTemplate(id)
		state.Template = template
		state.removed = false
	}
	t.orderTemplates()
	t.SetCapacity(time.Time{}, t.pools)
}

// ensureTemplate returns the state of a template. A new one counts as removed
// until SetTemplates has it.
func (t *Table) ensureTemplate(id model.TemplateID) *templateState {
	state := t.templates[id]
	if state != nil {
		return state
	}
	state = &templateState{Template: model.Template{ID: id}, removed: true}
	t.templates[id] = state
	t.orderTemplates()
	return state
}

// orderTemplates rebuilds the list of templates by name.
func (t *Table) orderTemplates() {
	t.ordered = t.ordered[:0]
	for _, state := range t.templates {
		t.ordered = append(t.ordered, state)
	}
	slices.SortFunc(t.ordered, func(a, b *templateState) int {
		return cmp.Or(strings.Compare(a.ID.Workspace, b.ID.Workspace), strings.Compare(a.ID.Name, b.ID.Name))
	})
}

// SetCapacity replaces the pool summaries that feasibility and predicted waits use.
func (t *Table) SetCapacity(_ time.Time, pools []model.PoolSummary) {
	t.pools = pools
	clear(t.capacities)
	for _, state := range t.ordered {
		prefix := state.PoolPrefix()
		if _, ok := t.capacities[prefix]; !ok {
			t.capacities[prefix] = capacityOf(pools, prefix)
		}
	}
}

// SetMembers sets the number of shard owners of the cell, among which capacity
// is taken to be shared evenly.
func (t *Table) SetMembers(n int) { t.members = n }

// SetJournalWritable tells whether the journal can be written. While it can't, work
// that needs the journal is refused at submission with ReasonStoreDown.
func (t *Table) SetJournalWritable(_ time.Time, writable bool) { t.journalDown = !writable }

// Owns reports whether the table owns the shard and the shard is not frozen.
func (t *Table) Owns(s model.ShardID) bool {
	state := t.shard(s)
	return state != nil && !state.frozen
}

// shard returns an owned shard, or nil.
func (t *Table) shard(s model.ShardID) *shardState {
	if s >= model.ShardCount {
		return nil
	}
	return t.shards[s]
}

// find returns a request, or nil.
func (t *Table) find(key model.RequestKey) *job {
	s := t.shard(key.Shard())
	if s == nil {
		return nil
	}
	j := s.jobs[key.Hash()]
	if j == nil || j.key != key {
		return nil
	}
	return j
}

// workspace returns the counters of a workspace.
func (t *Table) workspace(name string) *workspaceState {
	w := t.workspaces[name]
	if w == nil {
		w = &workspaceState{}
		t.workspaces[name] = w
	}
	return w
}

// nextSeq returns the next number in the order of arrival.
func (t *Table) nextSeq() uint64 {
	t.seq++
	return t.seq
}

// Status returns the state of a request, or false for an unknown one.
func (t *Table) Status(key model.RequestKey) (model.JobStatus, bool) {
	j := t.find(key)
	if j == nil {
		return model.JobStatus{}, false
	}
	return j.status(), true
}

// Jobs returns the first requests that the filter selects, ordered by submission.
func (t *Table) Jobs(f Filter) []model.JobStatus {
	first := firstJobs{limit: f.limit()}
	for _, s := range t.shards {
		if s == nil {
			continue
		}
		for _, j := range s.jobs {
			if first.wants(j) && f.selects(j) {
				first.add(j)
			}
		}
	}
	first.cut()
	statuses := make([]model.JobStatus, 0, len(first.jobs))
	for _, j := range first.jobs {
		statuses = append(statuses, j.status())
	}
	return statuses
}

// event adds an entry for the time line.
func (e *Effects) event(name string, key model.RequestKey, attempt model.AttemptID, detail string) {
	e.Events = append(e.Events, Event{Name: name, Request: key.ID, Attempt: string(attempt), Detail: detail})
}

// answer adds a reply to one waiter.
func (e *Effects) answer(w WaiterID, r model.Reply) {
	e.Answers = append(e.Answers, Answered{Waiter: w, Reply: r})
}
