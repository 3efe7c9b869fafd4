package scheduler

import "time"

const (
	// sharingDelay is how long a stage that fits on runners that are set apart only waits until these are released. Work that has room must
	// not wait for 3 s.
	sharingDelay = 2 * time.Second
	// maxLonelyWait is how long a task that may crash its runner waits for one without the runs of others while at least half of its
	// service is free.
	maxLonelyWait = 2 * maxIsolationWait
	// startPause is for how long nothing else is started on runners that are set apart after such a task has looked for one in vain: it
	// starts only where no other run is starting.
	startPause = isolationTime + fullPassInterval + tickSlack
	// startPauseInterval is the time between such pauses, as the task may never find one, whatever the others do.
	startPauseInterval = 2 * time.Second
)

// mayShare reports whether tasks of a stage may be placed on runners that are set apart for others: those that fit nowhere else, and those
// that may crash their runner and would otherwise wait on an idle service.
func (s *Scheduler) mayShare(st *stage, why risk) bool {
	service := st.job.queue.Service
	if why == noRisk {
		return st.needsIsolated && s.now >= s.isolationFor(service, riskByTask).pausedUntil
	}
	freeSince, free := s.freeServices[service]
	if !free || s.now-freeSince < maxLonelyWait || st.wait.since == 0 || s.now-st.wait.since < maxLonelyWait {
		return false
	}
	if is := s.isolationFor(service, riskByTask); s.now >= is.pausedUntil+startPauseInterval {
		is.pausedUntil = s.now + startPause
	}
	return true
}

// updateSharing updates whether a stage may use runners that are set apart, as it fits nowhere else.
func (s *Scheduler) updateSharing(st *stage) {
	switch {
	case !s.fitsOnIsolatedOnly(st):
		st.isolatedOnlySince, st.needsIsolated = 0, false
	case st.isolatedOnlySince == 0:
		st.isolatedOnlySince = s.now
	case !st.needsIsolated && s.now-st.isolatedOnlySince >= sharingDelay:
		st.needsIsolated = true
		st.advice.exhaustedVersion = 0 // a gang may query the runners that are set apart
	}
}

// fitsOnIsolatedOnly reports whether the runners that aren't set apart have no room for a task of the stage, or its gang, even if all
// runs with an expected end have ended, while one that is set apart could take some.
func (s *Scheduler) fitsOnIsolatedOnly(st *stage) bool {
	if !s.isolates(st.job.queue.Service) {
		return false
	}
	wanted := 1
	if st.step.Gang {
		wanted = len(st.tasks)
	}
	need, limit := st.step.Reserved(), st.maxOnRunner(wanted)
	room, isolated := 0, false
	for _, r := range s.byFreeCores {
		if r.Service != st.job.queue.Service || !r.hasLabel(st.step.RequiredLabel) || st.advice.queried.has(r.slot) && !s.approved(st, r) {
			continue
		}
		copies := need.Copies(s.roomLater(r, minLatePatience), limit)
		if r.isolation != nil {
			isolated = isolated || copies > 0
			continue
		}
		if room += copies; room >= wanted {
			return false
		}
	}
	return isolated
}

// isolates reports whether runners of a service are set apart.
func (s *Scheduler) isolates(service string) bool {
	for key, is := range s.isolations {
		if key.service == service && len(is.runners) > 0 {
			return true
		}
	}
	return false
}
