//go:build review

package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Bounds of the settings that the judge applies.
const (
	cancelBound = 3 * time.Second        // cancel_ms
	earlyBound  = 250 * time.Millisecond // early_ms
)

// taskHistory is what runners have seen of a task.
type taskHistory struct {
	starts  int
	running map[string]int     // runs by runner
	done    map[string]doneRun // by runner and run
	saved   map[string]bool    // checkpoints
	again   []string           // ends done before the later starts
	wasDone bool
	failed  int
	crashed int
}

type doneRun struct {
	runner string
	at     time.Duration
	noted  bool // it was acknowledged without a lapse of the lease before
}

// Judge holds what runners have seen.
type Judge struct {
	rec    *Record
	mu     sync.Mutex
	jobs   map[string]*Job
	tasks  map[taskID]*taskHistory
	lapsed map[string]time.Duration // when the lease of a runner last lapsed

	Broken map[string][]string // by rule
	Starts int
	Lapses int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge(rec *Record) *Judge {
	return &Judge{
		rec: rec, jobs: map[string]*Job{}, tasks: map[taskID]*taskHistory{}, lapsed: map[string]time.Duration{}, Broken: map[string][]string{},
	}
}

// Expect registers a job before it is sent.
func (j *Judge) Expect(job *Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[job.ID] = job
}

// find returns the job, the step and the history of a task that a client has sent. The caller holds the lock.
func (j *Judge) find(name string) (id taskID, job *Job, step *Step, t *taskHistory) {
	id, ok := parseTask(name)
	job = j.jobs[id.job]
	if !ok || job == nil || id.step >= len(job.Steps) || id.occurrence >= job.occurrences() || id.index >= job.Steps[id.step].Count {
		return id, nil, nil, nil
	}
	return id, job, &job.Steps[id.step], j.history(id)
}

func (j *Judge) history(id taskID) *taskHistory {
	t := j.tasks[id]
	if t == nil {
		t = &taskHistory{running: map[string]int{}, done: map[string]doneRun{}, saved: map[string]bool{}}
		j.tasks[id] = t
	}
	return t
}

// StepOf returns the step of a task; ok is false if nobody sent it.
func (j *Judge) StepOf(name string) (step Step, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, s, _ := j.find(name)
	if s == nil {
		return Step{Count: 1, Length: time.Second}, false
	}
	step = *s
	step.Length += step.Spread * time.Duration(id.index) / time.Duration(step.Count)
	return step, true
}

// Started records a start on a runner of which so much is in use with it.
func (j *Judge) Started(r *Runner, x *activeRun, in call, cpu, mem int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Starts++
	j.rec.Limited("starts", "runner %s starts %s run %d, fence %d; in use: cpu %d of %d", r.ID, x.task, x.run, in.Fence, cpu, r.kind.CPU)
	id, job, step, t := j.find(x.task)
	if t == nil || in.Spec != job.spec() {
		j.broken("UNASKED", "%s starts %s, which nobody sent", r.ID, x.task)
		return
	}
	t.starts++
	if cpu > r.kind.CPU || mem > r.kind.Mem {
		j.broken("LIMIT", "the start of %s run %d brings %s (kind %s) to cpu %d of %d, mem-mb %d of %d", x.task, x.run, r.ID, r.kind.Label, cpu, r.kind.CPU, mem, r.kind.Mem)
	}
	if step.Label != "" && step.Label != r.kind.Label {
		j.broken("ROUTE", "%s run %d requires the label %s and starts on %s, which has %s", x.task, x.run, step.Label, r.ID, r.kind.Label)
	}
	if step.MaxPerServer > 0 {
		beside := 1
		for i := range step.Count {
			other := taskID{id.job, id.occurrence, id.step, i}
			if _, here := j.history(other).running[r.ID]; here && i != id.index {
				beside++
			}
		}
		if beside > step.MaxPerServer {
			j.broken("ROUTE", "%s run %d is the %dth of its step on %s, allowed are %d", x.task, x.run, beside, r.ID, step.MaxPerServer)
		}
	}
	for other, run := range t.running {
		if !step.Speculative {
			j.broken("TWICE", "%s run %d starts on %s while run %d is on %s", x.task, x.run, r.ID, run, other)
		}
	}
	if in.Checkpoint != "" && !j.savedBy(id, step, in.Checkpoint) {
		j.broken("UNASKED", "%s run %d starts with the checkpoint %s, which isn't the task's", x.task, x.run, in.Checkpoint)
	}
	j.checkOrder(id, job, step)
	if job.Cancelled > 0 && j.rec.Now() > job.Cancelled+cancelBound {
		j.broken("UNASKED", "%s run %d starts %s after the job's cancelling was acknowledged", x.task, x.run, j.rec.Now()-job.Cancelled)
	}
	if t.failed >= attempts && !step.Daemon && !step.Gang && !step.Speculative {
		j.broken("BUDGET", "%s run %d starts after %d ends failed", x.task, x.run, t.failed)
	}
	t.running[r.ID] = x.run
	for done, d := range t.done {
		if !step.Daemon && !step.Speculative {
			t.again = append(t.again, done)
			j.rec.Limited("second starts", "%s run %d starts on %s; %s ended done at %.3f", x.task, x.run, r.ID, done, d.at.Seconds())
		}
	}
}

func (j *Judge) savedBy(id taskID, step *Step, checkpoint string) bool {
	if !step.Gang {
		return j.history(id).saved[checkpoint]
	}
	for i := range step.Count {
		if j.history(taskID{id.job, id.occurrence, id.step, i}).saved[checkpoint] {
			return true
		}
	}
	return false
}

// checkOrder checks that the steps before have ended and that an occurrence is due. The caller holds the lock.
func (j *Judge) checkOrder(id taskID, job *Job, step *Step) {
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			earlier := taskID{id.job, id.occurrence, before, i}
			if !j.history(earlier).wasDone && !job.Steps[before].Gang {
				j.broken("ORDER", "%s starts before %s has ended done", id, earlier)
			}
		}
	}
	if job.Times > 0 {
		if early := time.Until(job.Start.Add(time.Duration(id.occurrence) * job.Interval)); early > earlyBound {
			j.broken("ORDER", "%s starts %s before its time", id, early)
		}
	}
}

func (j *Judge) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	j.Broken[rule] = append(j.Broken[rule], text)
	j.rec.Limited("broken rules", "%s", text)
}

// Of returns the breaches of the given rules.
func (j *Judge) Of(rules ...string) (lines []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, rule := range rules {
		lines = append(lines, j.Broken[rule]...)
	}
	return lines
}

// Saved records a checkpoint.
func (j *Judge) Saved(task, checkpoint string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, _, _, t := j.find(task); t != nil {
		t.saved[checkpoint] = true
	}
}

// Ended records the end of a run.
func (j *Judge) Ended(runner string, x *activeRun, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rec.Limited("ends", "runner %s: %s run %d ends %s", runner, x.task, x.run, how)
	_, _, _, t := j.find(x.task)
	if t == nil {
		return
	}
	delete(t.running, runner)
	switch how {
	case "done":
		t.wasDone = true
		t.done[runName(runner, x.task, x.run)] = doneRun{runner: runner, at: j.rec.Now()}
	case "failed":
		t.failed++
	case "crashed":
		t.crashed++
	}
}

func runName(runner, task string, run int) string {
	return task + " run " + strconv.Itoa(run) + " on " + runner
}

// Lapsed records that a runner holds no lease, and how many runs it has lost by that.
func (j *Judge) Lapsed(runner string, runs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if runs > 0 {
		j.Lapses++
	}
	j.lapsed[runner] = j.rec.Now()
}

// Forgotten records that a runner has crashed with an end that was not acknowledged.
func (j *Judge) Forgotten(runner string, e endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, _, _, t := j.find(e.task); t != nil {
		delete(t.done, runName(runner, e.task, e.run))
		t.again = slices.DeleteFunc(t.again, func(done string) bool { return done == runName(runner, e.task, e.run) })
	}
}

// Acked records that an end has been acknowledged.
func (j *Judge) Acked(runner string, e endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rec.Limited("acknowledged ends", "runner %s: the end of %s run %d (%s) is acknowledged", runner, e.task, e.run, e.how)
	_, _, _, t := j.find(e.task)
	if t == nil || e.how != "done" {
		return
	}
	done := runName(runner, e.task, e.run)
	if d, seen := t.done[done]; seen && j.lapsed[runner] <= d.at {
		d.noted = true
		t.done[done] = d
		return
	}
	// The lease lapsed between the end and its acknowledgement: the end doesn't count.
	delete(t.done, done)
	t.again = slices.DeleteFunc(t.again, func(other string) bool { return other == done })
}

// StartedAgain returns the tasks that were started after a run had ended done, where that end was taken note of.
func (j *Judge) StartedAgain() (tasks []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, t := range j.tasks {
		for _, done := range t.again {
			if t.done[done].noted {
				tasks = append(tasks, fmt.Sprintf("TWICE: %s has started %d times, also after %s had ended done", id, t.starts, done))
				break
			}
		}
	}
	return tasks
}

// Begun reports whether a task of a job has started.
func (j *Judge) Begun(job *Job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, t := range j.tasks {
		if id.job == job.ID && t.starts > 0 {
			return true
		}
	}
	return false
}

// Ends returns the highest number of ends failed, and of crashes, of one task of a job, and how many tasks have no end done.
func (j *Judge) Ends(job *Job) (failed, crashed, open int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	total := 0
	for _, s := range job.Steps {
		total += s.Count * job.occurrences()
	}
	done := 0
	for id, t := range j.tasks {
		if id.job != job.ID {
			continue
		}
		failed, crashed = max(failed, t.failed), max(crashed, t.crashed)
		if t.wasDone {
			done++
		}
	}
	return failed, crashed, total - done
}

// Running reports whether a run of a task exists.
func (j *Judge) Running(id taskID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.history(id).running) > 0
}

// StartCount returns how many runs have started.
func (j *Judge) StartCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Starts
}
