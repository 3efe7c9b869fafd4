// Package entry is the entry process: an event loop that owns the control
// state and drives the decision packages, and the RPC between entry processes.
//
// One goroutine, the loop, owns the shard table, the pools, the view and the
// summaries. Other goroutines carry traffic: they post typed messages to the
// loop and wait for its results, and never touch that state.
package entry
