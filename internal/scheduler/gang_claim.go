package scheduler

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxClaimedShare limits the share of the runners that several gangs may claim at the same time.
	maxClaimedShare = 0.5
	// maxClaimHold is how long claims hold back tasks that last, and other work on a service of which at least half is free unless the
	// gang is expected to start soon. Work that has room must not wait for 3 s.
	maxClaimHold = 2 * time.Second
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
	return r.claimedBy == nil || r.claimedBy == st || s.backfills(st, r, runtime) || st.step.Reserved().Fits(r.claimSpare) || s.passesClaim(st, r)
}

// passesClaim reports whether a stage has been held back for as long as the claim of a runner may. On a service of which at least half
// is free, a gang holds back others for longer only if it is expected to start within the time for which it has waited.
func (s *Scheduler) passesClaim(st *stage, r *runner) bool {
	if st.heldSince == 0 || s.now-st.heldSince < maxClaimHold {
		return false
	}
	if st.step.LongRunning {
		return true
	}
	if freeSince, free := s.freeServices[r.Service]; !free || s.now-freeSince < maxClaimHold {
		return false
	}
	waited := s.now - r.claimedBy.wait.since
	if r.claimedBy.wait.since == 0 {
		waited = 0
	}
	return r.claimStart <= s.now || r.claimStart-s.now > waited
}

// updateHeld records since when a stage that was not placed has been held back by claims.
func (s *Scheduler) updateHeld(st *stage, candidates []*runner) {
	need, runtime := st.step.Reserved(), s.expectedRunTime(st)
	held := s.claimed > 0 && slices.ContainsFunc(candidates, func(r *runner) bool {
		return r.claimedBy != nil && r.claimedBy != st && need.Fits(r.free()) && (!s.mayPlace(st, r, s.onRunner(runtime, r)) || s.passesClaim(st, r))
	})
	switch {
	case !held:
		st.heldSince = 0
	case st.heldSince == 0:
		st.heldSince = s.now
	}
}

// backfills reports whether a task that is placed on a claimed runner now is expected to end before the gang starts.
func (s *Scheduler) backfills(st *stage, r *runner, runtime time.Duration) bool {
	return !st.step.LongRunning && s.now+runtime < r.claimStart
}

// roomNow returns what a gang of the given run time may use on a runner now, with regard to the claim of another gang.
func (s *Scheduler) roomNow(st *stage, r *runner, runtime time.Duration) model.Resources {
	if r.claimedBy == nil || r.claimedBy == st || s.backfills(st, r, s.onRunner(runtime, r)) || s.passesClaim(st, r) {
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
