package job

import "github.com/samber/oops"

// check returns the first violation found in a decoded record. The scheduler relies on the indexes of a record.
func (r *Record) check() error {
	if !ValidID(r.ID) {
		return oops.Errorf("identifier %q is invalid", r.ID)
	}
	if r.Final != "" {
		if !r.Final.Final() {
			return oops.Errorf("state %q is not final", r.Final)
		}
		return nil // no steps are kept
	}
	if findings := r.violations(); len(findings) > 0 {
		return oops.Join(findings...)
	}
	if err := r.Settings.check(); err != nil {
		return err
	}
	type place struct{ occurrence, step int }
	seen := map[place]bool{}
	for i := range r.Progress {
		p := &r.Progress[i]
		if err := r.checkProgress(p); err != nil {
			return err
		}
		at := place{p.Occurrence, p.Step}
		if seen[at] {
			return oops.Errorf("progress: step %d of occurrence %d is listed twice", p.Step, p.Occurrence)
		}
		seen[at] = true
	}
	return nil
}

func (r *Record) checkProgress(p *Progress) error {
	if p.Occurrence < 0 || p.Occurrence >= r.OccurrenceCount() || p.Step < 0 || p.Step >= len(r.Steps) {
		return oops.Errorf("progress: no step %d of occurrence %d", p.Step, p.Occurrence)
	}
	outside := func(task int) bool { return task < 0 || task >= r.Steps[p.Step].Count }
	for _, task := range p.Done {
		if outside(task) {
			return oops.Errorf("progress: no task %d in step %d", task, p.Step)
		}
	}
	for task := range p.Failed {
		if outside(task) {
			return oops.Errorf("progress: no task %d in step %d", task, p.Step)
		}
	}
	for task := range p.Crashes {
		if outside(task) {
			return oops.Errorf("progress: no task %d in step %d", task, p.Step)
		}
	}
	for task := range p.FailedLately {
		if outside(task) {
			return oops.Errorf("progress: no task %d in step %d", task, p.Step)
		}
	}
	for task := range p.Checkpoints {
		if outside(task) {
			return oops.Errorf("progress: no task %d in step %d", task, p.Step)
		}
	}
	return nil
}
