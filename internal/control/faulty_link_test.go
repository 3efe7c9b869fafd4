package control

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// linkFault is a way in which a process doesn't learn from the store what has changed.
type linkFault string

const (
	quietWatch      linkFault = "quiet watch"    // watches answer that nothing has changed
	silentWatch     linkFault = "silent watch"   // watches get no answer
	silentReads     linkFault = "silent reads"   // reads and watches get no answer; writes succeed
	refusedReads    linkFault = "refused reads"  // reads and watches are refused; writes succeed
	lateReads       linkFault = "late reads"     // reads and watches are answered late, as on a process short of processor time
	silentStoreLink linkFault = "silent store"   // no call gets an answer
	refusingStore   linkFault = "refusing store" // all calls are refused
	lostHistory     linkFault = "lost history"   // watches fail, as the history has been compacted
	silentIdle      linkFault = "silent idle"    // the idle connections have gone silent; new ones work
)

// idleConnections is the number of connections that go silent with silentIdle.
const idleConnections = 12

const (
	// lateAnswer is the delay of lateReads. It is longer than the time limits of single reads.
	lateAnswer = 1200 * time.Millisecond
	// latePeers is the delay of what a process with lateReads receives from its peers, longer than a ping may take.
	latePeers = 700 * time.Millisecond
	// pageLimit is how long the platform's client waits for a part of the answer to a read of a range.
	pageLimit = 2500 * time.Millisecond
	// hedgeDelay is the time after which that client sends a read again on a new connection.
	hedgeDelay = 500 * time.Millisecond
)

// faultyLink is one process's link to a store.
type faultyLink struct {
	Store
	mu     sync.Mutex
	fault  linkFault
	silent int // idle connections that have gone silent
}

func (l *faultyLink) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.silent = f, 0
	if f == silentIdle {
		l.silent = idleConnections
	}
}

func (l *faultyLink) isLate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == lateReads
}

// apply returns the effect of the fault on a call: it returns only when the call may be executed, or with its error.
func (l *faultyLink) apply(ctx context.Context, unless ...linkFault) (linkFault, error) {
	l.mu.Lock()
	f := l.fault
	hang := f == silentIdle && l.silent > 0
	if hang {
		l.silent--
	}
	l.mu.Unlock()
	if slices.Contains(unless, f) {
		return "", nil
	}
	switch f {
	case silentIdle:
		if hang {
			time.Sleep(hedgeDelay)
			l.mu.Lock()
			l.silent = 0
			l.mu.Unlock()
			return f, ctx.Err()
		}
	case silentReads, silentStoreLink:
		hang = true
	case refusedReads, refusingStore:
		return f, ErrNotApplied
	case lateReads:
		select {
		case <-time.After(lateAnswer):
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
	if hang {
		<-ctx.Done()
		return f, ctx.Err()
	}
	return f, nil
}

func (l *faultyLink) Get(ctx context.Context, key string) (Item, bool, error) {
	if _, err := l.apply(ctx); err != nil {
		return Item{}, false, err
	}
	return l.Store.Get(ctx, key)
}

func (l *faultyLink) Range(ctx context.Context, prefix, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageLimit)
	defer cancel()
	if _, err := l.apply(ctx); err != nil {
		return Page{}, err
	}
	return l.Store.Range(ctx, prefix, after)
}

// Watch waits in steps, as a fault also stops the watches that are waiting.
func (l *faultyLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(wait); ; {
		f, err := l.apply(ctx, lateReads)
		if err != nil {
			return nil, 0, err
		}
		switch f {
		case silentWatch:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case lostHistory:
			time.Sleep(step)
			return nil, 0, ErrCompacted
		case quietWatch:
			if left := time.Until(end); left > 0 { // a timer without a duration may crash the race detector in a bubble
				time.Sleep(left)
			}
			page, err := l.Store.Range(ctx, "none", "")
			return nil, page.Rev, err
		}
		if l.isLate() {
			changes, rev, err := l.Store.Watch(ctx, prefix, after, max(time.Millisecond, time.Until(end)))
			if err == nil {
				_, err = l.apply(ctx)
			}
			return changes, rev, err
		}
		changes, rev, err := l.Store.Watch(ctx, prefix, after, min(step, max(time.Millisecond, time.Until(end))))
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, rev, err
		}
	}
}

func (l *faultyLink) Commit(ctx context.Context, c Commit) (int64, error) {
	if _, err := l.apply(ctx, silentReads, refusedReads, lateReads); err != nil {
		return 0, err
	}
	return l.Store.Commit(ctx, c)
}

func (l *faultyLink) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if _, err := l.apply(ctx, silentReads, refusedReads, lateReads); err != nil {
		return 0, err
	}
	return l.Store.GrantLease(ctx, ttl)
}

func (l *faultyLink) KeepLease(ctx context.Context, lease int64) error {
	if _, err := l.apply(ctx, silentReads, refusedReads, lateReads); err != nil {
		return err
	}
	return l.Store.KeepLease(ctx, lease)
}

// lateConn delivers what it receives late. It reads at once, so that its peer doesn't block.
type lateConn struct {
	net.Conn
	received chan lateBytes
	rest     []byte
}

type lateBytes struct {
	data []byte
	err  error
	at   time.Time // when they are delivered
}

// newLateConn returns a connection that delivers what it receives now at the time that arrival returns for its size.
func newLateConn(conn net.Conn, arrival func(bytes int) time.Time) *lateConn {
	c := &lateConn{Conn: conn, received: make(chan lateBytes, 4096)}
	go func() {
		for {
			buffer := make([]byte, 4096)
			n, err := conn.Read(buffer)
			c.received <- lateBytes{buffer[:n], err, arrival(n)}
			if err != nil {
				return
			}
		}
	}()
	return c
}

func (c *lateConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		next := <-c.received
		if next.err != nil {
			return 0, next.err
		}
		if left := time.Until(next.at); left > 0 {
			time.Sleep(left)
		}
		c.rest = next.data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// errUnreachable is the error of a dial to an address that doesn't answer.
var errUnreachable = errors.Join(syscall.ETIMEDOUT)
