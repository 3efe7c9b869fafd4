package shard

import (
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// templateState is a template with its queues and counters.
type templateState struct {
	model.Template
	removed      bool // not configured; remaining requests finish with the last parameters
	queues       []*classQueue
	queueEntries int   // requests that have not started
	queueBytes   int64 // total body size of these requests
	starts       decayingSum
	retries      decayingSum
	meanRunTime  time.Duration // moving average of measured run times; 0 before the first
}

// runTimeWeight is the weight of the last run time in the moving average.
const runTimeWeight = 0.05

// observeRunTime adds the run time of an ended attempt to the average.
func (t *templateState) observeRunTime(run time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = run
		return
	}
	t.meanRunTime += time.Duration(runTimeWeight * float64(run-t.meanRunTime))
}

// queue returns the queue of the size class, or nil.
func (t *templateState) queue(c sizeClass) *classQueue {
	for _, q := range t.queues {
		if q.sizeClass == c {
			return q
		}
	}
	return nil
}

// ensureQueue returns the queue of the size class and creates it if needed. A template has one
// size class unless its size was changed.
func (t *templateState) ensureQueue(c sizeClass, window time.Duration) *classQueue {
	if q := t.queue(c); q != nil {
		return q
	}
	q := newClassQueue(t, c, window)
	t.queues = append(t.queues, q)
	return q
}

// weight returns the weight of the workspace, 1 when it is not set.
func (t *templateState) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// runsOn reports whether the pool can run the template.
func (t *templateState) runsOn(p model.PoolID) bool {
	return strings.HasPrefix(string(p), t.PoolPrefix())
}

// classOf returns the size class of a new request.
func (t *templateState) classOf() sizeClass {
	c := sizeClass{resources: t.Resources, tasks: 1}
	if t.Kind == model.KindGang {
		c.tasks = max(1, t.Tasks)
	}
	return c
}

// taskCount returns the number of tasks of a new request.
func (t *templateState) taskCount() int {
	if t.Kind == model.KindGang || t.Kind == model.KindService {
		return max(1, t.Tasks)
	}
	return 1
}

// retryBudgetLeft reports whether the retry budget allows one more retry.
func (t *templateState) retryBudgetLeft(now time.Time, cfg *Config) bool {
	allowed := cfg.RetryBudget*t.starts.read(now, retryWindow) + cfg.RetryFloor
	return t.retries.read(now, retryWindow)+1 <= allowed
}

// retryWindow is the half-life of the counts behind the retry budget. It is long compared with
// a single endpoint failure and short compared with an outage.
const retryWindow = 30 * time.Second
