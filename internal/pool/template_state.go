package pool

import (
	"math"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// templateState is a template with what its tasks hold in the pool.
type templateState struct {
	model.Template
	known     bool // in the configuration in force
	runs      bool // can run in this pool
	workspace *workspaceState

	charged model.Resources
	count   int // tasks charged
	peak    model.Resources
	peakAt  time.Time

	runTimes runEstimate
	usage    usageEstimate
	health   templateHealth
}

func newTemplateState(id model.TemplateID, w *workspaceState) *templateState {
	t := &templateState{workspace: w}
	t.ID = id
	return t
}

// configure takes over the operator's parameters. Without a flood share a
// template may use the whole pool; without a weight it counts as 1.
func (t *templateState) configure(c model.Template, pool model.PoolID) {
	id := t.ID
	t.Template = c
	t.ID = id
	t.known = true
	t.runs = strings.HasPrefix(string(pool), c.PoolPrefix())
	if t.FloodShare <= 0 || t.FloodShare > 1 {
		t.FloodShare = 1
	}
	if t.Weight <= 0 {
		t.Weight = 1
	}
	if t.Kind == model.KindRequest && t.Resources.IsZero() {
		t.Resources.Slots = 1
	}
}

func (t *templateState) addCharge(r model.Resources) {
	t.charged = t.charged.Add(r)
	t.count++
	t.workspace.charged = t.workspace.charged.Add(r)
}

// undoCharge takes back a charge that was never used; it leaves no trace in the peak.
func (t *templateState) undoCharge(r model.Resources) {
	t.charged = t.charged.Sub(r)
	t.count--
	t.workspace.charged = t.workspace.charged.Sub(r)
}

func (t *templateState) subCharge(now time.Time, decay time.Duration, r model.Resources) {
	t.peak = t.recentPeak(now, decay)
	t.peakAt = now
	t.undoCharge(r)
}

// recentPeak returns the greatest use of late, which fades with the time
// constant decay and is never below the present use.
func (t *templateState) recentPeak(now time.Time, decay time.Duration) model.Resources {
	if t.peak.IsZero() {
		return t.charged
	}
	faded := math.Exp(-max(0, now.Sub(t.peakAt).Seconds()) / decay.Seconds())
	return maxResources(t.charged, scaleResources(t.peak, faded))
}

// workspaceShare returns the weighted share of the workspace in the pool.
func (t *templateState) workspaceShare(total model.Resources) float64 {
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	return t.workspace.charged.DominantShare(total) / weight
}

// filling returns how much of its flood share the template holds; 1 is all of it.
func (t *templateState) filling(total model.Resources) float64 {
	share := t.FloodShare
	if share <= 0 {
		share = 1
	}
	return t.charged.DominantShare(total) / share
}

// reserved returns what must be kept free of other work for the template,
// whole tasks, beyond what it holds already.
func (t *templateState) reserved(total model.Resources) model.Resources {
	if !t.known || !t.runs || t.Reserve <= 0 {
		return model.Resources{}
	}
	full := t.reserveSize(total)
	return maxResources(model.Resources{}, full.Sub(t.charged))
}

// reserveSize returns the whole reserve in tasks of the declared size. Only
// the resources that the template uses are reserved.
func (t *templateState) reserveSize(total model.Resources) model.Resources {
	share := t.Resources.DominantShare(total)
	if share <= 0 {
		return model.Resources{}
	}
	tasks := math.Ceil(min(t.Reserve, 1)/share - 1e-9)
	tasks = min(tasks, math.Floor(1/share+1e-9))
	return t.Resources.Scale(int64(tasks))
}

// allowance returns the use that the flood share allows.
func (t *templateState) allowance(total model.Resources) model.Resources {
	return scaleResources(total, t.FloodShare)
}
