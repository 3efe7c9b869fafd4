package scheduler

import (
	"maps"
	"slices"

	"github.com/agateyard/agateyard/internal/blame"
	"github.com/agateyard/agateyard/internal/job"
)

// noIncarnation is no incarnation of any runner.
const noIncarnation = 0

// takeBackLoss drops the loss of an incarnation of a runner that has answered again.
func (s *Scheduler) takeBackLoss(r *runner) {
	key := incarnationKey{r.ID, r.incarnation}
	for _, t := range s.crashes.unproved[key] {
		if t.crashOn(key) != nil {
			s.dropCrash(t, key)
		}
	}
	delete(s.crashes.unproved, key)
	if l := r.loss; l != nil {
		l.noticed, l.suspects, r.loss = true, nil, nil
	}
}

// proveLoss records that all incarnations of a runner but the given one have ended with all their runs, and gives up the jobs of
// the tasks that have caused it. The runs have been ended by the caller, so that their tasks could start again.
func (s *Scheduler) proveLoss(r *runner, but int64) {
	s.proveOthers(r.ID, but)
	l := r.loss
	if l == nil {
		return
	}
	r.loss = nil
	s.noticeLoss(l)
	l.proved = true
	for _, t := range slices.Clone(l.suspects) {
		crash := t.crashOn(l.key())
		if crash == nil || t.stage.job.finalState != "" {
			continue
		}
		verdict := blame.Judge(t.crashes)
		s.emit(CrashCounted{
			Task: t.id(), Run: crash.Run, Runner: l.runner.ID, Suspects: l.suspectNames(), CommonCause: l.common,
			Crashes: len(t.crashes), Verdict: verdict,
		})
		s.giveUpCulprit(t)
	}
}

// proveOthers records that all incarnations of a runner but the given one have ended.
func (s *Scheduler) proveOthers(id string, but int64) {
	maps.DeleteFunc(s.crashes.unproved, func(key incarnationKey, _ []*task) bool {
		return key.runner == id && key.incarnation != but
	})
}

func (l *runnerLoss) suspectNames() []string {
	names := make([]string, 0, len(l.suspects))
	for _, t := range l.suspects {
		names = append(names, t.id().String())
	}
	return names
}

// mayBeTakenBack reports whether the runner of a crash may still answer in the same incarnation.
func (s *Scheduler) mayBeTakenBack(c job.Crash) bool {
	return len(s.crashes.unproved[incarnationKey{c.Runner, c.Incarnation}]) > 0
}
