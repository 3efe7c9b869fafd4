package pool

import (
	"math"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// templateState is a template with the capacity that its tasks hold in the pool.
type templateState struct {
	model.Template
	known     bool // in the configuration in force
	runnable  bool // can run in this pool
	workspace *workspaceState

	charged   model.Resources
	taskCount int // tasks whose capacity is charged to endpoints
	peak      model.Resources
	peakAt    time.Time

	runTimes runEstimate
	usage    usageEstimate
	health   templateHealth
}

func newTemplateState(id model.TemplateID, w *workspaceState) *templateState {
	t := &templateState{workspace: w}
	t.ID = id
	return t
}

// configure applies the operator's parameters. The flood share defaults to the
// whole pool and the weight to 1.
func (t *templateState) configure(c model.Template, pool model.PoolID) {
	id := t.ID
	t.Template = c
	t.ID = id
	t.known = true
	t.runnable = strings.HasPrefix(string(pool), c.PoolPrefix())
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
	t.taskCount++
	t.workspace.charged = t.workspace.charged.Add(r)
}

// undoCharge reverts a charge that was never used, without an effect on the
// recorded peak.
func (t *templateState) undoCharge(r model.Resources) {
	t.charged = t.charged.Sub(r)
	t.taskCount--
	t.workspace.charged = t.workspace.charged.Sub(r)
}

// subCharge removes a charge and updates the recorded peak.
func (t *templateState) subCharge(now time.Time, decay time.Duration, r model.Resources) {
	t.peak = t.recentPeak(now, decay)
	t.peakAt = now
	t.undoCharge(r)
}

// recentPeak returns the recent peak use, which decays with the time constant decay
// and is never below the current use.
func (t *templateState) recentPeak(now time.Time, decay time.Duration) model.Resources {
	if t.peak.IsZero() {
		return t.charged
	}
	decayed := math.Exp(-max(0, now.Sub(t.peakAt).Seconds()) / decay.Seconds())
	return maxResources(t.charged, scaleResources(t.peak, decayed))
}

// workspaceShare returns the weighted share of the workspace in the pool.
func (t *templateState) workspaceShare(total model.Resources) float64 {
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	return t.workspace.charged.DominantShare(total) / weight
}

// floodShareUsed returns the fraction of its flood share that the template holds.
func (t *templateState) floodShareUsed(total model.Resources) float64 {
	share := t.FloodShare
	if share <= 0 {
		share = 1
	}
	return t.charged.DominantShare(total) / share
}

// unusedReserve returns the part of the template's reserve that it doesn't hold
// yet and that other work must leave free.
func (t *templateState) unusedReserve(total model.Resources) model.Resources {
	if !t.known || !t.runnable || t.Reserve <= 0 {
		return model.Resources{}
	}
	full := t.reserveSize(total)
	return maxResources(model.Resources{}, full.Sub(t.charged))
}

// reserveSize returns the full reserve, rounded to whole tasks of the declared
// size. Only the resources that the template uses are reserved.
func (t *templateState) reserveSize(total model.Resources) model.Resources {
	share := t.Resources.DominantShare(total)
	if share <= 0 {
		return model.Resources{}
	}
	tasks := math.Ceil(min(t.Reserve, 1)/share - 1e-9)
	tasks = min(tasks, math.Floor(1/share+1e-9))
	return t.Resources.Scale(int64(tasks))
}

// floodLimit returns the capacity that the flood share allows.
func (t *templateState) floodLimit(total model.Resources) model.Resources {
	return scaleResources(total, t.FloodShare)
}
