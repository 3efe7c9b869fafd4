// Package scheduler decides which task runs on which runner. It performs no I/O: inputs are method calls, outputs are
// effects, and time is passed in.
package scheduler

import (
	"sort"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// Scheduler is the state of one owner: jobs, runners and the runs between them.
type Scheduler struct {
	cfg        Config
	now        time.Duration // steady clock that also counts suspension
	wall       time.Time
	runBase    int // runs of this owner have higher numbers than those of its predecessors
	queues     map[string]Queue
	jobs       map[string]*jobState
	runners    map[string]*runner
	stages     map[job.StepID]*stage
	models     map[string]*runtimeModel // by queue
	desk       *AdviceDispatcher
	open       []*stage // stages with waiting tasks
	timed      []*jobState
	dirty      map[string]*jobState
	shares     map[string]float64 // of good runners, by queue
	byRoom     []*runner          // usable runners, those with the most free cores first
	effects    []Effect
	nextSlot   int
	passes     int
	lastFull   time.Duration // last pass over all stages
	fleet      int           // version of the set of runners and their lives
	scratch    []*runner
	mostFree   model.Resources
	mostlyFree bool      // half of the usable cores or more are free
	order      []*runner // the runners by identifier; nil if it has to be made anew
	takenOver  time.Duration
	needsPass  bool
	expired    []string    // jobs whose records may be deleted
	finals     []*jobState // in the order in which they ended
}

// runsPerOwner separates the run numbers of successive owners: more starts of one task than this are not made
// within one ownership.
const runsPerOwner = 1000

// New returns the scheduler of an owner. term counts ownerships from 1.
func New(cfg Config, term int64, now time.Duration, wall time.Time) *Scheduler {
	return &Scheduler{
		cfg:       cfg,
		now:       now,
		wall:      wall,
		runBase:   int(term-1) * runsPerOwner,
		queues:    map[string]Queue{},
		jobs:      map[string]*jobState{},
		runners:   map[string]*runner{},
		stages:    map[job.StepID]*stage{},
		models:    map[string]*runtimeModel{},
		desk:      NewAdviceDispatcher(),
		shares:    map[string]float64{},
		dirty:     map[string]*jobState{},
		takenOver: now,
	}
}

// Advance moves the clocks on.
func (s *Scheduler) Advance(now time.Duration, wall time.Time) {
	s.now = max(s.now, now)
	s.wall = wall
}

// Dispatcher returns the machines that advice calls are made from.
func (s *Scheduler) Dispatcher() *AdviceDispatcher { return s.desk }

// Effects returns what is to be done since the last call.
func (s *Scheduler) Effects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// SetQueues replaces the operators' settings. Jobs of a queue that is gone keep the last ones.
func (s *Scheduler) SetQueues(queues []Queue) {
	s.queues = make(map[string]Queue, len(queues))
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	for _, j := range s.jobs {
		if q, ok := s.queues[j.spec.Queue]; ok {
			j.queue = q
		}
	}
	s.needsPass = true
}

// Tick handles what is due by time alone.
func (s *Scheduler) Tick() {
	s.openDue()
	s.lapseRunners()
	s.repeatStops()
	s.evacuate()
	s.removeOldFinals()
	s.needsPass = true
}

// Pending counts accepted jobs by queue of which nothing has started.
func (s *Scheduler) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range s.jobs {
		if j.final == "" && j.stored && !j.begun {
			out[j.spec.Queue]++
		}
	}
	return out
}

// State returns what callers are told of a job; ok is false if it isn't known. A state that isn't durable
// yet is not shown.
func (s *Scheduler) State(id string) (state job.State, ok bool) {
	j := s.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	if j.final != "" && j.durable < j.version {
		return job.Running, true
	}
	return j.state(), true
}

func (s *Scheduler) removeOldFinals() {
	for len(s.finals) > 0 {
		j := s.finals[0]
		if s.wall.UnixMilli()-j.finished < s.cfg.StatusRetention.Milliseconds() || j.durable < j.version {
			return
		}
		s.finals = s.finals[1:]
		delete(s.jobs, j.spec.ID)
		s.expired = append(s.expired, j.spec.ID)
	}
}

// TakeExpired returns up to limit jobs whose final state has been kept for long enough; their records may be deleted.
func (s *Scheduler) TakeExpired(limit int) []string {
	n := min(limit, len(s.expired))
	out := s.expired[:n:n]
	s.expired = s.expired[n:]
	return out
}

// Stats are figures for metrics and status pages.
type Stats struct {
	ActiveJobs, OpenStages, WaitingTasks, Runs, Runners, UsableRunners int
	UsedCPU, CapacityCPU                                               int64 // thousandths of a core
}

// Stats returns the current figures.
func (s *Scheduler) Stats() Stats {
	var st Stats
	for _, j := range s.jobs {
		if j.final == "" {
			st.ActiveJobs++
		}
	}
	for _, stage := range s.open {
		st.OpenStages++
		st.WaitingTasks += stage.waitingTasks()
	}
	for _, r := range s.runners {
		st.Runners++
		st.Runs += len(r.runs)
		if r.usable() {
			st.UsableRunners++
			st.UsedCPU += min(r.used.CoresMilli, r.Capacity.CoresMilli) // more is held while preempted runs end
			st.CapacityCPU += r.Capacity.CoresMilli
		}
	}
	return st
}

// sortedRunners returns the runners in a fixed order, so that decisions can be replayed.
func (s *Scheduler) sortedRunners() []*runner {
	if s.order == nil {
		s.order = make([]*runner, 0, len(s.runners))
		for _, r := range s.runners {
			s.order = append(s.order, r)
		}
		sort.Slice(s.order, func(i, k int) bool { return s.order[i].ID < s.order[k].ID })
	}
	return s.order
}

// fleetChanged notes that runners or their lives have come or gone.
func (s *Scheduler) fleetChanged() {
	s.fleet++
	s.order = nil
	s.needsPass = true
}

// Durable returns the version of a job's state and the version that is durable.
func (s *Scheduler) Durable(id string) (version, durable int64, known bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.version, j.durable, true
}

// Acknowledged returns the number of the last end of a runner that may be forgotten.
func (s *Scheduler) Acknowledged(id string) int64 {
	r := s.runners[id]
	if r == nil {
		return 0
	}
	return r.acknowledged()
}

// Stored reports whether a job's acceptance is durable.
func (s *Scheduler) Stored(id string) bool {
	j := s.jobs[id]
	return j != nil && j.stored
}
