// Package model holds the types that the parts of agateyard share: templates,
// requests, resources, pools, grants and outcomes. It performs no I/O.
package model
