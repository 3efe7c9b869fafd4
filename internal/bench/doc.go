// Package bench starts a cell of separate processes and measures what its
// control costs: processor time, memory, bytes, calls of the store, and the
// time until a configuration change is in force everywhere. The slopes in
// docs/CAPACITY.md come from it.
package bench
