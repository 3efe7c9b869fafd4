package entry

import "github.com/agateyard/agateyard/internal/model"

// connClass selects one of the connections between two processes. They are
// separate so that large or less urgent bodies never delay control messages or
// urgent work.
type connClass int

const (
	connControl connClass = iota
	connUrgent
	connBulk
	connClasses // number of classes
)

// minUrgentUrgency is the lowest urgency that uses connUrgent.
const minUrgentUrgency = 6

func connClassFor(t model.Template) connClass {
	if t.Urgency >= minUrgentUrgency {
		return connUrgent
	}
	return connBulk
}
