package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxClaimedShare limits the share of the runners that several gangs may claim at the same time.
	maxClaimedShare = 0.5
	// maxLastingHold is how long tasks that last wait for room that is claimed. They must be at work again within seconds, and a
	// gang may wait for minutes.
	maxLastingHold = 2 * time.Second
)

// claimRunners claims room on runners for a gang until it is free. Work that is less urgent may take what the gang doesn't need, and
// backfill the rest: place runs that are expected to end before the gang starts. A gang that would not fit if all runs with an
// expected end had ended claims nothing.
func (s *Scheduler) claimRunners(st *stage, candidates, runners []*runner) {
	if s.claimed > 0 && float64(s.claimed+1) > maxClaimedShare*float64(len(runners)) {
		return // whatever the gang needs
	}
	for _, r := range candidates {
		r.claimable = r.claimedBy == nil
	}
	need, patience := st.step.Reserved(), s.latePatience(st)
	if !s.claimIsValid(st, patience) {
		var free []*runner
		for _, r := range candidates {
			if r.claimable {
				free = append(free, r)
			}
		}
		st.claims = s.planGang(st, free, gangRoom{later: true, wholeProbes: s.needsWholeProbes(st, free)})
	}
	for _, r := range candidates {
		r.claimable = false
	}
	if s.claimed > 0 && float64(s.claimed+len(st.claims)) > maxClaimedShare*float64(len(runners)) {
		return
	}
	s.claimed += len(st.claims)
	ready := s.now
	for _, c := range st.claims {
		ready = max(ready, s.roomAt(c.runner, need.Scale(int64(c.count)), patience))
	}
	for _, c := range st.claims {
		c.runner.claimedBy = st
		c.runner.claimStart = ready
		c.runner.claimSpare = s.freeAt(c.runner, ready, patience).Sub(need.Scale(int64(c.count)))
	}
}

// claimIsValid reports whether the gang has claimed runners, all of them are still usable for it, and all members will fit there: runners
// may have shrunk, and runs may have turned out to have no end in sight.
func (s *Scheduler) claimIsValid(st *stage, patience time.Duration) bool {
	need, members := st.step.Reserved(), 0
	for _, c := range st.claims {
		if !c.runner.claimable || !need.Scale(int64(c.count)).Fits(s.roomLater(c.runner, patience)) {
			return false
		}
		members += c.count
	}
	return members >= len(st.tasks)
}

// mayPlace reports whether a stage may place a task of the given run time on a runner. On a runner that is claimed by a
// gang, the task has to end before the gang is expected to start, or to fit beside the gang.
func (s *Scheduler) mayPlace(st *stage, r *runner, runtime time.Duration) bool {
	return r.claimedBy == nil || r.claimedBy == st || s.backfills(st, r, runtime) || st.step.Reserved().Fits(r.claimSpare) || s.ignoresClaims(st)
}

// ignoresClaims reports whether the tasks of a stage last, and have waited for as long as claims may hold them back.
func (s *Scheduler) ignoresClaims(st *stage) bool {
	return st.step.LongRunning && st.wait.since > 0 && s.now-st.wait.since >= maxLastingHold
}

// backfills reports whether a task that is placed on a claimed runner now is expected to end before the gang starts.
func (s *Scheduler) backfills(st *stage, r *runner, runtime time.Duration) bool {
	return !st.step.LongRunning && s.now+runtime < r.claimStart
}

// roomNow returns what a gang of the given run time may use on a runner now, with regard to the claim of another gang.
func (s *Scheduler) roomNow(st *stage, r *runner, runtime time.Duration) model.Resources {
	if r.claimedBy == nil || r.claimedBy == st || s.backfills(st, r, s.onRunner(runtime, r)) || s.ignoresClaims(st) {
		return r.free()
	}
	return r.free().Min(r.claimSpare)
}

// placedBesideClaim records that a run takes room on a runner that another gang has claimed.
func (s *Scheduler) placedBesideClaim(x *run) {
	r, st := x.runner, x.task.stage
	if r.claimedBy != nil && r.claimedBy != st && !s.backfills(st, r, s.onRunner(s.expectedRunTime(st), r)) {
		r.claimSpare = r.claimSpare.Sub(x.reserved)
	}
}
