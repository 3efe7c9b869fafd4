//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	attemptRunners = 12
	// greyTime is how long the runner fails all that it starts; the site has up to 6.5 s.
	greyTime   = time.Second
	attemptJob = "0000000000001500"
)

// lastAttempt lets the only runner that a job may use fail what it starts for a second.
func lastAttempt(d *deployment, trouble bool) error {
	log := &runLog{}
	d.attempts = 2 // as the site's cut-list has
	var runners []*runner
	for i := range attemptRunners {
		labels := []string{"a", fmt.Sprintf("r%d", i/6)}
		if i == 0 {
			labels[0] = "b"
		}
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: labels, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	grey := runners[0]
	if trouble {
		d.rec.logf("%s fails all that it starts", grey.id)
		grey.set(func() { grey.grey = true })
	}
	job := map[string]any{"spec": "ms=600", "steps": []map[string]any{{"count": 1, "cpu": 2800, "mem-mb": 4000, "est-ms": 600, "required-label": "b"}}}
	if !d.submit(attemptJob, job) {
		return fmt.Errorf("job %s was not accepted", attemptJob)
	}
	time.Sleep(greyTime)
	sound := time.Now()
	if trouble {
		d.rec.logf("%s is sound again", grey.id)
		grey.set(func() { grey.grey = false })
	}
	time.Sleep(20 * time.Second)
	status, state := d.state(d.procs[0], attemptJob)
	d.rec.logf("GET %s: %d %s", attemptJob, status, state)
	from, idle := log.longestIdle(attemptJob, sound.Add(4*time.Second), time.Now(), 0)
	d.rec.logf("nothing of it runs for %d ms, from %d ms after the disruption on", idle.Milliseconds(), from.Sub(sound).Milliseconds())
	if state != "done" && idle == 0 {
		return fmt.Errorf("the job is %s", state)
	}
	if idle > idleLimit {
		return fmt.Errorf("%w: LOST: the job has nothing running for %d ms, beginning 4 s after the disruption, although all %d runners are free",
			errBroken, idle.Milliseconds(), attemptRunners)
	}
	return nil
}
