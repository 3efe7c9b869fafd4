// Package model defines the types that the packages of agateyard share: templates, requests,
// resources, pools, grants and outcomes. It performs no I/O.
package model
