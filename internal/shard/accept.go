package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// accept asks for the acceptance record of an asynchronous request.
func (t *Table) accept(j *job, fx *Effects) {
	t.setPhase(j, phaseAccepting)
	fx.Records = append(fx.Records, acceptanceRecord(j))
}

// AcceptanceDurable tells the waiters that the request is accepted and queues it.
func (t *Table) AcceptanceDurable(now time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.find(key)
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
		t.finishWithLast(now, j, &fx)
		return fx
	}
	t.activate(now, j)
	return fx
}

// answerAccepted answers the waiters that wait for the acceptance only.
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

// AcceptanceFailed answers not-run. It must be called only when the record is
// certainly not in the journal and can't get there any more.
func (t *Table) AcceptanceFailed(now time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.find(key)
	if j == nil || j.phase != phaseAccepting {
		return fx
	}
	r := refusal{model.ReasonStoreDown, "the acceptance could not be recorded", t.retryAfter(0)}
	t.finish(now, j, r.reply(), nil, &fx)
	return fx
}
