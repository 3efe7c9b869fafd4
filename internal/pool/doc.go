// Package pool schedules work on one pool of endpoints: it accounts for
// capacity, issues grants, enforces shares, places tasks and gangs, preempts,
// and settles attempts. It performs no I/O, starts no goroutine and reads no
// clock; time and the random source are arguments. A Pool is not safe for
// concurrent use: one event loop drives it.
//
// # Terms
//
//   - A grant permits a shard owner to start one task, or all tasks of a gang, on
//     the endpoints that the grant names. A grant of Hold covers one part of a gang.
//   - An attempt is one start of a task on an endpoint.
//   - An attempt is settled once its completion is certain and recorded: ended,
//     not started, or unknown.
//   - Capacity of an endpoint is charged while it is allocated to a grant or an
//     attempt.
//
// # Contract of the event loop
//
//   - Session calls: about every endpoint.SessionInterval or more often for each
//     endpoint in Endpoints, and immediately for those in Effects.Poll, send what
//     NextSession returns. Each call ends in HandleSessionReply, with the time at
//     which the call was sent, or in HandleSessionFailure.
//   - Starts: send the commands of StartAttempts immediately. Each call ends in
//     HandleStartResult. Calls need a timeout, so that none blocks forever.
//   - Settled attempts: deliver Effects.Settled to the shard owner in To or, if To
//     is empty or that process has left, to the owner of the attempt's shard. Call
//     MarkDelivered once the receiver has confirmed. The record of an undelivered
//     end is not acknowledged to the endpoint before Config.RecordRetention, so that the
//     next pool owner finds it there.
//   - Time: call Tick at least every 100 ms, and Schedule after every change of
//     demand or capacity.
//   - Effects.Superseded: another process owns the pool. Fetch the latest view and
//     discard the Pool once the view names the new owner.
//
// # Capacity accounting
//
// Capacity is charged from the grant until it is certain that the attempt is over:
// an answer, a definite refusal, the endpoint's record of the end, a session
// reply that proves that the attempt is over, or an expired lease plus a margin.
// A reply proves it only if its session call was sent after the start call
// ended and, for a start whose outcome is unknown, after the start deadline plus
// Config.StartMargin.
//
// An attempt that is over without a record is settled as not started only if
// the same instance of the endpoint neither accepted nor listed it and can't start
// it any more; otherwise as unknown.
//
// # Limits
//
// In the first pass of Schedule each template stays within its flood share and
// leaves free what is reserved for other templates. A template that holds nothing
// may have one grant even where rounding would leave it none.
//
// In the second pass a template may borrow beyond its share if its work can be
// stopped (idempotent tasks on workers) or is short (95% of runs up to 500 ms and
// one run expected to end every 10 ms), and if the capacity that stays free
// covers, for every other template, the greater of its unused reserve and its
// recent use beyond what it holds now. Recent use decays with a time constant of
// 10 s and is capped at the other template's own flood share.
//
// # Preemption
//
// On workers, endpoints are reserved for work that could not be placed for
// 100 ms, and as few less urgent idempotent tasks as needed are throttled. They
// are checkpointed 200 ms after they were throttled and stopped 500 ms after that.
//
// Work that has waited for 1 s and can't be placed by preemption, for example
// because smaller work of the same urgency takes the free capacity, has endpoints
// reserved for one grant. This is done for one class of demand at a time.
package pool
