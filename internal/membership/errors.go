package membership

import "errors"

// ErrReplaced means that the lease of this process has expired, that the view lists the
// process as a predecessor or no longer lists it, or that its incarnation was already
// used. Other processes own its shards and pools: it must drop its state and start as a
// new incarnation.
var ErrReplaced = errors.New("process was replaced")

// ErrNotJoined means that Run has not registered this process yet.
var ErrNotJoined = errors.New("process has not joined")
