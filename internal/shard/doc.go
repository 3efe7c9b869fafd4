// Package shard holds the decisions of a shard owner: the queue, the order of
// requests, admission, the at-most-once record, retries and recovery. It
// performs no I/O, starts no goroutines and reads no clock: the time and the
// random source are arguments, so that a run can be replayed from its seed.
// A Table is not safe for concurrent use; one event loop drives it and carries
// out the Effects that its methods return.
package shard
