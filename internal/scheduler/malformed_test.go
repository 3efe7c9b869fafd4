package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// FuzzRestoredRecord guards against records that panic in the scheduler, which would end every owner that loads them.
func FuzzRestoredRecord(f *testing.F) {
	for _, seed := range []string{
		`{"id":"000000000000000a","queue":"q","steps":[{"count":2,"need":{"cores_milli":9223372036854775807}}],"accepted":-9223372036854775808}`,
		`{"id":"000000000000000a","queue":"q","steps":[{"count":3,"gang":true,"est":9223372036854775807,"need":{"cores_milli":1000}},{"count":1,"after":[0,0]}],"progress":[{"k":0,"s":0,"good":["r1","r1","x"],"saved":{"0":"c"}}]}`,
		`{"id":"000000000000000a","queue":"q","steps":[{"count":3}],"times":100000,"first":0,"interval":0}`,
		`{"id":"000000000000000a","queue":"x","steps":[{"count":1}],"times":2,"first":9223372036854775807,"interval":9223372036854775807,"progress":[{"k":1,"s":0,"all":true}]}`,
		`{"id":"000000000000000a","queue":"q","steps":[{"count":2}],"progress":[{"k":0,"s":0,"failed":{"1":[1]},"failed-lately":{"1":[{"r":"r1","t":-9223372036854775808,"q":true},{"r":"r1","t":9223372036854775807}]}}]}`,
		`{"id":"000000000000000a","queue":"q","final":"done","finished":9223372036854775807}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := job.DecodeRecord(data)
		if err != nil {
			return
		}
		now, wall := time.Hour, time.Unix(1_800_000_000, 0)
		s := New(Config{RunLease: time.Second, StatusRetention: time.Minute}, 3, now, wall)
		s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 1000, Objective: time.Hour, Advice: &AdvicePolicy{PerCall: time.Second, PerRunner: time.Millisecond, TicketTTL: time.Second}}})
		s.Restore(record)
		s.RestoreDone()
		s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a", Service: "s", Capacity: model.Resources{CoresMilli: 1 << 40, MemoryMB: 1 << 40}})
		s.Report(Report{Runner: "r1", Addr: "a", Incarnation: 1, Clock: 1, RequestedAt: now, Running: []RunningRun{
			{Task: job.TaskID{StepID: job.StepID{Job: record.ID}}, Run: 1 << 53},
			{Task: job.TaskID{StepID: job.StepID{Job: record.ID, Step: 1 << 40, Occurrence: 1 << 40}, Index: 1 << 40}, Run: 1},
		}})
		for range 3 {
			now += 50 * time.Millisecond
			s.Advance(now, wall)
			s.Dispatcher().SetMachines([]string{"m"})
			s.Tick()
			s.Pass()
			for _, e := range s.Effects() {
				if advice, ok := e.(RequestAdvice); ok {
					s.AdviceAnswered(advice.Step, advice.Runners, []EligibleRunner{{ID: "r1"}, {ID: "r1"}, {ID: "?"}}, time.Second)
				}
			}
		}
		for _, d := range s.TakeDirty(10, func(string) bool { return false }) {
			if _, err := job.DecodeRecord(d.Record.Encode()); err != nil {
				t.Errorf("the record written can't be read: %v", err)
			}
		}
	})
}

// TestOverdueOccurrencesAreBounded guards against an owner that runs out of memory because thousands of occurrences of a
// job, each with thousands of tasks, are due at once, as for a start time long ago.
func TestOverdueOccurrencesAreBounded(t *testing.T) {
	s := New(Config{RunLease: time.Second}, 1, time.Hour, time.Unix(1_800_000_000, 0))
	const id = "a000000000000001"
	s.Submit(job.Spec{ID: id, Queue: "q", Occurrences: 1000, Steps: []job.Step{{Count: 9000}}})
	s.MarkStored(id, 1)
	s.Tick()
	if open := len(s.openStages); open != 2 {
		t.Errorf("%d occurrences of 9,000 tasks are open", open)
	}
	for _, st := range s.openStages[:1] {
		for _, task := range st.tasks {
			s.markDone(task)
		}
		s.stageDone(st)
	}
	s.Tick()
	if opened := s.jobs[id].openedOccurrences; opened != 3 {
		t.Errorf("%d occurrences were opened after the first one", opened)
	}
}
