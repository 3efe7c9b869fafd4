package control

import (
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/candidacy"
)

// maxSilenceDoublings bounds the silence that is allowed to an owner that loads the durable state, to 16 times the usual
// one: 12 s.
const maxSilenceDoublings = 4

// view is what a process knows of its cell. It is safe for concurrent use.
type view struct {
	mu             sync.Mutex
	owner          OwnerInfo
	ownerRead      bool // the store has been read or a peer has named an owner, so that an empty owner means that there is none
	changed        chan struct{}
	members        map[string]Member
	pending        map[string]int
	pendingAt      time.Duration  // when the owner sent the counts
	lastOwnerReply time.Duration  // last reply of an owner to a ping
	claimSeenAt    time.Duration  // when the current owner's claim became known
	suspect        bool           // the last ping of the owner failed
	pingError      string         // of the last ping of the owner that failed
	loadedReplyAt  time.Duration  // last reply of an owner that had loaded the durable state
	ownerLoaded    bool           // the current owner has said that it has loaded the durable state
	unloadedTerms  int            // successive terms before the current one that ended without a load, as far as is known
	ownerGone      bool           // no process serves at the owner's address, or it is not the owner
	load           candidacy.Load // of the owner; zero while it is not known
}

func newView() *view {
	return &view{changed: make(chan struct{}), members: map[string]Member{}}
}

// setOwner stores a newer owner and reports whether its term is new. The silence of a new owner is counted from now.
func (v *view) setOwner(o OwnerInfo, now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownerRead = true
	if o.Term < v.owner.Term || o.Term == v.owner.Term && o.Incarnation == v.owner.Incarnation && o.Rev <= v.owner.Rev {
		return false
	}
	isNew := o.Term > v.owner.Term
	if isNew && v.owner.Incarnation != "" {
		v.unloadedTerms++
		if v.ownerLoaded {
			v.unloadedTerms = 0
		}
	}
	v.owner = o
	if isNew {
		v.claimSeenAt, v.suspect, v.ownerLoaded, v.ownerGone = now, false, false, false
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return isNew
}

// setNoOwner records that the store has no claim of ownership.
func (v *view) setNoOwner() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownerRead = true
}

// currentOwner returns the owner and a channel that is closed when a new owner becomes known.
func (v *view) currentOwner() (OwnerInfo, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.owner, v.changed
}

func (v *view) ownerWasRead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownerRead
}

func (v *view) setMembers(members []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = make(map[string]Member, len(members))
	for _, m := range members {
		v.members[m.Incarnation] = m
	}
}

func (v *view) setMember(m Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members[m.Incarnation] = m
}

func (v *view) removeMember(incarnation string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.members, incarnation)
}

func (v *view) memberList() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// memberOf returns a member by its incarnation.
func (v *view) memberOf(incarnation string) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[incarnation]
	return m, ok
}

func (v *view) setOwnerLoad(l candidacy.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.load = l
}

// ownerLoad returns the last known load of an owner of this cell.
func (v *view) ownerLoad() candidacy.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.load
}

func (v *view) setPending(p map[string]int, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending, v.pendingAt = p, now
}

// pendingOf returns the last count of a queue; known is false if it is older than maxAge.
func (v *view) pendingOf(queue string, maxAge, now time.Duration) (count int, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending == nil || now-v.pendingAt > maxAge {
		return 0, false
	}
	return v.pending[queue], true
}

func (v *view) recordOwnerReply(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastOwnerReply = now
	v.suspect, v.ownerGone = false, false
}

// recordPingFailure records that a ping of the owner failed, and why. gone means that the owner's process has ended or is
// not the owner any more.
func (v *view) recordPingFailure(reason string, gone bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspect, v.pingError, v.ownerGone = true, reason, gone
}

// lastPingError returns why the last failed ping of an owner failed.
func (v *view) lastPingError() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pingError
}

// recordLoadedOwner records that the owner of a term has said that it has loaded the durable state.
func (v *view) recordLoadedOwner(term int64, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loadedReplyAt = max(v.loadedReplyAt, now)
	if v.owner.Term == term {
		v.ownerLoaded = true
	}
}

// silenceLimit returns how long the current owner may be silent: the usual limit, doubled for each term before it that ended
// without a load, up to maxSilenceDoublings times.
func (v *view) silenceLimit(usual time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ownerLoaded {
		return usual
	}
	return usual << min(v.unloadedTerms, maxSilenceDoublings)
}

// loadedOwnerSeenAt returns when an owner last said that it had loaded the durable state; 0 if none has.
func (v *view) loadedOwnerSeenAt() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loadedReplyAt
}

// ownerRepliedAt returns when an owner last replied to this process; 0 if none has.
func (v *view) ownerRepliedAt() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastOwnerReply
}

// ownerIsGone reports whether the last ping of the owner has shown that its process has ended or is not the owner.
func (v *view) ownerIsGone() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownerGone
}

// ownerSilentFor returns the time since the owner's last reply or its claim, whichever is later, and whether the last ping
// of the owner failed.
func (v *view) ownerSilentFor(now time.Duration) (silent time.Duration, suspect bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - max(v.lastOwnerReply, v.claimSeenAt), v.suspect
}
