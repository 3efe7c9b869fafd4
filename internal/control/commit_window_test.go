package control

import (
	"sync"
	"testing"
	"time"
)

// windowStore simulates a store for a commitWindow in steps of 5 ms: it answers commits that start after its outage within
// 5 ms and never answers the others, which time out.
type windowStore struct {
	window      commitWindow
	now, outage time.Duration
	started     int // during the outage
	firstAnswer time.Duration
	calls       map[int]time.Duration
}

func (s *windowStore) step(t *testing.T) {
	s.now += 5 * time.Millisecond
	for number, at := range s.calls {
		answered := at >= s.outage
		if !answered && s.now-at < storeTimeout {
			continue
		}
		delete(s.calls, number)
		if answered && s.firstAnswer == 0 {
			s.firstAnswer = s.now
		}
		for _, hung := range s.window.finish(number, answered, s.now) {
			if s.calls[hung] >= s.outage {
				t.Errorf("commit %d is given up although the store answers it", hung)
			}
			s.window.giveUp(hung)
			delete(s.calls, hung)
		}
	}
	for s.window.mayStart(s.now, false) {
		s.calls[s.window.start(s.now)] = s.now
		if s.now < s.outage {
			s.started++
		}
	}
}

// Guards against records that wait for the time-out of commits that a silent store has not answered while it answers new
// ones: outages of 0.3 to 5 s that end at any moment, with more records than fit into one commit.
func TestCommitsNoticeTheEndOfAnOutage(t *testing.T) {
	for outage := 300 * time.Millisecond; outage < 5*time.Second; outage += 35 * time.Millisecond {
		s := &windowStore{outage: outage, calls: map[int]time.Duration{}}
		for s.now < outage+200*time.Millisecond {
			s.step(t)
		}
		const latest = outageCommitInterval + 20*time.Millisecond
		if s.firstAnswer == 0 || s.firstAnswer-outage > latest {
			t.Errorf("outage of %v: first answer at %v, later than %v after its end", outage, s.firstAnswer, latest)
		}
		for number, at := range s.calls {
			if at < outage && s.now-at > hungCommitAge {
				t.Errorf("outage of %v: commit %d of %v is still waited for at %v", outage, number, at, s.now)
			}
		}
		if most := maxCommits + int(outage/outageCommitInterval) + 1; s.started > most {
			t.Errorf("outage of %v: %d commits during it, at most %d expected", outage, s.started, most)
		}
	}
}

// Guards against commits that are given up although a slow store still answers them, in another order: the answer to a
// later commit says nothing about one that is 300 ms old.
func TestSlowCommitsAreNotGivenUp(t *testing.T) {
	var w commitWindow
	first := w.start(time.Second)
	second := w.start(time.Second + commitOverlapDelay)
	if hung := w.finish(second, true, time.Second+300*time.Millisecond); len(hung) > 0 {
		t.Errorf("gave up commits %v after 300 ms", hung)
	}
	third := w.start(time.Second + 310*time.Millisecond)
	if hung := w.finish(third, true, time.Second+hungCommitAge+time.Millisecond); len(hung) != 1 || hung[0] != first {
		t.Errorf("gave up commits %v, want %v", hung, []int{first})
	}
}

// Guards against an owner whose commits all hang at the return of a silent store and are repeated only after their time-out:
// the records of jobs that arrived at the beginning of the outage are stored soon after its end.
func TestRecordsAreStoredSoonAfterASilentOutage(t *testing.T) {
	const jobs = 60
	store, nodes := startCell(t, 1)
	store.setSilent(true)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() { submit(nodes[0], testSpec(i)) })
	}
	time.Sleep(storeTimeout + storeTimeout/2) // the first commits have timed out, the next ones are in flight
	store.setSilent(false)
	eventually(t, 2*outageCommitInterval+100*time.Millisecond, "all records in the store", func() bool {
		return store.countItems(jobPrefix) == jobs
	})
	wg.Wait()
}
