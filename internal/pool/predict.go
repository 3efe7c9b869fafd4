package pool

import "github.com/agateyard/agateyard/internal/model"

// Predict returns what is expected of a task of the template. Declared run
// limits can be far off, so measured times replace them after a few runs.
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
		Running:  t.count,
	}
	if t.runTimes.usable() {
		out.Mean, out.High = t.runTimes.average(), t.runTimes.high()
	}
	return out
}
