package control

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// secondDialDelay is the age of an attempt to connect after which a second one starts beside it, far above a round trip
// between availability zones. The system sends a lost SYN again only after 1 s, later than the time limits of dials, so one
// lost packet would quarantine a sound runner and stop the gang that starts there.
const secondDialDelay = 200 * time.Millisecond

// dialContext is the signature of net.Dialer.DialContext.
type dialContext func(ctx context.Context, network, address string) (net.Conn, error)

// DialFunc returns a function that dials TCP connections which fail when the peer stops acknowledging data. timeout limits
// one dial, both attempts included.
func DialFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dialTwice(ctx, dialer.DialContext, network, address)
	}
}

// dialTwice dials, and dials again if there is neither a connection nor an error after secondDialDelay. The first result
// counts.
func dialTwice(ctx context.Context, dial dialContext, network, address string) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx) // ends the attempt that is not needed
	results := make(chan result)
	attempt := func() {
		conn, err := dial(ctx, network, address)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // the other attempt was first
			}
		}
	}
	go attempt()
	second := time.NewTimer(secondDialDelay)
	defer second.Stop()
	defer cancel()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-second.C:
			go attempt()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}
