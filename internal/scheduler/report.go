package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Report is what a runner says of its runs.
type Report struct {
	Runner      string
	Addr        string
	Incarnation int64
	Clock       int64         // reading of the runner's own clock, which orders its reports; milliseconds
	RequestedAt time.Duration // when the report was asked for
	Running     []RunningRun
	Ended       []EndedRun
}

// names returns the runs that the report lists as running or ended.
func (rep *Report) names() map[runKey]bool {
	out := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for _, row := range rep.Running {
		out[runKey{row.Task, row.Run}] = true
	}
	for _, end := range rep.Ended {
		out[runKey{end.Task, end.Run}] = true
	}
	return out
}

// RunningRun is a run that exists on a runner.
type RunningRun struct {
	Task       job.TaskID
	Run        int
	Checkpoint string // last checkpoint
	Usage      int    // processor use of the last half second in thousandths of a core; -1 if not told
}

// EndedRun is a run that is over, until its end is acknowledged.
type EndedRun struct {
	Seq        int64 // counts the ends of one life of a runner
	Task       job.TaskID
	Run        int
	Outcome    string
	Checkpoint string
}

// How a run may end.
const (
	EndDone           = "done"
	EndFailed         = "failed"
	EndStopped        = "stopped"
	EndLeaseExpired   = "lapsed"
	EndGangBroken     = "broken" // another member of the gang ended
	EndGangIncomplete = "alone"  // the other members of the gang didn't arrive
)

// RunnerUnreachable tells that a look at a runner got no answer.
func (s *Scheduler) RunnerUnreachable(id, addr, reason string) {
	r := s.runners[id]
	if r == nil || r.Addr != addr || r.failing {
		return
	}
	r.failing = true
	s.emit(RunnerChanged{Runner: id, Change: "silent", Detail: reason})
}

// Report takes a runner's report into account.
func (s *Scheduler) Report(rep Report) {
	r := s.runners[rep.Runner]
	if r == nil || r.Addr != rep.Addr || rep.Incarnation < r.born {
		return // of an earlier life or address
	}
	if r.born != rep.Incarnation {
		s.newLife(r, rep)
	}
	if r.failing {
		s.emit(RunnerChanged{Runner: r.ID, Change: "answers again"})
		s.fleetChanged()
	}
	r.failing = false
	if rep.Clock < r.lastClock {
		return // overtaken by a later report, which says all that this one does
	}
	r.lastClock = rep.Clock
	seen := s.takeEnds(r, rep.Ended)
	s.takeRunning(r, rep, seen)
	if !r.reached {
		r.reached = true
		s.fleetChanged()
		s.emit(RunnerChanged{Runner: r.ID, Change: "reached"})
	}
	r.inherited = false
	s.needsPass = true
}

// newLife handles a runner that has started again: nothing of before runs there, but an order that got no answer
// may still arrive.
func (s *Scheduler) newLife(r *runner, rep Report) {
	first := r.born == 0
	s.fleetChanged()
	r.born = rep.Incarnation
	s.takeSlot(r)
	r.seenEnd = 0
	r.lastClock = 0
	r.ends = nil
	r.foreign = 0
	r.health = runnerHealth{}
	r.speed = runnerSpeed{}
	if first {
		return
	}
	s.emit(RunnerChanged{Runner: r.ID, Change: "restarted"})
	present := rep.names()
	for _, x := range r.sortedRuns(anyRun) {
		if present[x.key()] {
			continue // ordered just after the restart, it belongs to the new life
		}
		if x.state == runHeld || x.arrived > 0 {
			s.endRun(x, "restarted", "")
			continue
		}
		s.stop(x, "runner restarted before it answered the start")
		x.stopped, x.stopSent = 0, 0 // the new life has to refuse it as well
	}
}

// takeEnds handles the ends that are new and returns the runs that the report names as ended.
func (s *Scheduler) takeEnds(r *runner, ended []EndedRun) map[runKey]bool {
	seen := make(map[runKey]bool, len(ended))
	for _, end := range ended {
		key := runKey{end.Task, end.Run}
		seen[key] = true
		if end.Seq <= r.seenEnd {
			continue
		}
		r.seenEnd = end.Seq
		s.takeEnd(r, key, end)
	}
	return seen
}

func (s *Scheduler) takeEnd(r *runner, key runKey, end EndedRun) {
	x := r.runs[key]
	if x == nil {
		x = s.adopt(r, key) // ended before this owner saw it run
	}
	if x == nil {
		return
	}
	j := x.task.stage.job
	before := j.version
	s.endRun(x, end.Outcome, end.Checkpoint)
	if j.version != before || j.durable < j.version && (end.Outcome == EndDone || end.Outcome == EndFailed) {
		r.ends = append(r.ends, pendingEnd{number: end.Seq, job: j, version: j.version})
	}
}

// takeRunning compares the runs that exist with those that are charged.
func (s *Scheduler) takeRunning(r *runner, rep Report, ended map[runKey]bool) {
	listed := make(map[runKey]bool, len(rep.Running))
	r.foreign = 0
	for _, row := range rep.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		x := r.runs[key]
		if x == nil {
			x = s.adoptRunning(r, key)
		}
		if x == nil {
			r.foreign++
			s.emit(StopRun{Runner: r.ref(), Task: key.task, Run: key.run, Reason: "not a run of a job that goes on"})
			continue
		}
		s.seenRunning(x, row)
	}
	gone := r.sortedRuns(func(x *run) bool {
		return x.certainAt() > 0 && x.certainAt() < rep.RequestedAt && !listed[x.key()] && !ended[x.key()]
	})
	for _, x := range gone {
		s.endRun(x, "gone", "") // answered before the report was asked for, and not in it
	}
}

func (s *Scheduler) seenRunning(x *run, row RunningRun) {
	if x.state == runStarting {
		x.state = runRunning
	}
	if x.arrived == 0 {
		x.arrived = s.now
	}
	if row.Checkpoint != "" {
		x.task.saved = row.Checkpoint
	}
	s.watchProgress(x, row.Usage)
}

// adopt accounts for a run that a predecessor has started; nil if its job doesn't go on.
func (s *Scheduler) adopt(r *runner, key runKey) *run {
	j := s.jobs[key.task.Job]
	if j == nil || j.final != "" || key.task.Step >= len(j.spec.Steps) || key.task.Occurrence >= j.spec.OccurrenceCount() {
		return nil
	}
	st := s.stageOf(j, key.task.Occurrence, key.task.Step)
	if key.task.Index >= len(st.tasks) {
		return nil
	}
	t := st.tasks[key.task.Index]
	t.lastRun = max(t.lastRun, key.run)
	x := &run{task: t, number: key.run, runner: r, charge: st.step.Reserved(), state: runRunning, ordered: s.now, arrived: s.now, resumed: true}
	r.runs[key] = x
	r.used = r.used.Add(x.charge)
	j.begun = true
	if t.current == nil && !t.done {
		t.current = x
	}
	return x
}

func (s *Scheduler) adoptRunning(r *runner, key runKey) *run {
	x := s.adopt(r, key)
	if x == nil {
		return nil
	}
	if x.task.current != x {
		s.stop(x, "another run of the task counts")
	}
	return x
}

// sortedRuns returns the runs that match in a fixed order, so that decisions can be replayed.
func (r *runner) sortedRuns(match func(*run) bool) []*run {
	var out []*run
	for _, x := range r.runs {
		if match(x) {
			out = append(out, x)
		}
	}
	if len(out) > 1 {
		slices.SortFunc(out, compareRuns)
	}
	return out
}

func compareRuns(x, y *run) int {
	a, b := x.task, y.task
	return cmp.Or(
		strings.Compare(a.stage.id.Job, b.stage.id.Job),
		cmp.Compare(a.stage.id.Occurrence, b.stage.id.Occurrence),
		cmp.Compare(a.stage.id.Step, b.stage.id.Step),
		cmp.Compare(a.index, b.index),
		cmp.Compare(x.number, y.number),
	)
}

func anyRun(*run) bool { return true }
