package shard

import (
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// templateState is a template with its queues and counters.
type templateState struct {
	model.Template
	removed bool // no longer configured; remaining requests finish with the last parameters
	queues  []*classQueue
	entries int   // requests that have not started
	bytes   int64 // of their bodies
	starts  decaying
	retries decaying
	meanRun time.Duration // moving average of measured runs; 0 before the first
}

// runWeight is the weight of the last run in the average.
const runWeight = 0.05

// observeRun takes the run time of an attempt that ended.
func (t *templateState) observeRun(run time.Duration) {
	if t.meanRun == 0 {
		t.meanRun = run
		return
	}
	t.meanRun += time.Duration(runWeight * float64(run-t.meanRun))
}

// queue returns the queue of the class, or nil.
func (t *templateState) queue(c class) *classQueue {
	for _, q := range t.queues {
		if q.class == c {
			return q
		}
	}
	return nil
}

// ensureQueue returns the queue of the class and creates it when needed. A
// template has one class unless its size was changed.
func (t *templateState) ensureQueue(c class, window time.Duration) *classQueue {
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

// classOf returns the class of a new request.
func (t *templateState) classOf() class {
	c := class{resources: t.Resources, tasks: 1}
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

// mayRetry reports whether the retry budget allows one more retry.
func (t *templateState) mayRetry(now time.Time, cfg *Config) bool {
	allowed := cfg.RetryBudget*t.starts.read(now, retryWindow) + cfg.RetryFloor
	return t.retries.read(now, retryWindow)+1 <= allowed
}

// retryWindow is the half-life of the counts behind the retry budget. It is long
// against a single endpoint failure and short against an outage.
const retryWindow = 30 * time.Second
