// Package candidacy decides which process of a cell may own it: how well a machine can carry the owner's work, in which
// order the candidates claim ownership, and when an owner hands it over. The package performs no I/O; time is passed in.
package candidacy

// Machine is what a process may use of its VM.
type Machine struct {
	CPU         int     // in thousandths of a core
	LinkMbps    float64 // 0: not known
	MemoryMB    int     // 0: not known
	Descriptors int     // 0: no limit is known
}
