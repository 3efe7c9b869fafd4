package pool

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// lateReply is a reply to a session call that is still in the network.
type lateReply struct {
	endpoint string
	sent     time.Time
	reply    endpoint.SessionReply
}

// startCall is a start call that has not returned.
type startCall struct {
	StartCommand
	arrived bool  // at the endpoint
	err     error // result at the endpoint
}

// poolSim simulates a pool, its endpoints, and the messages between them.
type poolSim struct {
	t          *rapid.T
	now        time.Time
	pool       *Pool
	token      uint64
	fakes      map[string]*fakeEndpoint
	templates  []model.Template
	grants     []model.Grant
	calls      []startCall    // start calls in flight
	abandoned  []StartCommand // start calls that the owner has given up and that are still in the network
	replies    []lateReply
	dispatched map[model.AttemptID]StartCommand // by the current owner
	settled    map[model.AttemptID]model.AttemptEnd
	next       uint64
	seq        uint64
	shrunk     map[string]bool // the capacity shrank, so the endpoint may refuse starts for lack of capacity
}

func newPoolSim(t *rapid.T) *poolSim {
	w := &poolSim{t: t, now: epoch, fakes: map[string]*fakeEndpoint{}, shrunk: map[string]bool{}}
	gang := job("gang", 6)
	gang.Kind, gang.Idempotent, gang.FloodShare = model.KindGang, false, 0.6
	service := job("service", 3)
	service.Kind = model.KindService
	cut := job("cut", 9)
	cut.FloodShare, cut.Idempotent = 0.4, false
	confirm := job("confirm", 9)
	confirm.Reserve = 0.2
	confirm.ID.Workspace = "sabra"
	w.templates = []model.Template{gang, service, cut, confirm, job("quote", 1)}
	for i := range rapid.IntRange(2, 5).Draw(t, "endpoints") {
		name := fmt.Sprintf("e%d", i)
		w.fakes[name] = newFakeEndpoint(name, epoch, worker(4, 8, 0))
	}
	w.takeover()
	return w
}

// takeover replaces the owner. Calls of the old owner stay in the network.
func (w *poolSim) takeover() {
	w.token++
	w.pool = New("worker/z/r", fmt.Sprint("owner", w.token), w.token, DefaultConfig(), rand.New(rand.NewSource(int64(w.token))))
	for _, c := range w.calls {
		w.abandon(c)
	}
	w.grants, w.calls, w.replies = nil, nil, nil
	w.dispatched = map[model.AttemptID]StartCommand{}
	w.settled = map[model.AttemptID]model.AttemptEnd{}
	setTemplates(w.pool, w.templates...)
	if rapid.Bool().Draw(w.t, "grid") {
		w.pool.index = newGridIndex(false, nil)
	}
	for _, name := range sortedKeys(w.fakes) {
		w.pool.AddEndpoint(w.now, name)
		if rapid.IntRange(0, 3).Draw(w.t, "reached") > 0 {
			w.call(w.fakes[name], "ok")
		}
	}
	w.pool.MarkEndpointsListed()
}

// abandon records that the owner gave up a call. It may still reach the endpoint.
func (w *poolSim) abandon(c startCall) {
	if !c.arrived {
		w.abandoned = append(w.abandoned, c.StartCommand)
	}
}

func (w *poolSim) fake() *fakeEndpoint {
	return w.fakes[rapid.SampledFrom(sortedKeys(w.fakes)).Draw(w.t, "endpoint")]
}

func (w *poolSim) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range sortedKeys(w.fakes) {
		w.fakes[name].expire(w.now)
	}
}

// apply applies the effects. It checks that every attempt is settled once, with an
// end that agrees with the state of the endpoint.
func (w *poolSim) apply(e Effects) {
	for _, s := range e.Settled {
		a := s.Settled.Attempt
		if before, ok := w.settled[a]; ok {
			w.t.Fatalf("%s settled twice: %s, then %s", a, before, s.Settled.End)
		}
		w.settled[a] = s.Settled.End
		w.checkSettled(s)
		if rapid.Bool().Draw(w.t, "delivered") {
			w.pool.MarkDelivered(w.now, []model.AttemptID{a})
		}
	}
	for _, o := range e.Commands {
		if o.Kind == CommandStop || o.Kind == CommandCheckpoint {
			w.fakes[o.Endpoint].cancel(o.Attempt)
		}
	}
}

// checkSettled compares a settled attempt with the state of the endpoint.
func (w *poolSim) checkSettled(s SettledNotice) {
	f := w.fakes[s.Settled.Endpoint]
	actual, started := f.history[s.Settled.Attempt]
	switch s.Settled.End {
	case model.AttemptNotStarted:
		if started {
			w.t.Fatalf("%s settled as not started, but it ran", s.Settled.Attempt)
		}
	case model.AttemptEnded:
		if !started || actual != string(s.Settled.Answer.Body) {
			w.t.Fatalf("%s settled as ended with %q, endpoint has %q", s.Settled.Attempt, s.Settled.Answer.Body, actual)
		}
	}
	if o, runs := f.running[s.Settled.Attempt]; runs && !f.cannotCheckDeadline(o) {
		w.t.Fatalf("%s settled as %s while it runs", s.Settled.Attempt, s.Settled.End)
	}
	if _, ours := w.dispatched[s.Settled.Attempt]; ours && s.To != "s" {
		w.t.Fatalf("%s settled for shard owner %q", s.Settled.Attempt, s.To)
	}
}

func (w *poolSim) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check() },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 20, 150, 700, 2500, 13000}).Draw(t, "ms")) * time.Millisecond)
		},
		"session":      func(*rapid.T) { w.session() },
		"lateReply":    func(*rapid.T) { w.deliverReply() },
		"demand":       func(*rapid.T) { w.demand() },
		"schedule":     func(*rapid.T) { w.schedule() },
		"begin":        func(*rapid.T) { w.startAttempts() },
		"startArrives": func(*rapid.T) { w.startArrives() },
		"startReturns": func(*rapid.T) { w.startReturns() },
		"startLost":    func(*rapid.T) { w.startLost() },
		"strayArrives": func(*rapid.T) { w.abandonedArrives() },
		"return":       func(*rapid.T) { w.returnGrant() },
		"end":          func(*rapid.T) { w.endTask() },
		"cancel":       func(*rapid.T) { w.cancel() },
		"tick":         func(*rapid.T) { w.apply(w.pool.Tick(w.now)) },
		"hold":         func(*rapid.T) { w.hold() },
		"leave": func(t *rapid.T) {
			w.pool.SetLeaving(w.now, w.fake().id, rapid.Bool().Draw(t, "leaving"))
		},
		"disturb": func(t *rapid.T) { w.injectFault() },
	}
}

// injectFault injects one of the rare events: a restart, a smaller capacity, a
// change of leaving, a takeover, or a change of the VM list.
func (w *poolSim) injectFault() {
	f := w.fake()
	switch rapid.IntRange(0, 5).Draw(w.t, "disturbance") {
	case 0:
		f.restart(w.now)
		// A restart resets the connections to the endpoint.
		here := func(o StartCommand) bool { return o.Endpoint == f.id }
		w.abandoned = slices.DeleteFunc(w.abandoned, here)
		for _, o := range w.calls {
			if o.Endpoint == f.id {
				w.apply(w.pool.HandleStartResult(w.now, o.Attempt, ResultOf(endpoint.StartReply{}, endpoint.ErrOutcomeUnknown)))
			}
		}
		w.calls = slices.DeleteFunc(w.calls, func(c startCall) bool { return here(c.StartCommand) })
	case 1:
		f.capacity = worker(2, 8, 0)
		w.shrunk[f.id] = true
	case 2:
		f.leaving = !f.leaving
	case 3:
		w.takeover()
	case 4:
		w.pool.RemoveEndpoint(w.now, f.id)
	case 5:
		w.pool.AddEndpoint(w.now, f.id)
	}
}

func (w *poolSim) session() {
	outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "late", "lost", "unsent"}).Draw(w.t, "fate")
	w.call(w.fake(), outcome)
}

// call makes a session call with the given outcome.
func (w *poolSim) call(f *fakeEndpoint, outcome string) {
	req, ok := w.pool.NextSession(w.now, f.id)
	if !ok {
		return
	}
	sent := w.now
	if outcome == "unsent" {
		w.apply(w.pool.HandleSessionFailure(w.now, f.id, endpoint.ErrNotSent))
		return
	}
	w.advance(time.Millisecond)
	reply, err := f.session(w.now, req)
	w.advance(time.Millisecond)
	switch {
	case err != nil || outcome == "lost":
		w.apply(w.pool.HandleSessionFailure(w.now, f.id, errors.Join(err, endpoint.ErrOutcomeUnknown)))
	case outcome == "late":
		w.replies = append(w.replies, lateReply{f.id, sent, reply})
	default:
		w.apply(w.pool.HandleSessionReply(w.now, f.id, sent, reply))
		w.replies = append(w.replies, lateReply{f.id, sent, reply}) // duplicate, delivered later
	}
}

func (w *poolSim) deliverReply() {
	if len(w.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(w.t, "reply")
	r := w.replies[i]
	w.replies = slices.Delete(w.replies, i, i+1)
	w.apply(w.pool.HandleSessionReply(w.now, r.endpoint, r.sent, r.reply))
}

func (w *poolSim) demand() {
	w.seq++
	var list []model.Demand
	for _, t := range w.templates {
		n := rapid.IntRange(0, 4).Draw(w.t, "count")
		d := demand(t, n, w.now)
		if t.Kind == model.KindGang {
			d.Tasks = 3
		}
		list = append(list, d)
	}
	w.pool.SetDemand(w.now, "s", w.seq, list)
}

func (w *poolSim) schedule() {
	list := w.pool.Schedule(w.now)
	for _, a := range list {
		w.checkGrant(a.Grant)
	}
	if len(list) > 0 {
		w.checkLimits(list[len(list)-1].Grant)
	}
}

func (w *poolSim) hold() {
	gang := w.templates[0]
	if g, ok := w.pool.Hold(w.now, "s", gang.ID, gang.Resources, 2); ok {
		if len(g.Endpoints) != 2 {
			w.t.Fatalf("reserved %d of 2 tasks", len(g.Endpoints))
		}
		w.checkGrant(g)
	}
}

func (w *poolSim) checkGrant(g model.Grant) {
	if g.Template.Name == "gang" && !g.Hold && len(g.Endpoints) != 3 {
		w.t.Fatalf("gang of 3 got %d tasks", len(g.Endpoints))
	}
	probe := w.pool.grants[g.ID].probe
	for _, name := range g.Endpoints {
		e := w.pool.endpoints[name]
		if !e.reported || e.leaving() || e.removed || (e.health.quarantined && !probe) {
			w.t.Fatalf("grant on %s, which is not schedulable", name)
		}
		if !e.charged.Fits(e.capacity) {
			w.t.Fatalf("grant beyond the capacity of %s: %v of %v", name, e.charged, e.capacity)
		}
	}
	w.grants = append(w.grants, g)
}

// checkLimits checks the limits after the last grant of a call of Schedule. If the
// template of that grant holds more than the grant, it must have left the reserve
// of the template confirm free, and it must be within its flood share if its tasks
// can't be stopped.
func (w *poolSim) checkLimits(last model.Grant) {
	p := w.pool
	confirm := p.template(w.templates[3].ID)
	holder := p.template(last.Template)
	if holder == confirm || p.grants[last.ID].probe || holder.taskCount <= len(last.Endpoints) {
		return
	}
	if !holder.Idempotent && holder.charged.DominantShare(p.total()) > holder.FloodShare+shareTolerance {
		w.t.Fatalf("%s holds %v of %v, share %v", holder.ID, holder.charged, p.total(), holder.FloodShare)
	}
	if gap := confirm.unusedReserve(p.total()); !gap.Fits(p.free()) {
		w.t.Fatalf("%s used the reserve of another template: free %v, reserved %v", holder.ID, p.free(), gap)
	}
}

func (w *poolSim) startAttempts() {
	if len(w.grants) == 0 {
		w.demand()
		w.schedule()
	}
	if len(w.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.grants)-1).Draw(w.t, "grant")
	g := w.grants[i]
	w.grants = slices.Delete(w.grants, i, i+1)
	var ids []model.AttemptID
	for range g.Endpoints {
		w.next++
		ids = append(ids, attemptID(w.next))
	}
	starts, err := w.pool.StartAttempts(w.now, g.ID, ids)
	if err != nil {
		return
	}
	for _, o := range starts {
		e := w.pool.endpoints[o.Endpoint]
		if e.leaving() || e.removed {
			w.t.Fatalf("start on leaving endpoint %s", o.Endpoint)
		}
		w.dispatched[o.Attempt] = o
		w.calls = append(w.calls, startCall{StartCommand: o})
	}
	if _, err := w.pool.StartAttempts(w.now, g.ID, ids); !errors.Is(err, ErrDuplicateAttempt) {
		w.t.Fatalf("repeated dispatch got %v", err)
	}
}

func (w *poolSim) drawCall(arrived bool) int {
	var fit []int
	for i, c := range w.calls {
		if c.arrived == arrived {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return -1
	}
	return rapid.SampledFrom(fit).Draw(w.t, "call")
}

func (w *poolSim) startArrives() {
	if w.drawCall(false) < 0 {
		w.startAttempts()
	}
	i := w.drawCall(false)
	if i < 0 {
		return
	}
	c := &w.calls[i]
	f := w.fakes[c.Endpoint]
	c.arrived, c.err = true, f.start(w.now, c.StartCommand)
	if errors.Is(c.err, endpoint.ErrNoCapacity) && !w.shrunk[f.id] && !f.runsUncheckedStart() {
		w.t.Fatalf("%s was granted more than the free capacity of %s", c.Attempt, f.id)
	}
}

func (w *poolSim) startReturns() {
	if w.drawCall(true) < 0 {
		w.startArrives()
	}
	i := w.drawCall(true)
	if i < 0 {
		return
	}
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	f := w.fakes[c.Endpoint]
	reply := endpoint.StartReply{Accepted: true}
	if answer := f.history[c.Attempt]; answer != "" {
		reply = endpoint.StartReply{Answer: f.answer(c.Attempt), RunMS: 5000}
	}
	w.advance(time.Millisecond)
	w.apply(w.pool.HandleStartResult(w.now, c.Attempt, ResultOf(reply, c.err)))
}

func (w *poolSim) startLost() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	w.apply(w.pool.HandleStartResult(w.now, c.Attempt, ResultOf(endpoint.StartReply{}, endpoint.ErrOutcomeUnknown)))
	w.abandon(c)
}

func (w *poolSim) abandonedArrives() {
	if len(w.abandoned) > 0 {
		o := w.abandoned[0]
		w.abandoned = w.abandoned[1:]
		_ = w.fakes[o.Endpoint].start(w.now, o)
		f := w.fakes[o.Endpoint]
		end, wasSettled := w.settled[o.Attempt]
		if !wasSettled || f.running[o.Attempt].Attempt == "" {
			return
		}
		if end != model.AttemptUnknown || !f.cannotCheckDeadline(o) {
			w.t.Fatalf("%s started after it was settled as %s", o.Attempt, end)
		}
	}
}

func (w *poolSim) returnGrant() {
	if len(w.grants) > 0 {
		w.pool.Return(w.now, w.grants[0].ID)
		w.grants = w.grants[1:]
	}
}

func (w *poolSim) endTask() {
	f := w.fake()
	if len(f.running) > 0 {
		answer := rapid.SampledFrom([]string{"done", "failed"}).Draw(w.t, "answer")
		f.end(rapid.SampledFrom(sortedKeys(f.running)).Draw(w.t, "attempt"), answer, false)
	}
}

func (w *poolSim) cancel() {
	if len(w.dispatched) == 0 {
		return
	}
	a := rapid.SampledFrom(sortedKeys(w.dispatched)).Draw(w.t, "attempt")
	if command, ok := w.pool.Cancel(w.now, a); ok {
		started := w.fakes[command.Endpoint].cancel(a)
		w.apply(w.pool.HandleCancelResult(w.now, a, started, nil))
	}
}

// check compares the charges of the pool with the sums over its attempts and grants,
// and with what runs on the endpoints.
func (w *poolSim) check() {
	var active, inactive, capacity model.Resources
	byTemplate := map[*templateState]model.Resources{}
	for _, e := range w.pool.ordered {
		var sum model.Resources
		for _, a := range e.attempts {
			sum = sum.Add(a.resources)
			byTemplate[a.template] = byTemplate[a.template].Add(a.resources)
		}
		for _, g := range e.grants {
			if e.leaving() || e.removed || (e.health.quarantined && !g.probe) {
				w.t.Fatalf("%s is not schedulable and has a grant", e.id)
			}
			for _, on := range g.endpoints {
				if on == e {
					sum = sum.Add(g.grant.Resources)
					byTemplate[g.template] = byTemplate[g.template].Add(g.grant.Resources)
				}
			}
		}
		if sum != e.charged {
			w.t.Fatalf("%s charged %v, its attempts and grants %v", e.id, e.charged, sum)
		}
		if len(e.grants) > 0 && !e.charged.Fits(e.capacity) {
			w.t.Fatalf("%s has grants with %v charged of %v", e.id, e.charged, e.capacity)
		}
		if e.active {
			active, capacity = active.Add(e.charged), capacity.Add(e.capacity)
		} else {
			inactive = inactive.Add(e.charged)
		}
	}
	p := w.pool
	if active != p.activeCharged || inactive != p.inactiveCharged || capacity != p.activeCapacity {
		w.t.Fatalf("totals of the pool differ from the sums over its endpoints")
	}
	for _, t := range p.templateOrder {
		if t.charged != byTemplate[t] {
			w.t.Fatalf("%s charged %v, its attempts and grants %v", t.ID, t.charged, byTemplate[t])
		}
	}
	w.checkAttempts()
	for _, a := range sortedKeys(w.dispatched) {
		f := w.fakes[w.dispatched[a].Endpoint]
		if _, runs := f.running[a]; runs && p.attempts[a] == nil && !f.cannotCheckDeadline(w.dispatched[a]) {
			w.t.Fatalf("%s runs and is not charged", a)
		}
	}
}

// checkAttempts checks that Attempts returns every unsettled attempt that this owner
// dispatched, and each attempt with its correct state.
func (w *poolSim) checkAttempts() {
	all := map[model.ShardID]bool{}
	for s := range model.ShardID(model.ShardCount) {
		all[s] = true
	}
	states, _ := w.pool.Attempts(all)
	listed := map[model.AttemptID]bool{}
	for _, s := range states {
		listed[s.Attempt] = true
		if end, wasSettled := w.settled[s.Attempt]; wasSettled != (s.Settled != nil) || (wasSettled && end != s.Settled.End) {
			w.t.Fatalf("%s listed as %+v, settled as %q", s.Attempt, s, end)
		}
	}
	for a, o := range w.dispatched {
		if _, wasSettled := w.settled[a]; !wasSettled && !listed[a] {
			w.t.Fatalf("%s at %s is not listed", a, o.Endpoint)
		}
	}
}

// settleAll lets everything end and checks that nothing stays charged or unsettled.
func (w *poolSim) settleAll() {
	for len(w.calls) > 0 {
		w.startLost()
	}
	for _, r := range w.replies {
		w.apply(w.pool.HandleSessionFailure(w.now, r.endpoint, endpoint.ErrOutcomeUnknown))
	}
	for range 12 {
		w.advance(2 * time.Second)
		for _, name := range sortedKeys(w.fakes) {
			f := w.fakes[name]
			for _, a := range sortedKeys(f.running) {
				f.end(a, "done", false)
			}
			if req, ok := w.pool.NextSession(w.now, name); ok {
				sent := w.now
				w.advance(time.Millisecond)
				reply, err := f.session(w.now, req)
				if err != nil {
					w.t.Fatalf("session: %v", err)
				}
				w.apply(w.pool.HandleSessionReply(w.now, name, sent, reply))
			}
		}
		w.apply(w.pool.Tick(w.now))
		w.check()
	}
	if len(w.pool.attempts) > 0 || len(w.pool.grants) > 0 {
		w.t.Fatalf("%d attempts and %d grants never end", len(w.pool.attempts), len(w.pool.grants))
	}
	for _, a := range sortedKeys(w.dispatched) {
		if _, ok := w.settled[a]; !ok {
			w.t.Fatalf("%s was never settled", a)
		}
	}
}

// TestFuzzPool guards against capacity that is charged twice, too late or never,
// attempts settled twice or with a wrong end, and grants on endpoints that are not
// schedulable, under lost, late and duplicate messages, restarts and takeovers.
func TestFuzzPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPoolSim(t)
		t.Repeat(w.actions())
		w.settleAll()
	})
}
