package pool

import "github.com/agateyard/agateyard/internal/model"

// Predict returns the expected run time and resource use of a task of the
// template. Run limits can be far from actual run times, so measured run
// times replace them after minMeasured runs.
func (p *Pool) Predict(template model.TemplateID) Prediction {
	t := p.templates[template]
	if t == nil {
		return Prediction{Template: template}
	}
	out := Prediction{
		Template: template,
		Mean:     t.RunLimit,
		High:     t.RunLimit,
		Measured: t.runTimes.measured,
		Usage:    t.usage.resources(),
		Running:  t.taskCount,
	}
	if t.runTimes.sufficient() {
		out.Mean, out.High = t.runTimes.average(), t.runTimes.highEstimate()
	}
	return out
}
