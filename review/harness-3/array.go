//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	arrayRunners = 40
	arrayJobID   = "0000000000001300"
	// arrayTimes is how often the job runs. Its record outgrows the largest value of the store after some 36,000 times; no runner has
	// 500 ends then that aren't taken note of.
	arrayTimes    = 48_000
	arrayInterval = 1                // milliseconds
	arrayTrouble  = 46 * time.Second // from the first time on
	arrayWatch    = 80 * time.Second
)

// manyOccurrences hands in a job with so many occurrences that the record of what is done outgrows the largest value of the store.
// Near its end one runner is lost for good, and the process that leads is killed.
func manyOccurrences(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range arrayRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/6)}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	job := map[string]any{
		"spec": "ms=400", "times": arrayTimes, "start-ms": began.UnixMilli(), "interval-ms": arrayInterval,
		"steps": []map[string]any{{"count": 1, "cpu": 2400, "mem-mb": 512, "est-ms": 400}},
	}
	if !d.submit(arrayJobID, job) {
		return fmt.Errorf("job %s was not accepted", arrayJobID)
	}
	look := func() (state string) {
		waiting := 0
		for _, r := range runners {
			r.set(func() { waiting = max(waiting, len(r.ended)) })
		}
		status, state := d.state(d.procs[0], arrayJobID)
		d.rec.logf("GET %s: %d %s; at most %d ends of a runner aren't taken note of, the record has %d bytes, %d commits were refused as too large",
			arrayJobID, status, state, waiting, len(d.store.Get("jobs/"+arrayJobID)), d.store.tooLarge.Load())
		return state
	}
	disturbed := false
	for time.Since(began) < arrayWatch {
		time.Sleep(time.Second)
		if state := look(); state == "done" {
			break
		}
		if trouble && !disturbed && time.Since(began) > arrayTrouble {
			disturbed = true
			log.mu.Lock()
			log.calmUntil = time.Now()
			log.mu.Unlock()
			lost := runners[0]
			most := 0
			for _, r := range runners {
				r.set(func() {
					if len(r.ended) > most {
						lost, most = r, len(r.ended)
					}
				})
			}
			d.rec.logf("%s, which lists %d ends, is lost for good", lost.id, most)
			lost.crash()
			leader := d.owner()
			leader.signal(syscall.SIGKILL)
			<-leader.done
			time.Sleep(time.Second)
			if err := leader.start(); err != nil {
				return err
			}
		}
	}
	look()
	again, _ := log.twice()
	for _, line := range again {
		d.rec.logf("TWICE %s", line)
	}
	d.rec.logf("%d starts, %d after a run that has ended done", len(log.runs), len(again))
	if len(again) > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d starts after a run that has ended done and was listed over a second before the disruption", errBroken, len(again), len(log.runs))
	}
	return nil
}
