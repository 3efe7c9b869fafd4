package shard

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
)

// maxRequests keeps the test cases short enough to shrink.
const maxRequests = 12

// TestStateful guards against duplicate executions, wrong not-run answers, violated ordering
// and lost or repeated answers in the presence of crashes, handovers, late and repeated
// messages, failed journal writes and unreachable pools.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   sim.actSubmit,
			"repeat":   sim.actRepeat,
			"conflict": sim.actConflict,
			"again":    sim.actResubmit,
			"grant":    sim.actGrant,
			"send":     sim.actSend,
			"end":      sim.actEnd,
			"deliver":  sim.actDeliver,
			"forget":   sim.actForget,
			"flush":    sim.actFlush,
			"call":     sim.actCall,
			"fail":     sim.actFail,
			"compact":  func(*rapid.T) { sim.compact() },
			"advance":  sim.actAdvance,
			"cancel":   sim.actCancel,
			"crash":    sim.actCrash,
			"handover": sim.actHandover,
			"report":   sim.actReport,
			"":         func(*rapid.T) { sim.checkQueues() },
		})
		sim.drain()
	})
}

func (sim *simulation) actSubmit(t *rapid.T) {
	if len(sim.requests) >= maxRequests {
		t.Skip()
	}
	sim.submit(sim.newRequest())
}

func (sim *simulation) actRepeat(t *rapid.T) {
	if len(sim.requests) == 0 {
		t.Skip()
	}
	if r := sim.requests[rapid.IntRange(0, len(sim.requests)-1).Draw(t, "request")]; !r.notRun {
		sim.submit(r)
	}
}

// actConflict reuses an identifier with a different body, which must be refused for this
// caller only.
func (sim *simulation) actConflict(t *rapid.T) {
	if len(sim.requests) == 0 {
		t.Skip()
	}
	r := sim.requests[rapid.IntRange(0, len(sim.requests)-1).Draw(t, "request")]
	if _, known := sim.table.Status(r.sub.Key); !known {
		t.Skip()
	}
	other := r.sub
	other.Body = []byte("other")
	fx := sim.table.Submit(sim.now, other, 1<<40)
	if len(fx.Answers) != 1 || fx.Answers[0].Reply.Reason != model.ReasonRecordConflict {
		t.Fatalf("a different body was not refused: %+v", fx.Answers)
	}
}

func (sim *simulation) actResubmit(t *rapid.T) {
	if len(sim.resubmit) == 0 {
		t.Skip()
	}
	sim.resubmitNext()
}

func (sim *simulation) actGrant(t *rapid.T) {
	demand := sim.table.Demand(sim.now)
	if len(demand) == 0 {
		t.Skip()
	}
	d := demand[rapid.IntRange(0, len(demand)-1).Draw(t, "demand")]
	hold := d.Tasks > 1 && rapid.Bool().Draw(t, "hold")
	n := d.Tasks
	if hold {
		n = rapid.IntRange(1, d.Tasks).Draw(t, "part")
	}
	var endpoints []string
	for range n {
		endpoints = append(endpoints, endpointName(rapid.IntRange(1, 5).Draw(t, "endpoint")))
	}
	sim.grant(d, endpoints, hold)
}

func (sim *simulation) actSend(t *rapid.T) {
	if len(sim.unsent) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(sim.unsent)-1).Draw(t, "start")
	s := sim.unsent[i]
	sim.unsent = append(sim.unsent[:i:i], sim.unsent[i+1:]...)
	sim.send(s, rapid.IntRange(0, 3).Draw(t, "refuse") == 0)
}

// drawExecution draws an execution with the property, or skips the action if there is none.
func (sim *simulation) drawExecution(t *rapid.T, property func(*execution) bool) *execution {
	var found []*execution
	for _, e := range sim.pool {
		if property(e) {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		t.Skip()
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(t, "execution")]
}

func (sim *simulation) actEnd(t *rapid.T) {
	e := sim.drawExecution(t, func(e *execution) bool { return !e.ended })
	failed := model.Settled{End: model.AttemptEnded, HasAnswer: true, Answer: model.Answer{Status: 500}}
	ends := []model.Settled{
		e.success(), e.success(), failed,
		{End: model.AttemptEnded, Stopped: true},
		{End: model.AttemptEnded},
		{End: model.AttemptUnknown},
	}
	sim.end(e, ends[rapid.IntRange(0, len(ends)-1).Draw(t, "end")])
}

func (sim *simulation) actDeliver(t *rapid.T) {
	sim.deliver(sim.drawExecution(t, func(e *execution) bool { return e.ended && !e.deleted }))
}

// actForget lets a pool delete a completion that the owner has acknowledged and recorded durably.
func (sim *simulation) actForget(t *rapid.T) {
	sim.drawExecution(t, func(e *execution) bool {
		if !e.ended || !e.acknowledged || e.deleted {
			return false
		}
		for _, entry := range sim.journal[:min(e.ackedAt, len(sim.journal))] {
			if !entry.durable {
				return false
			}
		}
		return true
	}).deleted = true
}

func (sim *simulation) actFlush(t *rapid.T) { sim.flush(rapid.IntRange(1, 3).Draw(t, "records")) }

func (sim *simulation) actCall(t *rapid.T) {
	if len(sim.callbacks) == 0 {
		t.Skip()
	}
	sim.callNext()
}

func (sim *simulation) actAdvance(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 3).Draw(t, "late tick") > 0 {
		sim.apply(sim.table.Tick(sim.now))
	}
}

func (sim *simulation) actCancel(t *rapid.T) {
	if len(sim.requests) == 0 {
		t.Skip()
	}
	r := sim.requests[rapid.IntRange(0, len(sim.requests)-1).Draw(t, "request")]
	results, fx := sim.table.Cancel(sim.now, []model.RequestKey{r.sub.Key})
	sim.apply(fx)
	r.cancelled = r.cancelled || results[0].Found
	if results[0].Outcome == model.OutcomeNotRun && len(r.executions) > 0 {
		t.Fatalf("cancel reports not-run for %v, which was executed", r.sub.Key)
	}
}

// skipMostly skips an action most of the time, so that work can finish between changes of the
// owner.
func skipMostly(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip()
	}
}

func (sim *simulation) actFail(t *rapid.T) {
	skipMostly(t)
	sim.failJournal()
}

func (sim *simulation) actCrash(t *rapid.T) {
	skipMostly(t)
	sim.crash()
}

func (sim *simulation) actHandover(t *rapid.T) {
	skipMostly(t)
	sim.handover()
}

func (sim *simulation) actReport(t *rapid.T) {
	if len(sim.reports) == 0 {
		t.Skip()
	}
	pool := sim.reports[rapid.IntRange(0, len(sim.reports)-1).Draw(t, "report")].Pool
	reachable := rapid.IntRange(0, 2).Draw(t, "unreachable") > 0
	for i := len(sim.reports) - 1; i >= 0; i-- {
		if sim.reports[i].Pool == pool {
			sim.report(i, reachable)
		}
	}
}

// checkQueues checks that the counters match the requests that they count.
func (sim *simulation) checkQueues() {
	queueEntries := map[*templateState]int{}
	for _, s := range sim.table.shards {
		if s == nil {
			continue
		}
		heldCount := 0
		for _, j := range s.jobs {
			if j.countedInQueue {
				queueEntries[j.template]++
			}
			if j.phase == phaseHeld {
				heldCount++
			}
		}
		if heldCount != s.heldCount {
			sim.t.Fatalf("shard counts %d held requests, has %d", s.heldCount, heldCount)
		}
	}
	for _, template := range sim.table.templatesByName {
		if template.queueEntries != queueEntries[template] {
			sim.t.Fatalf("%v counts %d entries, has %d", template.ID, template.queueEntries, queueEntries[template])
		}
	}
}

// drain runs everything to completion and checks that no waiter is left.
func (sim *simulation) drain() {
	for round := range 300 {
		if sim.finished() {
			return
		}
		sim.drainRound(round)
	}
	sim.t.Fatalf("%d waiters were not answered; jobs %+v", len(sim.waiters), sim.table.Jobs(Filter{}))
}

func (sim *simulation) finished() bool {
	if len(sim.waiters)+len(sim.resubmit)+len(sim.unsent)+len(sim.callbacks) > 0 {
		return false
	}
	for _, s := range sim.table.Jobs(Filter{}) {
		if s.State != model.JobDone {
			return false
		}
	}
	return true
}

func (sim *simulation) drainRound(round int) {
	for len(sim.reports) > 0 {
		sim.report(0, true)
	}
	sim.flush(len(sim.journal))
	for len(sim.callbacks) > 0 {
		sim.callNext()
	}
	for len(sim.resubmit) > 0 {
		sim.resubmitNext()
	}
	for _, r := range sim.requests {
		if r.template.Kind == model.KindService {
			_, fx := sim.table.Cancel(sim.now, []model.RequestKey{r.sub.Key})
			sim.apply(fx)
		}
	}
	for _, d := range sim.table.Demand(sim.now) {
		endpoints := make([]string, d.Tasks)
		for i := range endpoints {
			endpoints[i] = "d" + strconv.Itoa(round) + "-" + strconv.Itoa(i)
		}
		sim.grant(d, endpoints, false)
	}
	for _, s := range sim.unsent {
		sim.send(s, false)
	}
	sim.unsent = nil
	for _, e := range sim.pool {
		if !e.ended {
			sim.end(e, e.success())
		}
		if !e.deleted {
			sim.deliver(e)
		}
	}
	sim.now = sim.now.Add(time.Second)
	sim.apply(sim.table.Tick(sim.now))
}
