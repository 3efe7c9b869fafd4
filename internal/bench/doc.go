// Package bench starts a cell of separate processes and measures its control-plane
// overhead: CPU time, memory, network bytes, store calls, and the time until a
// configuration change is in force at all members. The slopes in docs/CAPACITY.md
// come from these measurements.
package bench
