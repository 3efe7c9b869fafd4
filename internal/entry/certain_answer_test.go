package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// Guards against a caller who is told, from a missing record, that a request has not run: by a
// process that no longer serves the shard, during a recovery, and for work without records
// under an owner that died. It may have run, and a new submission would run it again.
func TestMissingRecordIsNoProof(t *testing.T) {
	now := time.Now()
	idempotent := jobKey(1)
	strict := model.RequestKey{Template: model.TemplateID{Workspace: "w", Name: "strict"}, OrderingKey: idempotent.ID}
	for strict.ID = "x"; strict.Shard() != 0; {
		strict.OrderingKey += "x"
	}
	for name, c := range map[string]struct {
		recovery   shard.Recovery
		frozen     bool
		key        model.RequestKey
		notServed  bool
		mayHaveRun bool
	}{
		"no takeover":                          {key: idempotent},
		"recovering":                           {key: strict, recovery: shard.Recovery{TakenAt: now, Pools: []model.PoolID{"p"}}, mayHaveRun: true},
		"recovered, its records are complete":  {key: strict, recovery: shard.Recovery{TakenAt: now}},
		"recovered, idempotent work":           {key: idempotent, recovery: shard.Recovery{TakenAt: now}, mayHaveRun: true},
		"takeover longer ago than the records": {key: idempotent, recovery: shard.Recovery{TakenAt: now.Add(-time.Hour)}},
		"handed over":                          {key: idempotent, frozen: true, notServed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := ownerNode(t).loop
			l.templates[idempotent.Template] = model.Template{Kind: model.KindJob, Idempotent: true}
			l.templates[strict.Template] = model.Template{Kind: model.KindJob}
			l.table.SetTemplates(now, l.templates)
			l.takeover.freeze(now, 0)
			if !c.frozen {
				l.table.Drop(now, 0)
				delete(l.takeover.frozen, 0)
				l.table.Own(now, 0, c.recovery)
				l.table.Replayed(now, 0)
			}
			status := make(chan statusResult, 1)
			statusRequest{key: c.key, result: status}.apply(l)
			s := <-status
			if notServed := errors.Is(s.err, errNotShardOwner); notServed != c.notServed || s.reply.Found || s.reply.MayHaveRun != c.mayHaveRun {
				t.Errorf("got %+v", s)
			}
			cancelled := make(chan cancelResult, 1)
			cancelRequest{keys: []model.RequestKey{c.key}, result: cancelled}.apply(l)
			if r := <-cancelled; errors.Is(r.err, errNotShardOwner) != c.notServed {
				t.Errorf("cancellation: %+v", r)
			}
		})
	}
}

// Guards against a caller who is told that a cancelled job has not run, while the record of it
// is not written: the next owner of the shard would run the job.
func TestCancellationIsShownOnceDurable(t *testing.T) {
	l, key := ownerNode(t).loop, jobKey(1)
	freezeShard(l, 1, key)
	delete(l.takeover.frozen, 0)
	l.table.Own(l.now(), 0, shard.Recovery{})
	cancelled := make(chan cancelResult, 1)
	cancelRequest{keys: []model.RequestKey{key}, result: cancelled}.apply(l)
	if len(cancelled) > 0 {
		t.Fatalf("shown before the record is written: %+v", <-cancelled)
	}
	for _, seq := range append([]uint64(nil), l.acks.unwritten...) {
		l.acks.markWritten(seq)
	}
	if r := <-cancelled; len(r.results) != 1 || r.results[0].Outcome != model.OutcomeNotRun {
		t.Errorf("got %+v", r)
	}
}
