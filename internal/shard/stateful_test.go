package shard

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
)

// maxRequests keeps the histories short enough to shrink.
const maxRequests = 12

// TestStateful guards against duplicate executions, wrong not-run answers,
// broken order and lost or repeated answers over crashes, handovers, late and
// repeated messages, failed journal writes and unreachable pools.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   w.actSubmit,
			"repeat":   w.actRepeat,
			"conflict": w.actConflict,
			"again":    w.actAgain,
			"grant":    w.actGrant,
			"send":     w.actSend,
			"end":      w.actEnd,
			"deliver":  w.actDeliver,
			"forget":   w.actForget,
			"flush":    w.actFlush,
			"call":     w.actCall,
			"fail":     w.actFail,
			"compact":  func(*rapid.T) { w.compact() },
			"advance":  w.actAdvance,
			"cancel":   w.actCancel,
			"crash":    w.actCrash,
			"handover": w.actHandover,
			"report":   w.actReport,
			"":         func(*rapid.T) { w.checkQueues() },
		})
		w.drain()
	})
}

func (w *world) actSubmit(t *rapid.T) {
	if len(w.requests) >= maxRequests {
		t.Skip()
	}
	w.submit(w.newRequest())
}

func (w *world) actRepeat(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip()
	}
	if r := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")]; !r.notRun {
		w.submit(r)
	}
}

// actConflict uses an identifier with another body, which must be refused for this caller only.
func (w *world) actConflict(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip()
	}
	r := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")]
	if _, known := w.table.Status(r.sub.Key); !known {
		t.Skip()
	}
	other := r.sub
	other.Body = []byte("other")
	fx := w.table.Submit(w.now, other, 1<<40)
	if len(fx.Answers) != 1 || fx.Answers[0].Reply.Reason != model.ReasonRecordConflict {
		t.Fatalf("other body was not refused: %+v", fx.Answers)
	}
}

func (w *world) actAgain(t *rapid.T) {
	if len(w.resubmit) == 0 {
		t.Skip()
	}
	w.again()
}

func (w *world) actGrant(t *rapid.T) {
	demand := w.table.Demand(w.now)
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
	w.grant(d, endpoints, hold)
}

func (w *world) actSend(t *rapid.T) {
	if len(w.unsent) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(w.unsent)-1).Draw(t, "start")
	s := w.unsent[i]
	w.unsent = append(w.unsent[:i:i], w.unsent[i+1:]...)
	w.send(s, rapid.IntRange(0, 3).Draw(t, "refuse") == 0)
}

// some returns an execution with the property, or skips.
func (w *world) some(t *rapid.T, property func(*execution) bool) *execution {
	var found []*execution
	for _, e := range w.pool {
		if property(e) {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		t.Skip()
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(t, "execution")]
}

func (w *world) actEnd(t *rapid.T) {
	e := w.some(t, func(e *execution) bool { return !e.over })
	failed := model.Settled{End: model.AttemptEnded, HasAnswer: true, Answer: model.Answer{Status: 500}}
	ends := []model.Settled{
		e.success(), e.success(), failed,
		{End: model.AttemptEnded, Stopped: true},
		{End: model.AttemptEnded},
		{End: model.AttemptUnknown},
	}
	w.end(e, ends[rapid.IntRange(0, len(ends)-1).Draw(t, "end")])
}

func (w *world) actDeliver(t *rapid.T) {
	w.deliver(w.some(t, func(e *execution) bool { return e.over && !e.forgotten }))
}

// actForget lets a pool forget an end that the owner has taken and recorded.
func (w *world) actForget(t *rapid.T) {
	w.some(t, func(e *execution) bool {
		if !e.over || !e.delivered || e.forgotten {
			return false
		}
		for _, entry := range w.journal[:min(e.acked, len(w.journal))] {
			if !entry.durable {
				return false
			}
		}
		return true
	}).forgotten = true
}

func (w *world) actFlush(t *rapid.T) { w.flush(rapid.IntRange(1, 3).Draw(t, "records")) }

func (w *world) actCall(t *rapid.T) {
	if len(w.callbacks) == 0 {
		t.Skip()
	}
	w.call()
}

func (w *world) actAdvance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 3).Draw(t, "late tick") > 0 {
		w.apply(w.table.Tick(w.now))
	}
}

func (w *world) actCancel(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip()
	}
	r := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")]
	results, fx := w.table.Cancel(w.now, []model.RequestKey{r.sub.Key})
	w.apply(fx)
	r.stopped = r.stopped || results[0].Found
	if results[0].Outcome == model.OutcomeNotRun && len(r.ran) > 0 {
		t.Fatalf("cancel says not-run of %v, which was executed", r.sub.Key)
	}
}

// rarely skips most of the time, so that work comes to its end between changes of the owner.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip()
	}
}

func (w *world) actFail(t *rapid.T) {
	rarely(t)
	w.failJournal()
}

func (w *world) actCrash(t *rapid.T) {
	rarely(t)
	w.crash()
}

func (w *world) actHandover(t *rapid.T) {
	rarely(t)
	w.handover()
}

func (w *world) actReport(t *rapid.T) {
	if len(w.reports) == 0 {
		t.Skip()
	}
	pool := w.reports[rapid.IntRange(0, len(w.reports)-1).Draw(t, "report")].Pool
	reachable := rapid.IntRange(0, 2).Draw(t, "unreachable") > 0
	for i := len(w.reports) - 1; i >= 0; i-- {
		if w.reports[i].Pool == pool {
			w.report(i, reachable)
		}
	}
}

// checkQueues guards against counters that drift from the requests they count.
func (w *world) checkQueues() {
	entries := map[*templateState]int{}
	for _, s := range w.table.shards {
		if s == nil {
			continue
		}
		held := 0
		for _, j := range s.jobs {
			if j.counted {
				entries[j.template]++
			}
			if j.phase == phaseHeld {
				held++
			}
		}
		if held != s.held {
			w.t.Fatalf("shard counts %d held requests, has %d", s.held, held)
		}
	}
	for _, template := range w.table.ordered {
		if template.entries != entries[template] {
			w.t.Fatalf("%v counts %d entries, has %d", template.ID, template.entries, entries[template])
		}
	}
}

// drain lets everything come to its end and checks that nobody still waits.
func (w *world) drain() {
	for round := range 300 {
		if w.finished() {
			return
		}
		w.drainRound(round)
	}
	w.t.Fatalf("%d waiters without an answer; jobs %+v", len(w.waiters), w.table.Jobs(Filter{}))
}

func (w *world) finished() bool {
	if len(w.waiters)+len(w.resubmit)+len(w.unsent)+len(w.callbacks) > 0 {
		return false
	}
	for _, s := range w.table.Jobs(Filter{}) {
		if s.State != model.JobDone {
			return false
		}
	}
	return true
}

func (w *world) drainRound(round int) {
	for len(w.reports) > 0 {
		w.report(0, true)
	}
	w.flush(len(w.journal))
	for len(w.callbacks) > 0 {
		w.call()
	}
	for len(w.resubmit) > 0 {
		w.again()
	}
	for _, r := range w.requests {
		if r.template.Kind == model.KindService {
			_, fx := w.table.Cancel(w.now, []model.RequestKey{r.sub.Key})
			w.apply(fx)
		}
	}
	for _, d := range w.table.Demand(w.now) {
		endpoints := make([]string, d.Tasks)
		for i := range endpoints {
			endpoints[i] = "d" + strconv.Itoa(round) + "-" + strconv.Itoa(i)
		}
		w.grant(d, endpoints, false)
	}
	for _, s := range w.unsent {
		w.send(s, false)
	}
	w.unsent = nil
	for _, e := range w.pool {
		if !e.over {
			w.end(e, e.success())
		}
		if !e.forgotten {
			w.deliver(e)
		}
	}
	w.now = w.now.Add(time.Second)
	w.apply(w.table.Tick(w.now))
}
