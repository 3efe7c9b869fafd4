// Package membership keeps the lease of this process and the view of the cell:
// the agreed set of members from which all ownership follows.
package membership
