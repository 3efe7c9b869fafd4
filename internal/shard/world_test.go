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

// mint returns a UUIDv7 of the given time.
func mint(at time.Time, rnd *rand.Rand) string {
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

// testTemplates covers every kind, with and without idempotence and ordering.
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
	start     Start
	over      bool
	settled   model.Settled
	delivered bool // acknowledged by the present table
	acked     int  // journal length that must be durable before the pool may forget it
	forgotten bool
}

// request is the oracle's view of one request.
type request struct {
	sub      model.Submission
	template model.Template
	ran      map[int]int // executions by task
	live     map[int]int
	notRun   bool
	unknown  bool
	accepted bool
	stopped  bool // cancelled at the present owner or an earlier one that handed over
	number   int  // order of submission in the epoch
}

// entry is a record in the journal.
type entry struct {
	record  Record
	durable bool
}

// world is a shard owner with its journal, the pools and the callers. It
// fails the test when a guarantee towards them is broken.
type world struct {
	t         *rapid.T
	now       time.Time
	rnd       *rand.Rand
	table     *Table
	templates map[model.TemplateID]model.Template
	names     []model.TemplateID
	journal   []entry
	callbacks []Record
	unsent    []Start
	pool      []*execution
	requests  []*request
	shards    []model.ShardID
	waiters   map[WaiterID]*request
	resubmit  []*request
	reports   []RecoveryReport // to come
	waiter    WaiterID
	granted   uint64
	arrivals  int
	lastStart map[lineKey]int // number of the last request started in the epoch
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: epoch, templates: testTemplates(), waiters: map[WaiterID]*request{},
		rnd: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))),
	}
	for id := range w.templates {
		w.names = append(w.names, id)
	}
	slices.SortFunc(w.names, func(a, b model.TemplateID) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	w.newTable()
	return w
}

// newTable replaces the shard owner.
func (w *world) newTable() {
	w.table = New(Config{}, rand.New(rand.NewSource(w.rnd.Int63())))
	w.table.SetTemplates(w.now, w.templates)
	w.lastStart = map[lineKey]int{}
	for _, e := range w.pool {
		e.delivered = false
	}
}

// apply carries out effects.
func (w *world) apply(fx Effects) {
	for _, e := range fx.Events {
		w.t.Logf("    %s %s %s %s", e.Name, e.Request, e.Attempt, e.Detail)
	}
	for _, r := range fx.Records {
		w.t.Logf("    record %s %s", r.Kind, r.Key.ID)
		w.journal = append(w.journal, entry{record: r})
	}
	for _, a := range fx.Answers {
		w.answered(a)
	}
	for _, s := range fx.Starts {
		w.checkOrder(s)
		if w.request(s.Key).stopped {
			w.t.Fatalf("%v starts after its cancellation", s.Key)
		}
		w.unsent = append(w.unsent, s)
	}
	for _, id := range fx.Acks {
		for _, e := range w.pool {
			if e.start.Attempt == id {
				e.delivered, e.acked = true, len(w.journal)
			}
		}
	}
	for _, c := range fx.Cancels {
		w.cancelAttempt(c.Attempt)
	}
}

// checkOrder guards against first starts that overtake an earlier request with the same ordering key.
func (w *world) checkOrder(s Start) {
	r := w.request(s.Key)
	if s.Key.OrderingKey == "" || r.number == 0 {
		return
	}
	line := lineKey{s.Key.Template, s.Key.OrderingKey}
	if r.number < w.lastStart[line] {
		w.t.Fatalf("request %d with ordering key starts after request %d", r.number, w.lastStart[line])
	}
	w.lastStart[line] = r.number
}

func (w *world) request(key model.RequestKey) *request {
	for _, r := range w.requests {
		if r.sub.Key == key {
			return r
		}
	}
	w.t.Fatalf("unknown request %v", key)
	return nil
}

// answered checks one reply.
func (w *world) answered(a Answered) {
	r := w.waiters[a.Waiter]
	if r == nil {
		w.t.Fatalf("waiter %d is answered twice or was never there: %+v", a.Waiter, a.Reply)
	}
	delete(w.waiters, a.Waiter)
	w.t.Logf("    answer %d %s: %s %s", a.Waiter, r.sub.Key.ID, a.Reply.Outcome, a.Reply.Reason)
	switch {
	case a.Reply.Reason == model.ReasonMoved:
		w.resubmit = append(w.resubmit, r)
	case a.Reply.Accepted:
		r.accepted = true
	case a.Reply.Reason == model.ReasonRecordConflict:
		w.t.Fatalf("conflict without another body: %v", r.sub.Key)
	case a.Reply.Outcome == model.OutcomeNotRun:
		if len(r.ran) > 0 {
			w.t.Fatalf("not-run (%s) but %v was executed", a.Reply.Reason, r.sub.Key)
		}
		r.notRun = true
	case a.Reply.Outcome == model.OutcomeRan:
		if len(r.ran) == 0 {
			w.t.Fatalf("ran but %v was never executed", r.sub.Key)
		}
		if a.Reply.Answer.Status == 200 && string(a.Reply.Answer.Body) != "re:"+r.sub.Key.ID {
			w.t.Fatalf("answer %q of another request to %v", a.Reply.Answer.Body, r.sub.Key)
		}
	case a.Reply.Outcome == model.OutcomeUnknown:
		r.unknown = true
	default:
		w.t.Fatalf("reply without an outcome: %+v", a.Reply)
	}
}

// submit sends a request with a new waiter.
func (w *world) submit(r *request) {
	if _, known := w.table.Status(r.sub.Key); !known && r.number != 0 {
		// Its record is gone with its last answer, so this is a new arrival.
		w.arrivals++
		r.number = w.arrivals
	}
	w.waiter++
	w.waiters[w.waiter] = r
	w.apply(w.table.Submit(w.now, r.sub, w.waiter))
}

func (w *world) newRequest() *request {
	id := rapid.SampledFrom(w.names).Draw(w.t, "template")
	template := w.templates[id]
	key := model.RequestKey{Template: id, ID: mint(w.now, w.rnd)}
	if template.OrderingKey != "" {
		key.OrderingKey = rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "ordering key")
	}
	r := &request{template: template, ran: map[int]int{}, live: map[int]int{}}
	r.sub = model.Submission{Key: key, Body: []byte("do:" + key.ID), Async: template.Kind != model.KindRequest}
	w.requests = append(w.requests, r)
	w.arrivals++
	r.number = w.arrivals
	if s := key.Shard(); !slices.Contains(w.shards, s) {
		w.shards = append(w.shards, s)
		w.table.Own(w.now, s, Recovery{})
	}
	return r
}

// grant offers capacity for one demand, whole or as one part of a gang.
func (w *world) grant(d model.Demand, endpoints []string, hold bool) {
	w.granted++
	pool := runnerPool
	if w.templates[d.Template].Kind != model.KindRequest {
		pool = workerPool
	}
	g := model.Grant{
		ID: w.granted, Pool: pool, Template: d.Template, Resources: d.Resources, Endpoints: endpoints, Hold: hold,
	}
	fx, _ := w.table.Bind(w.now, g)
	w.apply(fx)
}

// send delivers a start to its endpoint, which runs or refuses it.
func (w *world) send(s Start, refuse bool) {
	e := &execution{start: s}
	w.pool = append(w.pool, e)
	w.t.Logf("    send %s %s refuse=%t", s.Key, s.Attempt, refuse)
	if refuse {
		w.end(e, model.Settled{End: model.AttemptNotStarted})
		return
	}
	r := w.request(s.Key)
	r.ran[s.Task]++
	r.live[s.Task]++
	if r.notRun {
		w.t.Fatalf("%v runs after it was answered not-run", s.Key)
	}
	if r.live[s.Task] > 1 {
		w.t.Fatalf("%v has two live attempts of task %d", s.Key, s.Task)
	}
	if !r.template.Idempotent && r.template.Kind != model.KindService && r.ran[s.Task] > 1 {
		w.t.Fatalf("non-idempotent %v is executed twice", s.Key)
	}
	w.checkAlone(r)
}

// checkAlone guards against two running requests with one ordering key.
func (w *world) checkAlone(r *request) {
	key := r.sub.Key
	for _, o := range w.requests {
		same := o != r && o.sub.Key.Template == key.Template && o.sub.Key.OrderingKey == key.OrderingKey
		if key.OrderingKey != "" && same && o.live[0] > 0 && !o.unknown {
			w.t.Fatalf("%v and %v run at the same time", key, o.sub.Key)
		}
	}
}

// end ends an execution at its endpoint.
func (w *world) end(e *execution, s model.Settled) {
	if s.End != model.AttemptNotStarted {
		w.request(e.start.Key).live[e.start.Task]--
	}
	s.Attempt, s.Endpoint = e.start.Attempt, e.start.Endpoint
	e.over, e.settled = true, s
}

// success is the good end of an execution.
func (e *execution) success() model.Settled {
	answer := model.Answer{Status: 200, Body: []byte("re:" + e.start.Key.ID)}
	return model.Settled{End: model.AttemptEnded, HasAnswer: true, Answer: answer, RunMS: 5}
}

// cancelAttempt stops an execution, or blocks a start that was not sent.
func (w *world) cancelAttempt(id model.AttemptID) {
	for i, s := range w.unsent {
		if s.Attempt == id {
			w.unsent = slices.Delete(w.unsent, i, i+1)
			w.send(s, true)
			return
		}
	}
	for _, e := range w.pool {
		if e.start.Attempt == id && !e.over {
			w.end(e, model.Settled{End: model.AttemptEnded, Stopped: true})
		}
	}
}

// deliver tells the table the end of an execution.
func (w *world) deliver(e *execution) {
	w.apply(w.table.Settle(w.now, e.settled))
}

// flush makes the next n records durable and queues their callbacks.
func (w *world) flush(n int) {
	for i := range w.journal {
		if n == 0 {
			return
		}
		if !w.journal[i].durable {
			w.journal[i].durable = true
			w.callbacks = append(w.callbacks, w.journal[i].record)
			n--
		}
	}
}

// call makes the first pending callback.
func (w *world) call() {
	r := w.callbacks[0]
	w.callbacks = w.callbacks[1:]
	switch r.Callback() {
	case CallbackIntent:
		w.apply(w.table.IntentDurable(w.now, r.Attempt()))
	case CallbackAcceptance:
		w.apply(w.table.AcceptanceDurable(w.now, r.Key))
	case CallbackOutcome:
		w.apply(w.table.OutcomeDurable(w.now, r.Key))
	}
}

// failJournal fails the pending records that can be withdrawn; the others stay pending.
func (w *world) failJournal() {
	var failed []Record
	w.journal = slices.DeleteFunc(w.journal, func(e entry) bool {
		fails := !e.durable && (e.record.Kind == RecordIntent || e.record.Kind == RecordAcceptance)
		if fails {
			failed = append(failed, e.record)
		}
		return fails
	})
	for _, e := range w.pool {
		e.delivered = false
	}
	for _, r := range failed {
		if r.Callback() == CallbackIntent {
			w.apply(w.table.IntentFailed(w.now, r.Attempt()))
		} else {
			w.apply(w.table.AcceptanceFailed(w.now, r.Key))
		}
	}
}

// compact replaces the durable records by a snapshot.
func (w *world) compact() {
	for len(w.callbacks) > 0 {
		w.call()
	}
	pending := slices.DeleteFunc(slices.Clone(w.journal), func(e entry) bool { return e.durable })
	w.journal = nil
	for _, r := range w.table.Snapshot(w.now) {
		w.journal = append(w.journal, entry{record: r, durable: true})
	}
	w.journal = append(w.journal, pending...)
	for _, e := range w.pool {
		e.delivered = false
	}
}

// crash replaces the owner by one that knows only the durable records.
// Starts that were not sent can't start any more.
func (w *world) crash() {
	for _, s := range w.unsent {
		if rapid.Bool().Draw(w.t, "sent before the crash") {
			w.send(s, false)
		}
	}
	w.unsent, w.callbacks = nil, nil
	w.journal = slices.DeleteFunc(w.journal, func(e entry) bool { return !e.durable })
	w.lose()
	w.newTable()
	w.reports = nil
	pools := []model.PoolID{runnerPool, workerPool}
	for _, s := range w.shards {
		w.table.Own(w.now, s, Recovery{TakenAt: w.now, Pools: pools})
		for _, pool := range pools {
			w.reports = append(w.reports, RecoveryReport{Shard: s, Pool: pool})
		}
	}
	if len(w.resubmit) > 0 && rapid.Bool().Draw(w.t, "submitted before replay") {
		w.again()
	}
	for _, e := range w.journal {
		w.table.Replay(w.now, recode(w.t, e.record))
	}
	for _, s := range w.shards {
		w.apply(w.table.Replayed(w.now, s))
	}
}

// lose turns the waiters of a dead owner into callers that send again.
func (w *world) lose() {
	for id := WaiterID(1); id <= w.waiter; id++ {
		if r := w.waiters[id]; r != nil {
			w.resubmit = append(w.resubmit, r)
			delete(w.waiters, id)
		}
	}
	for _, r := range w.requests {
		r.number, r.stopped = 0, false
	}
}

// recode passes a record through its encoding.
func recode(t rapid.TB, r Record) Record {
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

// report delivers the report of one pool for one shard.
func (w *world) report(i int, reachable bool) {
	r := w.reports[i]
	r.Reachable = reachable
	if reachable {
		w.reports = slices.Delete(w.reports, i, i+1)
		for _, e := range w.pool {
			if s, _ := e.start.Attempt.Shard(); s != r.Shard || e.start.Grant.Pool != r.Pool || e.forgotten {
				continue
			}
			state := model.AttemptState{Attempt: e.start.Attempt, Endpoint: e.start.Endpoint, Running: !e.over}
			if e.over {
				settled := e.settled
				state.Settled = &settled
			}
			r.Attempts = append(r.Attempts, state)
		}
	}
	w.apply(w.table.RecoveryResult(w.now, r))
}

// handover moves all shards to a new owner.
func (w *world) handover() {
	old := w.table
	for _, s := range w.shards {
		w.apply(old.Freeze(w.now, s))
	}
	for _, e := range w.pool {
		if e.over && !e.forgotten && rapid.Bool().Draw(w.t, "end while frozen") {
			w.deliver(e)
		}
	}
	w.newTable()
	w.journal, w.callbacks, w.reports = nil, nil, nil
	for _, r := range w.requests {
		r.number = 0
	}
	for _, s := range w.shards {
		snapshot := recodeSnapshot(w.t, old.Export(w.now, s))
		w.apply(w.table.Import(w.now, snapshot))
		old.Drop(w.now, s)
		pools, _ := w.table.Recovering(s)
		for _, pool := range pools {
			w.reports = append(w.reports, RecoveryReport{Shard: s, Pool: pool})
		}
	}
	w.flush(len(w.journal))
	if len(old.attempts)+len(old.intents)+len(old.jobTimers.items) > 0 {
		w.t.Fatalf("dropped shards left state behind")
	}
}

// recodeSnapshot passes a snapshot through gob, as between two processes.
func recodeSnapshot(t rapid.TB, s Snapshot) Snapshot {
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

// again sends the first request whose caller was sent away.
func (w *world) again() {
	r := w.resubmit[0]
	w.resubmit = w.resubmit[1:]
	if r.notRun {
		return
	}
	r.sub.Resent = true
	w.submit(r)
}

// endpointName returns an endpoint of the pools.
func endpointName(n int) string { return "e" + strconv.Itoa(n) }
