package scheduler

import (
	"reflect"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// RunnerRef identifies one incarnation of a runner.
type RunnerRef struct {
	ID          string
	Addr        string
	Incarnation int64 // start time of the incarnation in Unix milliseconds; 0 if not known yet
}

// RunnerInfo is the discovery entry of a runner.
type RunnerInfo struct {
	ID           string
	Addr         string
	Service      string
	Zone         string
	Rack         string
	Labels       []string
	Capacity     model.Resources
	Draining     bool
	TerminatesIn time.Duration // minimum time until a draining runner terminates; 0 if unknown
	Incarnation  int64
}

// Equal reports whether two entries say the same.
func (i RunnerInfo) Equal(other RunnerInfo) bool {
	labels, otherLabels := i.Labels, other.Labels
	i.Labels, other.Labels = nil, nil
	return slices.Equal(labels, otherLabels) && reflect.DeepEqual(i, other)
}

type runner struct {
	RunnerInfo
	slot            int           // index of the current incarnation in incarnation sets
	incarnation     int64         // incarnation that sent the last report
	reportedAt      time.Duration // when that report arrived
	fenceGeneration int           // how many times the fence of the calls to the runner has been raised
	leaseGeneration int           // that of the latest call that extends leases
	mayHaveStrays   bool          // late calls for earlier incarnations may still extend the leases of this one
	strayGeneration int           // highest of those calls
	listed          bool          // present in discovery
	inherited       bool          // a predecessor may have started runs there that are not known yet
	reported        bool          // has reported to this owner at its current address
	unreachable     bool          // the last poll failed
	replaced        bool          // another runner answers at its address
	aliveAt         time.Duration // when the latest of its reports was requested
	polledAt        time.Duration // when a report was last requested for a suspect that starts there
	loss            *runnerLoss   // it was probably lost, which is not certain yet
	isolation       *isolation    // set apart for tasks that may crash it; nil if it isn't
	riskyRuns       int           // runs that may crash it
	riskyAt         time.Duration // when the last one of them was placed or started
	lastStartAt     time.Duration // when a run was last started there
	lastClock       int64         // time of the last report on the runner's clock
	leaseExpiresAt  time.Duration // all its runs have ended by then unless the lease is extended
	used            model.Resources
	runs            map[runKey]*run
	unknownRuns     int // number of runs in the last report that belong to no active job
	unknownCharges  []unknownCharge
	lastEndSeq      int64
	unacknowledged  []unacknowledgedEnd // ends whose effect on a job may not be durable yet, in order
	health          runnerHealth
	failures        failureRate
	excessFailures  float64 // failure rate above the fleet's, as of excessCheckedAt
	excessCheckedAt time.Duration
	soundAt         time.Duration // latest start of a run that is done
	speed           runnerSpeed
	sample          speedSample
	slowness        float64       // estimate from the sample and the prior of the runner's kind
	terminatesAt    time.Duration // 0 if no termination is announced
	outlook         outlook
	claimedBy       *stage          // gang that claims room on the runner; nil if none
	claimStart      time.Duration   // when that gang is expected to start
	claimSpare      model.Resources // what the gang leaves to runs that last longer
	claimable       bool            // while claimRunners looks for runners: a candidate without a claim
}

type runKey struct {
	task job.TaskID
	run  int
}

type unacknowledgedEnd struct {
	seq     int64
	job     *jobState
	version int64 // version of the job that has to be durable before the end is acknowledged
}

func (r *runner) ref() RunnerRef {
	return RunnerRef{ID: r.ID, Addr: r.Addr, Incarnation: r.incarnation}
}

func (r *runner) free() model.Resources {
	return r.Capacity.Sub(r.used)
}

func (r *runner) hasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// usable reports whether new runs may be started on the runner.
func (r *runner) usable() bool {
	return r.listed && r.reported && !r.Draining && !r.unreachable && r.unknownRuns == 0
}

// acknowledged returns the sequence number up to which the runner may discard its ends.
func (r *runner) acknowledged() int64 {
	upto := r.lastEndSeq
	keep := r.unacknowledged[:0]
	for _, end := range r.unacknowledged {
		if end.job.durable >= end.version {
			continue
		}
		keep = append(keep, end)
	}
	r.unacknowledged = keep
	if len(keep) > 0 {
		upto = keep[0].seq - 1
	}
	return upto
}
