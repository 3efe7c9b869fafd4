// Package scheduler decides which task runs on which runner. It performs no I/O: inputs are method calls, outputs are
// effects, and time is passed in.
package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// Scheduler holds the scheduling state of one owner: jobs, runners and the runs that link them.
type Scheduler struct {
	cfg            Config
	now            time.Duration // monotonic clock that includes the time that the machine was suspended
	wall           time.Time
	runNumberBase  int // the run numbers of this owner are higher than those of its predecessors
	queues         map[string]Queue
	queueSettings  map[string]*job.QueueSettings // stored form of queues
	jobs           map[string]*jobState
	runners        map[string]*runner
	stages         map[job.StepID]*stage
	runtimeModels  map[string]*runtimeModel // by queue
	tenants        tenants
	shares         shares
	dispatcher     *AdviceDispatcher
	openStages     []*stage // also those whose tasks are all running; see stage.open
	scheduledJobs  []*jobState
	dirty          map[string]*jobState
	eligibleShares map[string]float64       // measured share of eligible runners, by queue
	adviceCosts    map[string]time.Duration // measured duration of all advice calls of a stage, by queue
	load           pendingLoad
	byFreeCores    []*runner // usable runners, most free cores first, as of the last pass
	effects        []Effect
	nextSlot       int
	passCount      int
	lastFullPass   time.Duration // time of the last pass over all stages
	fleetVersion   int           // incremented by runnersChanged
	candidateBuf   []*runner
	maxFree        model.Resources    // largest free amount of each resource on a usable runner, as of the last pass
	mostlyFree     bool               // at least half of the usable cores are free
	anyProbing     bool               // a usable runner is in quarantine or probed, as of the last pass
	mostlyAccused  map[runnerSet]bool // as of this pass; see isMostlyAccused
	// mostlyFreeSince is when at least half of the usable cores became free; meaningful only while they are.
	mostlyFreeSince time.Duration
	freeServices    map[string]time.Duration // since when at least half of the usable cores of a service have been free, if they are
	overdueAdviceAt time.Duration            // when advice was last requested for a deferred stage before more urgent ones
	waitsCheckedAt  time.Duration            // when long waits were last looked for
	fleetSpeed      fleetSpeed
	failures        fleetFailures
	runnersByID     []*runner // cached list of the runners, sorted by identifier; nil if outdated
	takenOverAt     time.Duration
	discoveryRead   bool // all runners in discovery have been listed once
	needsPass       bool
	heldBack        bool // the stage that passStage has just visited waits for its tenant's limits
	claimed         int  // runners that gangs have claimed in this pass
	startBudget     int  // number of starts that may be sent now
	startBacklog    startBacklog
	orderBuf        []*runner
	adviceRefusals  map[string]int // requests of a queue that no machine took in this pass
	searches        int            // for runners to request advice about, for tests
	unsettled       []*run         // runs that a poll has to find
	crashes         crashes
	isolations      map[isolationKey]*isolation
	unsent          []*run      // runs whose start requests this process could not send
	expired         []string    // jobs whose records may be deleted
	finalJobs       []*jobState // in the order in which they finished
}

// runsPerOwner is the range of run numbers of one ownership. An owner is assumed to use no more numbers than this for one
// task, including those of reserved runs that were never started, so the numbers of successive owners don't overlap.
const runsPerOwner = 1000

// New returns the scheduler of an owner. term is the sequence number of the ownership and starts at 1.
func New(cfg Config, term int64, now time.Duration, wall time.Time) *Scheduler {
	return &Scheduler{
		cfg:            cfg,
		now:            now,
		wall:           wall,
		runNumberBase:  int(term-1) * runsPerOwner,
		queues:         map[string]Queue{},
		jobs:           map[string]*jobState{},
		runners:        map[string]*runner{},
		stages:         map[job.StepID]*stage{},
		runtimeModels:  map[string]*runtimeModel{},
		dispatcher:     NewAdviceDispatcher(),
		eligibleShares: map[string]float64{},
		adviceCosts:    map[string]time.Duration{},
		load:           newPendingLoad(),
		dirty:          map[string]*jobState{},
		crashes:        newCrashes(),
		isolations:     map[isolationKey]*isolation{},
		freeServices:   map[string]time.Duration{},
		takenOverAt:    now,
		startBudget:    math.MaxInt,
		adviceRefusals: map[string]int{},
		mostlyAccused:  map[runnerSet]bool{},
	}
}

// Advance sets the current time.
func (s *Scheduler) Advance(now time.Duration, wall time.Time) {
	s.now = max(s.now, now)
	s.wall = wall
}

// Dispatcher returns the dispatcher of advice calls.
func (s *Scheduler) Dispatcher() *AdviceDispatcher { return s.dispatcher }

// Effects returns the effects that were emitted since the last call.
func (s *Scheduler) Effects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// SetQueues replaces the queue settings. Jobs of a removed queue keep the last settings of their queue.
func (s *Scheduler) SetQueues(queues []Queue) {
	s.queues = make(map[string]Queue, len(queues))
	s.queueSettings = make(map[string]*job.QueueSettings, len(queues))
	for _, q := range queues {
		s.queues[q.Name] = q
		s.queueSettings[q.Name] = q.settings()
	}
	for _, j := range s.jobs {
		unknown := j.settings == nil
		s.setQueue(j, nil)
		if unknown {
			j.objective = s.objectiveOf(&j.spec, &j.queue)
		}
	}
	s.needsPass = true
}

// setQueue gives a job the settings of its queue or, if the configuration has no such queue, those that its record holds.
func (s *Scheduler) setQueue(j *jobState, stored *job.QueueSettings) {
	q, ok := s.queues[j.spec.Queue]
	switch {
	case ok:
		j.queue, j.settings = q, s.queueSettings[q.Name]
	case j.settings == nil:
		j.queue, j.settings = storedQueue(j.spec.Queue, stored), stored
	}
}

// Tick runs the periodic, time-driven work.
func (s *Scheduler) Tick() {
	s.openDueOccurrences()
	s.expireLeases()
	s.noticeLosses()
	s.pollStartingSuspects()
	s.resendStarts()
	s.stopUnsettled()
	s.resendStops()
	s.evacuateRuns()
	s.removeExpiredJobs()
	s.promoteExcess()
	s.endWaits()
	s.removeUnusedTenants()
	s.needsPass = true
}

// Pending returns the number of accepted jobs that have not started, by queue.
func (s *Scheduler) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range s.jobs {
		if j.finalState == "" && j.stored && !j.started {
			out[j.spec.Queue]++
		}
	}
	return out
}

// State returns the state of a job as reported to callers; ok is false if the job is unknown or its acceptance is not
// durable yet. A final state is reported only once it is durable; until then, the job is reported as running.
func (s *Scheduler) State(id string) (state job.State, ok bool) {
	j := s.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	if j.finalState != "" && j.durable < j.version {
		return job.Running, true
	}
	return j.state(), true
}

func (s *Scheduler) removeExpiredJobs() {
	for len(s.finalJobs) > 0 {
		j := s.finalJobs[0]
		if s.wall.UnixMilli()-j.finishedAt < s.cfg.StatusRetention.Milliseconds() || j.durable < j.version {
			return
		}
		s.finalJobs = s.finalJobs[1:]
		delete(s.jobs, j.spec.ID)
		s.expired = append(s.expired, j.spec.ID)
	}
}

// TakeExpired removes and returns up to limit jobs whose retention time has passed; their records may be deleted.
func (s *Scheduler) TakeExpired(limit int) []string {
	n := min(limit, len(s.expired))
	out := s.expired[:n:n]
	s.expired = s.expired[n:]
	return out
}

// Stats are figures for metrics and status pages.
type Stats struct {
	ActiveJobs, OpenStages, WaitingTasks, Runs, Runners, UsableRunners int
	IsolatedRunners                                                    int           // set apart for tasks that may crash them
	UsedCPU, CapacityCPU                                               int64         // millicores
	Tenants                                                            []TenantStats // those with the most usage, and "other"
}

// Stats returns the current figures.
func (s *Scheduler) Stats() Stats {
	st := Stats{Tenants: s.tenantStats()}
	for _, j := range s.jobs {
		if j.finalState == "" {
			st.ActiveJobs++
		}
	}
	for _, stage := range s.openStages {
		st.OpenStages++
		st.WaitingTasks += stage.waitingTasks()
	}
	for _, r := range s.runners {
		st.Runners++
		st.Runs += len(r.runs)
		if r.isolation != nil {
			st.IsolatedRunners++
		}
		if r.usable() {
			st.UsableRunners++
			st.UsedCPU += min(r.used.CoresMilli, r.Capacity.CoresMilli) // more may be reserved while preempted runs end
			st.CapacityCPU += r.Capacity.CoresMilli
		}
	}
	return st
}

// sortedRunners returns the runners in a fixed order, which makes decisions reproducible.
func (s *Scheduler) sortedRunners() []*runner {
	if s.runnersByID == nil {
		s.runnersByID = make([]*runner, 0, len(s.runners))
		for _, r := range s.runners {
			s.runnersByID = append(s.runnersByID, r)
		}
		sort.Slice(s.runnersByID, func(i, k int) bool { return s.runnersByID[i].ID < s.runnersByID[k].ID })
	}
	return s.runnersByID
}

// runnersChanged records that runners were added, removed or restarted, or have reported for the first time or again
// after they were unreachable.
func (s *Scheduler) runnersChanged() {
	s.fleetVersion++
	s.runnersByID = nil
	s.needsPass = true
}

// Durable returns the current version of a job's state and the last version that is durable.
func (s *Scheduler) Durable(id string) (version, durable int64, known bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.version, j.durable, true
}

// Acknowledged returns the sequence number up to which a runner may discard its run ends.
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
