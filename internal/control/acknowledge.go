package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// acknowledgeWindow is how long after a runner's answer an acknowledgement of the run ends in it may be sent. The numbers
	// of ends restart with each incarnation, and a new incarnation under the same identifier was seen 0.3 s after the last
	// answer of the old one. The rest is for the way to the runner.
	acknowledgeWindow = 200 * time.Millisecond
	// clockTolerance is by how much faster than this process's clock a runner's clock may run.
	clockTolerance = 0.02
)

// AcknowledgeLimit is until when the run ends in a runner's answer may be acknowledged. Only the process that received the
// answer can tell, since the limit is on its clock; the owner passes it back to that process.
type AcknowledgeLimit struct {
	Process string // incarnation of the process that received the answer; "" from processes of earlier builds
	By      time.Duration
}

// answerTimes bounds how old the answers of runners are. An answer may have waited in the runner for a run to end, or in a
// socket of this process while it was paused, so neither the time of the request nor that of its processing is enough.
type answerTimes struct {
	mu      sync.Mutex
	samples map[string]clockSample // by runner
}

// clockSample says that a runner's clock showed the reading at or after the given time.
type clockSample struct {
	incarnation int64
	reading     int64 // milliseconds
	notBefore   time.Duration
}

// notBefore returns the earliest time at which a runner can have made a report that was requested and received at the given
// times.
func (a *answerTimes) notBefore(rep *scheduler.Report, requested, received time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.samples[rep.Runner]; ok && s.incarnation == rep.Incarnation && rep.Clock > s.reading {
		passed := time.Duration(rep.Clock-s.reading-1) * time.Millisecond // readings are rounded
		made := s.notBefore + time.Duration(float64(passed)*(1-clockTolerance))
		if requested < made && made <= received {
			return made // the earlier sample bounds the time better than the request
		}
	}
	if a.samples == nil {
		a.samples = map[string]clockSample{}
	}
	a.samples[rep.Runner] = clockSample{incarnation: rep.Incarnation, reading: rep.Clock, notBefore: requested}
	return requested
}

// pollRunner polls a runner from this process. If the acknowledgement in the poll is stale, or becomes so before it has
// been written to the connection, the poll is made without it: the runner lists the ends again.
func (n *Node) pollRunner(ctx context.Context, args RelayArgs) (RelayReply, error) {
	poll := *args.Poll
	if poll.Acknowledged > 0 {
		if deadline := n.acknowledgeDeadline(&args); n.clock.Now() <= deadline {
			reply, err := n.pollOnce(WithSendDeadline(ctx, deadline), args.Runner, poll)
			if !errors.Is(err, errStale) {
				return reply, err
			}
		}
		poll.Acknowledged = 0
	}
	return n.pollOnce(ctx, args.Runner, poll)
}

// acknowledgeDeadline returns by when the acknowledgement in a poll must have been written; 0 if never.
func (n *Node) acknowledgeDeadline(args *RelayArgs) time.Duration {
	switch args.Limit.Process {
	case "": // from an owner of an earlier build, which knows only when it processed the runner's last answer
		return args.preparedAt + minPause
	case n.incarnation:
		return args.Limit.By
	}
	return 0
}

func (n *Node) pollOnce(ctx context.Context, ref scheduler.RunnerRef, poll PollRequest) (reply RelayReply, err error) {
	requested := n.clock.Now()
	reply.Report, err = n.dep.Runners.Poll(ctx, ref, poll)
	if err == nil {
		made := n.answers.notBefore(&reply.Report, requested, n.clock.Now())
		reply.Limit = AcknowledgeLimit{Process: n.incarnation, By: made + acknowledgeWindow}
	}
	return reply, err
}
