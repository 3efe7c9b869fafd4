//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// crashRunners: one of seven runners is the share 0.14 that the site kalnins-yard has for srv_crash.
	crashRunners = 7
	// crashDown is how long a crashed runner is down; the site has 4.5 s.
	crashDown = 1200 * time.Millisecond
	// crashCount is how many runners crash, one after the other.
	crashCount = 56
)

// crashesByTurns lets the runners crash by turns, one at a time, while jobs with tasks that last are at work.
func crashesByTurns(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range crashRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/4)}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	job := map[string]any{"spec": "serve", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem-mb": 512, "est-ms": 1000, "daemon": true}}}
	var ids []string
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0x1400+i)
		if !d.submit(id, job) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	failed := map[string]bool{}
	look := func() {
		for _, id := range ids {
			status, state := d.state(d.procs[0], id)
			d.rec.logf("GET %s: %d %s", id, status, state)
			if state == "failed" || state == "canceled" {
				failed[id] = true
			}
		}
	}
	for i := range crashCount {
		r := runners[i%crashRunners]
		if trouble {
			r.crash()
		}
		time.Sleep(crashDown)
		if trouble {
			r.begin()
			d.rec.logf("%s is up again", r.id)
		}
		if i%crashRunners == 0 {
			look()
		}
	}
	time.Sleep(10 * time.Second)
	look()
	for _, e := range log.runs {
		if e.how == "failed" {
			return fmt.Errorf("%s ended as failed at a runner", e.task)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: LOST: %d of %d jobs with a task that lasts are shown as failed, although nobody has cancelled them and no run has ended as failed",
			errBroken, len(failed), len(ids))
	}
	return nil
}
