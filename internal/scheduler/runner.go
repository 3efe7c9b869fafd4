package scheduler

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// RunnerRef names one life of a runner.
type RunnerRef struct {
	ID          string
	Addr        string
	Incarnation int64 // start of this life in Unix milliseconds; 0 if not known yet
}

// RunnerInfo is what discovery says of a runner.
type RunnerInfo struct {
	ID           string
	Addr         string
	Service      string
	Zone         string
	Rack         string
	Labels       []string
	Capacity     model.Resources
	Draining     bool
	TerminatesIn time.Duration // at least this long until a draining runner leaves; 0 if not told
	Incarnation  int64
}

type runner struct {
	RunnerInfo
	slot       int           // of this life, for sets of lives
	born       int64         // life that the last report came from
	listed     bool          // discovery names it
	inherited  bool          // a predecessor may have started runs there that are not known yet
	reached    bool          // has reported since this owner took over
	failing    bool          // the last look at it got no answer
	lastClock  int64         // of the last report, on the runner's clock
	lapseBy    time.Duration // all its runs are over by then if it hears nothing more
	used       model.Resources
	runs       map[runKey]*run
	foreign    int // runs that no known job accounts for
	seenEnd    int64
	ends       []pendingEnd // ends that are not acknowledged yet, in order
	health     runnerHealth
	speed      runnerSpeed
	leavesAt   time.Duration // 0 if it isn't known to leave
	emptyAt    time.Duration // when its runs are expected to have ended
	estimated  int           // pass in which that was estimated
	claimReady time.Duration // when the gang that room is gathered for is expected to start
	claimedBy  *stage        // gang that room is gathered for
}

type runKey struct {
	task job.TaskID
	run  int
}

type pendingEnd struct {
	number  int64
	job     *jobState
	version int64 // of the job that has to be durable before the end may be forgotten
}

func (r *runner) ref() RunnerRef {
	return RunnerRef{ID: r.ID, Addr: r.Addr, Incarnation: r.born}
}

func (r *runner) free() model.Resources {
	return r.Capacity.Sub(r.used)
}

func (r *runner) hasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// usable reports whether new runs may be started on the runner.
func (r *runner) usable() bool {
	return r.listed && r.reached && !r.Draining && !r.failing && r.foreign == 0
}

// acknowledged returns the number of the last end that may be forgotten.
func (r *runner) acknowledged() int64 {
	upto := r.seenEnd
	keep := r.ends[:0]
	for _, end := range r.ends {
		if end.job.durable >= end.version {
			continue
		}
		keep = append(keep, end)
	}
	r.ends = keep
	if len(keep) > 0 {
		upto = keep[0].number - 1
	}
	return upto
}
