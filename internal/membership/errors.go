package membership

import "errors"

// ErrReplaced means that the lease of this process has lapsed or that the view no
// longer has it. Others own its shards and pools: the process must drop its state
// and start as a new incarnation.
var ErrReplaced = errors.New("process was replaced")

// ErrNotJoined means that Run has not registered this process yet.
var ErrNotJoined = errors.New("process has not joined")
