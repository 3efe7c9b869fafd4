//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// judge keeps what the runners have seen and which rules it breaks.
type judge struct {
	c  *cell
	mu sync.Mutex
	// running holds the runs at work by task, as "runner/run".
	running map[string]map[string]bool
	// done holds the runs that have ended done by task, with the time at which the end was noted; zero if it isn't.
	done     map[string]map[string]time.Time
	restarts map[string][]string // starts after a run had ended done, by task
	twice    []string            // two runs at the same time
	begun    map[string]bool     // jobs of which a task has started
	outcomes []string            // of all runs that have ended
	starts   int
	notes    int
}

func newJudge(c *cell) *judge {
	return &judge{c: c, running: map[string]map[string]bool{}, done: map[string]map[string]time.Time{}, restarts: map[string][]string{}, begun: map[string]bool{}}
}

func (j *judge) started(runner, task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.begun[task[:16]] = true
	j.c.record("start %s run %d on %s", task, run, runner)
	key := fmt.Sprintf("%s/%d", runner, run)
	for other := range j.running[task] {
		j.twice = append(j.twice, fmt.Sprintf("%s: %s starts while %s is at work", task, key, other))
	}
	if j.running[task] == nil {
		j.running[task] = map[string]bool{}
	}
	j.running[task][key] = true
	if len(j.done[task]) > 0 {
		j.restarts[task] = append(j.restarts[task], key)
	}
}

func (j *judge) ended(runner, task string, run int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.c.record("end %s run %d on %s %s", task, run, runner, how)
	j.outcomes = append(j.outcomes, how)
	key := fmt.Sprintf("%s/%d", runner, run)
	delete(j.running[task], key)
	if how == "done" {
		if j.done[task] == nil {
			j.done[task] = map[string]time.Time{}
		}
		j.done[task][key] = time.Time{}
	}
}

// noted records that an end was acknowledged.
func (j *judge) noted(runner, task string, run int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notes++
	if how == "done" {
		j.done[task][fmt.Sprintf("%s/%d", runner, run)] = time.Now()
	}
}

// runTwice returns the tasks that were at work twice at the same time, or that have started after a run of theirs had ended done
// whose end has been taken note of.
func (j *judge) runTwice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := append([]string{}, j.twice...)
	for task, starts := range j.restarts {
		for key, at := range j.done[task] {
			if !at.IsZero() && starts[0] != key {
				out = append(out, fmt.Sprintf("%s: starts %v after %s had ended done, an end that was taken note of", task, starts, key))
				break
			}
		}
	}
	return out
}

// hows returns how the runs have ended.
func (j *judge) hows() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.outcomes...)
}

// hasBegun reports whether a task of the job has started.
func (j *judge) hasBegun(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun[job]
}

// atWork reports whether a run of the job exists.
func (j *judge) atWork(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, runs := range j.running {
		if task[:16] == job && len(runs) > 0 {
			return true
		}
	}
	return false
}
