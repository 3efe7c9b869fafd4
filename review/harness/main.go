//go:build review

// Command cases plays the cases of the review: it starts the processes of the deploy file with stand-ins of the platform, of
// runners and of clients, brings one disruption about and checks one rule.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(){"many-ends": manyEnds, "lost-runners": lostRunners}

func main() {
	play, known := cases[os.Getenv("CASE")]
	if !known || os.Getenv("AGATEYARD_SCHEDULER") == "" {
		fmt.Println("set CASE and AGATEYARD_SCHEDULER")
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() {
		fmt.Println("cannot run: out of time")
		os.Exit(2) // the processes end with this one
	})
	play()
}

// manyEnds: many short tasks of accepted jobs end while the store is down.
func manyEnds() {
	const jobs, tasks = 100, 60
	c := newCell(3, 4, 64000, func(string) (time.Duration, string) { return 700 * time.Millisecond, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	accepted := make([]bool, jobs)
	for i := range jobs {
		wg.Go(func() {
			accepted[i] = c.submit(fmt.Sprintf("%016x", 0xa0000+i), []map[string]any{{"count": tasks, "cpu": 500, "mem-mb": 256, "est-ms": 1000}})
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		c.storeOutage(4200 * time.Millisecond)
	}
	unfinished := 0
	for i := range jobs {
		if !accepted[i] {
			c.cannotRun("job %d was not accepted", i)
		}
		id := fmt.Sprintf("%016x", 0xa0000+i)
		for until := time.Now().Add(40 * time.Second); c.state(id, 5*time.Second) != "done"; time.Sleep(200 * time.Millisecond) {
			if time.Now().After(until) {
				unfinished++
				break
			}
		}
	}
	time.Sleep(2 * time.Second)
	for _, r := range c.runners {
		r.mu.Lock()
		c.record("runner %s: at most %d ends waited for their acknowledgement", r.id, r.mostEnds)
		r.mu.Unlock()
	}
	c.record("%d starts of %d tasks, %d jobs unfinished", c.judge.starts, jobs*tasks, unfinished)
	fmt.Printf("%d starts of %d tasks, %d jobs unfinished\n", c.judge.starts, jobs*tasks, unfinished)
	c.finish(c.judge.runTwice(), "TWICE")
}

// lostRunners: runners crash one after the other while a job works on several of them.
func lostRunners() {
	const (
		id      = "00000000000b0001"
		members = 7                       // of the gang, at most one a runner
		length  = 90 * time.Second        // of the disruption
		gap     = 3500 * time.Millisecond // between two crashes
		down    = 3400 * time.Millisecond // of a runner that has crashed
	)
	c := newCell(3, 8, 64000, func(string) (time.Duration, string) { return 10 * time.Second, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	c.gangs.sizes[id+".0.0"] = members
	if !c.submit(id, []map[string]any{{"count": members, "cpu": 18000, "mem-mb": 34000, "est-ms": 10000, "gang": true, "max-per-server": 1}}) {
		c.cannotRun("the job was not accepted")
	}
	random := rand.New(rand.NewPCG(1, seed()))
	shown := ""
	for begun := time.Now(); shown != "failed" && shown != "done" && shown != "gone" && time.Since(begun) < length; {
		if trouble() {
			r := c.runners[random.IntN(len(c.runners))]
			r.crash()
			time.Sleep(down)
			r.start()
			time.Sleep(gap - down)
		} else {
			time.Sleep(gap)
		}
		shown = c.state(id, 3*time.Second)
	}
	failedEnds := 0
	for _, how := range c.judge.hows() {
		if how == "failed" {
			failedEnds++
		}
	}
	c.record("the job is shown as %s; %d of its runs have ended failed", shown, failedEnds)
	fmt.Printf("the job is shown as %s; %d of its runs have ended failed\n", shown, failedEnds)
	var broken []string
	if shown == "failed" && failedEnds == 0 {
		broken = append(broken, "an accepted job that nobody has cancelled is shown as failed, and no run has ended failed")
	}
	c.finish(broken, "LOST")
}

// seed returns the seed of the case: SEED, otherwise another one each time.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}
