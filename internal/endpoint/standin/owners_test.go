package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/faultproxy"
	"github.com/agateyard/agateyard/internal/model"
)

// minOutcomes is the number of answered starts, and of starts with an unknown
// outcome, that the test needs for its comparison to mean something.
const minOutcomes = 50

// startResult is the result of one start command as the owner sees it.
type startResult struct {
	req endpoint.StartRequest
	err error
}

// startResults collects the results of all owners.
type startResults struct {
	mu  sync.Mutex
	all []startResult
}

func (r *startResults) add(result startResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, result)
}

// outcomes counts the results by outcome.
func (r *startResults) outcomes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := map[string]int{}
	for _, s := range r.all {
		n[outcomeOf(s.err)]++
	}
	return n
}

// enough reports whether both kinds of outcome have occurred often enough.
func (r *startResults) enough() bool {
	n := r.outcomes()
	return n["answered"] >= minOutcomes && n[endpoint.ErrOutcomeUnknown.Error()] >= minOutcomes
}

// Guards against differences between the results that owners receive and the
// effect log of the endpoint. Several owners with increasing tokens start and
// cancel work over a link with delays and random resets, while the endpoint
// freezes, restarts and loses replies.
func TestOwnersOverBadLinks(t *testing.T) {
	const seed = 20261203
	t.Logf("seed %d", seed)
	cfg := RunnerConfig("runner-1", "z1", "orders")
	cfg.LeaseTTL = 150 * time.Millisecond
	e, err := Listen("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	link, err := faultproxy.Listen("127.0.0.1:0", e.Address(), faultproxy.Settings{DelayMicros: 500, JitterMS: 3, CutsPerSecond: 2}, seed)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()

	// The last owner starts after 3 s. On a busy machine the run lasts until the
	// outcomes suffice, because most sessions exceed their deadline there.
	const minDuration, maxDuration = 4 * time.Second, 60 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	var results startResults
	var wg sync.WaitGroup
	for owner := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(owner)))
			if sleep(ctx, time.Duration(owner)*time.Second) {
				runOwner(ctx, link.Address(), uint64(owner+1), rng, &results)
			}
		})
	}
	wg.Go(func() { injectFaults(ctx, e, rand.New(rand.NewPCG(seed, 100))) })
	sleep(ctx, minDuration)
	for !results.enough() && sleep(ctx, 50*time.Millisecond) {
	}
	cancel()
	wg.Wait()
	e.SetFaults(Faults{})
	e.Close()
	checkOwners(t, &results, e.Effects())
}

// sleep waits for the duration. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// runOwner simulates a pool owner that continues after it has been replaced.
func runOwner(ctx context.Context, address string, token uint64, rng *rand.Rand, results *startResults) {
	c := endpoint.NewHTTPClient(address, endpoint.DefaultOptions())
	defer c.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	var last endpoint.SessionReply
	for i := 0; ctx.Err() == nil; i++ {
		if i%5 == 0 {
			callCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			if r, err := c.Session(callCtx, endpoint.SessionRequest{Token: token, Owner: fmt.Sprint("owner-", token)}); err == nil {
				last = r
			}
			cancel()
		}
		req := endpoint.StartRequest{
			Attempt: model.AttemptID(fmt.Sprintf("1.%016x.0.%016x", token, i)), Token: token,
			StartBeforeMS: last.ClockMS + 200, Instance: last.Instance, Template: "kalnins/cutting-run",
			Body: fmt.Appendf(nil, `{"echo":"%d-%d","run_ms":%d}`, token, i, rng.IntN(30)),
		}
		limit := time.Duration(5+rng.IntN(100)) * time.Millisecond
		withCancel := rng.IntN(10) == 0
		wg.Go(func() {
			callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer stop()
			if withCancel {
				go func() { _, _ = c.Cancel(callCtx, token, req.Attempt) }()
			}
			_, err := c.Start(callCtx, req)
			results.add(startResult{req, err})
		})
		sleep(ctx, 4*time.Millisecond)
	}
}

// injectFaults injects random faults until the context ends.
func injectFaults(ctx context.Context, e *Endpoint, rng *rand.Rand) {
	for sleep(ctx, time.Duration(50+rng.IntN(150))*time.Millisecond) {
		switch rng.IntN(7) {
		case 0:
			e.SetFaults(Faults{Freeze: true, ForMS: int64(rng.IntN(300))})
		case 1:
			e.SetFaults(Faults{LoseReplies: true, ForMS: 50})
		case 2:
			e.SetFaults(Faults{TruncateAnswers: true, ForMS: 50})
		case 3:
			e.SetFaults(Faults{Hang: true, ForMS: 80})
		case 4:
			e.SetFaults(Faults{DelayRepliesMS: 30, ForMS: 50})
		case 5:
			e.Restart()
		case 6:
			e.SetFaults(Faults{RefuseConnections: true, ForMS: 50})
		}
	}
}

func checkOwners(t *testing.T, results *startResults, log EffectLog) {
	starts, effects := map[model.AttemptID]int{}, map[model.AttemptID]int{}
	// A restart resets the highest token, so the order of tokens is checked per
	// instance.
	highest := map[string]uint64{}
	for _, e := range log.Effects {
		switch e.Event {
		case EffectStart:
			starts[e.Attempt]++
			if e.Token < highest[e.Instance] {
				t.Errorf("attempt %s with token %d started after one with token %d", e.Attempt, e.Token, highest[e.Instance])
			}
			highest[e.Instance] = e.Token
		case EffectPerformed:
			effects[e.Attempt]++
		}
	}
	for _, s := range results.all {
		id := s.req.Attempt
		n, performed := starts[id], effects[id]
		switch {
		case n > 1 || performed > n:
			t.Errorf("%s: %d starts, %d effects", id, n, performed)
		case s.err == nil && performed != 1:
			t.Errorf("%s: start was answered but has %d effects", id, performed)
		case errors.Is(s.err, endpoint.ErrRepeated):
			t.Errorf("%s: start was sent once but refused as repeated", id)
		case s.err != nil && !errors.Is(s.err, endpoint.ErrOutcomeUnknown) && n > 0:
			t.Errorf("%s: started, but the owner received the error %v", id, s.err)
		}
	}
	outcomes := results.outcomes()
	t.Logf("%d start commands sent, %d attempts started, outcomes %v", len(results.all), len(starts), outcomes)
	if !results.enough() {
		t.Errorf("too few answered or unknown outcomes: %v", outcomes)
	}
}

func outcomeOf(err error) string {
	var ce *endpoint.CallError
	if errors.As(err, &ce) {
		return ce.Kind.Error()
	}
	return "answered"
}
