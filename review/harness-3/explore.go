//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/agateyard/agateyard/platform/standin"
)

type exploredJob struct {
	id         string
	kind       string
	tasks      int
	accepted   time.Time
	cancel     time.Time // ack
	cancelSent bool
	start      time.Time
	interval   time.Duration
	times      int
}

func explore(d *deployment, trouble bool) error {
	seed := int64(envInt("SEED", 1))
	rng := rand.New(rand.NewSource(seed))
	log := &runLog{}
	var runners []*runner
	for i := range envInt("RUNNERS", 6) {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/3)}, log: log})
	}
	d.linked, d.maxFDs = true, envInt("MAXFDS", 0)
	if err := d.start(4, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var jobs []*exploredJob
	var problems []string
	problem := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		text := fmt.Sprintf(format, args...)
		problems = append(problems, text)
		d.rec.logf("PROBLEM %s", text)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	n := 0
	wg.Go(func() {
		r := rand.New(rand.NewSource(seed + 1))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(100+r.Intn(300)) * time.Millisecond):
			}
			n++
			j := &exploredJob{id: fmt.Sprintf("%016x", r.Uint64())}
			step := map[string]any{"count": 1 + r.Intn(6), "cpu": 500 + r.Intn(4000), "mem-mb": 256, "est-ms": 500}
			steps := []map[string]any{step}
			body := map[string]any{"spec": fmt.Sprintf("ms=%d job=%s", 50+r.Intn(1500), j.id)}
			switch k := r.Intn(10); {
			case k < 5:
				j.kind = "plain"
				for s := 1; s < 1+r.Intn(3); s++ {
					steps = append(steps, map[string]any{"count": 1 + r.Intn(3), "cpu": 500, "mem-mb": 256, "est-ms": 500, "after": []int{s - 1}})
				}
			case k < 7:
				j.kind = "times"
				j.start, j.interval, j.times = time.Now().Add(time.Duration(r.Intn(3000))*time.Millisecond), time.Duration(300+r.Intn(2000))*time.Millisecond, 2+r.Intn(8)
				body["times"], body["start-ms"], body["interval-ms"] = j.times, j.start.UnixMilli(), j.interval.Milliseconds()
			case k < 8:
				j.kind = "daemon"
				step["daemon"], step["count"], step["cpu"] = true, 1+r.Intn(3), 200
				body["spec"] = "serve job=" + j.id
			default:
				j.kind = "long"
				body["spec"] = fmt.Sprintf("ms=%d job=%s", 3000+r.Intn(5000), j.id)
				step["est-ms"] = 5000
			}
			body["steps"] = steps
			for _, s := range steps {
				j.tasks += s["count"].(int)
			}
			wg.Go(func() {
				if !d.submitQuietly(j.id, body, rng.Intn(4)) {
					return
				}
				mu.Lock()
				j.accepted = time.Now()
				jobs = append(jobs, j)
				mu.Unlock()
			})
			if r.Intn(3) == 0 {
				mu.Lock()
				if len(jobs) > 0 {
					c := jobs[r.Intn(len(jobs))]
					if !c.cancelSent && c.kind != "plain" {
						c.cancelSent = true
						wg.Go(func() {
							for a := 0; a < 12; a++ {
								ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
								status := d.call(ctx, d.procs[a%len(d.procs)], http.MethodDelete, prefix+c.id, nil, nil)
								cancel()
								d.rec.logf("DELETE %s: %d", c.id, status)
								if status/100 == 2 || status == 410 {
									mu.Lock()
									c.cancel = time.Now()
									mu.Unlock()
									if status == 410 {
										problem("410 for a DELETE of %s", c.id)
									}
									return
								}
								time.Sleep(300 * time.Millisecond)
							}
						})
					}
				}
				mu.Unlock()
			}
		}
	})
	wg.Go(func() { // states
		r := rand.New(rand.NewSource(seed + 2))
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			mu.Lock()
			if len(jobs) == 0 {
				mu.Unlock()
				continue
			}
			j := jobs[r.Intn(len(jobs))]
			p := d.procs[r.Intn(len(d.procs))]
			accepted := j.accepted
			mu.Unlock()
			go func() {
				asked := time.Now()
				status, state := d.state(p, j.id)
				mu.Lock()
				sent := j.cancelSent
				mu.Unlock()
				if status == 410 && asked.Sub(accepted) > 3*time.Second {
					problem("410 for GET %s (%s)", j.id, j.kind)
				}
				if (state == "failed" || state == "canceled") && !sent {
					problem("%s (%s) is shown as %s", j.id, j.kind, state)
				}
				if state == "done" {
					want := j.tasks * max(j.times, 1)
					if got := log.doneTasks(j.id); got < want || j.kind == "daemon" {
						problem("%s (%s) is shown as done with %d of %d tasks", j.id, j.kind, got, want)
					}
				}
			}()
		}
	})
	if trouble {
		for f := 0; f < envInt("FAULTS", 9); f++ {
			o := d.owner()
			if rng.Intn(3) == 0 || o == nil {
				o = d.procs[rng.Intn(len(d.procs))]
			}
			r := runners[rng.Intn(len(runners))]
			var faults []int
			for range 1 + rng.Intn(2) {
				faults = append(faults, rng.Intn(13))
			}
			var fw sync.WaitGroup
			lasts := time.Duration(500+rng.Intn(4000)) * time.Millisecond
			for i, k := range faults {
				delay := time.Duration(0)
				if i > 0 {
					delay = time.Duration(rng.Intn(2500)) * time.Millisecond
				}
				fw.Go(func() {
					time.Sleep(delay)
					d.rec.logf("fault %d for %s on %s %s", k, lasts, o.name, r.id)
					switch k {
					case 0:
						o.signal(syscall.SIGKILL)
						<-o.done
						time.Sleep(lasts / 4)
						_ = o.start()
					case 1:
						o.signal(syscall.SIGSTOP)
						time.Sleep(lasts)
						o.signal(syscall.SIGCONT)
					case 2:
						o.signal(syscall.SIGTERM)
						<-o.done
						_ = o.start()
					case 3:
						d.store.setDown(true)
						time.Sleep(lasts)
						d.store.setDown(false)
					case 4:
						d.store.SetFaults(standin.StoreFaults{LoseResponse: func(string) bool { return rand.Intn(3) == 0 }})
						time.Sleep(lasts)
						d.store.SetFaults(standin.StoreFaults{})
					case 5:
						d.store.SetFaults(standin.StoreFaults{CommitDelay: func(string) time.Duration {
							if rand.Intn(3) == 0 {
								return time.Duration(1000+rand.Intn(5000)) * time.Millisecond
							}
							return 0
						}})
						time.Sleep(lasts)
						d.store.SetFaults(standin.StoreFaults{})
					case 6:
						r.crash()
						time.Sleep(lasts / 4)
						r.begin()
					case 7:
						d.store.Compact()
					case 9:
						for _, r := range runners {
							r.via.silence()
						}
					case 10, 11:
						for _, r := range runners {
							r.late.Store(20)
						}
						time.Sleep(lasts)
						for _, r := range runners {
							r.late.Store(0)
						}
					case 12:
						for _, r := range runners[:3] {
							r.crash()
						}
						time.Sleep(lasts / 6)
						for _, r := range runners[:3] {
							r.begin()
						}
					case 8:
						for _, p := range d.procs {
							p.signal(syscall.SIGKILL)
							<-p.done
						}
						time.Sleep(lasts / 5)
						for _, p := range d.procs {
							_ = p.start()
						}
					}
				})
			}
			fw.Wait()
			time.Sleep(time.Duration(1000+rng.Intn(4000)) * time.Millisecond)
		}
	} else {
		time.Sleep(30 * time.Second)
	}
	close(stop)
	wg.Wait()
	time.Sleep(22 * time.Second)
	now := time.Now()
	mu.Lock()
	list := append([]*exploredJob{}, jobs...)
	mu.Unlock()
	for _, j := range list {
		status, state := d.state(d.procs[0], j.id)
		_, state2 := d.state(d.procs[1], j.id)
		switch {
		case state != state2:
			problem("%s is %s and %s", j.id, state, state2)
		case status != 200:
			problem("%s: status %d", j.id, status)
		case !j.cancel.IsZero() && state != "canceled" && state != "done":
			problem("%s is %s after its cancelling", j.id, state)
		case j.cancel.IsZero() && !j.cancelSent && (j.kind == "plain" || j.kind == "long") && state != "done":
			problem("%s (%s) is %s", j.id, j.kind, state)
		case j.kind == "times" && !j.cancelSent && state != "done" && now.After(j.start.Add(time.Duration(j.times)*j.interval+10*time.Second)):
			problem("%s (%s) is %s", j.id, j.kind, state)
		case j.kind == "daemon" && !j.cancelSent && log.working(j.id) != j.tasks:
			problem("%s has %d of %d daemons", j.id, log.working(j.id), j.tasks)
		}
	}
	log.mu.Lock()
	for _, e := range log.runs {
		for _, j := range list {
			if e.task[:16] != j.id {
				continue
			}
			if !j.cancel.IsZero() && e.began.Sub(j.cancel) > 3*time.Second {
				problem("%s starts %s after its cancelling", e.task, e.began.Sub(j.cancel))
			}
			if !j.cancel.IsZero() && (e.ended.IsZero() || e.ended.Sub(j.cancel) > 3200*time.Millisecond) && e.began.Before(j.cancel) {
				d.rec.logf("NOTE %s runs %s after its cancelling (ended %v)", e.task, e.ended.Sub(j.cancel), !e.ended.IsZero())
			}
			if j.kind == "times" {
				var k, s, i int
				fmt.Sscanf(e.task[17:], "%d.%d.%d", &k, &s, &i)
				if due := j.start.Add(time.Duration(k) * j.interval); e.began.Before(due.Add(-250 * time.Millisecond)) {
					problem("%s starts %s early", e.task, due.Sub(e.began))
				}
			}
		}
		if e.spec != "" && !strings.Contains(e.spec, "job="+e.task[:16]) {
			problem("%s started with spec %q", e.task, e.spec)
		}
	}
	log.mu.Unlock()
	again, beside := log.twice()
	d.rec.logf("%d beside", len(beside))
	for _, line := range append(again, beside...) {
		problem("TWICE %s", line)
	}
	fmt.Printf("seed %d: %d jobs, %d runs, %d problems\n", seed, len(list), len(log.runs), len(problems))
	for _, p := range problems[:min(len(problems), 6)] {
		fmt.Println("   ", p)
	}
	return nil
}

func (d *deployment) submitQuietly(id string, body any, first int) bool {
	for attempt := range 5 {
		p := d.procs[(first+attempt)%len(d.procs)]
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status := d.call(ctx, p, http.MethodPost, prefix+id, body, nil)
		cancel()
		d.rec.logf("POST %s at %s: %d", id, p.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func (l *runLog) doneTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := map[string]bool{}
	for _, e := range l.runs {
		if e.task[:16] == job && e.how == "done" {
			done[e.task] = true
		}
	}
	return len(done)
}

func (l *runLog) working(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.runs {
		if e.task[:16] == job && e.ended.IsZero() {
			n++
		}
	}
	return n
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
