package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// TestUrgencyBeforeAge guards against less urgent work that delays urgent work because it is
// older or below its share, and against a workspace that starves another of the same urgency.
func TestUrgencyBeforeAge(t *testing.T) {
	f := newFixture(t, Config{})
	heavy := model.TemplateID{Workspace: "heavy", Name: "ask"}
	f.templates[heavy] = model.Template{
		ID: heavy, Kind: model.KindRequest, Service: "svc", Idempotent: true, Urgency: 3, Weight: 3,
		Resources: model.Resources{Slots: 1},
	}
	f.table.SetTemplates(f.now, f.templates)
	f.submit(f.key("ask-ordered", "a")) // urgency 0
	f.now = f.now.Add(10 * time.Second)
	started := map[model.TemplateID]int{}
	for range 60 {
		f.submit(f.key("ask", ""))
		key := f.key("ask", "")
		key.Template = heavy
		f.submit(key)
	}
	f.submit(f.key("charge", "")) // urgency 9
	first := f.table.Demand(f.now)[0]
	f.check(first.Template.Name == "charge", "first demand is %v", first)
	generic := model.Grant{Pool: runnerPool, Resources: model.Resources{Slots: 1}, Endpoints: []string{"e1"}}
	for i := range 41 {
		fx, ok := f.table.Bind(f.now, generic)
		f.check(ok, "the grant was not used")
		if i == 0 {
			f.check(fx.Records[0].Key.Template.Name == "charge", "first start is %v", fx.Records[0].Key)
			continue
		}
		started[fx.Starts[0].Key.Template]++
	}
	f.check(started[heavy] >= 28 && started[heavy] <= 32, "weight 3 of 4 got %d of 40 starts", started[heavy])
	f.check(len(started) == 2, "less urgent work started first: %v", started)
}

// TestBlockedWorkDoesNotBlockOthers guards against head-of-line blocking by an ordering key, by
// a gang that is not fully covered, and by a request that avoids an endpoint.
func TestBlockedWorkDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t, Config{})
	f.submit(f.key("ask-ordered", "a"))
	f.start("ask-ordered", "e1")
	blocked := f.key("ask-ordered", "a")
	f.submit(blocked)
	other := f.key("ask-ordered", "b")
	f.submit(other)
	f.check(f.start("ask-ordered", "e1").Key == other, "a blocked ordering key blocks another")
	_, ok := f.bind("ask-ordered", false, "e1")
	f.check(!ok, "a blocked request started")

	f.accept(f.key("gang", ""))
	f.bind("gang", true, "e1")
	f.accept(f.key("job", ""))
	f.start("job", "e2")

	f.submit(f.key("ask", ""))
	f.endWithAnswer(f.start("ask", "e1").Attempt, 500, "")
	f.advance(time.Second)
	fresh := f.key("ask", "")
	f.submit(fresh)
	f.check(f.start("ask", "e1").Key == fresh, "a retry that avoids the endpoint blocks another request")
}

// TestGang guards against a gang that starts partially, keeps grants although it is
// incomplete, or continues after the failure of one task.
func TestGang(t *testing.T) {
	f := newFixture(t, Config{})
	key := f.key("gang-once", "")
	f.accept(key)
	f.bind("gang-once", true, "e1")
	expired := f.advance(DefaultHoldLimit)
	f.check(len(expired.Returns) == 1, "an incomplete gang kept its grant")
	f.bind("gang-once", true, "e1")
	fx, _ := f.bind("gang-once", true, "e2", "e3")
	f.check(len(fx.Records) == 1 && len(fx.Records[0].Intent.Attempts) == 3, "not all tasks in one intent: %+v", fx)
	fx = f.table.IntentDurable(f.now, fx.Records[0].Attempt())
	f.check(len(fx.Starts) == 3, "%d of 3 tasks started", len(fx.Starts))
	starts := fx.Starts
	fx = f.endWithAnswer(starts[1].Attempt, 500, "broken")
	f.check(len(fx.Cancels) == 2, "%d of 2 other tasks stopped", len(fx.Cancels))
	for _, i := range []int{0, 2} {
		fx = f.table.Settle(f.now, model.Settled{Attempt: starts[i].Attempt, End: model.AttemptEnded, Stopped: true})
	}
	status, _ := f.table.Status(key)
	f.check(status.Outcome == model.OutcomeRan && status.Answer.Status == 500, "status %+v", status)
}

// TestService guards against replicas that are not restarted, restart in a tight loop or
// survive a cancellation.
func TestService(t *testing.T) {
	f := newFixture(t, Config{})
	id := model.TemplateID{Workspace: "w", Name: "service"}
	f.templates[id] = model.Template{ID: id, Kind: model.KindService, Tasks: 2, MaxWait: time.Second}
	f.table.SetTemplates(f.now, f.templates)
	key := f.key("service", "")
	f.accept(key)
	f.check(f.table.Demand(f.now)[0].Count == 2, "demand %+v", f.table.Demand(f.now))
	first := f.start("service", "e1")
	f.start("service", "e2")
	previous := time.Duration(0)
	for round := range 6 {
		endpoint := []string{"e1", "e3"}[round%2]
		f.table.Settle(f.now, model.Settled{Attempt: first.Attempt, Endpoint: endpoint, End: model.AttemptUnknown})
		next, ok := f.table.Next()
		f.check(ok, "no restart scheduled")
		wait := next.Sub(f.now)
		f.check(wait > previous/4, "backoff shrinks from %s to %s", previous, wait)
		previous = wait
		f.advance(wait)
		first = f.start("service", []string{"e3", "e1"}[round%2])
	}
	f.check(previous > 500*time.Millisecond, "backoff after 6 failures is %s", previous)
	results, fx := f.table.Cancel(f.now, []model.RequestKey{key})
	f.check(len(fx.Cancels) == 2 && results[0].Outcome == model.OutcomeUnknown, "%+v", fx)
	for _, c := range fx.Cancels {
		f.table.Settle(f.now, model.Settled{Attempt: c.Attempt, End: model.AttemptEnded, Stopped: true})
	}
	status, _ := f.table.Status(key)
	f.check(status.State == model.JobDone && status.Reason == model.ReasonCancelled, "status %+v", status)
	f.check(len(f.table.Demand(f.now)) == 0, "a cancelled service requests a grant")
}

// TestTakeover guards against a successor that holds new requests, duplicates a running
// attempt, or runs a later request with an ordering key while an earlier one is running.
func TestTakeover(t *testing.T) {
	f := newFixture(t, Config{})
	running := f.key("ask-ordered", "a")
	f.submit(running)
	attempt := f.start("ask-ordered", "e1").Attempt
	old := f.key("ask", "")

	f.now = f.now.Add(time.Minute)
	f.table = New(Config{}, f.rnd)
	f.table.SetTemplates(f.now, f.templates)
	f.own(Recovery{TakenAt: f.now, Pools: []model.PoolID{runnerPool}})
	for s := range model.ShardID(model.ShardCount) {
		f.table.Replayed(f.now, s)
	}
	f.submit(old)
	_, ok := f.bind("ask", false, "e1")
	f.check(!ok, "an old identifier started during the recovery")
	f.now = f.now.Add(DefaultClockSkew + time.Millisecond)
	f.submit(f.key("ask", ""))
	f.start("ask", "e1")
	later := f.key("ask-ordered", "a")
	f.submit(later)

	for s := range model.ShardID(model.ShardCount) {
		report := RecoveryReport{Shard: s, Pool: runnerPool, Reachable: true}
		if id, _ := attempt.Shard(); id == s {
			report.Attempts = []model.AttemptState{{Attempt: attempt, Endpoint: "e1", Running: true}}
		}
		f.table.RecoveryResult(f.now, report)
	}
	f.check(f.start("ask", "e2").Key == old, "the old identifier did not start after the recovery")
	_, ok = f.bind("ask-ordered", false, "e1")
	f.check(!ok, "a request started while an unknown attempt may have the same ordering key")
	f.submit(running)
	f.check(len(f.table.Demand(f.now)) == 0, "a running attempt was duplicated")
	r := f.onlyReply(f.endWithAnswer(attempt, 200, "joined"))
	f.check(string(r.Answer.Body) == "joined", "%+v", r)
	f.check(f.start("ask-ordered", "e1").Key == later, "the next request with the ordering key did not start")
}

// TestTaskEndSurvivesTakeover guards against a gang that runs again because the completion of a
// task was lost with the owner after its pool had deleted it.
func TestTaskEndSurvivesTakeover(t *testing.T) {
	f := newFixture(t, Config{})
	key := f.key("gang", "")
	journal := f.submit(key).Records
	f.table.AcceptanceDurable(f.now, key)
	fx, _ := f.bind("gang", false, "e1", "e2")
	journal = append(journal, f.endWithAnswer(fx.Starts[0].Attempt, 200, "").Records...)

	f.now = f.now.Add(time.Minute)
	f.table = New(Config{}, f.rnd)
	f.table.SetTemplates(f.now, f.templates)
	f.own(Recovery{TakenAt: f.now, Pools: []model.PoolID{workerPool}})
	for _, r := range journal {
		f.table.Replay(f.now, roundTripRecord(t, r))
	}
	f.table.Replayed(f.now, key.Shard())
	f.table.RecoveryResult(f.now, RecoveryReport{
		Shard: key.Shard(), Pool: workerPool, Reachable: true,
		Attempts: []model.AttemptState{{Attempt: fx.Starts[1].Attempt, Endpoint: "e2", Running: true}},
	})
	f.check(len(f.table.Demand(f.now)) == 0, "the gang was started again")
	f.check(len(f.endWithAnswer(fx.Starts[1].Attempt, 200, "").Cancels) == 0, "the gang was stopped")
	status, _ := f.table.Status(key)
	f.check(status.Outcome == model.OutcomeRan, "status %+v", status)
}

// TestRelease guards against a successor that restores a shard which its predecessor had
// handed over, and against a frozen shard that stays frozen when its handover is aborted.
func TestRelease(t *testing.T) {
	f := newFixture(t, Config{})
	key := f.key("job", "")
	journal := f.submit(key).Records
	f.table.AcceptanceDurable(f.now, key)
	f.table.Freeze(f.now, key.Shard())
	f.check(len(f.table.Demand(f.now)) == 0 && !f.table.Owns(key.Shard()), "a frozen shard requests grants or is reported as owned")
	f.check(f.onlyReply(f.submit(key)).Reason == model.ReasonMoved, "a frozen shard accepts requests")
	f.table.Own(f.now, key.Shard(), Recovery{})
	f.check(len(f.table.Demand(f.now)) == 1, "the shard stays frozen")
	journal = append(journal, f.table.Drop(f.now, key.Shard()).Records...)
	f.table.Own(f.now, key.Shard(), Recovery{TakenAt: f.now})
	for _, r := range journal {
		f.table.Replay(f.now, r)
	}
	f.table.Replayed(f.now, key.Shard())
	jobs := f.table.Jobs(Filter{Workspace: "w", Template: "job"})
	f.check(!slices.ContainsFunc(jobs, func(s model.JobStatus) bool { return s.Key == key }), "a released job was restored")
}

// TestRanSurvivesTakeover guards against a not-run answer for an accepted request whose first
// round ended and was acknowledged, and which was waiting for its retry when its owner died.
func TestRanSurvivesTakeover(t *testing.T) {
	for _, kind := range []model.Kind{model.KindJob, model.KindService} {
		f := newFixture(t, Config{})
		f.editTemplate("job", func(t *model.Template) { t.Kind = kind })
		key := f.key("job", "")
		journal := f.submit(key).Records
		f.table.AcceptanceDurable(f.now, key)
		journal = append(journal, f.endWithAnswer(f.start("job", "e1").Attempt, 500, "").Records...)

		f.now = f.now.Add(time.Minute)
		f.table = New(Config{}, f.rnd)
		f.table.SetTemplates(f.now, f.templates)
		f.own(Recovery{TakenAt: f.now})
		for _, r := range journal {
			f.table.Replay(f.now, roundTripRecord(t, r))
		}
		f.table.Replayed(f.now, key.Shard())
		results, _ := f.table.Cancel(f.now, []model.RequestKey{key})
		f.check(results[0].Outcome == model.OutcomeRan, "%s: %+v", kind, results[0])
	}
}

// TestResentOrder guards against a change of owner that changes the order of requests with one
// ordering key because they are resubmitted in a different order.
func TestResentOrder(t *testing.T) {
	f := newFixture(t, Config{})
	var keys []model.RequestKey
	for range 3 {
		keys = append(keys, f.key("ask-ordered", "a"))
		f.now = f.now.Add(time.Second)
	}
	for _, i := range []int{1, 2, 0} {
		f.table.Submit(f.now, model.Submission{Key: keys[i], Resent: true}, WaiterID(i))
	}
	for _, key := range keys {
		s := f.start("ask-ordered", "e1")
		f.check(s.Key == key, "started %v, want %v", s.Key, key)
		f.endWithAnswer(s.Attempt, 200, "")
	}
}
