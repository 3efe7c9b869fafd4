package entry

import "github.com/agateyard/agateyard/internal/model"

// connClass separates connections between two processes, so that large or less
// urgent bodies never delay control messages or urgent work.
type connClass int

const (
	connControl connClass = iota
	connUrgent
	connBulk
	connClasses // number of classes
)

// urgentFrom is the lowest urgency that uses the urgent connection.
const urgentFrom = 6

func connClassFor(t model.Template) connClass {
	if t.Urgency >= urgentFrom {
		return connUrgent
	}
	return connBulk
}
