package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateCost is added to the cores left unused, in millicores, for a task that is certain to be late. It exceeds the
	// size of a runner, so that free capacity is no reason to be late.
	lateCost = 150_000
	// lateValueShare is the share of a job's value that is left for its caller when it is late but within lateFactor times
	// its objective: all customers name a fifth.
	lateValueShare = 0.2
	// fastCost is added for work that isn't urgent on a runner that is faster by a factor of e, so that fast runners are
	// left to urgent work.
	fastCost = 10_000
	// speedRankStep is the difference of cost below which advice requests name runners in the order of their free cores.
	speedRankStep = 10_000
	// speedBucket is the step of slowness in which costs are computed.
	speedBucket = 0.1
	// speedBuckets is the number of buckets, from a slowness of -1.5 to 1.5.
	speedBuckets = 31
)

// speedCosts holds the cost of placing a task of a stage on a runner, by the runner's slowness.
type speedCosts [speedBuckets]int64

// bucketOf returns the index of the bucket of a slowness.
func bucketOf(slowness float64) int {
	return min(max(int(math.Round(slowness/speedBucket))+speedBuckets/2, 0), speedBuckets-1)
}

// of returns the cost of a runner.
func (c *speedCosts) of(r *runner) int64 { return c[bucketOf(r.slowness)] }

// timeBudget is what is left for a task of a stage until its job is late, and until it has no value.
type timeBudget struct {
	expected       time.Duration // run time on a runner of usual speed
	tasks          float64       // tasks that may run longer independently of each other
	spread         runtimeSpread
	inTime, worthy time.Duration
}

// newSpeedCosts returns the costs for tasks with a time budget.
func newSpeedCosts(b timeBudget, urgent bool) *speedCosts {
	var c speedCosts
	for i := range c {
		slowness := float64(i-speedBuckets/2) * speedBucket
		late := (1-lateValueShare)*b.anyExceeds(b.inTime, slowness) + lateValueShare*b.anyExceeds(b.worthy, slowness)
		cost := lateCost * late
		if urgent {
			cost += slownessCost * slowness
		} else {
			cost -= fastCost * slowness
		}
		c[i] = int64(cost)
	}
	return &c
}

// anyExceeds returns the probability that any of the stage's tasks runs longer than the limit, which makes the job late, if
// all of them run on runners of the given slowness.
func (b timeBudget) anyExceeds(limit time.Duration, slowness float64) float64 {
	return 1 - math.Pow(1-b.exceeds(limit, slowness), b.tasks)
}

// exceeds returns the probability that a task runs longer than the limit on a runner of the given slowness.
func (b timeBudget) exceeds(limit time.Duration, slowness float64) float64 {
	if limit <= 0 {
		return 1
	}
	return b.spread.exceeds(logMillis(limit) - logMillis(b.expected) - slowness)
}

// budgetOf returns the time budget of a stage.
func (s *Scheduler) budgetOf(st *stage) timeBudget {
	expected := s.expectedRunTime(st)
	later := max(st.remainingPath-expected, 0)
	arrived := st.objectiveStart(s.wall, s.now)
	due := arrived + st.job.objective
	tasks := len(st.tasks) - st.doneCount
	if st.step.Gang {
		tasks = 1 // the run times of a gang's queue are those of whole gangs
	}
	return timeBudget{
		expected: expected, tasks: float64(tasks), spread: s.runtimeSpreadOf(st.job.spec.Queue),
		inTime: due - s.now - later, worthy: arrived + lateFactor*st.job.objective - s.now - later,
	}
}

// speedCostsOf returns the costs of placing tasks of a stage by the speed of runners; nil while the runners count as alike.
func (s *Scheduler) speedCostsOf(st *stage) *speedCosts {
	if !s.fleetSpeed.unequal || st.step.LongRunning {
		return nil
	}
	return newSpeedCosts(s.budgetOf(st), st.job.queue.Priority == urgentPriority)
}

// sortBySpeed sorts runners by the cost that their speed has for a stage and keeps the order of those that cost about the
// same. It keeps the whole order while the runners count as alike.
func (s *Scheduler) sortBySpeed(st *stage, runners []*runner) {
	costs := s.speedCostsOf(st)
	if costs == nil {
		return
	}
	slices.SortStableFunc(runners, func(x, y *runner) int { return cmp.Compare(costs.rank(x), costs.rank(y)) })
}

// rank returns the cost of a runner in coarse steps.
func (c *speedCosts) rank(r *runner) int64 { return c.of(r) / speedRankStep }
