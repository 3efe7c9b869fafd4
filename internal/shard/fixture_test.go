package shard

import (
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// fixture drives one table that owns every shard.
type fixture struct {
	testing.TB
	table     *Table
	now       time.Time
	rnd       *rand.Rand
	templates map[model.TemplateID]model.Template
	waiter    WaiterID
	grants    uint64
}

// fixtureSeed is logged so that failures of tests that depend on it can be reproduced.
const fixtureSeed = 7

func newFixture(t testing.TB, cfg Config) *fixture {
	f := &fixture{TB: t, now: epoch, rnd: rand.New(rand.NewSource(fixtureSeed)), templates: testTemplates()}
	t.Logf("seed=%d", fixtureSeed)
	f.table = New(cfg, rand.New(rand.NewSource(fixtureSeed)))
	f.table.SetTemplates(f.now, f.templates)
	f.own(Recovery{})
	return f
}

func (f *fixture) own(r Recovery) {
	for s := range model.ShardID(model.ShardCount) {
		f.table.Own(f.now, s, r)
	}
}

// editTemplate edits a template and applies it.
func (f *fixture) editTemplate(name string, edit func(*model.Template)) {
	id := model.TemplateID{Workspace: "w", Name: name}
	template := f.templates[id]
	edit(&template)
	f.templates[id] = template
	f.table.SetTemplates(f.now, f.templates)
}

// key returns a request key with a new identifier.
func (f *fixture) key(name, ordering string) model.RequestKey {
	return model.RequestKey{
		Template:    model.TemplateID{Workspace: "w", Name: name},
		OrderingKey: ordering, ID: newUUIDv7(f.now, f.rnd),
	}
}

// submit submits a request; it is asynchronous for every kind but KindRequest.
func (f *fixture) submit(key model.RequestKey) Effects {
	f.waiter++
	async := f.templates[key.Template].Kind != model.KindRequest
	return f.table.Submit(f.now, model.Submission{Key: key, Body: []byte("body"), Async: async}, f.waiter)
}

// accept submits an asynchronous request and makes its acceptance durable.
func (f *fixture) accept(key model.RequestKey) {
	f.Helper()
	f.submit(key)
	if fx := f.table.AcceptanceDurable(f.now, key); len(fx.Answers) != 1 || !fx.Answers[0].Reply.Accepted {
		f.Fatalf("not accepted: %+v", fx.Answers)
	}
}

// bind offers a grant for the template on the endpoints.
func (f *fixture) bind(name string, hold bool, endpoints ...string) (Effects, bool) {
	template := f.templates[model.TemplateID{Workspace: "w", Name: name}]
	f.grants++
	pool := workerPool
	if template.Kind == model.KindRequest {
		pool = runnerPool
	}
	return f.table.Bind(f.now, model.Grant{
		ID: f.grants, Pool: pool, Template: template.ID, Resources: template.Resources, Endpoints: endpoints, Hold: hold,
	})
}

// start binds a grant and returns the first start.
func (f *fixture) start(name string, endpoints ...string) Start {
	f.Helper()
	fx, ok := f.bind(name, false, endpoints...)
	if !ok || len(fx.Starts) == 0 {
		f.Fatalf("%s was not started: %+v", name, fx)
	}
	return fx.Starts[0]
}

// endWithAnswer delivers the completion of an attempt with an HTTP status and a body.
func (f *fixture) endWithAnswer(a model.AttemptID, status int, body string) Effects {
	return f.table.Settle(f.now, model.Settled{
		Attempt: a, End: model.AttemptEnded, HasAnswer: true, Answer: model.Answer{Status: status, Body: []byte(body)},
	})
}

func (f *fixture) advance(d time.Duration) Effects {
	f.now = f.now.Add(d)
	return f.table.Tick(f.now)
}

// onlyReply returns the only answer.
func (f *fixture) onlyReply(fx Effects) model.Reply {
	f.Helper()
	if len(fx.Answers) != 1 {
		f.Fatalf("want one answer, have %+v", fx.Answers)
	}
	return fx.Answers[0].Reply
}

// checkRefused checks that the only answer is not-run with the reason.
func (f *fixture) checkRefused(fx Effects, reason model.Reason) model.Reply {
	f.Helper()
	r := f.onlyReply(fx)
	if r.Outcome != model.OutcomeNotRun || r.Reason != reason {
		f.Fatalf("want not-run %s, have %+v", reason, r)
	}
	return r
}

func (f *fixture) check(ok bool, format string, args ...any) {
	f.Helper()
	if !ok {
		f.Fatalf(format, args...)
	}
}
