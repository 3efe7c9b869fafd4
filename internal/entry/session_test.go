package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// slowClient answers the first session call at once and each later one after 3 s. It reports
// one running attempt.
type slowClient struct {
	unreachableClient
	calls int
}

func (c *slowClient) Session(ctx context.Context, _ endpoint.SessionRequest) (endpoint.SessionReply, error) {
	if c.calls++; c.calls > 1 {
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
			return endpoint.SessionReply{}, &endpoint.CallError{Kind: endpoint.ErrOutcomeUnknown, Cause: ctx.Err()}
		}
	}
	running := endpoint.RunningAttempt{Attempt: model.NewAttemptID(jobKey(1), 0, 1), Template: "w/job", Resources: model.Resources{CoresMilli: 1}, RunMS: 100_000}
	return endpoint.SessionReply{Instance: "i", Kind: "worker", Capacity: model.Resources{CoresMilli: 10}, Running: []endpoint.RunningAttempt{running}}, nil
}

// Guards against an endpoint whose running work is given up, and started elsewhere, only
// because it answers slowly.
func TestWorkOfSlowEndpointGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := testNode(t)
		n.cfg.NewClient = func(string) endpoint.Client { return &slowClient{} }
		ownAll(n)
		l := n.loop
		for end := time.After(2 * time.Minute); ; {
			select {
			case e := <-l.events:
				e.apply(l)
				continue
			case <-time.After(100 * time.Millisecond):
				l.tickPools(l.now())
				continue
			case <-end:
			}
			break
		}
		all := map[model.ShardID]bool{0: true}
		states, _ := l.pools["worker/z/r"].pool.Attempts(all)
		if len(states) != 1 || !states[0].Running || len(l.outbox.queue) > 0 {
			t.Errorf("attempts %+v, %d completions", states, len(l.outbox.queue))
		}
		n.cancel(nil)
		synctest.Wait()
	})
}

// Guards against work that is started again elsewhere after its pool got another owner, while
// it runs on an endpoint that is only silent and still holds the lease of the earlier owner.
func TestWorkOfSilentEndpointWaitsForItsLease(t *testing.T) {
	for name, c := range map[string]struct {
		reply AttemptsReply
		after time.Duration // since the owner changed
		over  bool
	}{
		"silent, lease may last":  {AttemptsReply{Complete: true, Unreachable: []string{"a"}}, 5 * time.Second, false},
		"silent, lease has ended": {AttemptsReply{Complete: true, Unreachable: []string{"a"}}, 15 * time.Second, true},
		"not listed any more":     {AttemptsReply{Complete: true}, 5 * time.Second, false},
		"reported without it":     {AttemptsReply{Complete: true, Reported: map[string]string{"a": "i"}}, 5 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, attempt := ownerNode(t).loop, model.NewAttemptID(jobKey(1), 0, 1)
			l.dispatches.unresolved[attempt] = unresolvedDispatch{
				pool: "worker/z/r", endpoint: "a", instance: "i", started: true, resolveAfter: l.now().Add(ownerGrace - c.after),
			}
			attemptsResolved{pool: "worker/z/r", reply: c.reply}.apply(l)
			if over := len(l.dispatches.unresolved) == 0; over != c.over {
				t.Errorf("counts as over: %v, want %v", over, c.over)
			}
		})
	}
}
