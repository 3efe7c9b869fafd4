package membership

import (
	"cmp"
	"slices"

	"github.com/agateyard/agateyard/internal/model"
)

// nextView returns the next view for the registered members, without a change
// identifier, or false if the current view agrees with them.
//
// A member whose key was deleted is dead and becomes a predecessor. A member whose key
// is marked as leaving moves to Leaving, and becomes a predecessor only if its key is
// deleted before it has finished its handover.
func nextView(view model.View, members map[string]memberRecord) (model.View, bool) {
	next := model.View{
		Number:       view.Number + 1,
		Predecessors: slices.Clone(view.Predecessors),
	}
	for _, m := range view.Members {
		r, registered := members[m.Incarnation]
		switch {
		case !registered:
			next.Predecessors = append(next.Predecessors, m.Incarnation)
		case r.Leaving:
			next.Leaving = append(next.Leaving, m.Incarnation)
		default:
			next.Members = append(next.Members, m)
		}
	}
	for _, incarnation := range view.Leaving {
		if _, registered := members[incarnation]; registered {
			next.Leaving = append(next.Leaving, incarnation)
		} else {
			next.Predecessors = append(next.Predecessors, incarnation)
		}
	}
	for incarnation, r := range members {
		if !r.Leaving && !inView(view, incarnation) {
			next.Members = append(next.Members, r.Member)
		}
	}
	normalize(&next)
	return next, !sameMembership(view, next)
}

// inView reports whether the view lists the incarnation as member, leaving or predecessor.
func inView(v model.View, incarnation string) bool {
	_, member := v.Find(incarnation)
	return member || slices.Contains(v.Leaving, incarnation) || slices.Contains(v.Predecessors, incarnation)
}

// normalize sorts all lists and removes duplicates from Leaving and Predecessors.
func normalize(v *model.View) {
	slices.SortFunc(v.Members, func(a, b model.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	slices.Sort(v.Leaving)
	slices.Sort(v.Predecessors)
	v.Leaving = slices.Compact(v.Leaving)
	v.Predecessors = slices.Compact(v.Predecessors)
}

func sameMembership(a, b model.View) bool {
	return slices.Equal(a.Members, b.Members) &&
		slices.Equal(a.Leaving, b.Leaving) &&
		slices.Equal(a.Predecessors, b.Predecessors)
}
