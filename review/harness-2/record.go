//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
	lines map[string]int // by kind, of those that are limited
}

// maxLinesPerKind bounds the lines of the kinds that Limited writes.
const maxLinesPerKind = 4000

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), begun: time.Now(), lines: map[string]int{}}, nil
}

// Now returns the time since the start of the case.
func (r *Record) Now() time.Duration { return time.Since(r.begun) }

// Add writes a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Limited is Add for frequent lines, of which at most maxLinesPerKind of each kind are written.
func (r *Record) Limited(kind, format string, args ...any) {
	r.mu.Lock()
	r.lines[kind]++
	n := r.lines[kind]
	r.mu.Unlock()
	switch {
	case n < maxLinesPerKind:
		r.Add(format, args...)
	case n == maxLinesPerKind:
		r.Add("further lines about %s are left out", kind)
	}
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%9.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
