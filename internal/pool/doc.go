// Package pool decides for one pool of endpoints: capacity accounts, grants,
// shares, placement, gangs and the settlement of attempts. It performs no
// I/O, starts no goroutine and reads no clock; time and the random source are
// arguments. A Pool is not safe for concurrent use: one event loop drives it.
package pool
