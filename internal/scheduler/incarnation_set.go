package scheduler

// incarnationSet is a bit set of runner incarnations, indexed by their slots. A placement pass checks hundreds of
// runners for each stage, for which maps are too slow.
type incarnationSet []uint64

const wordBits = 64

func (l *incarnationSet) add(slot int) {
	word := slot / wordBits
	for len(*l) <= word {
		*l = append(*l, 0)
	}
	(*l)[word] |= 1 << (slot % wordBits)
}

func (l *incarnationSet) remove(slot int) {
	if word := slot / wordBits; word < len(*l) {
		(*l)[word] &^= 1 << (slot % wordBits)
	}
}

func (l incarnationSet) has(slot int) bool {
	word := slot / wordBits
	return word < len(l) && l[word]&(1<<(slot%wordBits)) != 0
}

// maxUnusedSlots is how many slots of ended incarnations, in addition to one per runner, may accumulate before all
// slots are reassigned.
const maxUnusedSlots = 1024

// assignSlot assigns a slot to the current incarnation of a runner.
func (s *Scheduler) assignSlot(r *runner) {
	if s.nextSlot > maxUnusedSlots+2*len(s.runners) {
		s.nextSlot = 0
		for _, other := range s.sortedRunners() {
			other.slot = s.nextSlot
			s.nextSlot++
		}
		for _, st := range s.stages {
			st.advice.queried = nil // the old slots are invalid; the stages query their runners again
		}
	}
	r.slot = s.nextSlot
	s.nextSlot++
}
