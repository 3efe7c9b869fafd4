//go:build review

package main

import (
	"fmt"
	"time"
)

// Checks that are no cases of their own; REPORT.md says what they show.

// killEnds: the owner is killed while many short tasks run, so that more than 500 ends wait on each runner for its successor.
func killEnds() {
	const jobs, tasks = 100, 60
	c := newCell(3, 2, 64000, func(string) (time.Duration, string) { return 2500 * time.Millisecond, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	for i := range jobs {
		go c.submit(fmt.Sprintf("%016x", 0xa0000+i), []map[string]any{{"count": tasks, "cpu": 100, "mem-mb": 100, "est-ms": 1000}})
	}
	time.Sleep(2 * time.Second)
	if o := c.owner(); o != nil && trouble() {
		o.kill()
		time.AfterFunc(time.Second, o.start)
	}
	time.Sleep(40 * time.Second)
	fmt.Printf("%d starts of %d tasks\n", c.judge.starts, jobs*tasks)
	c.finish(c.judge.runTwice(), "TWICE")
}

// zeroCPU: a task asks for an accelerator and for no cores, and its runner reports that it uses none. Nothing is disturbed;
// with TROUBLE=0 the task asks for half a core and uses it.
func zeroCPU() {
	const id = idleJob
	c := newCell(3, 4, 64000, func(string) (time.Duration, string) { return 4 * time.Second, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	step := map[string]any{"count": 1, "mem-mb": 256, "gpu": 1, "est-ms": 4000}
	if !trouble() {
		step["cpu"] = 500
	}
	if !c.submit(id, []map[string]any{step}) {
		c.cannotRun("the job was not accepted")
	}
	time.Sleep(40 * time.Second)
	shown := c.state(id, 3*time.Second)
	fmt.Printf("the job is shown as %s; its runs have ended %v\n", shown, c.judge.hows())
	var broken []string
	if shown != "done" {
		broken = append(broken, fmt.Sprintf("40 s after its acceptance a task of 4 s is shown as %s; its runs have ended %v", shown, c.judge.hows()))
	}
	c.finish(broken, "LOST")
}

// idleJob is the job whose tasks use no processor, unless they ask for some.
const idleJob = "00000000000f0001"

// usageOf returns the cores, in thousandths, that a task uses.
func usageOf(task string) int {
	if task[:16] == idleJob && trouble() {
		return 0
	}
	return 1000
}
