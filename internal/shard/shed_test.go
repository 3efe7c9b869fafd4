package shard

import (
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Guards against callers that are kept waiting until their deadline although it is already
// known that their requests will not start in time.
func TestQueueIsShedWhenTheRateDrops(t *testing.T) {
	rnd := rand.New(rand.NewSource(11))
	table := New(Config{}, rnd)
	templates := testTemplates()
	now := epoch
	table.SetTemplates(now, templates)
	for s := range model.ShardID(model.ShardCount) {
		table.Own(now, s, Recovery{})
	}
	ask := model.TemplateID{Workspace: "w", Name: "ask"}
	var waiter WaiterID
	grants := uint64(0)
	submit := func() Effects {
		waiter++
		return table.Submit(now, model.Submission{Key: model.RequestKey{Template: ask, ID: newUUIDv7(now, rnd)}}, waiter)
	}
	bindGrant := func() {
		grants++
		g := model.Grant{ID: grants, Pool: runnerPool, Template: ask, Resources: templates[ask].Resources, Endpoints: []string{"e"}}
		if _, ok := table.Bind(now, g); !ok {
			t.Fatal("the grant was not used")
		}
	}
	// 100 starts per second with a growing queue, then 10 per second.
	refusedEarly := 0
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		refusedEarly += len(submit().Answers) + len(submit().Answers)
		bindGrant()
		refusedEarly += len(table.Tick(now).Answers)
	}
	if refusedEarly > 0 {
		t.Fatalf("%d refused while the queue drains in time", refusedEarly)
	}
	shed := 0
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		bindGrant()
		for _, a := range table.Tick(now).Answers {
			if a.Reply.Reason != model.ReasonOverload || a.Reply.Outcome != model.OutcomeNotRun || a.Reply.RetryAfter <= 0 {
				t.Fatalf("reply %+v", a.Reply)
			}
			shed++
		}
	}
	left := 0
	for _, d := range table.Demand(now) {
		left += d.Count
	}
	// 600 requests waited; in 20 s at 10 per second about 200 can start, with some
	// slack until the new rate is measured.
	if shed < 250 || shed+left != 450 {
		t.Fatalf("%d shed, %d left", shed, left)
	}
}

// Guards against a flood that is admitted in full because earlier requests that started
// immediately were measured as a very high rate.
func TestRateOfShortWaitsIsNotMeasured(t *testing.T) {
	m := rateMeter{window: DefaultRateWindow}
	now := epoch
	for range 2000 {
		m.setBacklogged(now, true)
		now = now.Add(time.Millisecond)
		m.add(now, 1)
		m.setBacklogged(now, false)
		now = now.Add(9 * time.Millisecond)
	}
	m.setBacklogged(now, true)
	m.add(now, 40) // on free capacity
	for range 150 {
		now = now.Add(10 * time.Millisecond)
		m.add(now, 0.5)
	}
	if rate, known := m.estimate(now); !known || rate < 40 || rate > 60 {
		t.Fatalf("rate %.0f/s, known %v; 50/s were served", rate, known)
	}
}

// Guards against a flood that is admitted in full until its rate is measured: the capacity and
// the run time of earlier work bound it from the first request on.
func TestFloodIsBoundedBeforeItsRateIsMeasured(t *testing.T) {
	f := newFixture(t, Config{})
	f.table.SetMembers(4)
	slots := model.Resources{Slots: 8}
	f.table.SetCapacity(f.now, []model.PoolSummary{{Pool: runnerPool, Total: slots, Biggest: slots, Endpoint: 1}})
	f.editTemplate("ask", func(t *model.Template) { t.Resources = model.Resources{Slots: 1} })
	f.submit(f.key("ask", ""))
	start := f.start("ask", "e1")
	f.advance(200 * time.Millisecond)
	f.table.Settle(f.now, model.Settled{Attempt: start.Attempt, End: model.AttemptEnded, HasAnswer: true, RunMS: 200})
	admitted := 0
	for range 1000 {
		admitted += 1 - len(f.submit(f.key("ask", "")).Answers)
	}
	// 8 slots at 200 ms give 40 starts per second, 10 for each of 4 owners, over the
	// admitted share of a maximum wait of 20 s.
	if float64(admitted) < 180*admittedWaitShare || float64(admitted) > 220*admittedWaitShare {
		t.Fatalf("%d admitted", admitted)
	}
}
