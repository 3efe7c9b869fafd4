package entry

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// Guards against an attempt that runs to completion because its stop request
// reached the pool owner before the dispatch and was never repeated.
func TestStopIsRetriedUntilAttemptCompletes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newStopRetrier()
	s.add(now, []shard.CancelAttempt{{Attempt: "1.a", Pool: "worker/z/r"}, {Attempt: "2.b", Pool: "worker/z/r"}})
	held := func(model.AttemptID) bool { return true }
	if got := s.retry(now.Add(stopRetryInterval/2), held); len(got) != 0 {
		t.Fatalf("retried too early: %v", got)
	}
	for range 3 {
		now = now.Add(stopRetryInterval)
		if got := s.retry(now, held)["worker/z/r"]; len(got) != 2 {
			t.Fatalf("retried %v, want both attempts", got)
		}
	}
	s.remove("1.a")
	now = now.Add(stopRetryInterval)
	if got := s.retry(now, held)["worker/z/r"]; len(got) != 1 || got[0] != "2.b" {
		t.Fatalf("retried %v after one attempt completed", got)
	}
	moved := func(model.AttemptID) bool { return false }
	now = now.Add(stopRetryInterval)
	if got := s.retry(now, moved); len(got) != 0 || len(s.pending) != 0 {
		t.Fatalf("retried %v after the shard moved", got)
	}
}
