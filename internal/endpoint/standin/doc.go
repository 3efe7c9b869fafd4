// Package standin simulates runners and workers for tests, the demo and the
// benchmarks. They implement the endpoint protocol over HTTP, run synthetic work
// and record its effects in a log that is independent of their replies.
package standin
