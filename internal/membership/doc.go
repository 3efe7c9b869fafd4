// Package membership maintains the lease of this process and the view of the cell: the
// agreed set of members that determines the ownership of shards and pools.
package membership
