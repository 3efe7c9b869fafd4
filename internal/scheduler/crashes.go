package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/blame"
	"github.com/agateyard/agateyard/internal/job"
)

// lossNoticeDelay is how long contact must be lost before the loss counts against a queue: a connection may be reset although
// the runner is alive, which the next poll shows, and others that are lost for the same reason are known by then.
const lossNoticeDelay = 250 * time.Millisecond

// survivalTime is how long a long-running task has to run to be cleared of the losses of earlier runners.
const survivalTime = 10 * time.Second

// runnerLoss is a runner that was probably lost with its runs, and the tasks that may have caused it.
type runnerLoss struct {
	runner    RunnerRef
	rack      string
	at        time.Duration
	noticed   bool
	suspected bool // a suspect had just been started there
	common    bool // it was lost together with many others
	proved    bool
	suspects  []*task            // each counts for its gang
	queues    map[string]bool    // of the runs that had just been started there
	chance    map[string]float64 // share of the other runners on which a run of a queue had just been started
}

// crashes holds what is known of runners that were lost with their runs.
type crashes struct {
	losses   blame.Losses
	queues   blame.Queues
	pending  []*runnerLoss              // not noticed yet
	byTask   map[*task][]*runnerLoss    // losses that a task may have caused, while it is active
	unproved map[incarnationKey][]*task // tasks with a crash of an incarnation that may still answer
	faulty   map[string]time.Duration   // last loss without a suspect left, by address
	harmful  map[string]bool            // queues whose new tasks are likely to crash runners; true: they are kept apart
	kept     map[string]keptQueue
}

func newCrashes() crashes {
	return crashes{byTask: map[*task][]*runnerLoss{}, unproved: map[incarnationKey][]*task{}, faulty: map[string]time.Duration{}, kept: map[string]keptQueue{}}
}

// incarnationKey identifies an incarnation of a runner.
type incarnationKey struct {
	runner      string
	incarnation int64
}

// known reports whether any crash is known, which is rare. Without one, passes skip the checks of each task.
func (c *crashes) known() bool {
	return len(c.byTask) > 0 || len(c.unproved) > 0 || len(c.harmful) > 0
}

// counted returns the task under which crashes of a task's runs count: a gang fails as a whole.
func (t *task) counted() *task {
	if t.stage.step.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// crashIsDurable reports whether the losses for which a task or its gang is a suspect are durable. It doesn't start again before:
// the counts of an owner that can't reach the store would be lost with it.
func (t *task) crashIsDurable() bool { return t.stage.job.durable >= t.counted().crashVersion }

// verdict returns what the losses of runners say about a task or its gang.
func (t *task) verdict() blame.Verdict { return blame.Judge(t.counted().crashes) }

// recordLoss records that a runner was probably lost with its runs. The tasks that had just been started there are the
// suspects. If there are none, or nothing is known of the runner's last moments, all that ran there are, but none of them more
// than the others. A runner that drains ends as planned.
func (s *Scheduler) recordLoss(r *runner, aliveUntil time.Duration, closed bool) {
	if r.Draining || r.loss != nil {
		return
	}
	l := &runnerLoss{runner: r.ref(), rack: r.Rack, at: s.now}
	since := aliveUntil - startupTime
	runs := r.sortedRuns(existing)
	active := slices.DeleteFunc(slices.Clone(runs), func(x *run) bool { return x.task.stage.job.finalState != "" })
	suspects := slices.DeleteFunc(slices.Clone(active), func(x *run) bool { return !closed || !x.startedAfter(since) })
	fresh := len(suspects) > 0
	if !fresh {
		suspects = active
	}
	lostRuns := map[*task]*run{}
	for _, x := range suspects {
		t := x.task.counted()
		if lostRuns[t] == nil {
			l.suspects = append(l.suspects, t)
		}
		if lostRuns[t] == nil || lostRuns[t].startConfirmedAt == 0 {
			lostRuns[t] = x
		}
	}
	for _, t := range l.suspects {
		x := lostRuns[t]
		crash := job.Crash{Runner: r.ID, Incarnation: r.incarnation, Run: x.number}
		crash.Started = x.startConfirmedAt > 0
		s.stateChanged(t.stage.job) // durable at once, for a successor: this owner may end before the loss is certain
		if fresh {
			crash.Suspects = len(l.suspects)
			t.crashVersion = t.stage.job.version
		}
		t.crashes = append(t.crashes, crash)
		s.crashes.byTask[t] = append(s.crashes.byTask[t], l)
		s.crashes.unproved[l.key()] = append(s.crashes.unproved[l.key()], t)
	}
	r.loss = l
	if !closed {
		l.noticed = true
		return
	}
	l.suspected = slices.ContainsFunc(runs, func(x *run) bool { return x.risk == riskByTask && x.startedAfter(since) })
	l.queues, l.chance = queuesStarted(runs, since), s.startChances(r, s.now-since)
	s.crashes.losses.Add(blame.Loss{Rack: l.rack, At: l.at, Started: fresh})
	s.crashes.pending = append(s.crashes.pending, l)
	s.isolatedLost(r)
}

func (l *runnerLoss) key() incarnationKey { return incarnationKey{l.runner.ID, l.runner.Incarnation} }

// queuesStarted returns the queues of the runs that were started after the given time. Suspects say nothing about the other
// tasks of their queue.
func queuesStarted(runs []*run, since time.Duration) map[string]bool {
	queues := map[string]bool{}
	for _, x := range runs {
		if x.startedAfter(since) && x.risk != riskByTask {
			queues[x.task.stage.job.spec.Queue] = true
		}
	}
	return queues
}

// startChances returns, by queue, the share of the other runners of the service on which a run was started within the given
// time.
func (s *Scheduler) startChances(lost *runner, within time.Duration) map[string]float64 {
	counts, runners := map[string]float64{}, 0.0
	for _, r := range s.runners {
		if r == lost || r.Service != lost.Service || !r.usable() {
			continue
		}
		runners++
		if s.now-r.lastStartAt > within {
			continue
		}
		for queue := range queuesStarted(r.sortedRuns(existing), s.now-within) {
			counts[queue]++
		}
	}
	for queue := range counts {
		counts[queue] /= runners
	}
	return counts
}

// noticeLosses takes the losses into account that were not taken back at once.
func (s *Scheduler) noticeLosses() {
	for len(s.crashes.pending) > 0 && s.now-s.crashes.pending[0].at >= lossNoticeDelay {
		l := s.crashes.pending[0]
		s.crashes.pending = s.crashes.pending[1:]
		s.noticeLoss(l)
	}
}

func (s *Scheduler) noticeLoss(l *runnerLoss) {
	if l.noticed {
		return
	}
	l.noticed = true
	if l.common = s.hasCommonCause(l); l.common {
		s.blameNone(l)
		return
	}
	if len(l.queues) > 0 || !l.suspected {
		s.crashes.queues.Observe(s.now, l.queues, l.chance)
	}
}

// hasCommonCause reports whether the runner was lost together with many others, as a rack that loses power.
func (s *Scheduler) hasCommonCause(l *runnerLoss) bool {
	rack, fleet := 0, 0
	for _, r := range s.runners {
		fleet++
		if r.Rack == l.rack {
			rack++
		}
	}
	return s.crashes.losses.CommonCause(blame.Loss{Rack: l.rack, At: l.at}, rack, fleet)
}

// crashOn returns a task's crash of an incarnation of a runner; nil if there is none.
func (t *task) crashOn(key incarnationKey) *job.Crash {
	for i := range t.crashes {
		if t.crashes[i].Runner == key.runner && t.crashes[i].Incarnation == key.incarnation {
			return &t.crashes[i]
		}
	}
	return nil
}

// dropCrash removes the loss of an incarnation of a runner from a task's crashes, also for a successor.
func (s *Scheduler) dropCrash(t *task, key incarnationKey) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c job.Crash) bool {
		return c.Runner == key.runner && c.Incarnation == key.incarnation
	})
	if t.stage.job.finalState == "" {
		s.stateChanged(t.stage.job)
	}
	s.crashes.byTask[t] = slices.DeleteFunc(s.crashes.byTask[t], func(l *runnerLoss) bool { return l.key() == key })
	if len(t.crashes) == 0 {
		delete(s.crashes.byTask, t)
		s.emit(SuspectCleared{Task: t.id()})
	}
}

// blameNone records that none of the tasks which ran on a lost runner is a likely cause.
func (s *Scheduler) blameNone(l *runnerLoss) {
	for _, t := range l.suspects {
		if c := t.crashOn(l.key()); c != nil && !c.CommonCause {
			c.Suspects, c.CommonCause = 0, true
			s.stateChanged(t.stage.job)
		}
	}
}

// giveUpCulprit ends the job of a task that must not be started again, and reports whether it did.
func (s *Scheduler) giveUpCulprit(t *task) bool {
	t = t.counted()
	if blame.Judge(t.crashes) != blame.Culprit || slices.ContainsFunc(t.crashes, s.mayBeTakenBack) {
		return false
	}
	runners := make([]string, 0, len(t.crashes))
	for _, c := range t.crashes {
		runners = append(runners, c.Runner)
	}
	s.finish(t.stage.job, job.Failed, fmt.Sprintf("task %s crashed %d runners: %s", t.id(), len(t.crashes), strings.Join(runners, ", ")))
	return true
}

// giveUpCulprits ends the job of a stage if one of its waiting tasks must not be started again: a predecessor may have counted
// its last crash.
func (s *Scheduler) giveUpCulprits(st *stage) bool {
	for _, t := range st.tasks {
		if t.waiting() && s.giveUpCulprit(t) {
			return true
		}
	}
	return false
}

// clearSuspect records that a task, or its gang, has ended on a runner that is sound: it didn't cause the earlier losses.
func (s *Scheduler) clearSuspect(t *task) {
	t = t.counted()
	if len(t.crashes) == 0 {
		return
	}
	t.crashes = nil
	if t.stage.job.finalState == "" {
		s.stateChanged(t.stage.job)
	}
	for _, l := range s.crashes.byTask[t] {
		l.suspects = slices.DeleteFunc(l.suspects, func(other *task) bool { return other == t })
		if len(l.suspects) == 0 && l.proved && !l.common {
			s.forgetFaulty() // addresses that come and go must not accumulate
			s.crashes.faulty[l.runner.Addr] = s.now
			s.emit(RunnerChanged{Runner: l.runner.ID, Change: "crashed by itself", Detail: l.runner.Addr})
		}
	}
	delete(s.crashes.byTask, t)
	s.emit(SuspectCleared{Task: t.id()})
}

// forgetSuspects removes the tasks of a job that has ended from the losses that they may have caused. The others of these
// losses stay suspects unless the job was given up for them.
func (s *Scheduler) forgetSuspects(j *jobState) {
	if len(s.crashes.byTask) == 0 {
		return
	}
	for _, st := range j.stages {
		for _, t := range st.tasks {
			culprit := blame.Judge(t.crashes) == blame.Culprit
			for _, l := range s.crashes.byTask[t] {
				l.suspects = slices.DeleteFunc(l.suspects, func(other *task) bool { return other == t })
				if culprit {
					s.exonerate(l)
				}
			}
			delete(s.crashes.byTask, t)
		}
	}
}

// exonerate drops a loss from the crashes of the tasks that are left as its suspects, as its culprit is known.
func (s *Scheduler) exonerate(l *runnerLoss) {
	for _, t := range l.suspects {
		s.dropCrash(t, l.key())
	}
	l.suspects = nil
}

// restoreCrashes restores the crashes that a predecessor has recorded. Those of a runner that answers this owner in the same
// incarnation are taken back.
func (s *Scheduler) restoreCrashes(st *stage, recorded map[int][]job.Crash) {
	for i, list := range recorded {
		if i >= len(st.tasks) {
			continue
		}
		t := st.tasks[i]
		t.crashes = slices.Clone(list)
		s.crashes.byTask[t] = nil // the losses themselves are not known any more
		for _, c := range list {
			if s.runners[c.Runner] != nil { // the others are certain to have ended
				key := incarnationKey{c.Runner, c.Incarnation}
				s.crashes.unproved[key] = append(s.crashes.unproved[key], t)
			}
		}
	}
}

// faultyMemory is how long a runner's address is avoided by suspects after a loss that no task has caused.
const faultyMemory = time.Minute

// crashesByItself reports whether the runner at an address was lost lately without a task that could have caused it.
func (s *Scheduler) crashesByItself(addr string) bool {
	at, known := s.crashes.faulty[addr]
	return known && s.now-at <= faultyMemory
}

// forgetFaulty drops the addresses that are not avoided any more.
func (s *Scheduler) forgetFaulty() {
	maps.DeleteFunc(s.crashes.faulty, func(_ string, at time.Duration) bool { return s.now-at > faultyMemory })
}
