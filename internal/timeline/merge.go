package timeline

import "sort"

// Merge merges the events of several processes into one list in causal order.
func Merge(lists ...[]Event) []Event {
	var out []Event
	for _, l := range lists {
		out = append(out, l...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Time != out[j].Time {
			return out[i].Time.Less(out[j].Time)
		}
		return out[i].Process < out[j].Process
	})
	return out
}
