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

// seenStart is what an owner was told about one attempt.
type seenStart struct {
	req endpoint.StartRequest
	err error
}

// Guards against any mismatch between what owners are told and what happened:
// several owners with rising tokens start and cancel work over links that are
// slow and cut at random, while the endpoint freezes, restarts and loses replies.
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

	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var mu sync.Mutex
	var seen []seenStart
	var wg sync.WaitGroup
	for owner := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(owner)))
			if sleepUntil(ctx, time.Duration(owner)*time.Second) {
				got := own(ctx, link.Address(), uint64(owner+1), rng)
				mu.Lock()
				seen = append(seen, got...)
				mu.Unlock()
			}
		})
	}
	wg.Go(func() { disturb(ctx, e, rand.New(rand.NewPCG(seed, 100))) })
	wg.Wait()
	e.SetFaults(Faults{})
	e.Close()
	checkOwners(t, seen, e.Effects())
}

func sleepUntil(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// own plays a pool owner, which goes on after it has been replaced.
func own(ctx context.Context, address string, token uint64, rng *rand.Rand) []seenStart {
	c := endpoint.NewHTTPClient(address, endpoint.DefaultOptions())
	defer c.Close()
	var mu sync.Mutex
	var seen []seenStart
	var wg sync.WaitGroup
	defer func() { wg.Wait() }()
	var last endpoint.SessionReply
	for i := 0; ctx.Err() == nil; i++ {
		if i%5 == 0 {
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			if r, err := c.Session(short, endpoint.SessionRequest{Token: token, Owner: fmt.Sprint("owner-", token)}); err == nil {
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
		cancelIt := rng.IntN(10) == 0
		wg.Go(func() {
			short, stop := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer stop()
			if cancelIt {
				go func() { _, _ = c.Cancel(short, token, req.Attempt) }()
			}
			_, err := c.Start(short, req)
			mu.Lock()
			seen = append(seen, seenStart{req, err})
			mu.Unlock()
		})
		sleepUntil(ctx, 4*time.Millisecond)
	}
	wg.Wait()
	return seen
}

// disturb switches faults at random.
func disturb(ctx context.Context, e *Endpoint, rng *rand.Rand) {
	for sleepUntil(ctx, time.Duration(50+rng.IntN(150))*time.Millisecond) {
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

func checkOwners(t *testing.T, seen []seenStart, log EffectLog) {
	starts, effects := map[model.AttemptID]int{}, map[model.AttemptID]int{}
	// An endpoint that restarts forgets the highest token, so the order of tokens
	// holds within an instance.
	highest := map[string]uint64{}
	for _, e := range log.Effects {
		switch e.Event {
		case EffectStart:
			starts[e.Attempt]++
			if e.Token < highest[e.Instance] {
				t.Errorf("attempt %s of token %d started after token %d", e.Attempt, e.Token, highest[e.Instance])
			}
			highest[e.Instance] = e.Token
		case EffectPerformed:
			effects[e.Attempt]++
		}
	}
	outcomes := map[string]int{}
	for _, s := range seen {
		id := s.req.Attempt
		n, performed := starts[id], effects[id]
		switch {
		case n > 1 || performed > n:
			t.Errorf("%s: %d starts, %d effects", id, n, performed)
		case s.err == nil && performed != 1:
			t.Errorf("%s: answered with %d effects", id, performed)
		case errors.Is(s.err, endpoint.ErrRepeated):
			t.Errorf("%s: sent once, refused as repeated", id)
		case s.err != nil && !errors.Is(s.err, endpoint.ErrOutcomeUnknown) && n > 0:
			t.Errorf("%s: started, but the owner was told %v", id, s.err)
		}
		outcomes[outcomeOf(s.err)]++
	}
	t.Logf("%d starts sent, %d started, outcomes %v", len(seen), len(starts), outcomes)
	if outcomes["answered"] < 50 || outcomes[endpoint.ErrOutcomeUnknown.Error()] < 50 {
		t.Errorf("too few of some outcome: %v", outcomes)
	}
}

func outcomeOf(err error) string {
	var ce *endpoint.CallError
	if errors.As(err, &ce) {
		return ce.Kind.Error()
	}
	return "answered"
}
