// Package load sends open-loop load from a scenario file to entry processes,
// measures latency from the intended send time, verifies every answer, and
// checks the effect logs of the endpoints against the outcomes that callers
// received.
package load
