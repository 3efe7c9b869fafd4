//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	lateRunners = 7
	// lateShare is the percentage of the orders that get no answer; `fleetbench kinds` has 50 by default. lateTime is the length that the
	// site has.
	lateShare = 25
	lateTime  = 5500 * time.Millisecond
	// lateCrashes is how many runners crash, one of seven at a time (a share of 0.14), each for lateDown.
	lateCrashes = 24
	lateDown    = 500 * time.Millisecond
)

// lateOrders lets runners leave orders unanswered and carry them out late, while they crash by turns.
func lateOrders(d *deployment, trouble bool) error {
	log := &runLog{}
	var runners []*runner
	for i := range lateRunners {
		runners = append(runners, &runner{id: fmt.Sprintf("i-%d", i+1), cpu: 32000, labels: []string{"a", fmt.Sprintf("r%d", i/4)}, log: log})
	}
	if err := d.start(3, runners); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	set := func(share int64) {
		for _, r := range runners {
			r.set(func() { r.late = share })
		}
	}
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(125 * time.Millisecond):
			}
			go d.submit(fmt.Sprintf("%016x", 0x14000+n), map[string]any{"spec": "ms=150", "steps": []map[string]any{{"count": 40, "cpu": 500, "mem-mb": 64, "est-ms": 150}}})
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		d.rec.logf("%d percent of the orders get no answer and are carried out late", lateShare)
		set(lateShare)
	}
	time.AfterFunc(lateTime, func() {
		set(0)
		d.rec.logf("all orders are answered again")
	})
	time.Sleep(2500 * time.Millisecond)
	for i := range lateCrashes {
		r := runners[i%lateRunners]
		if trouble {
			r.crash()
		}
		time.Sleep(lateDown)
		if trouble {
			r.begin()
			d.rec.logf("%s is up again", r.id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	time.Sleep(8 * time.Second)
	again, beside := log.twice()
	for _, line := range append(again, beside...) {
		d.rec.logf("TWICE %s", line)
	}
	d.rec.logf("%d starts, %d after a run that has ended done, %d beside another run", len(log.runs), len(again), len(beside))
	if len(again)+len(beside) > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d starts after a run that has ended done, %d beside another run", errBroken, len(again), len(log.runs), len(beside))
	}
	return nil
}
