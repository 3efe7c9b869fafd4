package scheduler

import (
	"slices"
	"sort"

	"github.com/agateyard/agateyard/internal/model"
)

// placeGang reserves capacity for all tasks of a gang. If there is not enough, it preempts runs or claims runners.
func (s *Scheduler) placeGang(st *stage, runners []*runner) {
	if !st.idle() || s.startBudget <= 0 || !st.tasks[0].crashIsDurable() {
		return
	}
	candidates := s.withoutAvoided(st, s.candidates(st, runners))
	if s.anyProbing {
		candidates = slices.DeleteFunc(candidates, func(r *runner) bool { return s.admissionOf(st.tasks[0], r) == notAdmitted })
	}
	all := candidates
	why := s.riskOf(st.tasks[0])
	if why != noRisk {
		candidates = s.riskyGangCandidates(st, why, candidates)
	} else if s.crashes.known() {
		candidates = slices.DeleteFunc(candidates, func(r *runner) bool { return !s.admitsRisk(r, noRisk, false, s.mayShare(st, noRisk)) })
	}
	chosen := s.planGang(st, candidates, gangRoom{})
	if chosen == nil && s.needsWholeProbes(st, candidates) {
		chosen = s.planGang(st, candidates, gangRoom{wholeProbes: true})
	}
	if chosen == nil {
		s.updateHeld(st, candidates)
		if s.isLimitedExcess(st) {
			return
		}
		if why == riskByTask {
			s.prepareIsolation(st, all)
		}
		if !s.preemptFor(st, candidates) {
			s.claimRunners(st, candidates, runners)
		}
		return
	}
	s.reserveGang(st, chosen)
	if why != noRisk {
		for _, placement := range chosen {
			s.setApart(placement.runner, why)
		}
	}
	s.startReserved(st)
}

// reserveGang reserves the capacity of all members. Their runs have the same number.
func (s *Scheduler) reserveGang(st *stage, placements []gangPlacement) {
	st.claims, st.heldSince, st.preemptionDeadline = nil, 0, 0
	number := 0
	for _, t := range st.tasks {
		number = max(number, s.nextRunNumber(t))
	}
	next := 0
	for _, placement := range placements {
		for range placement.count {
			s.reserve(st.tasks[next], placement.runner, number)
			next++
		}
	}
}

type gangPlacement struct {
	runner  *runner
	count   int
	suspect bool
}

// gangRoom is the capacity that counts when a gang is distributed over runners.
type gangRoom struct {
	later       bool // also what other runs use now, if they are expected to end
	wholeProbes bool // all that is free on a runner that is being probed, instead of the room for one run
}

// planGang distributes a gang over runners with enough capacity; nil if it doesn't fit.
func (s *Scheduler) planGang(st *stage, candidates []*runner, room gangRoom) []gangPlacement {
	if !st.step.SameRack {
		return s.packGang(st, candidates, room)
	}
	racks := map[string][]*runner{}
	var rackOrder []string
	for _, r := range candidates {
		if racks[r.Rack] == nil {
			rackOrder = append(rackOrder, r.Rack)
		}
		racks[r.Rack] = append(racks[r.Rack], r)
	}
	for _, rack := range rackOrder {
		if placements := s.packGang(st, racks[rack], room); placements != nil {
			return placements
		}
	}
	return s.packGang(st, candidates, room) // across several racks, which is slower
}

// packGang fills the runners with capacity for the most tasks first, so that a gang uses few runners; while runners differ
// in speed, the fastest ones. Runners on which runs fail often are used only if the gang doesn't fit without them, as one
// member that fails breaks the whole gang. If capacity counts that will be free later, the runners that are expected to be idle soonest
// come first.
func (s *Scheduler) packGang(st *stage, candidates []*runner, room gangRoom) []gangPlacement {
	need := st.step.Reserved()
	lastAttempt := st.isLastAttempt(st.tasks[0])
	patience, runtime := s.latePatience(st), s.expectedRunTime(st)
	var placements []gangPlacement
	for _, r := range candidates {
		var capacity model.Resources
		switch {
		case room.later:
			capacity = s.roomLater(r, patience)
		case need.CoresMilli > r.Capacity.CoresMilli-r.used.CoresMilli:
			continue // the usual case while gangs wait, at the least cost
		default:
			capacity = s.roomNow(st, r, runtime)
		}
		limit := st.maxOnRunner(len(st.tasks))
		if r.health.probing && !room.wholeProbes {
			limit = min(limit, 1)
		}
		if n := need.Copies(capacity, limit); n > 0 {
			placements = append(placements, gangPlacement{runner: r, count: n, suspect: r.health.isAccused() || s.isSuspect(r, lastAttempt)})
		}
	}
	if s.fleetSpeed.unequal && !room.later {
		if sound := packBySpeed(soundPlacements(placements), len(st.tasks)); sound != nil {
			return sound
		}
		return packBySpeed(placements, len(st.tasks))
	}
	sort.SliceStable(placements, func(i, k int) bool {
		a, b := placements[i], placements[k]
		if room.later && a.runner.outlook.idleAt != b.runner.outlook.idleAt {
			return a.runner.outlook.idleAt < b.runner.outlook.idleAt // idle soonest
		}
		if !room.later && a.suspect != b.suspect {
			return b.suspect
		}
		return a.count > b.count
	})
	return takeMembers(placements, len(st.tasks))
}

// needsWholeProbes reports whether a gang fits only with more than one run on runners that are being probed, whatever else ends.
func (s *Scheduler) needsWholeProbes(st *stage, candidates []*runner) bool {
	return slices.ContainsFunc(candidates, func(r *runner) bool { return r.health.probing }) &&
		s.planGang(st, candidates, gangRoom{later: true}) == nil
}

// startGang starts all members if each has a reserved run. The caller has checked the tickets.
func (s *Scheduler) startGang(st *stage) {
	for _, t := range st.tasks {
		if t.current == nil || t.current.state != runReserved {
			return
		}
	}
	st.gangRunners = nil
	for _, t := range st.tasks {
		if !slices.Contains(st.gangRunners, t.current.runner) {
			st.gangRunners = append(st.gangRunners, t.current.runner)
		}
		s.start(t.current, "gang complete")
	}
}

// stopGang stops the members of a gang, except for the run that has ended, if any.
func (s *Scheduler) stopGang(st *stage, ended *run, reason string) {
	for _, t := range st.tasks {
		if t.current != nil && t.current != ended {
			s.stop(t.current, reason)
		}
	}
}

// stopPartialGang stops the members of a gang of which some have no run or a run with another number. A new owner may
// find such a gang.
func (s *Scheduler) stopPartialGang(st *stage) {
	present, number, mixed := 0, 0, false
	for _, t := range st.tasks {
		if t.current == nil {
			continue
		}
		present++
		mixed = mixed || number != 0 && t.current.number != number
		number = t.current.number
	}
	if present > 0 && (mixed || present < len(st.tasks)) {
		s.stopGang(st, nil, "the gang is incomplete")
	}
}
