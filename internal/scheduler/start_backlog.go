package scheduler

import "time"

const (
	// startRateWindow is the time over which the rate of starts is measured.
	startRateWindow = time.Second
	// startLead is for how long tasks with tickets are kept ready for their start: about an advice call and the next passes.
	startLead = 500 * time.Millisecond
	// minReadyTasks is the least number of tasks that are kept ready, while the rate is low or not known yet.
	minReadyTasks = 32
)

// startBacklog measures how many tasks wait only for the owner to be able to send more starts. Advice for further tasks would
// expire before they can start, and its calls would take the part of the link that the starts need.
type startBacklog struct {
	ready        int // waiting tasks of the current pass whose stages have a valid ticket, an upper bound of what could start
	sent, before int // starts in the current window and in the one before it
	windowBegan  time.Duration
}

func (b *startBacklog) started(now time.Duration) {
	if now-b.windowBegan >= startRateWindow {
		b.before = 0
		if now-b.windowBegan < 2*startRateWindow {
			b.before = b.sent
		}
		b.sent, b.windowBegan = 0, now
	}
	b.sent++
}

// full reports whether enough tasks are ready to be started as soon as the owner can send starts again.
func (b *startBacklog) full() bool {
	rate := float64(max(b.sent, b.before)) / startRateWindow.Seconds()
	return b.ready >= max(int(rate*startLead.Seconds()), minReadyTasks)
}

// awaitsStarts reports whether the waiting tasks of a stage gain nothing by further advice, as the owner can't send more
// starts at present. Tasks with tickets are counted for the stages that follow.
func (s *Scheduler) awaitsStarts(st *stage, waiting int) bool {
	if s.startBudget > st.reservedCount {
		return false
	}
	if s.hasValidTicket(st) {
		s.startBacklog.ready += waiting
		return true
	}
	return s.startBacklog.full()
}

// hasValidTicket reports whether the stage has a valid ticket for a runner that is feasible for it, whether or not the runner
// has room.
func (s *Scheduler) hasValidTicket(st *stage) bool {
	for _, e := range st.advice.eligible {
		if s.feasible(st, e.runner) && s.ticketValid(st, e.runner, s.now) {
			return true
		}
	}
	return false
}
