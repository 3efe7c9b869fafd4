package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// pendingSimulation plays random outcomes of starts, and all that may follow them, and compares the count of pending jobs with what the
// runners have begun.
type pendingSimulation struct {
	*simulation
	jobs     []string
	accepted map[string]bool // its acceptance is durable
	unbegun  int             // the most jobs that had not begun at one time
	checks   int
}

func newPendingSimulation(seed int64) *pendingSimulation {
	p := &pendingSimulation{simulation: newMixedSimulation(seed, 6), accepted: map[string]bool{}}
	p.faults = seed%2 == 0
	if seed%3 == 0 { // a machine that has been up for long; otherwise it has just been started
		p.now += 200 * 24 * time.Hour
		p.takeover()
	}
	p.work = func(job.TaskID, int) (time.Duration, string) {
		if p.rng.Intn(10) == 0 {
			return 50 * time.Millisecond, EndFailed
		}
		return time.Duration(20+p.rng.Intn(1500)) * time.Millisecond, EndDone
	}
	return p
}

// submitRandom submits a job of one of the kinds that begin in different ways.
func (p *pendingSimulation) submitRandom() {
	id := fmt.Sprintf("9%015x", len(p.jobs))
	p.jobs = append(p.jobs, id)
	step := job.Step{
		Count: 1 + p.rng.Intn(3), Need: cores(1 + int64(p.rng.Intn(3))), Estimate: 300, Gang: p.rng.Intn(4) == 0,
		LongRunning: p.rng.Intn(8) == 0, Checkpoints: p.rng.Intn(3) == 0, Speculative: p.rng.Intn(6) == 0,
	}
	if p.rng.Intn(3) == 0 {
		step.RequiredLabel = "only"
	}
	p.submitStep([]string{"urgent", "gang", "fill"}[p.rng.Intn(3)], id, step)
}

// disturb makes one of the things happen that come between a start and the beginning of its run.
func (p *pendingSimulation) disturb() {
	r := p.runnersAt(func(RunnerInfo) bool { return true })[p.rng.Intn(len(p.runners))]
	length := time.Duration(p.rng.Intn(6500)) * time.Millisecond
	switch p.rng.Intn(8) {
	case 0, 1:
		outcome := []StartOutcome{StartUnhealthy, StartRefused, StartTicketInvalid, StartUnknown, StartUnsettled, StartNotSent}[p.rng.Intn(6)]
		r.refuses = func() (StartOutcome, bool) { return outcome, true }
		p.afterFunc(length, func() { r.refuses = nil })
	case 2:
		r.unreachable = true
		p.afterFunc(length, func() { r.unreachable = false })
	case 3:
		r.restart()
	case 4:
		p.takeover()
	case 5:
		p.storeDown = true
		p.afterFunc(length/4, func() { p.storeDown = false })
	case 6:
		if len(p.jobs) > 0 {
			p.sched.Cancel(p.jobs[p.rng.Intn(len(p.jobs))])
		}
	case 7:
		p.noSendUntil = p.now + length/4
	}
}

// check compares the count with the accepted jobs that have not begun on any runner.
func (p *pendingSimulation) check(t *testing.T) {
	t.Helper()
	unbegun := 0
	for _, id := range p.jobs {
		if p.records[id] != nil {
			p.accepted[id] = true
		}
		if _, begun := p.firstStarts[id]; p.accepted[id] && !begun && p.finished[id].State == "" {
			unbegun++
		}
	}
	pending := 0
	for _, n := range p.sched.Pending() {
		pending += n
	}
	p.checks++
	p.unbegun = max(p.unbegun, unbegun)
	if pending < unbegun {
		t.Fatalf("%s: %d jobs are pending, %d accepted ones have not begun", p.now, pending, unbegun)
	}
	for _, id := range p.jobs {
		if _, begun := p.firstStarts[id]; !begun && p.accepted[id] {
			if state, known := p.sched.State(id); known && state == job.Running && p.finished[id].State == "" {
				t.Fatalf("%s: job %s is shown as running and has not begun", p.now, id)
			}
		}
	}
}

// TestPendingCountsAllThatHaveNotBegun guards against callers who are told that fewer jobs wait than have not begun on any runner
// (MIXED, review/7), whatever came between the start and the run: refusals of each kind, lost and late answers, stops, losses of runners,
// cancels, outages of the store and changes of owner.
func TestPendingCountsAllThatHaveNotBegun(t *testing.T) {
	most, checks := 0, 0
	for seed := range int64(60) {
		p := newPendingSimulation(seed)
		for _, r := range p.runnersAt(func(info RunnerInfo) bool { return info.ID < "r02" }) {
			r.info.Labels = append(r.info.Labels, "only")
			p.sched.RunnerListed(r.info)
		}
		for range 400 { // 20 s
			if p.rng.Intn(5) == 0 {
				p.submitRandom()
			}
			if p.rng.Intn(12) == 0 {
				p.disturb()
			}
			p.run(50 * time.Millisecond)
			p.check(t)
		}
		most, checks = max(most, p.unbegun), checks+p.checks
	}
	t.Logf("%d comparisons, up to %d jobs that had not begun", checks, most)
	if most < 12 {
		t.Errorf("at most %d jobs had not begun: the runs say little", most)
	}
}
