package scheduler

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// start begins a run as the platform's runners do; promises are checked here.
func (r *fakeRunner) start(e StartRun, term int64, until time.Duration) StartOutcome {
	w := r.w
	key := runKey{e.Task, e.Run}
	switch {
	case r.silent:
		return StartUnknown
	case term < r.fence || e.Run <= r.refused[e.Task] || w.now > until || e.Runner.Incarnation != r.born:
		return StartRefused
	case r.runs[key] != nil:
		return StartOK
	}
	r.fence = max(r.fence, term)
	r.lapsesAt = max(r.lapsesAt, until)
	step := w.specs[e.Task.Job].Steps[e.Task.Step]
	if w.acked[e.Task] && !step.Speculative { // a copy that is carried out late may come after the first end
		w.fail("%s starts after its end was acknowledged", e.Task)
	}
	if w.running[e.Task] > 0 && !step.Speculative {
		w.fail("%s run %d starts on %s while another run exists", e.Task, e.Run, r.info.ID)
	}
	w.running[e.Task]++
	w.note("world: %s run %d begins on %s", e.Task, e.Run, r.info.ID)
	how := EndDone
	if w.failIn > 0 && w.rng.Intn(w.failIn) == 0 {
		how = EndFailed
	}
	length := w.runFor(step)
	if slower := w.slower[r.info.ID]; slower > 0 {
		length = time.Duration(float64(length) * slower)
	}
	if _, begun := w.began[e.Task.Job]; !begun {
		w.began[e.Task.Job] = w.now
	}
	saved, _ := time.ParseDuration(e.Checkpoint)
	r.runs[key] = &fakeRun{
		key: key, need: step.Need, endsAt: w.now + length - saved, how: how, gang: step.Gang,
		saves: step.Checkpoints, began: w.now - saved,
	}
	used := model.Resources{}
	for _, x := range r.runs {
		used = used.Add(x.need)
	}
	if !used.Fits(r.info.Capacity) {
		w.fail("%s is over its capacity", r.info.ID)
	}
	return StartOK
}

func (r *fakeRunner) stop(key runKey) {
	r.refused[key.task] = max(r.refused[key.task], key.run)
	if x := r.runs[key]; x != nil {
		if x.saves {
			x.saved = (r.w.now - x.began).String()
		}
		x.endsAt, x.how = r.w.now+50*time.Millisecond, EndStopped
	}
}

// step ends the runs that are due. The members of a gang end together, wherever they run.
func (r *fakeRunner) step() {
	for key, x := range r.runs {
		switch {
		case r.w.now >= r.lapsesAt:
			r.end(key, EndLeaseExpired)
		case r.w.now >= x.endsAt && x.gang && x.how == EndDone:
			r.w.endGang(key, EndDone)
		case r.w.now >= x.endsAt:
			r.end(key, x.how)
			if x.gang {
				r.w.endGang(key, EndGangBroken)
			}
		}
	}
}

// endGang ends the members of a gang's run; it is done only if all members are present.
func (w *world) endGang(key runKey, how string) {
	count := w.specs[key.task.Job].Steps[key.task.Step].Count
	present := 0
	for _, r := range w.runners {
		for k := range r.runs {
			if k.task.StepID == key.task.StepID && k.run == key.run {
				present++
			}
		}
	}
	if how == EndDone && present < count {
		return // waits for the others
	}
	for _, r := range w.runners {
		for k := range r.runs {
			if k.task.StepID == key.task.StepID && k.run == key.run {
				r.end(k, how)
			}
		}
	}
}

func (r *fakeRunner) end(key runKey, how string) {
	saved := r.runs[key].saved
	delete(r.runs, key)
	r.w.running[key.task]--
	r.refused[key.task] = max(r.refused[key.task], key.run)
	r.ends++
	r.w.note("world: %s run %d ends on %s: %s", key.task, key.run, r.info.ID, how)
	r.ended = append(r.ended, EndedRun{Seq: r.ends, Task: key.task, Run: key.run, Outcome: how, Checkpoint: saved})
}

// forget drops the ends that are acknowledged.
func (r *fakeRunner) forget(upto int64) {
	r.ended = slices.DeleteFunc(r.ended, func(e EndedRun) bool {
		if e.Seq <= upto && e.Outcome == EndDone {
			r.w.acked[e.Task] = true
		}
		return e.Seq <= upto
	})
}

// restart begins a new life at the same address.
func (r *fakeRunner) restart() {
	for key := range r.runs {
		r.w.running[key.task]--
	}
	r.born++
	r.w.note("world: %s restarts", r.info.ID)
	r.fence, r.ends, r.lapsesAt = 0, 0, 0
	r.runs, r.refused, r.ended = map[runKey]*fakeRun{}, map[job.TaskID]int{}, nil
}
