// Package e2e tests whole cells of separate processes under failure. It has
// tests only.
package e2e
