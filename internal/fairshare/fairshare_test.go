package fairshare

import (
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Rapid()
	os.Exit(m.Run())
}

func cores(n int64) model.Resources { return model.Resources{CoresMilli: n} }

// TestShares guards against shares that aren't weighted max-min fair.
func TestShares(t *testing.T) {
	capacity := model.Resources{CoresMilli: 1000, MemoryMB: 1000}
	for name, c := range map[string]struct {
		demands []Demand
		want    []float64
	}{
		"all fit":                  {[]Demand{{1, cores(300)}, {1, cores(500)}}, []float64{0.3, 0.5}},
		"by weight":                {[]Demand{{1, cores(9000)}, {3, cores(9000)}}, []float64{0.25, 0.75}},
		"rest of a small tenant":   {[]Demand{{1, cores(100)}, {1, cores(9000)}, {1, cores(9000)}}, []float64{0.1, 0.45, 0.45}},
		"no demand":                {[]Demand{{1, cores(0)}, {1, cores(9000)}}, []float64{0, 1}},
		"different dominant share": {[]Demand{{1, model.Resources{CoresMilli: 9000, MemoryMB: 1000}}, {1, model.Resources{CoresMilli: 1000, MemoryMB: 9000}}}, []float64{0.9, 0.9}},
		"unused resource":          {[]Demand{{1, cores(9000)}, {1, model.Resources{MemoryMB: 9000}}}, []float64{1, 1}},
	} {
		got := Shares(capacity, c.demands)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 1e-6 {
				t.Errorf("%s: %v, want %v", name, got, c.want)
				break
			}
		}
	}
}

// TestSharesProperties guards against shares that exceed the capacity or a demand, or leave a tenant short while another
// one with more for its weight, that uses the same resources, isn't limited.
func TestSharesProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := model.Resources{CoresMilli: 10_000, MemoryMB: 20_000, Accelerators: 8}
		var demands []Demand
		for range rapid.IntRange(1, 8).Draw(rt, "tenants") {
			demands = append(demands, Demand{
				Weight: rapid.Float64Range(0.1, 20).Draw(rt, "weight"),
				Amount: model.Resources{
					CoresMilli: int64(rapid.IntRange(0, 30_000).Draw(rt, "cores")), MemoryMB: int64(rapid.IntRange(0, 30_000).Draw(rt, "memory")),
					Accelerators: int64(rapid.IntRange(0, 10).Draw(rt, "accelerators")),
				},
			})
		}
		shares := Shares(capacity, demands)
		var used [resourceCount]float64
		for i, d := range demands {
			dominant := d.Amount.DominantShare(capacity)
			if shares[i] > dominant+1e-6 {
				rt.Fatalf("share %v exceeds the demand %v", shares[i], dominant)
			}
			if dominant == 0 {
				continue
			}
			for r, amount := range amounts(d.Amount) {
				used[r] += amount / amounts(capacity)[r] * shares[i] / dominant
			}
		}
		full := false
		for r := range used {
			if used[r] > 1+1e-6 {
				rt.Fatalf("resource %d is used by %v", r, used[r])
			}
			full = full || used[r] > 1-1e-6
		}
		for i, d := range demands {
			if !full && shares[i] < d.Amount.DominantShare(capacity)-1e-6 {
				rt.Fatalf("tenant %d is short of its demand although every resource is left: %v", i, shares)
			}
			for k, other := range demands {
				sameUse := d.Amount.CoresMilli > 0 && other.Amount.CoresMilli > 0 && d.Amount.MemoryMB == 0 && d.Amount.Accelerators == 0
				limited := shares[i] >= d.Amount.DominantShare(capacity)-1e-6
				if sameUse && !limited && shares[i]/d.Weight < shares[k]/other.Weight-1e-6 && other.Amount.MemoryMB == 0 && other.Amount.Accelerators == 0 {
					rt.Fatalf("tenants %d and %d: %v", i, k, shares)
				}
			}
		}
	})
}

// TestBucket guards against a tenant within its rate that finds no token, and against more tokens than the rate allows.
func TestBucket(t *testing.T) {
	var b Bucket
	b.SetRate(2, 0)
	taken := 0
	for ms := range 10_000 {
		if b.Take(time.Duration(ms) * time.Millisecond) {
			taken++
		}
	}
	if taken < 21 || taken > 22 {
		t.Errorf("%d tokens in 10 s, want the depth of 2 and 2 a second", taken)
	}
	var slow Bucket
	slow.SetRate(0.1, 0)
	if !slow.Take(0) || slow.Take(9*time.Second) || !slow.Take(11*time.Second) {
		t.Error("a rate of 0.1 a second gives the first token at once and the next after 10 s")
	}
}

// TestOverflow guards against tokens that are lost while excess jobs wait, and against overflow that accumulates while
// none waits.
func TestOverflow(t *testing.T) {
	var b Bucket
	b.SetRate(4, 0)
	if n := b.TakeOverflow(10*time.Second, 0); n != 0 {
		t.Errorf("%d taken, want none", n)
	}
	if n := b.TakeOverflow(10*time.Second, 9); n != 1 {
		t.Errorf("%d taken after a pause without waiting jobs, want 1", n)
	}
	got := 0
	for ms := 10_000; ms <= 12_000; ms += 50 {
		got += b.TakeOverflow(time.Duration(ms)*time.Millisecond, 9)
	}
	if got < 7 || got > 8 {
		t.Errorf("%d taken in 2 s, want 4 a second", got)
	}
}

// TestAccount guards against a balance beyond its bound and a decay that changes its sign.
func TestAccount(t *testing.T) {
	var a Account
	a.Update(time.Hour, 0.1, 0.3, 1)
	if a.Balance != -1 {
		t.Errorf("balance %v, want the bound of -1", a.Balance)
	}
	a.Decay(5*time.Second, 0.1)
	if math.Abs(a.Balance+0.5) > 1e-9 {
		t.Errorf("balance %v, want -0.5", a.Balance)
	}
	a.Decay(time.Hour, 0.1)
	if a.Balance != 0 {
		t.Errorf("balance %v, want 0", a.Balance)
	}
	if p := a.Projected(2*time.Second, 0.1, 0.3); math.Abs(p+0.4) > 1e-9 {
		t.Errorf("projected balance %v, want -0.4", p)
	}
}
