package entry

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// Guards against an attempt that runs to its end because the request to stop it
// reached the pool owner before its dispatch and was never repeated.
func TestStopIsRepeatedUntilTheEndIsKnown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newStops()
	s.add(now, []shard.CancelAttempt{{Attempt: "1.a", Pool: "worker/z/r"}, {Attempt: "2.b", Pool: "worker/z/r"}})
	held := func(model.AttemptID) bool { return true }
	if got := s.retry(now.Add(stopRetryInterval/2), held); len(got) != 0 {
		t.Fatalf("repeated too early: %v", got)
	}
	for range 3 {
		now = now.Add(stopRetryInterval)
		if got := s.retry(now, held)["worker/z/r"]; len(got) != 2 {
			t.Fatalf("repeated %v", got)
		}
	}
	s.ended("1.a")
	now = now.Add(stopRetryInterval)
	if got := s.retry(now, held)["worker/z/r"]; len(got) != 1 || got[0] != "2.b" {
		t.Fatalf("repeated %v after one end", got)
	}
	moved := func(model.AttemptID) bool { return false }
	now = now.Add(stopRetryInterval)
	if got := s.retry(now, moved); len(got) != 0 || len(s.pending) != 0 {
		t.Fatalf("repeated %v after the shard had moved", got)
	}
}
