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

var cases = map[string]func(){"many-ends": manyEnds, "lost-runners": lostRunners, "pending": pending, "only-runner": onlyRunner, "claims": claims, "kill-ends": killEnds, "zero-cpu": zeroCPU}

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

// pending: jobs wait for a runner that leaves orders unanswered.
func pending() {
	const (
		jobs    = 12
		hang    = 5500 * time.Millisecond
		visible = 5 * time.Second // visible_ms + 2 s
	)
	c := newCell(3, 10, 64000, func(string) (time.Duration, string) { return time.Second, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	only := c.runners[len(c.runners)-1] // of the kind that the jobs need
	if trouble() {
		only.setHangs(true)
		time.AfterFunc(hang, func() { only.setHangs(false) })
	}
	accepted := make([]time.Time, jobs)
	id := func(i int) string { return fmt.Sprintf("%016x", 0xc0000+i) }
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			if !c.submit(id(i), []map[string]any{{"count": 1, "cpu": 500, "mem-mb": 256, "est-ms": 1000, "required-label": "b"}}) {
				c.cannotRun("a job was not accepted")
			}
			accepted[i] = time.Now()
		})
	}
	wg.Wait()
	var broken []string
	for begun := time.Now(); time.Since(begun) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, n := range c.nodes {
			sent := time.Now()
			status, body := c.call(n, "GET", queue, nil)
			waiting := 0 // since before the request, and still after its answer
			for i := range jobs {
				if sent.Sub(accepted[i]) > visible && !c.judge.hasBegun(id(i)) {
					waiting++
				}
			}
			shown, ok := body["pending"].(float64)
			if status == 200 && ok && 2*int(shown) < waiting {
				broken = append(broken, fmt.Sprintf("%s gives %d as pending; %d jobs accepted over %s before haven't begun", n.name, int(shown), waiting, visible))
			}
		}
	}
	c.finish(broken, "MIXED")
}

// onlyRunner: a runner fails what it starts for a while, and is the only one that has what a task needs.
func onlyRunner() {
	const (
		id     = "00000000000d0001"
		grey   = 6500 * time.Millisecond
		finish = 14 * time.Second // finish_s
		idle   = 3 * time.Second  // how long a job may have nothing running while a task's turn has come
	)
	c := newCell(3, 12, 64000, func(string) (time.Duration, string) { return time.Second, "done" })
	c.waitReady()
	time.Sleep(time.Second)
	only := c.runners[len(c.runners)-1] // with accelerators
	if trouble() {
		only.setFails(true)
		time.AfterFunc(grey, func() { only.setFails(false) })
	}
	if !c.submit(id, []map[string]any{{"count": 1, "cpu": 500, "mem-mb": 256, "gpu": 1, "est-ms": 1000}}) {
		c.cannotRun("the job was not accepted")
	}
	time.Sleep(grey + finish)
	idleSince, shown := time.Now(), ""
	var longest time.Duration
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		if c.judge.atWork(id) {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	shown = c.state(id, 3*time.Second)
	c.record("the job is shown as %s; nothing of it was at work for %s", shown, longest)
	fmt.Printf("the job is shown as %s; nothing of it was at work for %s; %d starts\n", shown, longest, c.judge.starts)
	var broken []string
	if shown != "done" && shown != "failed" && longest > idle {
		broken = append(broken, fmt.Sprintf("%s after the disruption the job is shown as %s and has had nothing at work for %s; all runners are idle", finish, shown, longest))
	}
	c.finish(broken, "LOST")
}

// claims: a runner of a gang is lost for good, so that the gang waits for room.
func claims() {
	const (
		lasting = "00000000000e0001"
		gang    = "00000000000e0002"
		jobs    = 5
		finish  = 14 * time.Second // finish_s
		idle    = 3 * time.Second  // how long a job may have nothing running while a task's turn has come
	)
	work := func(task string) (time.Duration, string) {
		switch task[:16] {
		case lasting:
			return time.Hour, "done"
		case gang:
			return 20 * time.Second, "done"
		}
		return time.Second, "done"
	}
	c := newCell(3, 9, 64000, work)
	c.waitReady()
	time.Sleep(time.Second)
	if !c.submit(lasting, []map[string]any{{"count": 1, "cpu": 30000, "mem-mb": 4000, "daemon": true}}) {
		c.cannotRun("the lasting job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	c.gangs.sizes[gang+".0.0"] = 8
	if !c.submitTo(quotes, gang, []map[string]any{{"count": 8, "cpu": 40000, "mem-mb": 34000, "est-ms": 20000, "gang": true}}) {
		c.cannotRun("the gang was not accepted")
	}
	time.Sleep(3 * time.Second)
	if !c.judge.atWork(gang) {
		c.cannotRun("the gang has not started")
	}
	if trouble() {
		for _, r := range c.runners {
			if r.runsJob(gang) {
				r.crash() // for good
				break
			}
		}
	}
	time.Sleep(4 * time.Second)
	id := func(i int) string { return fmt.Sprintf("%016x", 0xe0010+i) }
	for i := range jobs {
		if !c.submitTo(restock, id(i), []map[string]any{{"count": 1, "cpu": 2000, "mem-mb": 2800, "est-ms": 1000}}) {
			c.cannotRun("a job was not accepted")
		}
	}
	time.Sleep(finish)
	var broken []string
	begun := map[int]bool{}
	for at := time.Now(); time.Since(at) < idle+time.Second; time.Sleep(50 * time.Millisecond) {
		for i := range jobs {
			begun[i] = begun[i] || c.judge.hasBegun(id(i))
		}
	}
	for i := range jobs {
		if !begun[i] {
			broken = append(broken, fmt.Sprintf("job %s, accepted over %s before, is shown as %s, and no task has ever started", id(i), finish+idle, c.stateOf(restock, id(i), 3*time.Second)))
		}
	}
	c.record("at work: the lasting job %t (30 of 512 cores), the gang %t", c.judge.atWork(lasting), c.judge.atWork(gang))
	fmt.Printf("at work: the lasting job %t (30 of 512 cores), the gang %t\n", c.judge.atWork(lasting), c.judge.atWork(gang))
	time.Sleep(30 * time.Second)
	for i := range jobs {
		c.record("%s later, job %s has begun: %t", 30*time.Second, id(i), c.judge.hasBegun(id(i)))
	}
	if c.judge.atWork(gang) && len(broken) > 0 {
		broken = nil // more than half of the capacity may have been in use
	}
	c.finish(broken, "LOST")
}
