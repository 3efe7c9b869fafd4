package entry

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// Guards against a completion that is confirmed to the pool owner while the record
// of it, whose first write failed, is still to be written again: the endpoint would
// discard an end that no next owner could learn of.
func TestRewrittenRecordDelaysConfirmation(t *testing.T) {
	l := &loop{n: &Node{journal: journal.NewWriter(journal.Config{})}}
	l.acks = newAcks(l)
	confirmed := make(chan bool, 1)
	const attempt = model.AttemptID("1.a")
	l.acks.addWaiter([]model.Settled{{Attempt: attempt}}, confirmed)
	seq := l.acks.assignSeq()
	l.acks.confirmWhenDurable([]model.AttemptID{attempt})
	recordRewrite{record: shard.Record{}, seq: seq}.apply(l)
	select {
	case <-confirmed:
		t.Fatal("confirmed before the record is written again")
	case <-time.After(time.Millisecond):
	}
	recordWritten{record: shard.Record{}, seq: seq}.apply(l)
	select {
	case <-confirmed:
	default:
		t.Error("not confirmed although the record is written")
	}
}

// Guards against a job that is answered not-run although its acceptance may be in the
// journal: the first write was uncertain, and the repeated one was not sent. The next owner
// of the shard would run the job.
func TestUncertainAcceptanceIsNotWithdrawn(t *testing.T) {
	l, key := ownerNode(t).loop, jobKey(1)
	record := accepted(key)
	if (recordWritten{record: record, err: journal.ErrNotWritten}).mustRewrite() {
		t.Error("a first write that was not sent is repeated")
	}
	recordWritten{record: record, err: journal.ErrUncertain}.apply(l)
	for deadline := time.After(2 * time.Second); ; {
		select {
		case e := <-l.events:
			if rewrite, ok := e.(recordRewrite); ok {
				w := recordWritten(rewrite)
				w.err = journal.ErrNotWritten
				if !w.mustRewrite() {
					t.Error("withdrawn although the first write may be in the journal")
				}
				return
			}
		case <-deadline:
			t.Fatal("not written again")
		}
	}
}

// Guards against an end that the pool owner gives up to deliver, so that the endpoint and the
// pool forget it, while no process can take over the shards of a dead owner.
func TestUndeliveredEndIsKept(t *testing.T) {
	l := ownerNode(t).loop
	l.view.Members = nil // no owner
	l.outbox.enqueue(l.pools["worker/z/r"], "", model.Settled{Attempt: model.NewAttemptID(jobKey(1), 0, 1), End: model.AttemptEnded})
	for after, want := range map[time.Duration]int{2 * time.Minute: 1, 14 * time.Minute: 1, 16 * time.Minute: 0} {
		queued := l.outbox.queue
		l.outbox.retryAt = time.Time{}
		l.outbox.retry(l.now().Add(after))
		if len(l.outbox.queue) != want {
			t.Errorf("after %s: %d completions, want %d", after, len(l.outbox.queue), want)
		}
		l.outbox.queue = queued
	}
}
