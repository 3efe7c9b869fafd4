// Package shard implements the decisions of a shard owner: queueing, the ordering of requests,
// admission control, at-most-once records, retries and recovery. It performs no I/O, starts no
// goroutines and reads no clock: the time and the random source are passed as arguments, so
// that a run can be replayed from its seed. A Table is not safe for concurrent use; a single
// event loop drives it and carries out the Effects that its methods return.
//
// The event loop must follow these rules:
//
//   - Append records to the journal in order. When a record is durable, or can no longer
//     become durable, call the method named by Record.Callback.
//   - Redeliver the completion of an attempt until the attempt is in Effects.Acks and all
//     records returned up to then are durable.
//   - Call Tick at the time that Next returns; earlier calls are allowed.
//   - After a takeover, call Own, then Replay for every record, then Replayed, then
//     RecoveryResult for every pool. Requests are accepted meanwhile. A pool that could
//     not be reached is reported again once it is reachable, or as reachable and empty
//     once every lease of its endpoints has expired; until then idempotent requests that
//     may be running there stay held.
//   - For a handover, call Freeze and Export, then Import at the new owner, then Drop
//     once the records of the import are durable there. Forward completions of
//     attempts that arrive after Export.
package shard
