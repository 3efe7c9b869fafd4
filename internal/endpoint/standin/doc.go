// Package standin holds runners and workers for tests, the demo and the bench.
// They speak the endpoint protocol over HTTP, run synthetic work, and keep a
// log of its effects that is independent of what they answer.
package standin
