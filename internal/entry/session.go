package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

const (
	// sessionTimeout limits one session call, and one cancel, throttle or checkpoint
	// command. Two timeouts and an interval are well below endpoint.LeaseTTL, so that
	// one lost session call never expires a lease.
	sessionTimeout = 2 * time.Second
	// slowSessionTimeout limits the session calls of an endpoint whose answers are slow.
	// An endpoint whose replies are all lost is left until its lease expires, and its work
	// is given up. The sum with the call that timed out before is below endpoint.LeaseTTL.
	slowSessionTimeout = 4 * time.Second
	// sessionMinInterval and sessionAgeDivisor set the interval of a worker that
	// runs tasks: a quarter of the age of its youngest task. The end of a task is
	// known only from the next report. It is therefore detected late by at most
	// sessionMinInterval or about a quarter of the run time. Until the interval
	// reaches its limit, the number of reports grows only with the logarithm of the
	// run time.
	sessionMinInterval = 50 * time.Millisecond
	sessionAgeDivisor  = 4
	// sessionBusyInterval is the longest interval of a worker that runs tasks while
	// work waits for the pool.
	sessionBusyInterval = 250 * time.Millisecond
	// sessionRetryInterval is the time until the next try after a failed call, or if
	// the pool has no call to send.
	sessionRetryInterval = 500 * time.Millisecond
)

// session renews the lease of one endpoint and fetches its reports.
type session struct {
	pool     *ownedPool
	endpoint string
	client   endpoint.Client
	cancel   context.CancelFunc
	wake     chan struct{}
	timeout  time.Duration // of the next call
}

func newSession(p *ownedPool, id string, client endpoint.Client) *session {
	return &session{pool: p, endpoint: id, client: client, wake: make(chan struct{}, 1), timeout: sessionTimeout}
}

// run calls the endpoint until ctx ends and posts each result to the loop.
func (s *session) run(ctx context.Context, n *Node) {
	for {
		wait := s.renew(ctx, n)
		if ctx.Err() != nil {
			return
		}
		// Jitter prevents synchronized calls to many endpoints. All sessions share
		// the global random source, since one per session would take 5 KB each.
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
	next, err := postAndWait(ctx, n, func(result chan<- nextSession) event {
		return nextSessionRequest{session: s, result: result}
	})
	if err != nil || !next.send {
		return sessionRetryInterval
	}
	call, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	sent := time.Now()
	reply, err := s.client.Session(call, next.request)
	s.timeout = nextSessionTimeout(s.timeout, time.Since(sent), call.Err() != nil)
	n.post(sessionReturned{session: s, sent: sent, reply: reply, err: err})
	if err != nil {
		return sessionRetryInterval
	}
	return sessionInterval(reply, next.busy)
}

// nextSessionTimeout returns the timeout of the call after one that took the given time. It
// stays long while answers take more than half of the usual timeout.
func nextSessionTimeout(last, took time.Duration, timedOut bool) time.Duration {
	switch {
	case timedOut:
		return slowSessionTimeout
	case took < sessionTimeout/2:
		return sessionTimeout
	default:
		return last
	}
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
	return min(limit, max(sessionMinInterval, age/sessionAgeDivisor))
}

// pollNow triggers the next call immediately.
func (s *session) pollNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) stop() {
	s.cancel()
}

// nextSessionRequest requests the next session call from the pool.
type nextSessionRequest struct {
	session *session
	result  chan<- nextSession
}

// nextSession is the result of nextSessionRequest.
type nextSession struct {
	request endpoint.SessionRequest
	send    bool
	busy    bool // work waits for the pool
}

func (e nextSessionRequest) apply(l *loop) {
	p := e.session.pool
	if l.pools[p.id] != p {
		e.result <- nextSession{}
		return
	}
	request, ok := p.pool.NextSession(l.now(), e.session.endpoint)
	e.result <- nextSession{request: request, send: ok, busy: p.hasDemand()}
}

// sessionReturned is the result of one session call.
type sessionReturned struct {
	session *session
	sent    time.Time
	reply   endpoint.SessionReply
	err     error
}

func (e sessionReturned) apply(l *loop) {
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
