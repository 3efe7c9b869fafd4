//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	loopRunners = 48
	// loopFailAfter is how long a task of the failing jobs works before it fails.
	loopFailAfter = 100
	plainJobs     = 40
	plainInterval = 1300 * time.Millisecond
)

// failingLasting hands in two jobs with tasks that last and always fail soon after their start, among a steady flow of sound jobs.
func failingLasting(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range loopRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/6)}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	accepted := map[string]time.Time{}
	var ids []string
	for n := range plainJobs {
		if trouble && n == 8 {
			for i := range 2 {
				id := fmt.Sprintf("%016x", 0x11f0+i)
				if !d.submit(id, map[string]any{
					"spec":  fmt.Sprintf("ms=%d fail", loopFailAfter),
					"steps": []map[string]any{{"count": 6, "cpu": 500, "mem-mb": 128, "est-ms": 1000, "daemon": true}},
				}) {
					return fmt.Errorf("job %s was not accepted", id)
				}
			}
		}
		id := fmt.Sprintf("%016x", 0x1100+n)
		if !d.submit(id, map[string]any{"spec": "ms=600", "steps": []map[string]any{{"count": 2, "cpu": 2000, "mem-mb": 512, "est-ms": 600}}}) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		accepted[id] = time.Now()
		ids = append(ids, id)
		time.Sleep(plainInterval)
	}
	time.Sleep(8 * time.Second)
	now := time.Now()
	broken, never := 0, 0
	for _, id := range ids {
		_, state := d.state(d.procs[0], id)
		from, idle := log.longestIdle(id, accepted[id], now, 0)
		d.rec.logf("%s: %s, nothing runs for %d ms, from %d ms after its acceptance on", id, state, idle.Milliseconds(), from.Sub(accepted[id]).Milliseconds())
		if idle <= idleLimit {
			continue
		}
		broken++
		if state != "done" {
			never++
		}
		d.rec.logf("LOST %s: %d runs are at work in the middle of that on %d runners with room for 16 each", id, log.atWork(from.Add(idle/2)), loopRunners)
	}
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d of %d sound jobs have nothing running for over 3 s although the runners are free, %d of them until the end",
			errBroken, broken, len(ids), never)
	}
	return nil
}
