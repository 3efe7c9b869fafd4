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

// lateReply is a reply to a session call that is still on its way.
type lateReply struct {
	endpoint string
	sent     time.Time
	reply    endpoint.SessionReply
}

// startCall is a start call that has not returned.
type startCall struct {
	StartCommand
	arrived bool
	err     error
}

// fuzzWorld is a pool, the endpoints that it talks to, and the messages under way.
type fuzzWorld struct {
	t         *rapid.T
	now       time.Time
	pool      *Pool
	token     uint64
	fakes     map[string]*fakeEndpoint
	templates []model.Template
	grants    []model.Grant
	calls     []startCall    // start calls under way
	strays    []StartCommand // given up by the owner, still in the network
	replies   []lateReply
	begun     map[model.AttemptID]StartCommand // by this owner
	settled   map[model.AttemptID]model.AttemptEnd
	next      uint64
	seq       uint64
	shrunk    map[string]bool // capacity shrank; starts may be refused for lack of room
}

func newFuzzWorld(t *rapid.T) *fuzzWorld {
	w := &fuzzWorld{t: t, now: epoch, fakes: map[string]*fakeEndpoint{}, shrunk: map[string]bool{}}
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

// takeover replaces the owner. Calls of the old one stay in the network.
func (w *fuzzWorld) takeover() {
	w.token++
	w.pool = New("worker/z/r", fmt.Sprint("owner", w.token), w.token, DefaultConfig(), rand.New(rand.NewSource(int64(w.token))))
	for _, c := range w.calls {
		w.stray(c)
	}
	w.grants, w.calls, w.replies = nil, nil, nil
	w.begun = map[model.AttemptID]StartCommand{}
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

// stray leaves a call that the owner gave up in the network.
func (w *fuzzWorld) stray(c startCall) {
	if !c.arrived {
		w.strays = append(w.strays, c.StartCommand)
	}
}

func (w *fuzzWorld) fake() *fakeEndpoint {
	return w.fakes[rapid.SampledFrom(sortedKeys(w.fakes)).Draw(w.t, "endpoint")]
}

func (w *fuzzWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range sortedKeys(w.fakes) {
		w.fakes[name].expire(w.now)
	}
}

// apply checks effects: every end is told once, and only what is true.
func (w *fuzzWorld) apply(e Effects) {
	for _, s := range e.Settled {
		a := s.Settled.Attempt
		if before, ok := w.settled[a]; ok {
			w.t.Fatalf("%s settled twice: %s, then %s", a, before, s.Settled.End)
		}
		w.settled[a] = s.Settled.End
		w.checkTruth(s)
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

func (w *fuzzWorld) checkTruth(s SettledNotice) {
	f := w.fakes[s.Settled.Endpoint]
	truth, started := f.history[s.Settled.Attempt]
	switch s.Settled.End {
	case model.AttemptNotStarted:
		if started {
			w.t.Fatalf("%s told as not started, but it ran", s.Settled.Attempt)
		}
	case model.AttemptEnded:
		if !started || truth != string(s.Settled.Answer.Body) {
			w.t.Fatalf("%s told as ended with %q, truth %q", s.Settled.Attempt, s.Settled.Answer.Body, truth)
		}
	}
	if o, runs := f.running[s.Settled.Attempt]; runs && !f.blindTo(o) {
		w.t.Fatalf("%s told as %s while it runs", s.Settled.Attempt, s.Settled.End)
	}
	if _, ours := w.begun[s.Settled.Attempt]; ours && s.To != "s" {
		w.t.Fatalf("%s settled to %q", s.Settled.Attempt, s.To)
	}
}

func (w *fuzzWorld) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check() },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 20, 150, 700, 2500, 13000}).Draw(t, "ms")) * time.Millisecond)
		},
		"session":      func(*rapid.T) { w.session() },
		"lateReply":    func(*rapid.T) { w.deliverReply() },
		"demand":       func(*rapid.T) { w.demand() },
		"schedule":     func(*rapid.T) { w.schedule() },
		"begin":        func(*rapid.T) { w.begin() },
		"startArrives": func(*rapid.T) { w.startArrives() },
		"startReturns": func(*rapid.T) { w.startReturns() },
		"startLost":    func(*rapid.T) { w.startLost() },
		"strayArrives": func(*rapid.T) { w.strayArrives() },
		"return":       func(*rapid.T) { w.giveBack() },
		"end":          func(*rapid.T) { w.endTask() },
		"cancel":       func(*rapid.T) { w.cancel() },
		"tick":         func(*rapid.T) { w.apply(w.pool.Tick(w.now)) },
		"hold":         func(*rapid.T) { w.hold() },
		"leave": func(t *rapid.T) {
			w.pool.SetLeaving(w.now, w.fake().id, rapid.Bool().Draw(t, "leaving"))
		},
		"disturb": func(t *rapid.T) { w.disturb() },
	}
}

// disturb does one of the rare things.
func (w *fuzzWorld) disturb() {
	f := w.fake()
	switch rapid.IntRange(0, 5).Draw(w.t, "disturbance") {
	case 0:
		f.restart(w.now)
		// A restart resets the connections to the endpoint.
		here := func(o StartCommand) bool { return o.Endpoint == f.id }
		w.strays = slices.DeleteFunc(w.strays, here)
		for _, o := range w.calls {
			if o.Endpoint == f.id {
				w.apply(w.pool.HandleStartResult(w.now, o.Attempt, ResultOf(endpoint.StartReply{}, endpoint.ErrLost)))
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

func (w *fuzzWorld) session() {
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "late", "lost", "unsent"}).Draw(w.t, "fate")
	w.call(w.fake(), fate)
}

// call makes a session call.
func (w *fuzzWorld) call(f *fakeEndpoint, fate string) {
	req, ok := w.pool.NextSession(w.now, f.id)
	if !ok {
		return
	}
	sent := w.now
	if fate == "unsent" {
		w.apply(w.pool.HandleSessionFailure(w.now, f.id, endpoint.ErrNotSent))
		return
	}
	w.advance(time.Millisecond)
	reply, err := f.session(w.now, req)
	w.advance(time.Millisecond)
	switch {
	case err != nil || fate == "lost":
		w.apply(w.pool.HandleSessionFailure(w.now, f.id, errors.Join(err, endpoint.ErrLost)))
	case fate == "late":
		w.replies = append(w.replies, lateReply{f.id, sent, reply})
	default:
		w.apply(w.pool.HandleSessionReply(w.now, f.id, sent, reply))
		w.replies = append(w.replies, lateReply{f.id, sent, reply}) // and once more, later
	}
}

func (w *fuzzWorld) deliverReply() {
	if len(w.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(w.t, "reply")
	r := w.replies[i]
	w.replies = slices.Delete(w.replies, i, i+1)
	w.apply(w.pool.HandleSessionReply(w.now, r.endpoint, r.sent, r.reply))
}

func (w *fuzzWorld) demand() {
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

func (w *fuzzWorld) schedule() {
	list := w.pool.Schedule(w.now)
	for _, a := range list {
		w.checkGrant(a.Grant)
	}
	if len(list) > 0 {
		w.checkLimits(list[len(list)-1].Grant)
	}
}

func (w *fuzzWorld) hold() {
	gang := w.templates[0]
	if g, ok := w.pool.Hold(w.now, "s", gang.ID, gang.Resources, 2); ok {
		if len(g.Endpoints) != 2 {
			w.t.Fatalf("held %d of 2 tasks", len(g.Endpoints))
		}
		w.checkGrant(g)
	}
}

func (w *fuzzWorld) checkGrant(g model.Grant) {
	if g.Template.Name == "gang" && !g.Hold && len(g.Endpoints) != 3 {
		w.t.Fatalf("gang of 3 got %d tasks", len(g.Endpoints))
	}
	probe := w.pool.grants[g.ID].probe
	for _, name := range g.Endpoints {
		e := w.pool.endpoints[name]
		if !e.reported || e.leaving() || e.removed || (e.health.quarantined && !probe) {
			w.t.Fatalf("grant on %s, which takes no work", name)
		}
		if !e.charged.Fits(e.capacity) {
			w.t.Fatalf("grant beyond the capacity of %s: %v of %v", name, e.charged, e.capacity)
		}
	}
	w.grants = append(w.grants, g)
}

// checkLimits checks the reserve of confirm after the last grant of a call: a
// template that holds more than that one grant left the reserve free, and
// stayed within its flood share if its tasks can't be stopped.
func (w *fuzzWorld) checkLimits(last model.Grant) {
	p := w.pool
	confirm := p.template(w.templates[3].ID)
	holder := p.template(last.Template)
	if holder == confirm || p.grants[last.ID].probe || holder.count <= len(last.Endpoints) {
		return
	}
	if !holder.Idempotent && holder.charged.DominantShare(p.total()) > holder.FloodShare+shareSlack {
		w.t.Fatalf("%s holds %v of %v, share %v", holder.ID, holder.charged, p.total(), holder.FloodShare)
	}
	if gap := confirm.reserved(p.total()); !gap.Fits(p.free()) {
		w.t.Fatalf("%s took the reserve: free %v, reserved %v", holder.ID, p.free(), gap)
	}
}

func (w *fuzzWorld) begin() {
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
	orders, err := w.pool.StartAttempts(w.now, g.ID, ids)
	if err != nil {
		return
	}
	for _, o := range orders {
		e := w.pool.endpoints[o.Endpoint]
		if e.leaving() || e.removed {
			w.t.Fatalf("start on leaving endpoint %s", o.Endpoint)
		}
		w.begun[o.Attempt] = o
		w.calls = append(w.calls, startCall{StartCommand: o})
	}
	if _, err := w.pool.StartAttempts(w.now, g.ID, ids); !errors.Is(err, ErrDuplicateAttempt) {
		w.t.Fatalf("repeated dispatch got %v", err)
	}
}

func (w *fuzzWorld) drawCall(arrived bool) int {
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

func (w *fuzzWorld) startArrives() {
	if w.drawCall(false) < 0 {
		w.begin()
	}
	i := w.drawCall(false)
	if i < 0 {
		return
	}
	c := &w.calls[i]
	f := w.fakes[c.Endpoint]
	c.arrived, c.err = true, f.start(w.now, c.StartCommand)
	if errors.Is(c.err, endpoint.ErrNoRoom) && !w.shrunk[f.id] && !f.runsBlind() {
		w.t.Fatalf("%s granted beyond what %s has", c.Attempt, f.id)
	}
}

func (w *fuzzWorld) startReturns() {
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

func (w *fuzzWorld) startLost() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	w.apply(w.pool.HandleStartResult(w.now, c.Attempt, ResultOf(endpoint.StartReply{}, endpoint.ErrLost)))
	w.stray(c)
}

func (w *fuzzWorld) strayArrives() {
	if len(w.strays) > 0 {
		o := w.strays[0]
		w.strays = w.strays[1:]
		_ = w.fakes[o.Endpoint].start(w.now, o)
		f := w.fakes[o.Endpoint]
		end, told := w.settled[o.Attempt]
		if !told || f.running[o.Attempt].Attempt == "" {
			return
		}
		if end != model.AttemptUnknown || !f.blindTo(o) {
			w.t.Fatalf("%s started after it was settled as %s", o.Attempt, end)
		}
	}
}

func (w *fuzzWorld) giveBack() {
	if len(w.grants) > 0 {
		w.pool.Return(w.now, w.grants[0].ID)
		w.grants = w.grants[1:]
	}
}

func (w *fuzzWorld) endTask() {
	f := w.fake()
	if len(f.running) > 0 {
		answer := rapid.SampledFrom([]string{"done", "failed"}).Draw(w.t, "answer")
		f.end(rapid.SampledFrom(sortedKeys(f.running)).Draw(w.t, "attempt"), answer, false)
	}
}

func (w *fuzzWorld) cancel() {
	if len(w.begun) == 0 {
		return
	}
	a := rapid.SampledFrom(sortedKeys(w.begun)).Draw(w.t, "attempt")
	if order, ok := w.pool.Cancel(w.now, a); ok {
		started := w.fakes[order.Endpoint].cancel(a)
		w.apply(w.pool.HandleCancelResult(w.now, a, started, nil))
	}
}

// check compares the accounts with the oracle: sums of what is held, and the
// truth at the endpoints.
func (w *fuzzWorld) check() {
	var active, inactive, capacity model.Resources
	held := map[*templateState]model.Resources{}
	for _, e := range w.pool.ordered {
		var sum model.Resources
		for _, a := range e.attempts {
			sum = sum.Add(a.resources)
			held[a.template] = held[a.template].Add(a.resources)
		}
		for _, g := range e.grants {
			if e.leaving() || e.removed || (e.health.quarantined && !g.probe) {
				w.t.Fatalf("%s takes no work and has a grant", e.id)
			}
			for _, on := range g.endpoints {
				if on == e {
					sum = sum.Add(g.grant.Resources)
					held[g.template] = held[g.template].Add(g.grant.Resources)
				}
			}
		}
		if sum != e.charged {
			w.t.Fatalf("%s charged %v, holds %v", e.id, e.charged, sum)
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
		w.t.Fatalf("totals differ from the endpoints")
	}
	for _, t := range p.templateOrder {
		if t.charged != held[t] {
			w.t.Fatalf("%s charged %v, holds %v", t.ID, t.charged, held[t])
		}
	}
	w.checkAttempts()
	for _, a := range sortedKeys(w.begun) {
		f := w.fakes[w.begun[a].Endpoint]
		if _, runs := f.running[a]; runs && p.attempts[a] == nil && !f.blindTo(w.begun[a]) {
			w.t.Fatalf("%s runs and is not charged", a)
		}
	}
}

// checkAttempts checks that a shard owner that asks finds every attempt.
func (w *fuzzWorld) checkAttempts() {
	all := map[model.ShardID]bool{}
	for s := range model.ShardID(model.ShardCount) {
		all[s] = true
	}
	states, _ := w.pool.Attempts(all)
	listed := map[model.AttemptID]bool{}
	for _, s := range states {
		listed[s.Attempt] = true
		if end, told := w.settled[s.Attempt]; told != (s.Settled != nil) || (told && end != s.Settled.End) {
			w.t.Fatalf("%s listed as %+v, told %q", s.Attempt, s, end)
		}
	}
	for a, o := range w.begun {
		if _, told := w.settled[a]; !told && !listed[a] {
			w.t.Fatalf("%s at %s is not listed", a, o.Endpoint)
		}
	}
}

// heal lets everything end and checks that nothing stays charged or untold.
func (w *fuzzWorld) heal() {
	for len(w.calls) > 0 {
		w.startLost()
	}
	for _, r := range w.replies {
		w.apply(w.pool.HandleSessionFailure(w.now, r.endpoint, endpoint.ErrLost))
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
	for _, a := range sortedKeys(w.begun) {
		if _, ok := w.settled[a]; !ok {
			w.t.Fatalf("%s was never settled", a)
		}
	}
}

// TestFuzzPool guards against capacity that is charged twice, too late or
// never, ends told twice or wrongly, and grants on endpoints that take no
// work, under lost, late and repeated messages, restarts and takeovers.
func TestFuzzPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFuzzWorld(t)
		t.Repeat(w.actions())
		w.heal()
	})
}
