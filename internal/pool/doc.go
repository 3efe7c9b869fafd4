// Package pool decides for one pool of endpoints: capacity accounts, grants,
// shares, placement, gangs and the settlement of attempts. It performs no
// I/O, starts no goroutine and reads no clock; time and the random source are
// arguments. A Pool is not safe for concurrent use: one event loop drives it.
//
// # Contract of the event loop
//
//   - Session calls: every 2 s per endpoint of Endpoints, and at once for those
//     in Effects.Poll, send what NextSession returns. Each call ends in Report,
//     with the time at which it was sent, or SessionFailed.
//   - Starts: send the orders of Begin at once. Each call ends in Finished.
//     Calls have a timeout, so that none hangs for ever.
//   - Ends: deliver Effects.Settled, to the shard owner in To or, when that is
//     empty or gone, to the owner of the attempt's shard. Call Delivered once
//     the receiver has confirmed. Undelivered ends stay at the endpoint, where a
//     successor of this owner finds them.
//   - Time: call Tick every 100 ms, and Schedule after every change of demand
//     or capacity.
//   - Effects.Superseded: another process owns the pool. Drop the Pool and end
//     the open dispatches as lost.
//
// # Accounts
//
// Capacity is charged from the grant until the end of the attempt is certain:
// an answer, a definite refusal, the endpoint's record of the end, a report
// that proves that the attempt is over, or a lapsed lease plus a margin. A
// report proves it only if its session call was sent after the start call
// ended and, for a start that was lost, after the start limit.
//
// An attempt that is over without a record is told as not started only if the
// same instance of the endpoint never listed it and can't start it any more;
// otherwise as unknown.
//
// # Limits
//
// In the first pass of Schedule each template stays within its flood share and
// leaves free what is reserved for others. A template that holds nothing may
// have one grant where rounding would leave it none. In the second pass a
// template may exceed its share if its work can be stopped (idempotent tasks on
// workers) or is short (95% of runs up to 500 ms and one end expected every
// 10 ms), and if what stays free covers, for every other template, the greater
// of its reserve and its use of late. Use of late fades with 10 s and counts up
// to the other template's own share.
//
// # Waiting urgent work
//
// On workers, work that found no room for 100 ms has endpoints kept for it, and
// as few less urgent idempotent tasks as needed are throttled, checkpointed
// after 300 ms and stopped after 800 ms. Work that smaller work of its own
// urgency passes by for 1 s has an endpoint kept for it, one class at a time.
package pool
