package control

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// fakeRunners simulates runners whose runs either end successfully at once or run until they are stopped.
type fakeRunners struct {
	mu      sync.Mutex
	refuse  bool                              // starts are refused
	endless bool                              // started runs run until they are stopped
	removed map[string]bool                   // runners that fail each poll
	running map[string][]scheduler.RunningRun // by runner
	ended   map[string][]scheduler.EndedRun
	lastEnd map[string]int64
	clock   int64
}

func newFakeRunners() *fakeRunners {
	return &fakeRunners{
		removed: map[string]bool{}, running: map[string][]scheduler.RunningRun{}, ended: map[string][]scheduler.EndedRun{}, lastEnd: map[string]int64{},
	}
}

// set changes how the runners answer from now on.
func (w *fakeRunners) set(refuse, endless bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse, w.endless = refuse, endless
}

// remove makes a runner permanently unreachable for polls.
func (w *fakeRunners) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed[id] = true
}

func (w *fakeRunners) Start(_ context.Context, r scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.refuse:
		return scheduler.StartRefused, errors.New("no free capacity")
	case w.endless:
		w.running[r.ID] = append(w.running[r.ID], scheduler.RunningRun{Task: req.Task, Run: req.Run, Usage: -1})
	default:
		w.endRun(r.ID, req.Task, req.Run, scheduler.EndDone)
	}
	return scheduler.StartOK, nil
}

func (w *fakeRunners) endRun(id string, task job.TaskID, run int, outcome string) {
	w.lastEnd[id]++
	w.ended[id] = append(w.ended[id], scheduler.EndedRun{Seq: w.lastEnd[id], Task: task, Run: run, Outcome: outcome})
}

func (w *fakeRunners) Stop(_ context.Context, r scheduler.RunnerRef, req StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.running[r.ID] {
		if x.Task == req.Task && x.Run == req.Run {
			w.running[r.ID] = append(w.running[r.ID][:i:i], w.running[r.ID][i+1:]...)
			w.endRun(r.ID, req.Task, req.Run, scheduler.EndStopped)
			break
		}
	}
	return nil
}

func (w *fakeRunners) LeaseEnd(_ scheduler.RunnerRef, lease time.Duration) int64 {
	return lease.Milliseconds()
}

func (w *fakeRunners) RecordClock(scheduler.RunnerRef, int64, int64) {}

func (w *fakeRunners) Poll(_ context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	time.Sleep(min(req.Wait, 20*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed[r.ID] {
		return scheduler.Report{}, errors.New("the runner is unreachable")
	}
	w.clock++
	rep := scheduler.Report{Runner: r.ID, Addr: r.Addr, Incarnation: 1, Clock: w.clock}
	rep.Running = append(rep.Running, w.running[r.ID]...)
	var left []scheduler.EndedRun
	for _, end := range w.ended[r.ID] {
		if end.Seq > req.Acknowledged {
			left = append(left, end)
		}
	}
	w.ended[r.ID] = left
	rep.Ended = append(rep.Ended, left...)
	return rep, nil
}

// allEligibleAdvisor returns every runner as eligible.
type allEligibleAdvisor struct{}

func (allEligibleAdvisor) Advise(_ context.Context, _ job.StepID, runners []string) ([]scheduler.EligibleRunner, time.Duration, error) {
	var eligible []scheduler.EligibleRunner
	for _, id := range runners {
		eligible = append(eligible, scheduler.EligibleRunner{ID: id, Ticket: "t"})
	}
	return eligible, time.Minute, nil
}

// fakeDirectory has runners, which drain if their entry starts with "draining", and one queue with an advice policy.
type fakeDirectory struct{ emptyDirectory }

func (d fakeDirectory) DecodeRunner(item Item) (scheduler.RunnerInfo, error) {
	if len(item.Value) == 0 {
		return scheduler.RunnerInfo{}, errors.New("empty entry")
	}
	id := d.RunnerID(item.Key)
	return scheduler.RunnerInfo{
		ID: id, Addr: id + ":1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000},
		Draining: strings.HasPrefix(string(item.Value), "draining"),
	}, nil
}

func (fakeDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	config, err := emptyDirectory{}.DecodeConfig(value)
	if err == nil {
		config.Routes[0].Queue.Advice = &scheduler.AdvicePolicy{PerCall: time.Millisecond, TicketTTL: time.Minute}
	}
	return config, err
}
