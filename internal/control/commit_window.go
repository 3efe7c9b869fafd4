package control

import "time"

const (
	// maxCommits bounds the commits in flight. With a slow store that takes a third of a second for each, full commits still
	// write more than a thousand records a second.
	maxCommits = 32
	// commitOverlapDelay is the time after which another commit starts although one is still in flight. A full commit doesn't
	// wait for it.
	commitOverlapDelay = 25 * time.Millisecond
	// outageCommitInterval is the interval of commits after one has failed. A store that is away may not answer at all: with
	// staggered commits of one record each its return is noticed within the interval, and few records wait for a time-out.
	outageCommitInterval = 100 * time.Millisecond
	// hungCommitAge is the age from which on a commit is given up when a later one has been answered: twice the 300 ms in
	// which the slowest store that still works answers.
	hungCommitAge = 600 * time.Millisecond
)

// commitWindow decides when commits start, and which commits in flight are given up because the store will not answer them.
type commitWindow struct {
	inFlight  map[int]time.Duration // start times, by number
	last      int                   // number of the last commit
	lastStart time.Duration
	failing   bool // the last commit that ended got no answer
}

// mayStart reports whether a commit may start now. full means that it will have the maximum number of records.
func (w *commitWindow) mayStart(now time.Duration, full bool) bool {
	if len(w.inFlight) >= maxCommits {
		return false
	}
	sinceLast := now - w.lastStart
	if w.failing {
		return sinceLast >= outageCommitInterval
	}
	return len(w.inFlight) == 0 || full || sinceLast >= commitOverlapDelay
}

// maxRecords returns how many records the next commit may hold.
func (w *commitWindow) maxRecords() int {
	if w.failing {
		return 1
	}
	return recordsPerCommit
}

// start registers a commit and returns its number.
func (w *commitWindow) start(now time.Duration) int {
	if w.inFlight == nil {
		w.inFlight = map[int]time.Duration{}
	}
	w.last++
	w.inFlight[w.last], w.lastStart = now, now
	return w.last
}

// finish registers the end of a commit. After an answer it returns the earlier commits that will get none: at the end of an
// outage those of earlier intervals, otherwise those that are older than any that a slow store still answers.
func (w *commitWindow) finish(number int, answered bool, now time.Duration) (hung []int) {
	delete(w.inFlight, number)
	if !answered {
		w.failing = true
		return nil
	}
	limit := hungCommitAge
	if w.failing {
		limit = outageCommitInterval
	}
	for earlier, started := range w.inFlight {
		if earlier < number && now-started > limit {
			hung = append(hung, earlier)
		}
	}
	w.failing = false
	return hung
}

// giveUp registers that a commit is not waited for any more. It says nothing about the store.
func (w *commitWindow) giveUp(number int) { delete(w.inFlight, number) }
