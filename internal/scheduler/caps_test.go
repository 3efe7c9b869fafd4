package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/tenant"
)

// existing returns what the runs of a tenant that exist or may still start request, by the state of the runners.
func (sim *simulation) existing(name string) model.Resources {
	var sum model.Resources
	add := func(key runKey) {
		if spec := sim.specs[key.task.Job]; spec.Tenant == name {
			sum = sum.Add(spec.Steps[key.task.Step].Need)
		}
	}
	for _, r := range sim.runners {
		for key := range r.runs {
			add(key)
		}
	}
	for key, request := range sim.inFlight {
		r := request.runner
		if r.runs[key] == nil && request.born == r.incarnation && request.fence >= r.fence && sim.now <= request.until && key.run > r.stoppedUpTo[key.task] {
			add(key)
		}
	}
	return sum
}

// checkCap records a violation if a start that was just sent exceeds its tenant's cap.
func (sim *simulation) checkCap(id string) {
	for _, t := range sim.tenants {
		if t.Name == sim.specs[id].Tenant && !withinCap(sim.existing(t.Name), t.Cap) {
			sim.fail("%s has %+v, its cap is %+v", t.Name, sim.existing(t.Name), t.Cap)
		}
	}
}

// setTenants puts a new configuration into force.
func (sim *simulation) setTenants(tenants ...tenant.Tenant) {
	sim.version++
	sim.tenants = tenants
	sim.sched.SetTenants(sim.version, tenants)
}

func capped(name string, cores int64) tenant.Tenant {
	return tenant.Tenant{Name: name, Weight: 1, Cap: model.Resources{CoresMilli: cores}}
}

func (sim *simulation) submitFor(name, queue, id string, steps ...job.Step) {
	spec := job.Spec{ID: id, Queue: queue, Tenant: name, ConfigVersion: sim.version, Steps: steps}
	sim.specs[id] = spec
	sim.sched.Submit(spec)
}

// TestCapsUnderFaults guards against a start that exceeds the cap of its tenant: random starts and ends, lost answers,
// late starts, silent and restarted runners, owner changes, cancellations, caps that change, and tenants that are removed
// and added again. All jobs finish, and removed tenants leave nothing.
func TestCapsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(int64(rapid.IntRange(0, 1<<30).Draw(rt, "seed")), 8)
		drawCaps := func() []tenant.Tenant {
			var out []tenant.Tenant
			for i := range 3 {
				if i > 0 && rapid.IntRange(0, 3).Draw(rt, "removed") == 0 {
					continue
				}
				limit := model.Resources{CoresMilli: int64(rapid.IntRange(18, 45).Draw(rt, "cores")) * 1000}
				if i == 2 {
					limit = model.Resources{MemoryMB: int64(rapid.IntRange(5, 20).Draw(rt, "memory")) * 1000}
				}
				out = append(out, tenant.Tenant{Name: fmt.Sprintf("t%d", i), Weight: 2, Cap: limit})
			}
			return out
		}
		sim.setTenants(drawCaps()...)
		sim.run(200 * time.Millisecond)
		sim.faults = true
		jobs := 0
		for range 25 {
			for range rapid.IntRange(0, 4).Draw(rt, "jobs") {
				jobs++
				sim.submit(fmt.Sprintf("%016x", jobs))
			}
			r := sim.runners[fmt.Sprintf("r%02d", rapid.IntRange(0, 7).Draw(rt, "runner"))]
			switch rapid.IntRange(0, 10).Draw(rt, "event") {
			case 0:
				r.restart()
			case 1:
				r.unreachable = true
				sim.afterFunc(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "silence"))*time.Millisecond, func() { r.unreachable = false })
			case 2:
				sim.takeover()
			case 3:
				sim.sched.Cancel(fmt.Sprintf("%016x", rapid.IntRange(1, jobs+1).Draw(rt, "job")))
			case 4:
				sim.setTenants(drawCaps()...)
			}
			sim.run(200 * time.Millisecond)
		}
		sim.faults = false
		sim.run(90 * time.Second)
		if left := sim.sched.Stats().ActiveJobs; left > 0 {
			rt.Errorf("%d jobs have not finished", left)
		}
		sim.reportViolations(rt)
		for _, x := range sim.sched.tenants.byName {
			if !x.charged.IsZero() || !x.inherited.IsZero() {
				rt.Errorf("%s is charged for %+v and %+v although nothing runs", x.Name, x.charged, x.inherited)
			}
		}
		if known := len(sim.sched.tenants.byName); known != len(sim.tenants) || known != len(sim.sched.tenants.sorted) {
			rt.Errorf("%d tenants are known, %d in order, %d are configured", known, len(sim.sched.tenants.sorted), len(sim.tenants))
		}
	})
}

// TestFallingCap guards against starts above a cap that has fallen below what runs, and against stops because of it.
func TestFallingCap(t *testing.T) {
	sim := newMixedSimulation(1, 8)
	sim.setTenants(capped("a", 30_000))
	for i := range 10 {
		sim.submitFor("a", "fill", fmt.Sprintf("f%015d", i), job.Step{Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 3000})
	}
	sim.run(time.Second)
	if used := sim.existing("a").CoresMilli; used < 28_000 {
		t.Fatalf("%d millicores run, want the cap of 30000 nearly used", used)
	}
	sim.setTenants(capped("a", 6000))
	sim.run(10 * time.Second)
	if used := sim.existing("a").CoresMilli; used != 6000 {
		t.Errorf("%d millicores run under the new cap of 6000", used)
	}
	if stops := sim.history("StopRun"); len(stops) > 0 {
		t.Errorf("runs were stopped: %v", stops[0])
	}
	sim.setTenants(capped("a", 30_000))
	sim.mustFinish(t, 30*time.Second)
}

// TestGangUnderCap guards against a gang that never starts under its tenant's cap because smaller stages of the same
// tenant take everything that becomes free.
func TestGangUnderCap(t *testing.T) {
	sim := newMixedSimulation(2, 16)
	sim.setTenants(capped("a", 16_000))
	for tick := range 160 { // 8 s
		if tick%4 == 0 {
			sim.submitFor("a", "fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 4, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000})
		}
		if tick == 40 {
			sim.submitFor("a", "gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 2000}, Estimate: 1000, Gang: true})
		}
		sim.run(50 * time.Millisecond)
	}
	if _, ok := sim.firstStarts["g000000000000001"]; !ok {
		t.Error("the gang has not started in 6 s")
	}
	sim.mustFinish(t, 20*time.Second)
}

// TestBestEffortCoresCount guards against best-effort tasks, which reserve no cores on runners, running above a cap.
func TestBestEffortCoresCount(t *testing.T) {
	sim := newMixedSimulation(3, 8)
	sim.setTenants(capped("a", 5000))
	sim.submitFor("a", "fill", "f000000000000001", job.Step{Count: 8, Need: model.Resources{CoresMilli: 1000}, Estimate: 2000, Fills: true})
	sim.run(time.Second)
	if used := sim.existing("a").CoresMilli; used != 5000 {
		t.Errorf("%d millicores requested, want the cap of 5000", used)
	}
}

// TestSilentRunnerCountsAfterTakeover guards against a new owner that starts work of a tenant above its cap while runs of
// its predecessor continue on a runner that doesn't answer. A tenant far under its cap starts at once.
func TestSilentRunnerCountsAfterTakeover(t *testing.T) {
	sim := newMixedSimulation(4, 8)
	sim.setTenants(capped("near", 8000), capped("far", 30_000))
	for _, name := range []string{"near", "far"} {
		sim.submitFor(name, "fill", name+"000000000000", job.Step{Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 20_000})
	}
	sim.run(time.Second)
	for _, r := range sim.runners {
		r.unreachable = len(r.runs) > 0
	}
	sim.takeover()
	sim.submitFor("near", "urgent", "near100000000000", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 100})
	sim.submitFor("far", "urgent", "far1000000000000", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 100})
	sim.run(2 * time.Second)
	if _, ok := sim.firstStarts["far1000000000000"]; !ok {
		t.Error("the job of the tenant far under its cap did not start")
	}
	if _, ok := sim.firstStarts["near100000000000"]; ok {
		t.Error("the job of the tenant at its cap started beside the inherited runs")
	}
	sim.reportViolations(t)
}

// TestBacklogAfterTakeover guards against a new owner that starts next to nothing of a tenant with a long queue until the
// last silent runner's leases have expired: at most one runner's capacity can be in use there.
func TestBacklogAfterTakeover(t *testing.T) {
	sim := newMixedSimulation(6, 8)
	sim.setTenants(capped("a", 40_000))
	for i := range 20 {
		sim.submitFor("a", "fill", fmt.Sprintf("f%015d", i), job.Step{Count: 10, Need: model.Resources{CoresMilli: 2000}, Estimate: 20_000})
	}
	sim.run(time.Second)
	sim.runners["r00"].unreachable = true
	sim.takeover()
	for i := range 40 {
		sim.submitFor("a", "urgent", fmt.Sprintf("u%015d", i), job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 20_000})
	}
	for _, r := range sim.runners {
		if !r.unreachable {
			r.runs = map[runKey]*fakeRun{} // what ran there has just ended
		}
	}
	sim.run(2 * time.Second)
	started := 0
	for i := range 40 {
		if _, ok := sim.firstStarts[fmt.Sprintf("u%015d", i)]; ok {
			started++
		}
	}
	const want = 32 // the cap less one runner of 8 cores
	if started < want {
		t.Errorf("%d urgent jobs have started beside a silent runner, want %d", started, want)
	}
	sim.reportViolations(t)
}

// TestUnknownInheritedRunnersCount guards against a new owner that starts work above a cap because it can't read which
// runners its predecessor has used: all inherited work may run on any of them.
func TestUnknownInheritedRunnersCount(t *testing.T) {
	sim := newMixedSimulation(7, 8)
	sim.setTenants(capped("a", 40_000))
	for i := range 10 {
		sim.submitFor("a", "fill", fmt.Sprintf("f%015d", i), job.Step{Count: 2, Need: model.Resources{CoresMilli: 2000}, Estimate: 20_000})
	}
	sim.run(time.Second)
	sched := New(testConfig(), 2, sim.now, sim.wall)
	sched.SetQueues(sim.queues)
	sched.SetTenants(sim.version, sim.tenants)
	sched.RunnerInherited("unreadable", "") // instead of the runners in use
	for _, r := range sim.records {
		sched.Restore(r)
	}
	sched.RestoreDone()
	for _, r := range sim.runners {
		sched.RunnerListed(r.info)
	}
	if got := sched.committed(sched.tenants.byName["a"]).CoresMilli; got < 40_000 {
		t.Errorf("%d millicores count against the cap, want the inherited 40000", got)
	}
	sched.updateUnreported()
	if got := sched.committed(sched.tenants.byName["a"]).CoresMilli; got < 40_000 {
		t.Errorf("%d millicores count against the cap after runners were listed, want the inherited 40000", got)
	}
}

// TestRunsOfFinishedJobsCount guards against a new owner that doesn't count runs of a cancelled job, of which it has
// only the record of the finished job.
func TestRunsOfFinishedJobsCount(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %t", silent), func(t *testing.T) {
			sim := newMixedSimulation(5, 8)
			sim.setTenants(capped("a", 8000))
			const id = "f000000000000001"
			sim.submitFor("a", "fill", id, job.Step{Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 20_000})
			sim.run(time.Second)
			sim.sched.Cancel(id)
			for _, d := range sim.sched.TakeDirty(1, func(string) bool { return false }) {
				sim.records[d.ID] = d.Record
			}
			sim.sched.Effects() // the owner ends before it has sent the stops
			if r := sim.records[id]; r.Tenant != "a" || r.Runs != 4 || r.Largest.CoresMilli != 2000 {
				t.Fatalf("record of the finished job: %+v", r)
			}
			for _, r := range sim.runners {
				r.unreachable = silent && len(r.runs) > 0
				for _, x := range r.runs { // a slow stop
					x.endsAt, x.outcome = sim.now+2*time.Second, EndStopped
				}
			}
			sim.takeover()
			sim.submitFor("a", "urgent", "u000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 100})
			sim.run(10 * time.Second)
			if _, ok := sim.firstStarts["u000000000000001"]; !ok {
				t.Error("the next job did not start after the runs had ended")
			}
			sim.reportViolations(t)
		})
	}
}

// TestUnknownTenantWaits guards against a job that starts before its tenant's cap is known, and against one that waits for
// ever because its tenant was removed.
func TestUnknownTenantWaits(t *testing.T) {
	sim := newMixedSimulation(6, 8)
	step := job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 100}
	started := func(id string) bool { _, ok := sim.firstStarts[id]; return ok }
	sim.submitFor("a", "urgent", "u000000000000001", step)
	sim.run(time.Second)
	if started("u000000000000001") {
		t.Error("a job of a tenant started before the first configuration")
	}
	sim.setTenants(capped("a", 4000))
	sim.run(time.Second)
	if !started("u000000000000001") {
		t.Error("the job did not start with its tenant's configuration")
	}
	sim.version++ // accepted under a configuration that the owner doesn't have yet
	sim.submitFor("b", "urgent", "u000000000000002", step)
	sim.run(time.Second)
	if started("u000000000000002") {
		t.Error("a job of an unknown tenant started before the configuration under which it was accepted")
	}
	sim.version++
	sim.setTenants(capped("a", 4000)) // b was added and removed
	sim.run(time.Second)
	if !started("u000000000000002") {
		t.Error("a job of a removed tenant did not start")
	}
	sim.sched.SetTenants(1, []tenant.Tenant{capped("a", 1)})
	if limit := sim.sched.tenantOf("a").Cap.CoresMilli; limit != 4000 {
		t.Errorf("an older configuration is in force: cap %d", limit)
	}
}

// TestOversizedJobsAreRefused guards against an accepted job that can never run under its tenant's cap.
func TestOversizedJobsAreRefused(t *testing.T) {
	sim := newMixedSimulation(7, 8)
	sim.setTenants(tenant.Tenant{Name: "a", Weight: 100, Cap: model.Resources{CoresMilli: 4000, MemoryMB: 500}})
	for name, c := range map[string]struct {
		tenant  string
		step    job.Step
		refused bool
	}{
		"fits":              {"a", job.Step{Count: 9, Need: model.Resources{CoresMilli: 4000, MemoryMB: 500}}, false},
		"cores of a task":   {"a", job.Step{Count: 1, Need: model.Resources{CoresMilli: 4001}}, true},
		"memory of a task":  {"a", job.Step{Count: 1, Need: model.Resources{MemoryMB: 501}}, true},
		"gang fits":         {"a", job.Step{Count: 4, Need: model.Resources{CoresMilli: 1000}, Gang: true}, false},
		"cores of a gang":   {"a", job.Step{Count: 5, Need: model.Resources{CoresMilli: 1000}, Gang: true}, true},
		"no limit":          {"a", job.Step{Count: 1, Need: model.Resources{Accelerators: 64}}, false},
		"unknown tenant":    {"b", job.Step{Count: 1, Need: model.Resources{CoresMilli: 4001}}, false},
		"without a tenant":  {"", job.Step{Count: 1, Need: model.Resources{CoresMilli: 4001}}, false},
		"best-effort cores": {"a", job.Step{Count: 1, Need: model.Resources{CoresMilli: 4001}, Fills: true}, true},
	} {
		spec := job.Spec{ID: "0000000000000001", Queue: "fill", Tenant: c.tenant, Steps: []job.Step{c.step}}
		refusal := sim.sched.Admit(&spec)
		if (refusal != nil) != c.refused {
			t.Errorf("%s: %+v", name, refusal)
		}
		if refusal != nil && refusal.RetryAfter != oversizeRetry {
			t.Errorf("%s: Retry-After %s", name, refusal.RetryAfter)
		}
	}
}

// TestReservedRunsUnderFallingCap guards against the start of runs that were reserved, or that could not be sent, before
// their tenant's cap fell.
func TestReservedRunsUnderFallingCap(t *testing.T) {
	for _, unsent := range []bool{false, true} {
		t.Run(fmt.Sprintf("unsent %t", unsent), func(t *testing.T) {
			sim := newMixedSimulation(8, 8)
			sim.removeAdvice("fill")
			sim.setTenants(capped("a", 8000))
			const id = "f000000000000001"
			if unsent {
				sim.noSendUntil = sim.now + 200*time.Millisecond
			}
			sim.submitFor("a", "fill", id, job.Step{Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 500})
			if unsent {
				sim.run(100 * time.Millisecond)
			} else {
				st := sim.sched.stages[job.StepID{Job: id}]
				for i, x := range st.tasks {
					sim.sched.reserve(x, sim.sched.sortedRunners()[i], 1)
				}
			}
			sim.setTenants(capped("a", 3000))
			sim.run(300 * time.Millisecond)
			if used := sim.existing("a").CoresMilli; used != 2000 {
				t.Errorf("%d millicores run, want one task of 2000", used)
			}
			sim.mustFinish(t, 10*time.Second)
		})
	}
}

// TestTenantWaitLines guards against a job whose decision lines don't say that it waits for its tenant's cap, and against
// figures of tenants without a bound.
func TestTenantWaitLines(t *testing.T) {
	sim := newMixedSimulation(9, 8)
	sim.setTenants(capped("a", 4000))
	for i := range 3 {
		sim.submitFor("a", "fill", fmt.Sprintf("f%015d", i), job.Step{Count: 2, Need: model.Resources{CoresMilli: 2000}, Estimate: 2000})
	}
	sim.run(time.Second)
	if lines := sim.history("tenant at its cap: 4 of 4 cores"); len(lines) != 2 {
		t.Errorf("lines about the cap: %v, want one for each of the two stages that wait", lines)
	}
	if stats := sim.sched.Stats().Tenants; len(stats) != 1 || stats[0].UsedCPU != 4000 || stats[0].CapCPU != 4000 || stats[0].WaitingCPU != 8000 {
		t.Errorf("figures %+v", stats)
	}
	sim.mustFinish(t, 20*time.Second)
	if lines := sim.history("Ended:true"); len(lines) != 2 {
		t.Errorf("lines about the end of the wait: %v", lines)
	}
	var many []tenant.Tenant
	for i := range 80 {
		many = append(many, capped(fmt.Sprintf("t%02d", i), 1000))
	}
	sim.setTenants(many...)
	if stats := sim.sched.Stats().Tenants; len(stats) != maxTenantStats+1 || stats[maxTenantStats].Name != otherTenants {
		t.Errorf("figures of %d tenants", len(stats))
	}
}

// TestRemovedTenantsLeaveNothing guards against states of removed tenants that stay for ever, as operators may add and
// remove thousands of tenants while one process is the owner.
func TestRemovedTenantsLeaveNothing(t *testing.T) {
	const rounds, perRound = 60, 50
	sim := newMixedSimulation(10, 8)
	most := 0
	for round := range rounds {
		var tenants []tenant.Tenant
		for i := range perRound {
			tenants = append(tenants, tenant.Tenant{Name: fmt.Sprintf("t%d-%d", round, i), Weight: 1, Cap: model.Resources{CoresMilli: 2000}})
		}
		sim.setTenants(tenants...)
		for i := range 3 { // the second job of a tenant is excess
			sim.submitFor(tenants[i/2].Name, "fill", fmt.Sprintf("%08d%08d", round, i), job.Step{Count: 2, Need: model.Resources{CoresMilli: 1000}, Estimate: 500})
		}
		sim.run(100 * time.Millisecond)
		most = max(most, len(sim.sched.tenants.byName))
	}
	if limit := 2 * perRound; most > limit { // those in force and those whose work has not ended yet
		t.Errorf("up to %d tenants were known, want at most %d", most, limit)
	}
	sim.setTenants()
	sim.mustFinish(t, 10*time.Second)
	x := sim.sched.tenants
	if len(x.byName)+len(x.sorted)+len(x.waits) > 0 {
		t.Errorf("%d tenants by name, %d in order and %d waits are left of %d removed tenants", len(x.byName), len(x.sorted), len(x.waits), rounds*perRound)
	}
}

// TestRemovedTenantKeepsItsCharges guards against a tenant that exceeds its cap after it was removed and added again,
// because its runs, on a silent runner or left of a cancelled job, were forgotten with it.
func TestRemovedTenantKeepsItsCharges(t *testing.T) {
	for _, c := range []struct{ silent, cancelled, takeover bool }{
		{silent: true},
		{cancelled: true},
		{silent: true, cancelled: true},
		{silent: true, takeover: true},
		{cancelled: true, takeover: true},
		{silent: true, cancelled: true, takeover: true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			sim := newMixedSimulation(11, 8)
			sim.setTenants(capped("a", 8000), capped("waits", 8000))
			const id, next = "f000000000000001", "u000000000000001"
			sim.submitFor("waits", "fill", "w000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, RequiredLabel: "none"})
			sim.submitFor("a", "fill", id, job.Step{Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 20_000})
			sim.run(time.Second)
			for _, r := range sim.runners {
				r.unreachable = c.silent && len(r.runs) > 0
			}
			if c.cancelled {
				sim.sched.Cancel(id)
				sim.sched.Effects() // the stops are lost
				for _, r := range sim.runners {
					for _, x := range r.runs { // stops take long
						x.endsAt, x.outcome = sim.now+2*time.Second, EndStopped
					}
				}
			}
			sim.setTenants()
			sim.run(200 * time.Millisecond)
			if c.takeover {
				sim.takeover()
				sim.run(200 * time.Millisecond)
			}
			if got := sim.sched.tenants.byName["a"]; got == nil || sim.sched.committed(got).CoresMilli != 8000 {
				t.Fatalf("the removed tenant is charged %+v, want 8000 millicores", got)
			}
			sim.setTenants(capped("a", 8000), capped("waits", 8000))
			if got := sim.sched.tenants.byName["waits"].requested(); got.CoresMilli != 1000 {
				t.Errorf("the tenant whose work waits requests %+v, want 1000 millicores", got)
			}
			sim.submitFor("a", "urgent", next, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 100})
			sim.run(time.Second)
			if _, ok := sim.firstStarts[next]; ok {
				t.Error("the next job started beside runs that fill the cap")
			}
			sim.run(9 * time.Second)
			if _, ok := sim.firstStarts[next]; !ok && c.cancelled {
				t.Error("the next job did not start after the runs had ended")
			}
			sim.setTenants()
			sim.sched.Cancel(id)
			sim.sched.Cancel("w000000000000001")
			sim.run(15 * time.Second)
			if n := len(sim.sched.tenants.byName); n > 0 {
				t.Errorf("%d tenants are known after all work has ended", n)
			}
			late := runKey{job.TaskID{StepID: job.StepID{Job: id}}, 99} // a start that a runner executes late
			sim.sched.chargeUnknown(sim.sched.sortedRunners()[0], late)
			sim.setTenants(capped("a", 8000))
			if got := sim.sched.tenants.byName["a"].charged; got.CoresMilli != 2000 {
				t.Errorf("charged %+v for a late run of a finished job, want 2000 millicores", got)
			}
			sim.reportViolations(t)
		})
	}
}
