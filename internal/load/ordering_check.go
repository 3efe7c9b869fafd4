package load

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

// orderedStart is a submission that has an ordering key, with the start of its
// first run.
type orderedStart struct {
	sub   submission
	start time.Time
	run   *taskRun
}

// checkOrder finds requests that started before an earlier request with the same
// ordering key. A request is earlier if it was accepted before the other was sent.
func (c *effectCheck) checkOrder(subs []submission) {
	type key struct{ stream, ordering string }
	groups := map[key][]orderedStart{}
	for _, s := range subs {
		runs := c.runs[s.echo]
		if s.ordering == "" || len(runs) == 0 {
			continue
		}
		k := key{s.stream, s.ordering}
		groups[k] = append(groups[k], orderedStart{s, runs[0].start, runs[0]})
	}
	for _, g := range groups {
		c.checkOrderInGroup(g)
	}
}

func (c *effectCheck) checkOrderInGroup(group []orderedStart) {
	accepted := slices.DeleteFunc(slices.Clone(group), func(o orderedStart) bool {
		return o.sub.accepted.IsZero() || o.sub.verdict == VerdictNotRun
	})
	slices.SortFunc(accepted, func(a, b orderedStart) int {
		return cmp.Compare(a.sub.accepted.UnixNano(), b.sub.accepted.UnixNano())
	})
	// latest[i] is the submission of accepted[:i+1] that started last.
	latest := make([]orderedStart, len(accepted))
	for i, o := range accepted {
		latest[i] = o
		if i > 0 && latest[i-1].start.After(o.start) {
			latest[i] = latest[i-1]
		}
	}
	for _, o := range group {
		n := sort.Search(len(accepted), func(i int) bool { return !accepted[i].sub.accepted.Before(o.sub.sent) })
		if n == 0 || !latest[n-1].start.After(o.start) || latest[n-1].sub.echo == o.sub.echo {
			continue
		}
		earlier := latest[n-1]
		c.addViolation(InvariantOrder, o.sub, fmt.Sprintf("started %s before %s", earlier.start.Sub(o.start), earlier.sub.echo), earlier.run, o.run)
	}
}
