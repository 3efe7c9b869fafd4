package scheduler

import (
	"github.com/agateyard/agateyard/internal/model"
)

// demand is what a tenant requests: the tasks of its open stages that are not done.
type demand struct {
	tasks   model.Resources
	work    amounts      // the same times the expected run time, in seconds: millicores, MB, accelerators
	largest largestStage // stage with the most work since the tenant last requested nothing
}

type largestStage struct {
	need    model.Resources
	seconds float64
}

// updateDemand accounts for a change in the number of tasks that a stage of a tenant requests.
func (s *Scheduler) updateDemand(st *stage) {
	t := st.job.tenant
	if t == nil {
		return
	}
	tasks := 0
	if st.open {
		tasks = len(st.tasks) - st.doneCount
	}
	change := tasks - int(st.requested)
	if change == 0 {
		return
	}
	if st.requested == 0 {
		st.runSeconds = float32(s.expectedRunTime(st).Seconds())
	}
	st.requested = int32(tasks)
	t.demand.add(st.step.Need.Scale(int64(change)), float64(st.runSeconds))
	t.demand.recordLargest(st.step.Need.Scale(int64(tasks)), float64(st.runSeconds))
}

func (d *demand) add(amount model.Resources, seconds float64) {
	d.tasks = d.tasks.Add(amount)
	if d.tasks.IsZero() {
		*d = demand{} // removes what rounding has left
		return
	}
	for i, v := range amountsOf(amount) {
		d.work[i] = max(d.work[i]+v*seconds, 0)
	}
}

func (d *demand) recordLargest(need model.Resources, seconds float64) {
	if float64(need.CoresMilli)*seconds > float64(d.largest.need.CoresMilli)*d.largest.seconds {
		d.largest = largestStage{need, seconds}
	}
}

// waitingWork returns the work that waits, per resource: the total less that of the tasks that run.
func (t *tenantState) waitingWork() amounts {
	var out amounts
	charged, requested := amountsOf(t.charged), amountsOf(t.demand.tasks)
	for i, work := range t.demand.work {
		if requested[i] > charged[i] {
			out[i] = work * (1 - charged[i]/requested[i])
		}
	}
	return out
}

// amounts holds an amount of each resource: millicores, MB, accelerators.
type amounts [3]float64

func (a *amounts) add(b amounts, factor float64) {
	for r := range a {
		a[r] += factor * b[r]
	}
}

func amountsOf(r model.Resources) amounts {
	return amounts{float64(r.CoresMilli), float64(r.MemoryMB), float64(r.Accelerators)}
}
