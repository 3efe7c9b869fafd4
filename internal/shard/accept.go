package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// requestAcceptance emits the acceptance record of an asynchronous request.
func (t *Table) requestAcceptance(j *job, fx *Effects) {
	t.setPhase(j, phaseAccepting)
	fx.Records = append(fx.Records, acceptanceRecord(j))
}

// AcceptanceDurable tells the waiters that the request is accepted, and queues it, or finishes
// it if it has been cancelled.
func (t *Table) AcceptanceDurable(now time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.findJob(key)
	if j == nil || j.accepted || !j.async || j.phase == phaseDone || j.phase == phaseHeld {
		return fx
	}
	j.accepted = true
	fx.event("accepted", j.key, "", "")
	t.answerAccepted(j, &fx)
	if j.phase != phaseAccepting {
		return fx
	}
	t.setPhase(j, phaseQueued)
	if j.cancelled {
		t.finishWithLastEnd(now, j, &fx)
		return fx
	}
	t.activate(now, j)
	return fx
}

// answerAccepted answers the waiters that wait only for the acceptance.
func (t *Table) answerAccepted(j *job, fx *Effects) {
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if !w.async {
			kept = append(kept, w)
			continue
		}
		fx.answer(w.id, model.Reply{Accepted: true, Joined: w.joined})
	}
	j.waiters = kept
}

// AcceptanceFailed answers not-run. It must be called only when the record is certainly not in
// the journal and can no longer be written to it.
func (t *Table) AcceptanceFailed(now time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.findJob(key)
	if j == nil || j.phase != phaseAccepting {
		return fx
	}
	r := refusal{model.ReasonStoreDown, "the acceptance could not be recorded", t.retryAfter(0)}
	t.finish(now, j, r.reply(), nil, &fx)
	return fx
}
