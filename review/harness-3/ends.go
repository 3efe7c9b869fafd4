//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// storeOutage is how long the store is down: the length that the site kalnins-yard has for platform_down.
	storeOutage = 4500 * time.Millisecond
	endsRunners = 2
)

// manyEnds lets many short tasks end while the store is down, so that their ends can't be taken note of.
func manyEnds(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range endsRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", "r1"}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	// Each job has 600 tasks of 0.1 cores; 640 fit on the two runners at a time.
	job := map[string]any{"spec": "ms=600", "steps": []map[string]any{{"count": 600, "cpu": 100, "mem-mb": 64, "est-ms": 600}}}
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("%016x", 0x1100+i)
		if !d.submit(id, job) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	if trouble {
		d.rec.logf("the store is down")
		d.store.setDown(true)
		time.Sleep(storeOutage)
		d.store.setDown(false)
		d.rec.logf("the store is back")
	}
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		done := 0
		for _, id := range ids {
			if _, state := d.state(d.procs[0], id); state == "done" {
				done++
			}
		}
		if done == len(ids) {
			break
		}
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		status, state := d.state(d.procs[0], id)
		d.rec.logf("GET %s: %d %s", id, status, state)
	}
	again, beside := log.twice()
	for _, line := range append(again, beside...) {
		d.rec.logf("TWICE %s", line)
	}
	d.rec.logf("%d starts, %d after a run that has ended done, %d beside another run", len(log.runs), len(again), len(beside))
	if len(again)+len(beside) > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d starts after a run that has ended done, %d beside another run", errBroken, len(again), len(log.runs), len(beside))
	}
	return nil
}
