// Package journal keeps the at-most-once record of one process incarnation in the
// store: segments written by group commit, snapshots that cover old segments, and a
// seal by which a successor ends the journal of a dead process.
//
// Keys:
//
//	journal/<incarnation>/<n>                    segment n, create-only, n = 1, 2, ...
//	snapshot/<incarnation>/<n>/<attempt>/<part>  state up to segment n
//
// The segments between two snapshots are bound to one long lease. Its revocation
// deletes them with a single write; deleting them one by one would double the
// writes of the journal. Seals are bound to no lease and outlive the journal, so
// that an owner that resumes after its journal was removed still finds the seal.
package journal
