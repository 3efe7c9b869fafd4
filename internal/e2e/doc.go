// Package e2e contains end-to-end tests: they run cells of separate processes and
// inject failures.
package e2e
