package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// TestLimits guards against a flood that uses more than its share or the reserves
// of others, and against rounding that starves a template.
func TestLimits(t *testing.T) {
	flood := request("flood", 1, 0.5, 0)
	urgent := request("urgent", 9, 0.6, 0.25)
	other := request("other", 9, 0.6, 0)
	tiny := request("tiny", 1, 0.01, 0)
	for _, c := range []struct {
		name   string
		slots  int64
		demand []model.Demand
		want   map[string]int
	}{
		{"flood share", 8, []model.Demand{demand(flood, 80, at(0))}, map[string]int{"flood": 4}},
		{"reserve of an idle template stays free", 8, []model.Demand{demand(other, 80, at(0)), demand(flood, 80, at(0))}, map[string]int{"other": 4, "flood": 2}},
		{"urgent flood is limited by its share", 20, []model.Demand{demand(urgent, 200, at(0)), demand(other, 6, at(0))}, map[string]int{"urgent": 12, "other": 6}},
		{"one task in a small pool", 2, []model.Demand{demand(tiny, 9, at(0))}, map[string]int{"tiny": 1}},
		{"one task where reserves fill the pool", 1, []model.Demand{demand(flood, 9, at(0))}, map[string]int{"flood": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool("runner/orders/z")
			setTemplates(p, flood, urgent, other, tiny)
			addEndpoints(p, 1, model.Resources{Slots: c.slots})
			p.SetDemand(at(0), "s", 1, c.demand)
			if got := byTemplate(p.Schedule(at(0))); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestBorrow guards against lending capacity that isn't freed in time: to long
// work that can't be stopped, or from templates that used it recently.
func TestBorrow(t *testing.T) {
	for _, c := range []struct {
		name  string
		runMS int64         // 0: not measured
		peak  int           // slots that another template used recently
		after time.Duration // since that use
		want  int           // of 10 slots, share 0.5
	}{
		{"not measured", 0, 0, 0, 5},
		{"long", 5000, 0, 0, 5},
		{"short", 20, 0, 0, 10},
		{"recent use of others", 20, 4, 0, 6},
		{"past use of others", 20, 4, time.Minute, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool("runner/orders/z")
			flood, other := request("flood", 1, 0.5, 0), request("other", 9, 1, 0)
			setTemplates(p, flood, other)
			addEndpoints(p, 1, model.Resources{Slots: 10})
			for range minMeasured {
				if c.runMS > 0 {
					p.template(flood.ID).runTimes.add(c.runMS)
				}
			}
			p.SetDemand(at(0), "s", 1, []model.Demand{demand(other, c.peak, at(0))})
			for _, a := range p.Schedule(at(0)) {
				p.Return(at(0), a.Grant.ID)
			}
			now := at(c.after)
			p.HandleSessionReply(now, "e0000", now, report(model.Resources{Slots: 10}))
			p.SetDemand(now, "s", 2, []model.Demand{demand(flood, 100, at(0))})
			if got := len(p.Schedule(now)); got != c.want {
				t.Fatalf("got %d, want %d", got, c.want)
			}
		})
	}
}

// queueModel simulates the queues of a pool of runners in steps of a millisecond
// and records the wait of every served request by template.
type queueModel struct {
	pool    *Pool
	waiting map[string][]time.Time
	ends    []runningRequest
	waits   map[string][]time.Duration
	next    uint64
	seq     uint64
}

type runningRequest struct {
	attempt model.AttemptID
	end     time.Time
}

func (q *queueModel) step(now time.Time, run time.Duration, templates []model.Template) {
	kept := q.ends[:0]
	for _, r := range q.ends {
		if r.end.After(now) {
			kept = append(kept, r)
			continue
		}
		ms := run.Milliseconds()
		q.pool.HandleStartResult(now, r.attempt, StartResult{Kind: StartAnswered, Answer: model.Answer{Status: 200}, RunMS: ms})
		q.pool.MarkDelivered(now, []model.AttemptID{r.attempt})
	}
	q.ends = kept
	var list []model.Demand
	for _, t := range templates {
		if w := q.waiting[t.ID.Name]; len(w) > 0 {
			list = append(list, demand(t, len(w), w[0]))
		}
	}
	q.seq++
	q.pool.SetDemand(now, "s", q.seq, list)
	for _, a := range q.pool.Schedule(now) {
		name := a.Grant.Template.Name
		q.waits[name] = append(q.waits[name], now.Sub(q.waiting[name][0]))
		q.waiting[name] = q.waiting[name][1:]
		q.next++
		if _, err := q.pool.StartAttempts(now, a.Grant.ID, []model.AttemptID{attemptID(q.next)}); err == nil {
			q.ends = append(q.ends, runningRequest{attemptID(q.next), now.Add(run)})
		}
	}
}
