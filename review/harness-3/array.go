//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	arrayRunners  = 8
	arrayJobID    = "0000000000001500"
	arrayTimes    = 60_000
	shortTimes    = 20_000 // without the trouble; its record stays far below what the store takes
	arrayWatch    = 55 * time.Second
	arrayDrain    = 20 * time.Second
	arrayInterval = 1 // milliseconds
)

// manyOccurrences hands in a job with so many occurrences that the record of what is done outgrows the largest value of the store.
func manyOccurrences(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range arrayRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", "r1"}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	times := shortTimes
	if trouble {
		times = arrayTimes
	}
	began := time.Now()
	job := map[string]any{
		"spec": "ms=400", "times": times, "start-ms": began.UnixMilli(), "interval-ms": arrayInterval,
		"steps": []map[string]any{{"count": 1, "cpu": 100, "mem-mb": 16, "est-ms": 400}},
	}
	if !d.submit(arrayJobID, job) {
		return fmt.Errorf("job %s was not accepted", arrayJobID)
	}
	for time.Since(began) < arrayWatch {
		time.Sleep(2 * time.Second)
		listed := 0
		for _, r := range runners {
			r.mu.Lock()
			listed = max(listed, len(r.ended))
			r.mu.Unlock()
		}
		status, state := d.state(d.procs[0], arrayJobID)
		d.rec.logf("GET %s: %d %s; %d runs of %d tasks have ended done, at most %d ends of a runner aren't taken note of, the record has %d bytes, %d commits were refused as too large",
			arrayJobID, status, state, log.countDone(), log.doneTasks(arrayJobID), listed, len(d.store.Get("jobs/"+arrayJobID)), d.store.tooLarge.Load())
	}
	// What a caller does with a job that doesn't come to its end.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	d.rec.logf("DELETE %s: %d", arrayJobID, d.call(ctx, d.procs[0], http.MethodDelete, prefix+arrayJobID, nil, nil))
	cancel()
	time.Sleep(arrayDrain)
	again, beside := log.twice()
	for _, line := range append(again, beside...)[:min(len(again)+len(beside), 200)] {
		d.rec.logf("TWICE %s", line)
	}
	d.rec.logf("%d starts, %d after a run that has ended done, %d beside another run", len(log.runs), len(again), len(beside))
	if len(again)+len(beside) > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d starts after a run that has ended done, %d beside another run", errBroken, len(again), len(log.runs), len(beside))
	}
	return nil
}

func (l *runLog) countDone() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.runs {
		if e.how == "done" {
			n++
		}
	}
	return n
}

// doneTasks returns how many tasks of a job have ended done.
func (l *runLog) doneTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := map[string]bool{}
	for _, e := range l.runs {
		if e.task[:16] == job && e.how == "done" {
			done[e.task] = true
		}
	}
	return len(done)
}
