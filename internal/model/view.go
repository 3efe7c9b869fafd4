package model

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one live entry process.
type Member struct {
	Incarnation string `json:"incarnation"` // changes at every process start
	Zone        string `json:"zone"`
	RPCAddress  string `json:"rpc_address"`  // ip:port for other entry processes
	HTTPAddress string `json:"http_address"` // ip:port for callers and operators
}

// View is the agreed set of members. It determines the owners of all shards and pools.
type View struct {
	Number       uint64   `json:"number"`
	Members      []Member `json:"members"`                // ordered by incarnation
	Predecessors []string `json:"predecessors,omitempty"` // dead incarnations whose journals have not been taken over yet
	Leaving      []string `json:"leaving,omitempty"`      // incarnations that are leaving gracefully and are still handing over
	Change       string   `json:"change"`                 // unique identifier of the write
}

// Find returns the member with the incarnation.
func (v View) Find(incarnation string) (Member, bool) {
	for _, m := range v.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Has reports whether the incarnation is a member or is still handing over.
func (v View) Has(incarnation string) bool {
	_, member := v.Find(incarnation)
	return member || slices.Contains(v.Leaving, incarnation)
}

// ShardOwner returns the incarnation that owns the shard, or "" in an empty view.
func (v View) ShardOwner(s ShardID) string {
	return v.highest("shard", string([]byte{byte(s >> 8), byte(s)}), "")
}

// PoolOwner returns the incarnation that owns the pool: a member of the pool's zone if there
// is one, otherwise any member; "" in an empty view.
func (v View) PoolOwner(p PoolID) string {
	if owner := v.highest("pool", string(p), p.Zone()); owner != "" {
		return owner
	}
	return v.highest("pool", string(p), "")
}

// highest selects a member by rendezvous hashing, among those of a zone if one is given.
func (v View) highest(kind, item, zone string) string {
	var best string
	var bestHash uint64
	for _, m := range v.Members {
		if zone != "" && m.Zone != zone {
			continue
		}
		h := xxhash.Sum64String(kind + "\x00" + item + "\x00" + m.Incarnation)
		if best == "" || h > bestHash || (h == bestHash && m.Incarnation < best) {
			best, bestHash = m.Incarnation, h
		}
	}
	return best
}
