package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// minLatePatience is for how long beyond its expected end a run is still expected to end at any moment. Work that has room must not
	// wait for 3 s.
	minLatePatience = 2 * time.Second
	// latePatienceShare is the same as a share of the time that a gang has waited. A gang that waits for long has to start even if there
	// are always some late runs, and holds back others for a small part of its wait only.
	latePatienceShare = 0.25
	// maxUnderestimate is how many times as long as expected a run may take until no end is in sight, however busy its service is.
	maxUnderestimate = 10
)

// outlook is when the runs on a runner are expected to have ended, and what those hold that have no end in sight.
type outlook struct {
	pass    int             // in which it was computed
	idleAt  time.Duration   // expected end of the runs with an expected end
	lasting model.Resources // of tasks that last
	late    model.Resources // of runs that should have ended minLatePatience ago
	lateBy  time.Duration   // since when the latest of these should have ended
}

// latePatience returns for how long beyond their expected end a gang waits for the end of runs.
func (s *Scheduler) latePatience(st *stage) time.Duration {
	if st.wait.since == 0 {
		return minLatePatience
	}
	return max(minLatePatience, time.Duration(latePatienceShare*float64(s.now-st.wait.since)))
}

// lasts reports whether the run goes on until it is stopped.
func (r *run) lasts() bool { return r.task.stage.step.LongRunning && r.state != runStopping }

// lateness returns for how long a run should have ended; 0 if it is being stopped. While most of a service is in use, others lose little
// by a gang that waits for runs whose estimates were too short: that time counts only from maxUnderestimate times the estimate on.
func (s *Scheduler) lateness(x *run) time.Duration {
	end := s.expectedEnd(x)
	if x.state == runStopping || s.now <= end {
		return 0
	}
	late := s.now - x.startSentAt - maxUnderestimate*(end-x.startSentAt)
	if freeSince, free := s.freeServices[x.runner.Service]; free {
		late = max(late, min(s.now-end, s.now-freeSince))
	}
	return max(late, 0)
}

// updateFreeServices records since when at least half of the usable cores of each service have been free.
func (s *Scheduler) updateFreeServices(runners []*runner) {
	free := map[string]int64{} // what is free, less what is in use
	for _, r := range runners {
		if r.usable() {
			free[r.Service] += r.Capacity.CoresMilli - 2*r.used.CoresMilli
		}
	}
	maps.DeleteFunc(s.freeServices, func(service string, _ time.Duration) bool {
		more, usable := free[service]
		return !usable || more < 0
	})
	for service, more := range free {
		if _, known := s.freeServices[service]; !known && more >= 0 {
			s.freeServices[service] = s.now
		}
	}
}

// updateOutlook estimates, once per pass, when the runs on a runner will have ended.
func (s *Scheduler) updateOutlook(r *runner) {
	if r.outlook.pass == s.passCount {
		return
	}
	o := outlook{pass: s.passCount, idleAt: s.now}
	for _, x := range r.runs {
		late := s.lateness(x)
		switch {
		case x.lasts():
			o.lasting = o.lasting.Add(x.reserved)
		case late > minLatePatience:
			o.late = o.late.Add(x.reserved)
			o.lateBy = max(o.lateBy, late)
		default:
			o.idleAt = max(o.idleAt, s.expectedEnd(x))
		}
	}
	r.outlook = o
}

// becomesIdle reports whether all runs on a runner are expected to end.
func (s *Scheduler) becomesIdle(r *runner) bool {
	s.updateOutlook(r)
	return r.outlook.lasting.IsZero() && r.outlook.late.IsZero()
}

// roomLater returns the capacity of a runner that will be free, as far as the ends of its runs can be expected.
func (s *Scheduler) roomLater(r *runner, patience time.Duration) model.Resources {
	s.updateOutlook(r)
	room := r.Capacity.Sub(r.outlook.lasting)
	if r.outlook.lateBy > patience {
		room = room.Sub(r.outlook.late)
	}
	return room
}

// endInSight returns when a run is expected to end, which is now if it is late; ok is false if no end is in sight.
func (s *Scheduler) endInSight(x *run, patience time.Duration) (end time.Duration, ok bool) {
	if x.lasts() || s.lateness(x) > patience {
		return 0, false
	}
	return max(s.expectedEnd(x), s.now), true
}

// roomAt returns when the given resources are expected to be free on a runner, or when all its runs with an expected end will have ended.
func (s *Scheduler) roomAt(r *runner, wanted model.Resources, patience time.Duration) time.Duration {
	free, at := r.free(), s.now
	if wanted.Fits(free) {
		return at
	}
	type ending struct {
		at       time.Duration
		reserved model.Resources
	}
	var endings []ending
	for _, x := range r.runs {
		if end, ok := s.endInSight(x, patience); ok {
			endings = append(endings, ending{end, x.reserved})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	for _, e := range endings {
		if wanted.Fits(free) {
			break
		}
		free, at = free.Add(e.reserved), e.at
	}
	return at
}

// freeAt returns what is expected to be free on a runner at a later time if no other run starts.
func (s *Scheduler) freeAt(r *runner, at time.Duration, patience time.Duration) model.Resources {
	free := r.free()
	for _, x := range r.runs {
		if end, ok := s.endInSight(x, patience); ok && end <= at {
			free = free.Add(x.reserved)
		}
	}
	return free
}
