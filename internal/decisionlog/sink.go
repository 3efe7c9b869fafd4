// Package decisionlog writes structured log lines without ever blocking the caller.
package decisionlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queuedLines is the size of the queue for lines that a slow reader has not read yet: about 1 MB of lines of 250 bytes.
const queuedLines = 4096

// Sink is an io.Writer that queues lines for one writing goroutine and drops lines while the queue is full.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a sink that writes to out once Run has been called.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queuedLines)}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines until ctx is done, then the queued ones that are left.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.emit(line)
		case <-ctx.Done():
			s.Drain()
			return
		}
	}
}

// Drain writes the queued lines.
func (s *Sink) Drain() {
	for {
		select {
		case line := <-s.lines:
			s.emit(line)
		default:
			return
		}
	}
}

func (s *Sink) emit(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(s.out, "{\"event\":\"log-lines-dropped\",\"lines\":%d}\n", n)
	}
	_, _ = s.out.Write(line) // an error of standard output can't be reported anywhere
}
