package shard

import (
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// TestResubmissionGetsRecordedAnswer guards against a second execution of a finished request, and
// against large recorded answers that exhaust the memory.
func TestResubmissionGetsRecordedAnswer(t *testing.T) {
	for _, size := range []int{10, DefaultKeptAnswerBytes + 1} {
		f := newFixture(t, Config{})
		key := f.key("ask", "")
		f.submit(key)
		body := strings.Repeat("x", size)
		first := f.onlyReply(f.endWithAnswer(f.start("ask", "e1").Attempt, 200, body))
		f.check(string(first.Answer.Body) == body, "the first caller did not get the answer")
		resubmitted := f.onlyReply(f.submit(key))
		kept := size <= DefaultKeptAnswerBytes
		f.check(resubmitted.Joined && resubmitted.Outcome == model.OutcomeRan, "reply to the resubmission: %+v", resubmitted)
		f.check((string(resubmitted.Answer.Body) == body) == kept, "answer of %d bytes kept: %t", size, !kept)
		f.check((resubmitted.Reason == model.ReasonAnswerTooLarge) != kept, "reason %q", resubmitted.Reason)
		f.advance(DefaultRetention + 2*DefaultClockSkew)
		_, known := f.table.Status(key)
		f.check(!known, "the record was kept beyond the retention")
	}
}

// TestIdentifierAge guards against accepting an identifier whose record may already have been
// removed, or will be removed before the identifier is refused as too old.
func TestIdentifierAge(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		reason model.Reason
	}{
		{"charge", DefaultRetention + time.Second, model.ReasonIDTooOld},
		{"charge", DefaultRetention - time.Second, ""},
		{"charge", -DefaultClockSkew - time.Second, model.ReasonIDInFuture},
		{"charge", -DefaultClockSkew + time.Second, ""},
		{"ask", DefaultRetention + time.Second, ""},
	}
	for _, c := range cases {
		f := newFixture(t, Config{})
		key := f.key(c.name, "")
		key.ID = newUUIDv7(f.now.Add(-c.age), f.rnd)
		fx := f.submit(key)
		if c.reason == "" {
			f.check(len(fx.Answers) == 0, "%v was refused: %+v", c, fx.Answers)
		} else {
			f.checkRefused(fx, c.reason)
		}
	}
	f := newFixture(t, Config{})
	f.checkRefused(f.submit(model.RequestKey{Template: model.TemplateID{Workspace: "w", Name: "charge"}, ID: "mine"}), model.ReasonIDTooOld)
	key := f.key("charge", "")
	key.ID = newUUIDv7(f.now.Add(DefaultClockSkew), f.rnd)
	f.submit(key)
	f.table.Cancel(f.now, []model.RequestKey{key})
	f.advance(DefaultRetention + DefaultClockSkew)
	f.check(f.onlyReply(f.submit(key)).Reason == model.ReasonCancelled, "the record was removed before the identifier was too old")
}

// TestQueueBounds guards against a flood of one template that uses up the queue capacity of
// others.
func TestQueueBounds(t *testing.T) {
	for _, cfg := range []Config{{QueueEntries: 3}, {QueueBytes: 12}} {
		f := newFixture(t, cfg)
		for range 3 {
			f.check(len(f.submit(f.key("ask", "")).Answers) == 0, "refused below the bound")
		}
		f.check(f.checkRefused(f.submit(f.key("ask", "")), model.ReasonQueueFull).RetryAfter > 0, "no Retry-After")
		f.check(len(f.submit(f.key("charge", "")).Answers) == 0, "the flood uses the queue capacity of another template")
		f.start("ask", "e1")
		f.check(len(f.submit(f.key("ask", "")).Answers) == 0, "a started request still counts against the queue limit")
	}
}

// TestOverload guards against callers that wait in vain in a queue that is too long for its
// measured rate, and against a flood that causes requests of other templates to be refused.
func TestOverload(t *testing.T) {
	f := newFixture(t, Config{})
	for range 500 {
		f.check(len(f.submit(f.key("ask", "")).Answers) == 0, "refused without a measured rate")
	}
	f.advance(4 * time.Second)
	f.check(len(f.submit(f.key("ask", "")).Answers) == 0, "refused before the first start")
	for range 100 { // ten starts per second
		f.advance(100 * time.Millisecond)
		f.start("ask", "e1")
		f.submit(f.key("ask", ""))
	}
	// Of 600 requests, those that could not start in time were shed, apart from the slack;
	// the queue admits what starts within the admitted share of the maximum wait of 20 s.
	queued := f.table.Counts()[0].Queued
	f.check(float64(queued) <= 200*shedSlack, "%d queued at 10 starts per second", queued)
	for ; len(f.submit(f.key("ask", "")).Answers) == 0; queued++ {
		f.check(float64(queued) < 220*admittedWaitShare, "%d admitted at 10 starts per second", queued)
	}
	f.check(float64(queued) > 180*admittedWaitShare, "refused with %d queued", queued)
	r := f.checkRefused(f.submit(f.key("ask", "")), model.ReasonOverload)
	f.check(r.RetryAfter > 0 && r.RetryAfter < 60*time.Second, "Retry-After is %s", r.RetryAfter)
	f.check(len(f.submit(f.key("charge", "")).Answers) == 0, "the flood caused a request of another template to be refused")
	for range 100 {
		f.waiter++
		patient := model.Submission{Key: f.key("ask", ""), MaxWait: time.Minute}
		f.check(len(f.table.Submit(f.now, patient, f.waiter).Answers) == 0, "a caller with a longer maximum wait was refused")
	}
	f.check(len(f.submit(f.key("ask-ordered", "a")).Answers) == 1, "less urgent work is not predicted to wait for urgent work")
}

// TestInfeasible guards against requests that wait for an endpoint that does not exist.
func TestInfeasible(t *testing.T) {
	f := newFixture(t, Config{})
	one := model.Resources{CoresMilli: 1000}
	pool := model.PoolSummary{Pool: workerPool, Total: one.Scale(2), Biggest: one.Scale(2), Endpoint: 1}
	f.table.SetCapacity(f.now, []model.PoolSummary{pool})
	f.check(len(f.submit(f.key("gang", "")).Records) == 1, "a feasible gang was refused")
	f.checkRefused(f.submit(f.key("gang-once", "")), model.ReasonInfeasible)
	f.editTemplate("job", func(t *model.Template) { t.Resources.Accelerators = 1 })
	f.checkRefused(f.submit(f.key("job", "")), model.ReasonInfeasible)
}

// TestWaitExceeded guards against callers that are kept waiting beyond their maximum wait, and
// against a not-run answer for work that has started.
func TestWaitExceeded(t *testing.T) {
	f := newFixture(t, Config{})
	f.submit(f.key("ask", ""))
	s := f.start("ask", "e1")
	f.submit(f.key("ask", ""))
	next, ok := f.table.Next()
	f.check(ok && next.Equal(f.now.Add(20*time.Second)), "next is %s", next)
	f.checkRefused(f.advance(20*time.Second), model.ReasonWaitExceeded)
	f.check(f.onlyReply(f.endWithAnswer(s.Attempt, 200, "")).Outcome == model.OutcomeRan, "the started request was not answered")
}

// TestWithdrawnIntent guards against starting a request that was answered not-run because its
// intent was not recorded in time.
func TestWithdrawnIntent(t *testing.T) {
	withdraw := map[string]func(*fixture, model.AttemptID) Effects{
		"failed":   func(f *fixture, a model.AttemptID) Effects { return f.table.IntentFailed(f.now, a) },
		"deadline": func(f *fixture, _ model.AttemptID) Effects { return f.advance(21 * time.Second) },
		"late": func(f *fixture, a model.AttemptID) Effects {
			f.now = f.now.Add(21 * time.Second)
			return f.table.IntentDurable(f.now, a)
		},
	}
	for name, f := range withdraw {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t, Config{})
			fix.submit(fix.key("charge", ""))
			fx, _ := fix.bind("charge", false, "e1")
			fix.check(len(fx.Starts) == 0 && len(fx.Records) == 1, "started before the intent was durable")
			a := fx.Records[0].Attempt()
			fx = f(fix, a)
			fix.checkRefused(fx, model.ReasonStoreDown)
			fix.check(len(fx.Returns) == 1 && len(fx.Starts) == 0, "the grant was not returned")
			fix.check(len(fix.table.IntentDurable(fix.now, a).Starts) == 0, "a withdrawn intent started")
		})
	}
}

// TestJournalDown guards against accepting asynchronous or at-most-once work without a record,
// and against a store outage that stops idempotent work.
func TestJournalDown(t *testing.T) {
	f := newFixture(t, Config{})
	f.table.SetJournalWritable(f.now, false)
	f.checkRefused(f.submit(f.key("charge", "")), model.ReasonStoreDown)
	f.checkRefused(f.submit(f.key("job", "")), model.ReasonStoreDown)
	f.check(len(f.submit(f.key("ask", "")).Answers) == 0, "idempotent work was refused")
	f.table.SetJournalWritable(f.now, true)
	key := f.key("job", "")
	f.submit(key)
	f.checkRefused(f.table.AcceptanceFailed(f.now, key), model.ReasonStoreDown)
}

// TestRetry guards against retries on the endpoint where the request failed, beyond the limit
// or the budget, or without backoff.
func TestRetry(t *testing.T) {
	f := newFixture(t, Config{})
	f.submit(f.key("ask", ""))
	for _, endpoint := range []string{"e1", "e2"} {
		s := f.start("ask", endpoint)
		f.check(len(f.endWithAnswer(s.Attempt, 500, "").Answers) == 0, "answered although it may be retried")
		_, ok := f.bind("ask", false, "e9")
		f.check(!ok, "retried without backoff")
		f.advance(time.Second)
		_, ok = f.bind("ask", false, endpoint)
		f.check(!ok, "retried on the endpoint where it failed")
	}
	r := f.onlyReply(f.endWithAnswer(f.start("ask", "e3").Attempt, 503, "last"))
	f.check(r.Outcome == model.OutcomeRan && string(r.Answer.Body) == "last", "after the limit: %+v", r)
	retries := 0
	for range 20 { // the budget is three plus a tenth of the starts
		f.submit(f.key("ask", ""))
		if len(f.endWithAnswer(f.start("ask", "e1").Attempt, 500, "").Answers) == 0 {
			retries++
		}
	}
	f.check(retries <= 4, "%d retries exceed the budget", retries)
}

// TestLateEnd guards against an outcome that stays unknown although the answer arrived later.
func TestLateEnd(t *testing.T) {
	f := newFixture(t, Config{})
	key := f.key("charge", "")
	f.submit(key)
	fx, _ := f.bind("charge", false, "e1")
	a := fx.Records[0].Attempt()
	f.table.IntentDurable(f.now, a)
	unknown := f.onlyReply(f.table.Settle(f.now, model.Settled{Attempt: a, End: model.AttemptUnknown}))
	f.check(unknown.Outcome == model.OutcomeUnknown && unknown.Reason == model.ReasonAttemptLost, "%+v", unknown)
	f.check(len(f.endWithAnswer(a, 200, "late").Answers) == 0, "answered twice")
	f.check(string(f.onlyReply(f.submit(key)).Answer.Body) == "late", "the late answer was lost")
}

// TestPendingOutcome guards against reporting an accepted job as not-run before that
// outcome is durable: a successor without the record would run it.
func TestPendingOutcome(t *testing.T) {
	f := newFixture(t, Config{})
	key := f.key("job", "")
	f.accept(key)
	_, fx := f.table.Cancel(f.now, []model.RequestKey{key})
	f.check(fx.Records[0].Callback() == CallbackOutcome, "no callback for %+v", fx.Records)
	status, _ := f.table.Status(key)
	f.check(status.State == model.JobQueued && status.Outcome == "", "outcome reported too early: %+v", status)
	f.check(len(f.table.Submit(f.now, model.Submission{Key: key, Body: []byte("body")}, 99).Answers) == 0, "outcome reported too early")
	f.checkRefused(f.table.OutcomeDurable(f.now, key), model.ReasonCancelled)
	status, _ = f.table.Status(key)
	f.check(status.Outcome == model.OutcomeNotRun, "status %+v", status)
}

// TestJobsLimit guards against a listing that leaves out the earliest requests.
func TestJobsLimit(t *testing.T) {
	f := newFixture(t, Config{})
	var keys []model.RequestKey
	for range 50 {
		f.now = f.now.Add(time.Millisecond)
		keys = append(keys, f.key("ask", ""))
		f.submit(keys[len(keys)-1])
	}
	for _, limit := range []int{1, 7, 50, 60} {
		jobs := f.table.Jobs(Filter{Limit: limit})
		f.check(len(jobs) == min(limit, len(keys)), "%d jobs with limit %d", len(jobs), limit)
		for i, status := range jobs {
			f.check(status.Key == keys[i], "limit %d: job %d is %v", limit, i, status.Key)
		}
	}
}

// TestDecodeRecord guards against decoding journal entries that lack the content required by
// their kind.
func TestDecodeRecord(t *testing.T) {
	for _, text := range []string{"", "{", `{"kind":"intent"}`, `{"kind":"outcome"}`, `{"kind":"x"}`, `{"kind":"end"}`} {
		if r, err := DecodeRecord([]byte(text)); err == nil {
			t.Errorf("%q was decoded to %+v", text, r)
		}
	}
}
