package control

// runnerFences are the fencing tokens of an owner's calls to the runners. An owner begins with the revision of its claim. Its calls
// to a runner get a higher token when contact is lost or the runner has started again, so that a new incarnation refuses calls for
// the one before that are carried out late. A token must stay below the revisions of later claims, so it is a revision at which the store still had the
// claim. It never falls again: the runner may have seen it.
type runnerFences struct {
	claim     int64            // revision of the claim
	confirmed int64            // latest revision at which the store had the claim
	raised    map[string]int64 // by runner, where it differs from claim
	wanted    map[string]bool  // runners whose token is to be raised once a higher one is known
}

func newRunnerFences(claim int64) *runnerFences {
	return &runnerFences{claim: claim, raised: map[string]int64{}, wanted: map[string]bool{}}
}

// of returns the token for calls to a runner.
func (f *runnerFences) of(id string) int64 { return max(f.claim, f.raised[id]) }

// raise raises the token of a runner, and reports whether it could.
func (f *runnerFences) raise(id string) bool {
	if f.confirmed <= f.of(id) {
		f.wanted[id] = true
		return false
	}
	f.raised[id] = f.confirmed
	delete(f.wanted, id)
	return true
}

// confirm records a revision at which the store had the claim.
func (f *runnerFences) confirm(rev int64) { f.confirmed = max(f.confirmed, rev) }
