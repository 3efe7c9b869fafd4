package control

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// TestLostSYNIsDialedAgain guards against a sound runner that is quarantined, and its gang stopped, because one packet of a
// connection was lost: the system sends it again only after the time limit of the dial.
func TestLostSYNIsDialedAgain(t *testing.T) {
	var attempts atomic.Int64
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done() // no answer
			return nil, ctx.Err()
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	conn, err := dialTwice(ctx, dial, "tcp", "a:1")
	if err != nil || attempts.Load() != 2 {
		t.Fatalf("error %v after %d attempts", err, attempts.Load())
	}
	if err := conn.SetDeadline(time.Now()); err != nil {
		t.Errorf("the connection is closed: %v", err)
	}
	_ = conn.Close()
}

// TestDialErrors guards against a dial that is repeated although the address refused it, and against an error that isn't
// known to come from the dial: a start would count as unanswered although it was certainly not sent.
func TestDialErrors(t *testing.T) {
	refused := errors.New("refused")
	attempts := 0
	_, err := dialTwice(context.Background(), func(context.Context, string, string) (net.Conn, error) { attempts++; return nil, refused }, "tcp", "a:1")
	if !errors.Is(err, refused) || attempts != 1 {
		t.Errorf("error %v after %d attempts", err, attempts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = dialTwice(ctx, func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, "tcp", "a:1")
	var opErr *net.OpError
	if !errors.As(err, &opErr) || opErr.Op != "dial" || !opErr.Timeout() {
		t.Errorf("error %v", err)
	}
}
