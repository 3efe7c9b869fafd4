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
	cfg             Config
	rnd             *rand.Rand
	seq             uint64
	journalDown     bool
	shardOwners     int // in the cell; they share the capacity
	shards          [model.ShardCount]*shardState
	templates       map[model.TemplateID]*templateState
	templatesByName []*templateState // by workspace and name, for a reproducible order
	workspaces      map[string]*workspaceState
	pools           []model.PoolSummary
	capacities      map[string]capacity // by pool prefix
	attempts        map[model.AttemptID]*attempt
	intents         map[model.AttemptID]*unit // by the first attempt of the intent
	jobTimers       dueHeap[*job]
	unitTimers      dueHeap[*unit]
	unmatchedAges   []unmatchedAge // ordered by time
	lastShed        time.Time      // last check for queues that are too long
}

// unmatchedAge records when an unmatched attempt was reported.
type unmatchedAge struct {
	at    time.Time
	shard model.ShardID
	hash  uint64
}

// New returns a table without shards. The random source is used for jitter and for the nonces
// of attempt identifiers; its sequence must differ between incarnations.
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

// SetTemplates replaces the templates. Queued requests follow the new urgency and retry limits
// of their template; their task count and resources do not change. Requests of a removed
// template finish with its last parameters; new ones are refused.
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

// ensureTemplate returns the state of a template and creates it if needed. A new state counts
// as removed until SetTemplates includes the template.
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

// orderTemplates rebuilds the list of templates ordered by workspace and name.
func (t *Table) orderTemplates() {
	t.templatesByName = t.templatesByName[:0]
	for _, state := range t.templates {
		t.templatesByName = append(t.templatesByName, state)
	}
	slices.SortFunc(t.templatesByName, func(a, b *templateState) int {
		return cmp.Or(strings.Compare(a.ID.Workspace, b.ID.Workspace), strings.Compare(a.ID.Name, b.ID.Name))
	})
}

// SetCapacity replaces the pool summaries from which feasibility and predicted waits are
// computed.
func (t *Table) SetCapacity(_ time.Time, pools []model.PoolSummary) {
	t.pools = pools
	clear(t.capacities)
	for _, state := range t.templatesByName {
		prefix := state.PoolPrefix()
		if _, ok := t.capacities[prefix]; !ok {
			t.capacities[prefix] = capacityOf(pools, prefix)
		}
	}
}

// SetMembers sets the number of shard owners in the cell. They are assumed to share the
// capacity evenly.
func (t *Table) SetMembers(n int) { t.shardOwners = n }

// SetJournalWritable sets whether the journal can be written. While it can't, work that needs
// the journal is refused at submission with ReasonStoreDown.
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

// findJob returns a request, or nil.
func (t *Table) findJob(key model.RequestKey) *job {
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
	j := t.findJob(key)
	if j == nil {
		return model.JobStatus{}, false
	}
	return j.status(), true
}

// MayHaveRun reports whether a request without a record may have run all the same: while the
// records or the reports of a takeover are missing, while an attempt of it is reported, and if
// it may predate the takeover and its template leaves no records of synchronous requests.
func (t *Table) MayHaveRun(now time.Time, key model.RequestKey) bool {
	s := t.shard(key.Shard())
	switch {
	case s == nil || s.frozen || len(s.unmatched[key.Hash()]) > 0:
		return true
	case s.takeoverTime.IsZero() || !s.mayPredateTakeover(key.ID, t.cfg.ClockSkew):
		return false
	case s.recovering:
		return true
	}
	template := t.templates[key.Template]
	unrecorded := template == nil || template.removed || template.Idempotent || s.incomplete
	return unrecorded && now.Sub(s.takeoverTime) <= t.cfg.Retention
}

// Incomplete reports whether records of an earlier owner of the shard are missing that would
// still be kept.
func (t *Table) Incomplete(now time.Time, id model.ShardID) bool {
	s := t.shard(id)
	return s != nil && s.incomplete && now.Sub(s.takeoverTime) <= t.cfg.Retention
}

// Jobs returns the earliest requests that match the filter, ordered by submission.
func (t *Table) Jobs(f Filter) []model.JobStatus {
	first := earliestJobs{limit: f.limit()}
	for _, s := range t.shards {
		if s == nil {
			continue
		}
		for _, j := range s.jobs {
			if first.mayInclude(j) && f.selects(j) {
				first.add(j)
			}
		}
	}
	first.truncate()
	statuses := make([]model.JobStatus, 0, len(first.jobs))
	for _, j := range first.jobs {
		statuses = append(statuses, j.status())
	}
	return statuses
}

// event adds an entry to the event timeline.
func (e *Effects) event(name string, key model.RequestKey, attempt model.AttemptID, detail string) {
	e.Events = append(e.Events, Event{Name: name, Request: key.ID, Attempt: string(attempt), Detail: detail})
}

// answer adds a reply to one waiter.
func (e *Effects) answer(w WaiterID, r model.Reply) {
	e.Answers = append(e.Answers, Answered{Waiter: w, Reply: r})
}
