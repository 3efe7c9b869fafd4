package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// startOne returns a pool with one worker and one attempt whose start call is in flight.
func startOne(t *testing.T) (*Pool, model.AttemptID) {
	t.Helper()
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	addEndpoints(p, 1, worker(4, 8, 0))
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(work, 1, at(0))})
	list := p.Schedule(at(0))
	a := attemptID(1)
	if _, err := p.StartAttempts(at(0), list[0].Grant.ID, []model.AttemptID{a}); err != nil {
		t.Fatal(err)
	}
	return p, a
}

var lostStart = StartResult{Kind: StartLost, Err: endpoint.ErrOutcomeUnknown}

// TestSettleLost guards against a lost start that is settled as not started while
// it can still start, and against a wrong completion of an attempt whose start was
// lost.
func TestSettleLost(t *testing.T) {
	running := endpoint.RunningAttempt{Attempt: attemptID(1), Template: "kalnins/work", Resources: job("work", 5).Resources}
	ended := endpoint.EndedAttempt{Seq: 1, Attempt: attemptID(1), HasAnswer: true, Answer: model.Answer{Status: 200}}
	afterDeadline := at(3 * time.Second)
	for _, c := range []struct {
		name   string
		sent   time.Time
		change func(*endpoint.SessionReply)
		want   model.AttemptEnd // "" for not settled
	}{
		{"before the deadline", at(time.Second), nil, ""},
		{"sent before the deadline, received later", at(2100 * time.Millisecond), nil, ""},
		{"after the deadline", afterDeadline, nil, model.AttemptNotStarted},
		{"running", afterDeadline, func(r *endpoint.SessionReply) { r.Running = append(r.Running, running) }, ""},
		{"ended", at(time.Second), func(r *endpoint.SessionReply) { r.Ended = append(r.Ended, ended) }, model.AttemptEnded},
		{"restarted", afterDeadline, func(r *endpoint.SessionReply) { r.Instance = "i2" }, model.AttemptUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, a := startOne(t)
			p.HandleStartResult(at(10*time.Millisecond), a, lostStart)
			r := report(worker(4, 8, 0))
			if c.change != nil {
				c.change(&r)
			}
			got := p.HandleSessionReply(at(4*time.Second), "e0000", c.sent, r).Settled
			switch {
			case c.want == "" && (len(got) != 0 || p.free() == p.total()):
				t.Fatalf("settled %v, free %v", got, p.free())
			case c.want != "" && (len(got) != 1 || got[0].Settled.End != c.want || got[0].To != "s" || p.free() != p.total()):
				t.Fatalf("settled %v, free %v, want %v", got, p.free(), c.want)
			}
		})
	}
}

// TestLeaseExpiry guards against attempts on a failed endpoint whose capacity stays
// charged to it forever, or that are settled while the endpoint may still hold its lease.
func TestLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want time.Duration // earliest settlement, with calls every 2 s; at most 1 s later
	}{
		{"connection refused", endpoint.ErrNotSent, 12 * time.Second},
		// The replies to five calls are lost; then calls stop and the lease that the last one renewed expires.
		{"replies lost", endpoint.ErrOutcomeUnknown, 22 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, a := startOne(t)
			p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
			for d := time.Duration(0); d < time.Minute; d += 100 * time.Millisecond {
				if d%(2*time.Second) == 0 && d > 0 {
					if _, ok := p.NextSession(at(d), "e0000"); ok {
						p.HandleSessionFailure(at(d), "e0000", c.err)
					}
				}
				settled := p.Tick(at(d)).Settled
				if len(settled) == 0 {
					continue
				}
				if settled[0].Settled.End != model.AttemptUnknown || d < c.want || d > c.want+time.Second {
					t.Fatalf("settled %v after %v, want %v", settled, d, c.want)
				}
				return
			}
			t.Fatal("never settled")
		})
	}
}

// TestAck guards against an end that is acknowledged before the shard owner has
// received it: the endpoint would drop its record, and under the next pool owner
// the attempt would be reported as not started.
func TestAck(t *testing.T) {
	p, a := startOne(t)
	p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
	r := report(worker(4, 8, 0))
	r.Ended = []endpoint.EndedAttempt{{Seq: 7, Attempt: a, HasAnswer: true, Answer: model.Answer{Status: 200}}}
	p.HandleSessionReply(at(time.Second), "e0000", at(time.Second), r)
	if req, _ := p.NextSession(at(2*time.Second), "e0000"); req.Ack != 0 {
		t.Fatalf("acknowledged %d before delivery", req.Ack)
	}
	if s := p.HandleSessionReply(at(2*time.Second), "e0000", at(2*time.Second), r).Settled; len(s) != 0 {
		t.Fatalf("settled twice: %v", s)
	}
	p.MarkDelivered(at(3*time.Second), []model.AttemptID{a})
	if req, _ := p.NextSession(at(4*time.Second), "e0000"); req.Ack != 7 {
		t.Fatalf("acknowledged %d after delivery, want 7", req.Ack)
	}
}

// TestTakeover guards against a new owner that grants capacity which attempts of
// the earlier owner still use, and against an incomplete list of attempts that is
// returned as complete.
func TestTakeover(t *testing.T) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(work, 9, at(0))})
	p.AddEndpoint(at(0), "a")
	p.AddEndpoint(at(0), "b")
	p.MarkEndpointsListed()
	if n := len(p.Schedule(at(0))); n != 0 {
		t.Fatalf("%d grants before the first report", n)
	}
	r := report(worker(4, 8, 0))
	old := attemptID(9)
	r.Running = []endpoint.RunningAttempt{{Attempt: old, Template: "kalnins/gone", Resources: worker(3, 1, 0)}}
	p.HandleSessionReply(at(0), "a", at(0), r)
	if n := len(p.Schedule(at(0))); n != 1 {
		t.Fatalf("%d grants beside 3 of 4 cores in use", n)
	}
	shard, _ := old.Shard()
	states, complete := p.Attempts(map[model.ShardID]bool{shard: true})
	if complete || len(states) != 1 || !states[0].Running {
		t.Fatalf("got %v, complete %v", states, complete)
	}
	p.HandleSessionFailure(at(0), "b", endpoint.ErrNotSent)
	p.HandleSessionFailure(at(2*time.Second), "b", endpoint.ErrNotSent)
	if _, complete = p.Attempts(nil); !complete || len(p.Unreachable()) != 1 {
		t.Fatalf("complete %v with unreachable %v", complete, p.Unreachable())
	}
	if e := p.HandleSessionFailure(at(2*time.Second), "a", endpoint.ErrStaleToken); !e.Superseded || len(p.Schedule(at(2*time.Second))) != 0 {
		t.Fatal("still issues grants after an endpoint has seen a higher token")
	}
}

// TestLeaving guards against starts on an endpoint that is leaving.
func TestLeaving(t *testing.T) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	addEndpoints(p, 1, worker(4, 8, 0))
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(work, 9, at(0))})
	list := p.Schedule(at(0))
	p.SetLeaving(at(0), "e0000", true)
	if _, err := p.StartAttempts(at(0), list[0].Grant.ID, []model.AttemptID{attemptID(1)}); err != ErrGrantInvalid {
		t.Fatalf("StartAttempts on a leaving endpoint: %v", err)
	}
	if n := len(p.Schedule(at(0))); n != 0 {
		t.Fatalf("%d grants on a leaving endpoint", n)
	}
}

// TestContradictions guards against wrong conclusions from contradictory messages:
// outdated session replies, refused starts of attempts that run, and attempts that
// an endpoint lists again after they were settled.
func TestContradictions(t *testing.T) {
	size := job("work", 5).Resources
	running := report(worker(4, 8, 0))
	running.Running = []endpoint.RunningAttempt{{Attempt: attemptID(1), Template: "kalnins/work", Resources: size}}
	empty := report(worker(4, 8, 0))
	answered := StartResult{Kind: StartAnswered, Answer: model.Answer{Status: 200}}
	refused := StartResult{Kind: StartRefused, Err: endpoint.ErrExpired}
	s := time.Second
	for _, c := range []struct {
		name    string
		run     func(p *Pool, a model.AttemptID) []SettledNotice
		want    []model.AttemptEnd
		charged model.Resources
	}{
		{"list requested before the end", func(p *Pool, a model.AttemptID) []SettledNotice {
			out := p.HandleStartResult(at(2*s), a, answered).Settled
			return append(out, p.HandleSessionReply(at(3*s), "e0000", at(s), running).Settled...)
		}, []model.AttemptEnd{model.AttemptEnded}, model.Resources{}},
		{"reply to an older call than the last", func(p *Pool, a model.AttemptID) []SettledNotice {
			p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
			p.HandleSessionReply(at(3*s), "e0000", at(3*s), running)
			return p.HandleSessionReply(at(4*s), "e0000", at(2*s), empty).Settled
		}, nil, size},
		{"refusal of an attempt that runs", func(p *Pool, a model.AttemptID) []SettledNotice {
			p.HandleSessionReply(at(s), "e0000", at(s), running)
			out := p.HandleStartResult(at(2*s), a, refused).Settled
			return append(out, p.HandleSessionReply(at(3*s), "e0000", at(3*s), empty).Settled...)
		}, []model.AttemptEnd{model.AttemptUnknown}, model.Resources{}},
		{"refusal as repeated", func(p *Pool, a model.AttemptID) []SettledNotice {
			p.HandleStartResult(at(s), a, ResultOf(endpoint.StartReply{}, endpoint.ErrRepeated))
			return p.HandleSessionReply(at(4*s), "e0000", at(4*s), empty).Settled
		}, []model.AttemptEnd{model.AttemptUnknown}, model.Resources{}},
		{"listed again after the lease expired", func(p *Pool, a model.AttemptID) []SettledNotice {
			p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
			out := p.Tick(at(13 * s)).Settled
			return append(out, p.HandleSessionReply(at(90*s), "e0000", at(90*s), running).Settled...)
		}, []model.AttemptEnd{model.AttemptUnknown}, size},
		{"listed again and then absent", func(p *Pool, a model.AttemptID) []SettledNotice {
			p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
			out := p.Tick(at(13 * s)).Settled
			out = append(out, p.HandleSessionReply(at(90*s), "e0000", at(90*s), running).Settled...)
			return append(out, p.HandleSessionReply(at(92*s), "e0000", at(92*s), empty).Settled...)
		}, []model.AttemptEnd{model.AttemptUnknown}, model.Resources{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, a := startOne(t)
			var got []model.AttemptEnd
			for _, s := range c.run(p, a) {
				got = append(got, s.Settled.End)
			}
			if !slices.Equal(got, c.want) || p.endpoints["e0000"].charged != c.charged {
				t.Fatalf("settled %v, want %v; charged %v, want %v", got, c.want, p.endpoints["e0000"].charged, c.charged)
			}
		})
	}
}

// TestStartAfterLease guards against a start on an endpoint that has not reported
// within its lease: the endpoint would stop the work, or run it uncharged.
func TestStartAfterLease(t *testing.T) {
	p, _ := startOne(t)
	g, _ := p.Hold(at(9700*time.Millisecond), "s", id("work"), job("work", 5).Resources, 1)
	if _, err := p.StartAttempts(at(10100*time.Millisecond), g.ID, []model.AttemptID{attemptID(2)}); err != ErrGrantInvalid {
		t.Fatalf("StartAttempts after the lease: %v", err)
	}
	p.Tick(at(10100 * time.Millisecond))
	if _, ok := p.Hold(at(10100*time.Millisecond), "s", id("work"), job("work", 5).Resources, 1); ok {
		t.Fatal("grant after the lease")
	}
}

// TestReturnedEndpoint guards against an end that is reported to the shard owner
// twice, because the endpoint left the VM list and returned after the regular
// retention of the end.
func TestReturnedEndpoint(t *testing.T) {
	p, a := startOne(t)
	p.HandleStartResult(at(0), a, StartResult{Kind: StartAccepted})
	r := report(worker(4, 8, 0))
	r.Ended = []endpoint.EndedAttempt{{Seq: 1, Attempt: a, HasAnswer: true, Answer: model.Answer{Status: 200}}}
	first := p.HandleSessionReply(at(time.Second), "e0000", at(time.Second), r).Settled
	p.RemoveEndpoint(at(2*time.Second), "e0000")
	p.Tick(at(70 * time.Second))
	p.AddEndpoint(at(71*time.Second), "e0000")
	again := p.HandleSessionReply(at(72*time.Second), "e0000", at(72*time.Second), r).Settled
	if len(first) != 1 || len(again) != 0 {
		t.Fatalf("settled %v, then %v", first, again)
	}
}

// TestUndeliveredEndIsNotAcknowledged guards against an endpoint that discards an end which no shard owner has received,
// while the record of the request is still kept: a resubmission would find neither. The pool owner must know the end for
// as long, or the next shard owner takes the attempt for one that never started.
func TestUndeliveredEndIsNotAcknowledged(t *testing.T) {
	p, a := startOne(t)
	p.HandleStartResult(at(10*time.Millisecond), a, StartResult{Kind: StartAccepted})
	r := report(worker(4, 8, 0))
	r.Ended = append(r.Ended, endpoint.EndedAttempt{Seq: 1, Attempt: a, HasAnswer: true, Answer: model.Answer{Status: 200}})
	p.HandleSessionReply(at(2*time.Second), "e0000", at(time.Second), r)
	retention := DefaultConfig().RecordRetention
	for _, c := range []struct {
		after time.Duration
		ack   uint64
	}{{DefaultConfig().SettledTTL + 10*time.Second, 0}, {retention - time.Minute, 0}, {retention + time.Minute, 1}} {
		request, ok := p.NextSession(at(c.after), "e0000")
		if !ok || request.Ack != c.ack {
			t.Errorf("after %s: acknowledged up to %d (session %v), want %d", c.after, request.Ack, ok, c.ack)
		}
		p.HandleSessionReply(at(c.after), "e0000", at(c.after), r)
		p.Tick(at(c.after))
		shard, _ := a.Shard()
		if states, _ := p.Attempts(map[model.ShardID]bool{shard: true}); (len(states) == 1) != (c.ack == 0) {
			t.Errorf("after %s: the next shard owner gets %+v", c.after, states)
		}
	}
}
