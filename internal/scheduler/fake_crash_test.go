package scheduler

import (
	"fmt"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// crashDowntime is the time until another runner answers at the address of one that has crashed.
	crashDowntime = 3 * time.Second
	// restartDowntime is the time until a runner that restarts under its identifier answers again.
	restartDowntime = 300 * time.Millisecond
	// crashDelisting is the time until discovery removes a runner that has crashed.
	crashDelisting = 4200 * time.Millisecond
)

// crash ends a runner's process and all its runs. Another runner starts at its address some seconds later, or the same one with
// restartsInPlace.
func (r *fakeRunner) crash() {
	if r.ended {
		return
	}
	sim := r.sim
	sim.logf("simulation: %s crashes", r.info.ID)
	for key := range r.runs {
		sim.running[key.task]--
	}
	r.ended, r.runs = true, map[runKey]*fakeRun{}
	alive := sim.now - 20*time.Millisecond
	sim.afterFunc(5*time.Millisecond, func() {
		sim.sched.RunnerUnreachable(r.ref(), ContactLoss{Reason: "EOF", Closed: true, AliveUntil: alive})
	})
	if sim.restartsInPlace {
		sim.afterFunc(restartDowntime, func() {
			r.ended = false
			r.restart()
		})
		return
	}
	sim.afterFunc(crashDowntime, r.replace)
	sim.afterFunc(crashDelisting, func() {
		r.delisted = true
		sim.sched.RunnerDelisted(r.info.ID)
	})
}

// replace starts another runner at the address of one that has crashed.
func (r *fakeRunner) replace() {
	sim := r.sim
	next := &fakeRunner{sim: sim, info: r.info, incarnation: int64(sim.now), runs: map[runKey]*fakeRun{}, stoppedUpTo: map[job.TaskID]int{}}
	next.info.ID = fmt.Sprintf("%s.%d", r.info.ID[:3], sim.now.Milliseconds())
	sim.runners[next.info.ID] = next
	r.replacedBy = next
	sched := sim.sched
	sched.RunnerListed(next.info)
	sim.poll(sched, next, 0)
}

// pollEnded delivers the result of polls of a runner whose process has ended.
func (sim *simulation) pollEnded(sched *Scheduler, r *fakeRunner) {
	if r.delisted {
		return
	}
	if r.replacedBy != nil {
		sched.RunnerReplaced(r.ref())
		return
	}
	sched.RunnerUnreachable(r.ref(), ContactLoss{Reason: "connection refused", Closed: true, AliveUntil: sim.now - 200*time.Millisecond})
	sim.afterFunc(200*time.Millisecond, func() { sim.poll(sched, r, 0) })
}
