package balance

import (
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Guards against repeats that wait for ever because only the pool of the
// endpoint that failed them is asked.
func TestWidenAsksOtherPools(t *testing.T) {
	pools := []model.PoolSummary{summary("z0", 0, 40, 80), summary("z1", 1, 40, 80), summary("z2", 2, 0, 80)}
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 5, Retried: 3}
	rnd := rand.New(rand.NewSource(1))
	out := Split(d, pools, "z0", time.Time{}, rnd)
	if len(out) != 1 {
		t.Fatalf("Split asks %v", out)
	}
	AddRetryPools(out, d, pools, rnd)
	if out[pools[0].Pool] < 5 || out[pools[1].Pool] != 3 || out[pools[2].Pool] != 0 {
		t.Fatalf("asks %v", out)
	}
}
