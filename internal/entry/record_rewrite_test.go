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
