//go:build review

// Command harness-2 plays the cases of the second review: it starts the processes of the system with stand-ins of the
// platform, runners and clients around them, and judges by what those have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

var cases = map[string]func(c *Cell, trouble bool) (broken []string, err error){
	"ends":    longLists,
	"crashes": crashedRunners,
	"pending": refusedStarts,
	"kind":    otherKind,
	"born":    earlierBirth,
	"lasting": lastingTask,
	"mixed":   mixed,
	"idle":    idleTasks,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	rec, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Say("case %s, trouble %t", name, trouble)
	c, err := NewCell(rec)
	if err != nil {
		rec.Say("the case can't run: %v", err)
		return exitFailed
	}
	defer c.Close()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(c, trouble)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		rec.Say("interrupted")
		return exitFailed
	case <-time.After(timeLimit):
		rec.Say("the case took too long")
		return exitFailed
	case r := <-results:
		switch {
		case r.err != nil:
			rec.Say("the case can't run: %v", r.err)
			return exitFailed
		case len(r.broken) > 0:
			for _, line := range r.broken[:min(len(r.broken), 5)] {
				rec.Say("%s", line)
			}
			rec.Say("the rule was broken %d times", len(r.broken))
			return exitBroken
		}
	}
	rec.Say("the rule held")
	return exitHeld
}
