package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

const (
	// sessionTimeout bounds one session call. Two of them and an interval stay
	// well under endpoint.LeaseTTL, so that one lost call never costs a lease.
	sessionTimeout = 2 * time.Second
	// sessionMinInterval and sessionAgeShare set the interval of a worker that
	// runs tasks: a quarter of the age of its youngest task. Only the report
	// tells the end of a task, which so is known late by a quarter of its run at
	// most, at a cost that grows with the logarithm of the run.
	sessionMinInterval = 50 * time.Millisecond
	sessionAgeShare    = 4
	// sessionBusyInterval bounds the interval while work waits for the pool.
	sessionBusyInterval = 250 * time.Millisecond
	// sessionRetryInterval follows a failed call.
	sessionRetryInterval = 500 * time.Millisecond
)

// session keeps the lease of one endpoint and fetches its reports.
type session struct {
	pool     *ownedPool
	endpoint string
	client   endpoint.Client
	cancel   context.CancelFunc
	wake     chan struct{}
}

func newSession(p *ownedPool, id string, client endpoint.Client) *session {
	return &session{pool: p, endpoint: id, client: client, wake: make(chan struct{}, 1)}
}

// run calls the endpoint until ctx ends and posts each result to the loop.
func (s *session) run(ctx context.Context, n *Node) {
	for {
		wait := s.renew(ctx, n)
		if ctx.Err() != nil {
			return
		}
		// Jitter keeps the calls of many endpoints from falling into step. The
		// global source serves all sessions; one of its own takes 5 KB each.
		wait += rand.N(wait/8 + 1)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(wait):
		}
	}
}

// renew performs one session call and returns the time until the next.
func (s *session) renew(ctx context.Context, n *Node) time.Duration {
	next, err := ask(ctx, n, func(result chan<- sessionRequest) event {
		return sessionDue{session: s, result: result}
	})
	if err != nil || !next.send {
		return sessionRetryInterval
	}
	call, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := s.client.Session(call, next.request)
	n.post(sessionResult{session: s, sent: sent, reply: reply, err: err})
	if err != nil {
		return sessionRetryInterval
	}
	return sessionInterval(reply, next.busy)
}

// sessionInterval returns the time until the next call after a report.
func sessionInterval(r endpoint.SessionReply, busy bool) time.Duration {
	if r.Kind != "worker" || len(r.Running) == 0 {
		return endpoint.SessionInterval
	}
	limit := endpoint.SessionInterval
	if busy {
		limit = sessionBusyInterval
	}
	youngest := r.Running[0].RunMS
	for _, a := range r.Running {
		youngest = min(youngest, a.RunMS)
	}
	age := time.Duration(youngest) * time.Millisecond
	return min(limit, max(sessionMinInterval, age/sessionAgeShare))
}

// kick makes the next call happen at once.
func (s *session) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) stop() {
	s.cancel()
}

// sessionDue asks the pool for the next session call.
type sessionDue struct {
	session *session
	result  chan<- sessionRequest
}

// sessionRequest is the answer to sessionDue.
type sessionRequest struct {
	request endpoint.SessionRequest
	send    bool
	busy    bool // work waits for the pool
}

func (e sessionDue) apply(l *loop) {
	p := e.session.pool
	if l.pools[p.id] != p {
		e.result <- sessionRequest{}
		return
	}
	request, ok := p.pool.NextSession(l.now(), e.session.endpoint)
	e.result <- sessionRequest{request: request, send: ok, busy: p.hasDemand()}
}

// sessionResult is the outcome of one session call.
type sessionResult struct {
	session *session
	sent    time.Time
	reply   endpoint.SessionReply
	err     error
}

func (e sessionResult) apply(l *loop) {
	p := e.session.pool
	if l.pools[p.id] != p {
		return
	}
	now := l.now()
	if e.err != nil {
		l.applyPool(p, p.pool.HandleSessionFailure(now, e.session.endpoint, e.err))
		return
	}
	l.applyPool(p, p.pool.HandleSessionReply(now, e.session.endpoint, e.sent, e.reply))
}
