package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// urgencyClass orders stages by the value that completing their job still has for its caller.
type urgencyClass int32

const (
	classUrgent     urgencyClass = iota // urgent priority, can still meet its objective, or is long-running
	classUrgentLate                     // urgent priority, late, but within lateFactor times its objective
	classOnTime                         // can still meet its objective, or is long-running
	classLate                           // late, but within lateFactor times its objective
	classNoValue                        // expected to end after lateFactor times its objective
)

// urgentPriority is the priority of queues whose work precedes all other work, even when it is late, until it has no
// value any more.
const urgentPriority = 0

type rankedStage struct {
	stage *stage
	class urgencyClass
	group shareGroup
	due   time.Duration
}

// rank sorts the open stages by the share of their tenant, then by urgency class, then by priority, then by due time.
func (s *Scheduler) rank() []rankedStage {
	out := make([]rankedStage, 0, len(s.openStages))
	for _, st := range s.openStages {
		out = append(out, s.rankOf(st))
	}
	slices.SortStableFunc(out, func(a, b rankedStage) int { return cmp.Or(cmp.Compare(a.group, b.group), a.compare(&b)) })
	return out
}

// sortByUrgency sorts ranked stages by urgency class, then by priority, then by due time.
func sortByUrgency(stages []rankedStage) {
	slices.SortStableFunc(stages, func(a, b rankedStage) int { return a.compare(&b) })
}

// compare orders two stages by their urgency, the more urgent one first.
func (r *rankedStage) compare(other *rankedStage) int {
	if c := cmp.Compare(r.class, other.class); c != 0 {
		return c
	}
	if c := cmp.Compare(r.stage.job.queue.Priority, other.stage.job.queue.Priority); c != 0 {
		return c
	}
	return cmp.Compare(r.due, other.due)
}

func (s *Scheduler) rankOf(st *stage) rankedStage {
	arrived := st.objectiveStart(s.wall, s.now)
	due := arrived + st.job.objective
	r := rankedStage{stage: st, due: due}
	end := s.now + st.remainingPath
	switch {
	case st.step.LongRunning || end <= due:
		r.class = classOnTime
	case end <= arrived+lateFactor*st.job.objective:
		r.class = classLate
	default:
		r.class = classNoValue
	}
	if st.job.queue.Priority == urgentPriority {
		switch r.class {
		case classOnTime:
			r.class = classUrgent
		case classLate:
			r.class = classUrgentLate
		}
	}
	r.group = s.shareGroupOf(st, r.class)
	return r
}
