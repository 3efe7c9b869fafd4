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

// workingRunners are runners whose runs end as done at once, or never.
type workingRunners struct {
	mu      sync.Mutex
	refuse  bool // starts
	endless bool
	gone    map[string]bool                   // runners that answer nothing any more
	running map[string][]scheduler.RunningRun // by runner
	ended   map[string][]scheduler.EndedRun
	ends    map[string]int64
	clock   int64
}

func newWorkingRunners() *workingRunners {
	return &workingRunners{
		gone: map[string]bool{}, running: map[string][]scheduler.RunningRun{}, ended: map[string][]scheduler.EndedRun{}, ends: map[string]int64{},
	}
}

// set changes how the runners answer from now on.
func (w *workingRunners) set(refuse, endless bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse, w.endless = refuse, endless
}

// remove takes a runner away for good.
func (w *workingRunners) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[id] = true
}

func (w *workingRunners) Start(_ context.Context, r scheduler.RunnerRef, o StartRequest) (scheduler.StartOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.refuse:
		return scheduler.StartRefused, errors.New("no room")
	case w.endless:
		w.running[r.ID] = append(w.running[r.ID], scheduler.RunningRun{Task: o.Task, Run: o.Run, Usage: -1})
	default:
		w.end(r.ID, o.Task, o.Run, scheduler.EndDone)
	}
	return scheduler.StartOK, nil
}

func (w *workingRunners) end(id string, task job.TaskID, run int, how string) {
	w.ends[id]++
	w.ended[id] = append(w.ended[id], scheduler.EndedRun{Seq: w.ends[id], Task: task, Run: run, Outcome: how})
}

func (w *workingRunners) Stop(_ context.Context, r scheduler.RunnerRef, task job.TaskID, run int, _ int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.running[r.ID] {
		if x.Task == task && x.Run == run {
			w.running[r.ID] = append(w.running[r.ID][:i:i], w.running[r.ID][i+1:]...)
			w.end(r.ID, task, run, scheduler.EndStopped)
			break
		}
	}
	return nil
}

func (w *workingRunners) Poll(_ context.Context, r scheduler.RunnerRef, l PollRequest) (scheduler.Report, error) {
	time.Sleep(min(l.Wait, 20*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone[r.ID] {
		return scheduler.Report{}, errors.New("no answer")
	}
	w.clock++
	rep := scheduler.Report{Runner: r.ID, Addr: r.Addr, Incarnation: 1, Clock: w.clock}
	rep.Running = append(rep.Running, w.running[r.ID]...)
	var left []scheduler.EndedRun
	for _, end := range w.ended[r.ID] {
		if end.Seq > l.Acknowledged {
			left = append(left, end)
		}
	}
	w.ended[r.ID] = left
	rep.Ended = append(rep.Ended, left...)
	return rep, nil
}

// allAdvice names every runner as good.
type allAdvice struct{}

func (allAdvice) Advise(_ context.Context, _ job.StepID, runners []string) ([]scheduler.EligibleRunner, time.Duration, error) {
	var good []scheduler.EligibleRunner
	for _, id := range runners {
		good = append(good, scheduler.EligibleRunner{ID: id, Ticket: "t"})
	}
	return good, time.Minute, nil
}

// advisedDirectory has runners, whose entries are "draining" or anything else, and one queue with advice.
type advisedDirectory struct{ emptyDirectory }

func (d advisedDirectory) DecodeRunner(item Item) (scheduler.RunnerInfo, error) {
	if len(item.Value) == 0 {
		return scheduler.RunnerInfo{}, errors.New("empty entry")
	}
	id := d.RunnerID(item.Key)
	return scheduler.RunnerInfo{
		ID: id, Addr: id + ":1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000},
		Draining: strings.HasPrefix(string(item.Value), "draining"),
	}, nil
}

func (advisedDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	config, err := emptyDirectory{}.DecodeConfig(value)
	if err == nil {
		config.Routes[0].Queue.Advice = &scheduler.AdvicePolicy{PerCall: time.Millisecond, TicketTTL: time.Minute}
	}
	return config, err
}
