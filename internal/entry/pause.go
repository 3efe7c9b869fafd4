package entry

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/membership"
)

const (
	// pauseLimit is the pause of the loop after which it confirms its membership before it
	// goes on. The lease expires 3 s after its last renewal, which is up to 2 s old.
	pauseLimit        = time.Second
	membershipTimeout = time.Second // time limit of the confirmation
)

// confirmAfterPause must be called before each event and tick. It returns false if this
// incarnation was replaced during a pause of the process: its shards and pools have other
// owners, and what it still knows must not be answered or started. If the store can't
// tell, for example during its outage, the newest view of the peers decides.
func (l *loop) confirmAfterPause() bool {
	last := l.lastActive
	l.lastActive = time.Now()
	// The monotonic clock may stop with the machine, and the wall clock may be set back.
	pause := max(l.lastActive.Sub(last), l.lastActive.Round(0).Sub(last.Round(0)))
	if last.IsZero() || pause < pauseLimit {
		return true
	}
	defer func() { l.lastActive = time.Now() }()
	n := l.n
	ctx, cancel := context.WithTimeout(n.ctx, membershipTimeout)
	defer cancel()
	err := n.protect("confirm membership", func() error { return n.members.Confirm(ctx) })
	switch {
	case errors.Is(err, membership.ErrReplaced):
		n.stopReplaced()
		return false
	case err != nil:
		for _, v := range n.peerViews() {
			l.installView(v)
		}
	}
	return n.ctx.Err() == nil
}
