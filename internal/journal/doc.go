// Package journal writes the journal of one process incarnation, on which
// at-most-once starts rely, to the store: segments written by group commit, snapshots
// that replace old segments, and a seal with which a successor closes the journal of a
// dead process.
//
// Keys:
//
//	journal/<incarnation>/<n>                       segment n, create-only, n = 1, 2, ...
//	snapshot/<incarnation>/<n>/<compaction>/<part>  state up to segment n
//
// The segments between two snapshots are bound to one long lease. Revoking it deletes
// them with a single write; deleting them one by one would double the writes of the
// journal. A seal is bound to no lease and stays after the journal was removed, for at
// least TombstoneRetention, so that an owner that resumes later still finds it.
package journal
