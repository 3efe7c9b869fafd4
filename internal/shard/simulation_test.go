package shard

import (
	"bytes"
	"encoding/gob"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// newUUIDv7 returns a UUIDv7 with the given timestamp.
func newUUIDv7(at time.Time, rnd *rand.Rand) string {
	var u uuid.UUID
	rnd.Read(u[:])
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

var (
	runnerPool = model.RunnerPool("svc", "z1")
	workerPool = model.WorkerPool("z1", "r1")
)

// testTemplates returns templates of every kind, with and without idempotence and an ordering
// key.
func testTemplates() map[model.TemplateID]model.Template {
	templates := map[model.TemplateID]model.Template{}
	add := func(name string, t model.Template) {
		t.ID = model.TemplateID{Workspace: "w", Name: name}
		t.MaxWait, t.RetryLimit = 20*time.Second, 2
		t.Resources = model.Resources{CoresMilli: 1000}
		if t.Kind == model.KindRequest {
			t.Service, t.Resources = "svc", model.Resources{Slots: 1}
		}
		templates[t.ID] = t
	}
	add("ask", model.Template{Kind: model.KindRequest, Idempotent: true, Urgency: 3})
	add("charge", model.Template{Kind: model.KindRequest, Urgency: 9})
	add("ask-ordered", model.Template{Kind: model.KindRequest, Idempotent: true, OrderingKey: "k"})
	add("charge-ordered", model.Template{Kind: model.KindRequest, OrderingKey: "k"})
	add("job", model.Template{Kind: model.KindJob, Idempotent: true})
	add("job-once", model.Template{Kind: model.KindJob})
	add("gang", model.Template{Kind: model.KindGang, Idempotent: true, Tasks: 2})
	add("daemon", model.Template{Kind: model.KindService, Tasks: 2})
	add("gang-once", model.Template{Kind: model.KindGang, Tasks: 3})
	return templates
}

// execution is an attempt as the endpoint sees it.
type execution struct {
	start        Start
	ended        bool
	settled      model.Settled
	acknowledged bool // by the current table
	ackedAt      int  // journal length that must be durable before the pool may delete the completion
	deleted      bool
}

// request is the expected state of one request, against which the table is checked.
type request struct {
	sub           model.Submission
	template      model.Template
	executions    map[int]int // by task
	live          map[int]int
	notRun        bool
	unknown       bool
	accepted      bool
	cancelled     bool // cancelled at the current owner or at an earlier one that handed over
	arrivalNumber int  // order of submission since the last change of owner; 0 when not known
}

// journalEntry is a record in the journal and whether it is durable.
type journalEntry struct {
	record  Record
	durable bool
}

// simulation simulates a shard owner with its journal, the pools and the callers. It fails the
// test if a guarantee given to them is broken.
type simulation struct {
	t           *rapid.T
	now         time.Time
	rnd         *rand.Rand
	table       *Table
	templates   map[model.TemplateID]model.Template
	names       []model.TemplateID
	journal     []journalEntry
	callbacks   []Record
	unsent      []Start
	pool        []*execution
	requests    []*request
	shards      []model.ShardID
	waiters     map[WaiterID]*request
	resubmit    []*request
	reports     []RecoveryReport // not delivered yet
	waiter      WaiterID
	granted     uint64
	arrivals    int
	lastStarted map[orderingQueueKey]int // arrivalNumber of the last request started at the current owner, by ordering key
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: epoch, templates: testTemplates(), waiters: map[WaiterID]*request{},
		rnd: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))),
	}
	for id := range sim.templates {
		sim.names = append(sim.names, id)
	}
	slices.SortFunc(sim.names, func(a, b model.TemplateID) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	sim.newTable()
	return sim
}

// newTable replaces the table by the empty table of a new shard owner.
func (sim *simulation) newTable() {
	sim.table = New(Config{}, rand.New(rand.NewSource(sim.rnd.Int63())))
	sim.table.SetTemplates(sim.now, sim.templates)
	sim.lastStarted = map[orderingQueueKey]int{}
	for _, e := range sim.pool {
		e.acknowledged = false
	}
}

// apply carries out effects.
func (sim *simulation) apply(fx Effects) {
	for _, e := range fx.Events {
		sim.t.Logf("    %s %s %s %s", e.Name, e.Request, e.Attempt, e.Detail)
	}
	for _, r := range fx.Records {
		sim.t.Logf("    record %s %s", r.Kind, r.Key.ID)
		sim.journal = append(sim.journal, journalEntry{record: r})
	}
	for _, a := range fx.Answers {
		sim.answered(a)
	}
	for _, s := range fx.Starts {
		sim.checkStartOrder(s)
		if sim.request(s.Key).cancelled {
			sim.t.Fatalf("%v started after its cancellation", s.Key)
		}
		sim.unsent = append(sim.unsent, s)
	}
	for _, id := range fx.Acks {
		for _, e := range sim.pool {
			if e.start.Attempt == id {
				e.acknowledged, e.ackedAt = true, len(sim.journal)
			}
		}
	}
	for _, c := range fx.Cancels {
		sim.cancelAttempt(c.Attempt)
	}
}

// checkStartOrder checks that no first start overtakes an earlier request with the same
// ordering key.
func (sim *simulation) checkStartOrder(s Start) {
	r := sim.request(s.Key)
	if s.Key.OrderingKey == "" || r.arrivalNumber == 0 {
		return
	}
	queueKey := orderingQueueKey{s.Key.Template, s.Key.OrderingKey}
	if r.arrivalNumber < sim.lastStarted[queueKey] {
		sim.t.Fatalf("request %d with an ordering key started after request %d", r.arrivalNumber, sim.lastStarted[queueKey])
	}
	sim.lastStarted[queueKey] = r.arrivalNumber
}

func (sim *simulation) request(key model.RequestKey) *request {
	for _, r := range sim.requests {
		if r.sub.Key == key {
			return r
		}
	}
	sim.t.Fatalf("unknown request %v", key)
	return nil
}

// answered checks one reply.
func (sim *simulation) answered(a Answered) {
	r := sim.waiters[a.Waiter]
	if r == nil {
		sim.t.Fatalf("waiter %d was answered twice or does not exist: %+v", a.Waiter, a.Reply)
	}
	delete(sim.waiters, a.Waiter)
	sim.t.Logf("    answer %d %s: %s %s", a.Waiter, r.sub.Key.ID, a.Reply.Outcome, a.Reply.Reason)
	switch {
	case a.Reply.Reason == model.ReasonMoved:
		sim.resubmit = append(sim.resubmit, r)
	case a.Reply.Accepted:
		r.accepted = true
	case a.Reply.Reason == model.ReasonRecordConflict:
		sim.t.Fatalf("conflict reported for an identical body: %v", r.sub.Key)
	case a.Reply.Outcome == model.OutcomeNotRun:
		if len(r.executions) > 0 {
			sim.t.Fatalf("outcome not-run (%s), but %v was executed", a.Reply.Reason, r.sub.Key)
		}
		r.notRun = true
	case a.Reply.Outcome == model.OutcomeRan:
		if len(r.executions) == 0 {
			sim.t.Fatalf("outcome ran, but %v was never executed", r.sub.Key)
		}
		if a.Reply.Answer.Status == 200 && string(a.Reply.Answer.Body) != "re:"+r.sub.Key.ID {
			sim.t.Fatalf("answer %q of another request was returned for %v", a.Reply.Answer.Body, r.sub.Key)
		}
	case a.Reply.Outcome == model.OutcomeUnknown:
		r.unknown = true
	default:
		sim.t.Fatalf("reply without an outcome: %+v", a.Reply)
	}
}

// submit submits a request with a new waiter.
func (sim *simulation) submit(r *request) {
	if _, known := sim.table.Status(r.sub.Key); !known && r.arrivalNumber != 0 {
		// The table no longer has its record, so this counts as a new arrival.
		sim.arrivals++
		r.arrivalNumber = sim.arrivals
	}
	sim.waiter++
	sim.waiters[sim.waiter] = r
	sim.apply(sim.table.Submit(sim.now, r.sub, sim.waiter))
}

func (sim *simulation) newRequest() *request {
	id := rapid.SampledFrom(sim.names).Draw(sim.t, "template")
	template := sim.templates[id]
	key := model.RequestKey{Template: id, ID: newUUIDv7(sim.now, sim.rnd)}
	if template.OrderingKey != "" {
		key.OrderingKey = rapid.SampledFrom([]string{"a", "b"}).Draw(sim.t, "ordering key")
	}
	r := &request{template: template, executions: map[int]int{}, live: map[int]int{}}
	r.sub = model.Submission{Key: key, Body: []byte("do:" + key.ID), Async: template.Kind != model.KindRequest}
	sim.requests = append(sim.requests, r)
	sim.arrivals++
	r.arrivalNumber = sim.arrivals
	if s := key.Shard(); !slices.Contains(sim.shards, s) {
		sim.shards = append(sim.shards, s)
		sim.table.Own(sim.now, s, Recovery{})
	}
	return r
}

// grant offers a grant for one unit of the demand or, with hold, for a part of a gang.
func (sim *simulation) grant(d model.Demand, endpoints []string, hold bool) {
	sim.granted++
	pool := runnerPool
	if sim.templates[d.Template].Kind != model.KindRequest {
		pool = workerPool
	}
	g := model.Grant{
		ID: sim.granted, Pool: pool, Template: d.Template, Resources: d.Resources, Endpoints: endpoints, Hold: hold,
	}
	fx, _ := sim.table.Bind(sim.now, g)
	sim.apply(fx)
}

// send delivers a start to its endpoint, which runs or refuses it.
func (sim *simulation) send(s Start, refuse bool) {
	e := &execution{start: s}
	sim.pool = append(sim.pool, e)
	sim.t.Logf("    send %s %s refuse=%t", s.Key, s.Attempt, refuse)
	if refuse {
		sim.end(e, model.Settled{End: model.AttemptNotStarted})
		return
	}
	r := sim.request(s.Key)
	r.executions[s.Task]++
	r.live[s.Task]++
	if r.notRun {
		sim.t.Fatalf("%v was executed after it was answered not-run", s.Key)
	}
	if r.live[s.Task] > 1 {
		sim.t.Fatalf("%v has two live attempts of task %d", s.Key, s.Task)
	}
	if !r.template.Idempotent && r.template.Kind != model.KindService && r.executions[s.Task] > 1 {
		sim.t.Fatalf("non-idempotent %v was executed twice", s.Key)
	}
	sim.checkOrderingKeyExclusive(r)
}

// checkOrderingKeyExclusive checks that no two requests with the same ordering key run at the
// same time.
func (sim *simulation) checkOrderingKeyExclusive(r *request) {
	key := r.sub.Key
	for _, o := range sim.requests {
		same := o != r && o.sub.Key.Template == key.Template && o.sub.Key.OrderingKey == key.OrderingKey
		if key.OrderingKey != "" && same && o.live[0] > 0 && !o.unknown {
			sim.t.Fatalf("%v and %v have the same ordering key and run at the same time", key, o.sub.Key)
		}
	}
}

// end ends an execution at its endpoint with the given completion.
func (sim *simulation) end(e *execution, s model.Settled) {
	if s.End != model.AttemptNotStarted {
		sim.request(e.start.Key).live[e.start.Task]--
	}
	s.Attempt, s.Endpoint = e.start.Attempt, e.start.Endpoint
	e.ended, e.settled = true, s
}

// success returns the completion of a successful execution.
func (e *execution) success() model.Settled {
	answer := model.Answer{Status: 200, Body: []byte("re:" + e.start.Key.ID)}
	return model.Settled{End: model.AttemptEnded, HasAnswer: true, Answer: answer, RunMS: 5}
}

// cancelAttempt stops an execution, or has a start that was not sent refused.
func (sim *simulation) cancelAttempt(id model.AttemptID) {
	for i, s := range sim.unsent {
		if s.Attempt == id {
			sim.unsent = slices.Delete(sim.unsent, i, i+1)
			sim.send(s, true)
			return
		}
	}
	for _, e := range sim.pool {
		if e.start.Attempt == id && !e.ended {
			sim.end(e, model.Settled{End: model.AttemptEnded, Stopped: true})
		}
	}
}

// deliver delivers the completion of an execution to the table.
func (sim *simulation) deliver(e *execution) {
	sim.apply(sim.table.Settle(sim.now, e.settled))
}

// flush makes the next n records durable and queues their callbacks.
func (sim *simulation) flush(n int) {
	for i := range sim.journal {
		if n == 0 {
			return
		}
		if !sim.journal[i].durable {
			sim.journal[i].durable = true
			sim.callbacks = append(sim.callbacks, sim.journal[i].record)
			n--
		}
	}
}

// callNext makes the first pending journal callback.
func (sim *simulation) callNext() {
	r := sim.callbacks[0]
	sim.callbacks = sim.callbacks[1:]
	switch r.Callback() {
	case CallbackIntent:
		sim.apply(sim.table.IntentDurable(sim.now, r.Attempt()))
	case CallbackAcceptance:
		sim.apply(sim.table.AcceptanceDurable(sim.now, r.Key))
	case CallbackOutcome:
		sim.apply(sim.table.OutcomeDurable(sim.now, r.Key))
	}
}

// failJournal fails the pending records that can be withdrawn; the others stay pending.
func (sim *simulation) failJournal() {
	var failed []Record
	sim.journal = slices.DeleteFunc(sim.journal, func(e journalEntry) bool {
		fails := !e.durable && (e.record.Kind == RecordIntent || e.record.Kind == RecordAcceptance)
		if fails {
			failed = append(failed, e.record)
		}
		return fails
	})
	for _, e := range sim.pool {
		e.acknowledged = false
	}
	for _, r := range failed {
		if r.Callback() == CallbackIntent {
			sim.apply(sim.table.IntentFailed(sim.now, r.Attempt()))
		} else {
			sim.apply(sim.table.AcceptanceFailed(sim.now, r.Key))
		}
	}
}

// compact replaces the durable records by a snapshot.
func (sim *simulation) compact() {
	for len(sim.callbacks) > 0 {
		sim.callNext()
	}
	pending := slices.DeleteFunc(slices.Clone(sim.journal), func(e journalEntry) bool { return e.durable })
	sim.journal = nil
	for _, r := range sim.table.Snapshot(sim.now) {
		sim.journal = append(sim.journal, journalEntry{record: r, durable: true})
	}
	sim.journal = append(sim.journal, pending...)
	for _, e := range sim.pool {
		e.acknowledged = false
	}
}

// crash replaces the owner by one that knows only the durable records. Starts that were not
// sent can't start any more.
func (sim *simulation) crash() {
	for _, s := range sim.unsent {
		if rapid.Bool().Draw(sim.t, "sent before the crash") {
			sim.send(s, false)
		}
	}
	sim.unsent, sim.callbacks = nil, nil
	sim.journal = slices.DeleteFunc(sim.journal, func(e journalEntry) bool { return !e.durable })
	sim.loseWaiters()
	sim.newTable()
	sim.reports = nil
	pools := []model.PoolID{runnerPool, workerPool}
	for _, s := range sim.shards {
		sim.table.Own(sim.now, s, Recovery{TakenAt: sim.now, Pools: pools})
		for _, pool := range pools {
			sim.reports = append(sim.reports, RecoveryReport{Shard: s, Pool: pool})
		}
	}
	if len(sim.resubmit) > 0 && rapid.Bool().Draw(sim.t, "submitted before replay") {
		sim.resubmitNext()
	}
	for _, e := range sim.journal {
		sim.table.Replay(sim.now, roundTripRecord(sim.t, e.record))
	}
	for _, s := range sim.shards {
		sim.apply(sim.table.Replayed(sim.now, s))
	}
}

// loseWaiters turns the waiters of a dead owner into callers that submit again.
func (sim *simulation) loseWaiters() {
	for id := WaiterID(1); id <= sim.waiter; id++ {
		if r := sim.waiters[id]; r != nil {
			sim.resubmit = append(sim.resubmit, r)
			delete(sim.waiters, id)
		}
	}
	for _, r := range sim.requests {
		r.arrivalNumber, r.cancelled = 0, false
	}
}

// roundTripRecord encodes and decodes a record.
func roundTripRecord(t rapid.TB, r Record) Record {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeRecord(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// report delivers the recovery report of one pool for one shard.
func (sim *simulation) report(i int, reachable bool) {
	r := sim.reports[i]
	r.Reachable = reachable
	if reachable {
		sim.reports = slices.Delete(sim.reports, i, i+1)
		for _, e := range sim.pool {
			if s, _ := e.start.Attempt.Shard(); s != r.Shard || e.start.Grant.Pool != r.Pool || e.deleted {
				continue
			}
			state := model.AttemptState{Attempt: e.start.Attempt, Endpoint: e.start.Endpoint, Running: !e.ended}
			if e.ended {
				settled := e.settled
				state.Settled = &settled
			}
			r.Attempts = append(r.Attempts, state)
		}
	}
	sim.apply(sim.table.RecoveryResult(sim.now, r))
}

// handover moves all shards to a new owner.
func (sim *simulation) handover() {
	old := sim.table
	for _, s := range sim.shards {
		sim.apply(old.Freeze(sim.now, s))
	}
	for _, e := range sim.pool {
		if e.ended && !e.deleted && rapid.Bool().Draw(sim.t, "end while frozen") {
			sim.deliver(e)
		}
	}
	sim.newTable()
	sim.journal, sim.callbacks, sim.reports = nil, nil, nil
	for _, r := range sim.requests {
		r.arrivalNumber = 0
	}
	for _, s := range sim.shards {
		snapshot := roundTripSnapshot(sim.t, old.Export(sim.now, s))
		sim.apply(sim.table.Import(sim.now, snapshot))
		old.Drop(sim.now, s)
		pools, _ := sim.table.Recovering(s)
		for _, pool := range pools {
			sim.reports = append(sim.reports, RecoveryReport{Shard: s, Pool: pool})
		}
	}
	sim.flush(len(sim.journal))
	if len(old.attempts)+len(old.intents)+len(old.jobTimers.items) > 0 {
		sim.t.Fatalf("state of dropped shards was not removed")
	}
}

// roundTripSnapshot encodes and decodes a snapshot with gob, as a handover between two
// processes does.
func roundTripSnapshot(t rapid.TB, s Snapshot) Snapshot {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(s); err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := gob.NewDecoder(&buffer).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// resubmitNext resubmits the first request whose caller lost its owner or was answered with
// ReasonMoved.
func (sim *simulation) resubmitNext() {
	r := sim.resubmit[0]
	sim.resubmit = sim.resubmit[1:]
	if r.notRun {
		return
	}
	r.sub.Resent = true
	sim.submit(r)
}

// endpointName returns the name of an endpoint.
func endpointName(n int) string { return "e" + strconv.Itoa(n) }
