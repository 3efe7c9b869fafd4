//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	silentRunners = 6
	lastingJob    = "00000000000012ff"
	longJob       = "00000000000012fe"
	laterJob      = "00000000000012fd"
	// stableAndCalm is how long after the disruption the idle time of a job begins to count: stable-ms, for which the connections
	// of a machine must not have been reset, and the 4 s before the 3 s that have to be calm.
	stableAndCalm = 7 * time.Second
	// idleLimit is how long a job may have nothing running although there is room.
	idleLimit = 3 * time.Second
	// lastingGrace is from when on that holds for a task that lasts, after its last run.
	lastingGrace = 6 * time.Second
)

// silentConnections makes the open connections to the runners go silent for good, once. New ones work.
func silentConnections(d *deployment, trouble bool) error {
	log := &runLog{}
	d.linked = true
	var runners []*runner
	for i := range silentRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/3)}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	step := func(count int, more map[string]any) []map[string]any {
		s := map[string]any{"count": count, "cpu": 2000, "mem-mb": 512, "est-ms": 300}
		for name, value := range more {
			s[name] = value
		}
		return []map[string]any{s}
	}
	jobs := []struct {
		id   string
		body map[string]any
	}{
		{lastingJob, map[string]any{"spec": "serve", "steps": step(silentRunners, map[string]any{"daemon": true, "max-per-server": 1})}},
		{longJob, map[string]any{"spec": "ms=60000", "steps": step(silentRunners, map[string]any{"est-ms": 60000, "max-per-server": 1})}},
		// Large jobs come at once; the process that gives the orders opens several connections to each runner for them.
		{"0000000000001200", map[string]any{"spec": "ms=300", "steps": step(60, nil)}},
		{"0000000000001201", map[string]any{"spec": "ms=300", "steps": step(60, nil)}},
		{"0000000000001202", map[string]any{"spec": "ms=300", "steps": step(60, nil)}},
	}
	for _, job := range jobs {
		if !d.submit(job.id, job.body) {
			return fmt.Errorf("job %s was not accepted", job.id)
		}
	}
	time.Sleep(6 * time.Second)
	at := time.Now()
	if trouble {
		for _, r := range runners {
			d.rec.logf("%d open connections to %s go silent", r.via.silence(), r.id)
		}
	}
	time.Sleep(stableAndCalm)
	if !d.submit(laterJob, map[string]any{"spec": "ms=300", "steps": step(2, nil)}) {
		return fmt.Errorf("job %s was not accepted", laterJob)
	}
	accepted := time.Now()
	time.Sleep(20 * time.Second)
	for _, id := range []string{lastingJob, longJob, laterJob} {
		status, state := d.state(d.procs[0], id)
		d.rec.logf("GET %s: %d %s", id, status, state)
	}
	broken := 0
	for _, job := range []struct {
		id    string
		from  time.Time
		grace time.Duration
	}{{lastingJob, at.Add(stableAndCalm), lastingGrace}, {longJob, at.Add(stableAndCalm), 0}, {laterJob, accepted, 0}} {
		from, idle := log.longestIdle(job.id, job.from, time.Now(), job.grace)
		d.rec.logf("%s: nothing runs for %d ms, from %d ms after the disruption on", job.id, idle.Milliseconds(), from.Sub(at).Milliseconds())
		if idle > idleLimit {
			broken++
			d.rec.logf("LOST %s: %d runs are at work meanwhile on %d runners with room for 16 each", job.id, log.atWork(from.Add(idle/2)), silentRunners)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d of 3 jobs have nothing running for over 3 s although all runners are free", errBroken, broken)
	}
	return nil
}

// longestIdle returns the longest time in which no run of the job is at work, within the given one. Of the time after a run only
// what is later than grace counts.
func (l *runLog) longestIdle(job string, from, to time.Time, grace time.Duration) (begin time.Time, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idleSince, working, sawDone := time.Time{}, 0, 0
	type change struct {
		at    time.Time
		delta int
		done  bool
	}
	var changes []change
	for _, e := range l.runs {
		if e.task[:16] != job {
			continue
		}
		changes = append(changes, change{e.began, 1, false})
		if !e.ended.IsZero() {
			changes = append(changes, change{e.ended, -1, e.how == "done"})
		}
	}
	sortBy(changes, func(a, b change) bool { return a.at.Before(b.at) })
	judge := func(until time.Time) {
		since := idleSince
		if since.Before(from) {
			since = from
		}
		if until.After(to) {
			until = to
		}
		if idle := until.Sub(since); idle > longest {
			begin, longest = since, idle
		}
	}
	idleSince = from
	for _, c := range changes {
		if working == 0 && c.delta > 0 {
			judge(c.at)
		}
		working += c.delta
		if c.done {
			sawDone++
		}
		if working == 0 {
			idleSince = c.at.Add(grace)
		}
	}
	if working == 0 && sawDone == 0 {
		judge(to)
	}
	return begin, longest
}

// atWork returns how many runs are at work at a time.
func (l *runLog) atWork(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.runs {
		if e.began.Before(at) && (e.ended.IsZero() || e.ended.After(at)) {
			n++
		}
	}
	return n
}
