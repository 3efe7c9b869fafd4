// Package entry implements the entry process: an event loop that owns the state
// of the process and drives the packages without I/O (internal/shard and
// internal/pool), and the RPC between entry processes.
//
// One goroutine, the loop, owns the shard table, the pools, the view and the
// pool summaries. Other goroutines do the network and store I/O: they post typed
// events to the loop and wait for its results, and never touch that state.
package entry
