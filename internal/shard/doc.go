// Package shard holds the decisions of a shard owner: the queue, the order of
// requests, admission, the at-most-once record, retries and recovery. It
// performs no I/O, starts no goroutines and reads no clock: the time and the
// random source are arguments, so that a run can be replayed from its seed.
// A Table is not safe for concurrent use; one event loop drives it and carries
// out the Effects that its methods return.
//
// What the event loop owes the table:
//
//   - Records go to the journal in their order. When one is durable or can't
//     become durable any more, the method that Record.Callback names is called.
//   - An end of an attempt is repeated until it is in Effects.Acks and all
//     records returned up to then are durable.
//   - Tick is called at the time that Next returns, and at any time before.
//   - After a takeover the order is Own, Replay of every record, Replayed, and
//     RecoveryResult for every pool, with requests accepted meanwhile. A pool
//     that could not be reached is reported again when it can be, or as
//     reachable and empty when every lease of its endpoints has lapsed: until
//     then idempotent requests that may run there stay held.
//   - For a handover the order is Freeze, Export, Import at the new owner, and
//     Drop when the records of the import are durable there. Ends of attempts
//     that come after Export are forwarded.
package shard
