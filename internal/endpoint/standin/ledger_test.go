package standin

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// seed makes the rapid tests reproducible; -rapid.seed overrides it.
const seed = "20261203"

func TestMain(m *testing.M) {
	fmt.Println("rapid seed", seed)
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// oracle is a reference model of the protocol. It keeps the whole history of each
// attempt and the expiry time of the lease.
type oracle struct {
	now        time.Duration
	token      uint64
	owner      string
	leaseUntil time.Duration
	attempts   map[model.AttemptID]*oracleAttempt
	acked      map[model.AttemptID]bool
}

type oracleAttempt struct {
	blocked bool
	ended   bool
	effect  bool
	slots   int64
	handle  *attempt
}

func (o *oracle) expireLease() {
	if o.now < o.leaseUntil {
		return
	}
	for _, a := range o.attempts {
		a.ended = true
	}
}

func (o *oracle) running() []model.AttemptID {
	var out []model.AttemptID
	for id, a := range o.attempts {
		if !a.ended && !a.blocked {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// started returns all attempts that were started, including ended ones.
func (o *oracle) started() []model.AttemptID {
	var out []model.AttemptID
	for id, a := range o.attempts {
		if a.handle != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (o *oracle) used() (n int64) {
	for _, id := range o.running() {
		n += o.attempts[id].slots
	}
	return n
}

// tokenCode returns the refusal expected for a command with the token.
func (o *oracle) tokenCode(token uint64) endpoint.RefusalCode {
	switch {
	case token < o.token:
		return endpoint.RefusalStaleToken
	case token > o.token:
		return endpoint.RefusalNoLease
	}
	return ""
}

func (o *oracle) startCode(id model.AttemptID, token uint64, before time.Duration, slots int64) endpoint.RefusalCode {
	if a := o.attempts[id]; a != nil {
		if a.blocked {
			return endpoint.RefusalCancelled
		}
		return endpoint.RefusalRepeated
	}
	code := o.tokenCode(token)
	switch {
	case code != "":
		return code
	case o.now >= before:
		return endpoint.RefusalExpired
	case o.now >= o.leaseUntil:
		return endpoint.RefusalNoLease
	case o.used()+slots > RunnerSlots:
		return endpoint.RefusalNoCapacity
	}
	return ""
}

// Compares the ledger with the oracle under random sequences of sessions, starts,
// cancels, effects and time steps. Guards against accepting commands of a stale
// owner, running an attempt twice, effects without a lease, overcommitted
// capacity, and ended attempts that are missing in the report.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLedger("instance-1", model.Resources{Slots: RunnerSlots}, 10*time.Second)
		o := &oracle{attempts: map[model.AttemptID]*oracleAttempt{}, acked: map[model.AttemptID]bool{}}
		// Half of the commands have the current token; otherwise most would be refused.
		tokens := rapid.Custom(func(t *rapid.T) uint64 {
			if rapid.Bool().Draw(t, "current token") {
				return max(o.token, 1)
			}
			return rapid.Uint64Range(1, 4).Draw(t, "any")
		})
		ids := rapid.Custom(func(t *rapid.T) model.AttemptID {
			return model.AttemptID(fmt.Sprintf("a%d", rapid.IntRange(0, 15).Draw(t, "attempt")))
		})
		expect := func(rt *rapid.T, got, want endpoint.RefusalCode) {
			if got != want {
				rt.Fatalf("at %v: code %q, want %q", o.now, got, want)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"pass time": func(rt *rapid.T) {
				d := time.Duration(rapid.SampledFrom([]int{1, 200, 4000, 9999, 10_000}).Draw(rt, "ms")) * time.Millisecond
				// The oracle doesn't discard records; TestDiscardsOnlyExpiredAttempts covers that.
				if o.now+d < attemptRetention {
					o.now += d
				}
				o.expireLease()
			},
			"session": func(rt *rapid.T) {
				req := endpoint.SessionRequest{Token: tokens.Draw(rt, "token"), Owner: rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "owner")}
				req.Instance = rapid.SampledFrom([]string{"instance-1", "instance-0"}).Draw(rt, "instance")
				req.Ack = rapid.Uint64Range(0, l.seq).Draw(rt, "ack")
				var want endpoint.RefusalCode
				if req.Token < o.token || req.Token == o.token && req.Owner != o.owner {
					want = endpoint.RefusalStaleToken
				}
				reported := slices.Clone(l.unacknowledged)
				expect(rt, l.session(o.now, req), want)
				if want != "" {
					return
				}
				o.token, o.owner, o.leaseUntil = req.Token, req.Owner, o.now+10*time.Second
				for _, a := range reported {
					if a.seq <= req.Ack && req.Instance == "instance-1" {
						o.acked[a.id] = true
					}
				}
			},
			"start": func(rt *rapid.T) {
				req := endpoint.StartRequest{Attempt: ids.Draw(rt, "id"), Token: tokens.Draw(rt, "token")}
				req.Resources.Slots = rapid.Int64Range(1, 5).Draw(rt, "slots")
				before := o.now + time.Duration(rapid.IntRange(-500, 2000).Draw(rt, "limit"))*time.Millisecond
				req.StartBeforeMS = before.Milliseconds()
				a, code := l.start(o.now, req, Work{})
				expect(rt, code, o.startCode(req.Attempt, req.Token, time.Duration(req.StartBeforeMS)*time.Millisecond, req.Resources.Slots))
				if code == "" {
					o.attempts[req.Attempt] = &oracleAttempt{slots: req.Resources.Slots, handle: a}
				}
			},
			"cancel": func(rt *rapid.T) {
				id, token := ids.Draw(rt, "id"), tokens.Draw(rt, "token")
				started, code := l.cancel(o.now, token, id)
				expect(rt, code, o.tokenCode(token))
				if code != "" {
					return
				}
				a := o.attempts[id]
				if started != (a != nil && !a.blocked) {
					rt.Fatalf("cancel of %s reports started=%v, oracle has %+v", id, started, a)
				}
				if a == nil {
					o.attempts[id] = &oracleAttempt{blocked: true}
				} else {
					a.ended = true
				}
			},
			"effect and end": func(rt *rapid.T) {
				started := o.started()
				if len(started) == 0 {
					return
				}
				a := o.attempts[rapid.SampledFrom(started).Draw(rt, "id")]
				if rapid.Bool().Draw(rt, "with effect") {
					want := !a.ended && !a.effect && o.now < o.leaseUntil
					if got := l.perform(o.now, a.handle); got != want {
						rt.Fatalf("at %v: effect allowed=%v, want %v (lease until %v)", o.now, got, want, o.leaseUntil)
					}
					a.effect = a.effect || want
				}
				if got := l.finish(o.now, a.handle, model.Answer{Status: 200}); got != !a.ended {
					rt.Fatalf("at %v: finish=%v for %+v", o.now, got, a)
				}
				a.ended = true
			},
			// This is a step rather than an invariant checked after every step, because
			// it calls advance: the other steps must detect an expired lease themselves.
			"report": func(rt *rapid.T) {
				l.advance(o.now)
				r := l.report(o.now, 0, "runner")
				var running, ended []model.AttemptID
				for _, a := range r.Running {
					running = append(running, a.Attempt)
				}
				for _, a := range r.Ended {
					ended = append(ended, a.Attempt)
				}
				if want := o.running(); !slices.Equal(running, want) {
					rt.Fatalf("reports running %v, want %v", running, want)
				}
				if l.used.Slots != o.used() {
					rt.Fatalf("%d slots used, want %d", l.used.Slots, o.used())
				}
				for id, a := range o.attempts {
					want := a.ended && !a.blocked && !o.acked[id]
					if got := slices.Contains(ended, id); got != want {
						rt.Fatalf("reports end of %s: %v, want %v", id, got, want)
					}
				}
			},
		})
	})
}

// Guards against records that are never discarded, and against starting an attempt
// again after its record was discarded.
func TestDiscardsOnlyExpiredAttempts(t *testing.T) {
	l := newLedger("i", model.Resources{Slots: 1}, time.Hour)
	l.session(0, endpoint.SessionRequest{Token: 1, Owner: "p"})
	req := endpoint.StartRequest{Attempt: "a", Token: 1, StartBeforeMS: maxStartWindow.Milliseconds()}
	a, code := l.start(0, req, Work{})
	if code != "" {
		t.Fatal(code)
	}
	l.finish(time.Second, a, model.Answer{})
	l.cancel(time.Second, 1, "b")
	later := time.Second + attemptRetention
	if _, code := l.start(later, req, Work{}); code != endpoint.RefusalExpired {
		t.Errorf("attempt with discarded record: %q, want expired", code)
	}
	if len(l.seen) != 0 || len(l.retained) != 0 {
		t.Errorf("records not discarded: %v", slices.Collect(maps.Keys(l.seen)))
	}
	req.Attempt, req.StartBeforeMS = "c", (later + maxStartWindow + time.Millisecond).Milliseconds()
	if _, code := l.start(later, req, Work{}); code != endpoint.RefusalBadRequest {
		t.Errorf("start deadline beyond maxStartWindow: %q, want bad-request", code)
	}
}
