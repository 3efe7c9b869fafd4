//go:build review

package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// mixed sends jobs of all shapes while processes, runners and the store fail at random. It looks for faults and is no case
// itself.
func mixed(c *Cell, trouble bool) ([]string, error) {
	const (
		length    = 45 * time.Second
		finishing = 45 * time.Second
	)
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewSource(seed))
	if err := c.addRunners(10, kindA); err != nil {
		return nil, err
	}
	if err := c.addRunners(2, kindB); err != nil {
		return nil, err
	}
	if err := c.StartProcs(5); err != nil {
		return nil, err
	}
	k := NewClient(c)
	var mu sync.Mutex
	var jobs []*Job
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	if trouble {
		wg.Go(func() { c.randomTrouble(rand.New(rand.NewSource(seed+1)), end) })
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Intn(120)) * time.Millisecond)
		j := k.randomJob(rng)
		cancelAfter := time.Duration(0)
		if rng.Intn(12) == 0 || j.Steps[0].Daemon && rng.Intn(2) == 0 {
			cancelAfter = time.Duration(rng.Intn(5000)) * time.Millisecond
		}
		wg.Go(func() {
			if k.Submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
			if cancelAfter > 0 {
				time.Sleep(cancelAfter)
				for range 10 {
					if k.Cancel(j); j.Cancelled > 0 {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	c.Rec.Say("the traffic ends")
	var finite []*Job
	for _, j := range jobs {
		if !j.Steps[0].Daemon {
			finite = append(finite, j)
		}
	}
	open := waitDone(k, finite, finishing)
	broken := append(c.Judge.StartedAgain(), c.Judge.Of("TWICE", "UNASKED", "LIMIT", "ROUTE", "ORDER", "BUDGET")...)
	states := map[string]int{}
	for _, j := range finite {
		states[j.Shown]++
		failed, crashed, missing := c.Judge.Ends(j)
		switch {
		case j.Shown == "done" && missing > 0 && !j.gangs():
			broken = append(broken, fmt.Sprintf("MIXED: job %s is done, %d tasks are not", j.ID, missing))
		case j.Shown == "failed" && failed < attempts:
			broken = append(broken, fmt.Sprintf("LOST: job %s is failed with %d ends failed, %d crashed", j.ID, failed, crashed))
		case j.Shown == "canceled" && !j.Cancel, j.Shown == "gone":
			broken = append(broken, fmt.Sprintf("LOST: job %s is %s", j.ID, j.Shown))
		case j.Shown != "done" && j.Shown != "failed" && j.Shown != "canceled":
			broken = append(broken, fmt.Sprintf("LOST: job %s is still %q, %d tasks are open: %+v", j.ID, j.Shown, missing, j.wire()))
		}
	}
	c.Rec.Say("%d jobs, %d starts, %d lapses, states %v, open: %d", len(jobs), c.Judge.Starts, c.Judge.Lapses, states, open)
	return broken, nil
}

func (j *Job) gangs() bool {
	for _, s := range j.Steps {
		if s.Gang {
			return true
		}
	}
	return false
}

func (k *Client) randomJob(rng *rand.Rand) *Job {
	sizes, lengths := 6000, 1500
	if os.Getenv("HEAVY") != "" {
		sizes, lengths = 9000, 4000
	}
	oneIn := func(n int) bool { return rng.Intn(n) == 0 }
	var steps []Step
	for i := range 1 + rng.Intn(3) {
		s := Step{
			Count: 1 + rng.Intn(6), CPU: rng.Intn(sizes), Mem: rng.Intn(4000), Length: time.Duration(50+rng.Intn(lengths)) * time.Millisecond,
			NoEstimate: oneIn(6), Checkpoint: oneIn(3), Speculative: oneIn(8), Fills: oneIn(12), Gang: oneIn(5), SameRack: oneIn(8),
		}
		if oneIn(5) {
			s.Label = []string{"a", "b"}[rng.Intn(2)]
		}
		if oneIn(5) {
			s.MaxPerServer = 1 + rng.Intn(2)
		}
		if oneIn(6) {
			s.DataRack = "r1-1"
		}
		if oneIn(8) {
			s.FailOneIn = 4
		}
		for before := range i {
			if oneIn(2) {
				s.After = append(s.After, before)
			}
		}
		if s.MaxPerServer > 0 && (s.Label == "b") {
			s.Count = min(s.Count, 2*s.MaxPerServer)
		}
		steps = append(steps, s)
	}
	if oneIn(25) {
		steps = steps[:1]
		steps[0].Daemon, steps[0].Gang, steps[0].Speculative, steps[0].CPU = true, false, false, 200
	}
	path := []string{queuePath, batchPath, advisedPath}[rng.Intn(3)]
	for i := range steps {
		if path == advisedPath {
			steps[i].Label, steps[i].MaxPerServer = "", 0 // too few runners may be left that the advice allows
		}
	}
	j := k.NewJob(steps...)
	j.Path = path
	if oneIn(10) && !steps[0].Daemon {
		j.Times, j.Start, j.Interval = 1+rng.Intn(4), time.Now().Add(time.Duration(rng.Intn(3000))*time.Millisecond), time.Duration(200+rng.Intn(1500))*time.Millisecond
	}
	return j
}

func (c *Cell) randomTrouble(rng *rand.Rand, end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	time.Sleep(2 * time.Second)
	for time.Now().Before(end) {
		p := c.Procs[rng.Intn(len(c.Procs))]
		if w := c.LastWriter(); w != nil && rng.Intn(2) == 0 {
			p = w
		}
		r := c.Runners[rng.Intn(len(c.Runners))]
		span := time.Duration(500+rng.Intn(3500)) * time.Millisecond
		what := rng.Intn(8)
		only := os.Getenv("TROUBLES")
		if only != "" {
			what = int(only[rng.Intn(len(only))] - '0')
		}
		wg.Go(func() {
			switch what {
			case 0:
				c.Rec.Add("TROUBLE kill %s", p.name)
				p.Kill()
				time.Sleep(span)
				_ = p.Start()
			case 1:
				c.Rec.Add("TROUBLE freeze %s for %s", p.name, span)
				p.Signal(syscall.SIGSTOP)
				time.Sleep(span)
				p.Signal(syscall.SIGCONT)
			case 2:
				c.Rec.Add("TROUBLE terminate %s", p.name)
				p.Signal(syscall.SIGCONT)
				<-p.Signal(syscall.SIGTERM)
				_ = p.Start()
			case 3:
				r.mu.Lock()
				down, kind := r.server == nil, r.kind
				r.mu.Unlock()
				if !down {
					c.Rec.Add("TROUBLE crash %s", r.ID)
					r.Crash()
					time.Sleep(span)
					_ = r.Boot(kind)
				}
			case 4:
				c.Rec.Add("TROUBLE late starts on %s for %s", r.ID, span)
				r.mu.Lock()
				r.late = func() time.Duration {
					if rand.Intn(3) > 0 {
						return 0
					}
					return time.Duration(2000+rand.Intn(8000)) * time.Millisecond
				}
				r.mu.Unlock()
				time.Sleep(span)
				r.mu.Lock()
				r.late = nil
				r.mu.Unlock()
			case 5:
				c.Rec.Add("TROUBLE store down for %s", span)
				c.down.Store(true)
				time.Sleep(span)
				c.down.Store(false)
			case 7:
				c.Configure()
			case 6:
				c.Rec.Add("TROUBLE %s silent for %s", r.ID, 2*span)
				r.mu.Lock()
				r.silentUntil = time.Now().Add(2 * span)
				r.mu.Unlock()
			}
		})
		time.Sleep(time.Duration(300+rng.Intn(2500)) * time.Millisecond)
	}
}

// idleTasks sends a job whose tasks request no processor and use none. It needs no disruption, so it is no case.
func idleTasks(c *Cell, _ bool) ([]string, error) {
	if err := c.addRunners(6, kindA); err != nil {
		return nil, err
	}
	if err := c.StartProcs(5); err != nil {
		return nil, err
	}
	k := NewClient(c)
	j := k.NewJob(Step{Count: 2, Mem: 1000, Length: 4 * time.Second})
	k.Submit(j)
	if waitDone(k, []*Job{j}, 40*time.Second) > 0 {
		return []string{fmt.Sprintf("LOST: job %s is %q after 40 s and %d starts of 2 tasks that take 4 s", j.ID, j.Shown, c.Judge.Starts)}, nil
	}
	return nil, nil
}
