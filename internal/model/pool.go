package model

import (
	"strings"
	"time"
)

// PoolID names a pool: "runner/<service>/<zone>" or "worker/<zone>/<rack>".
type PoolID string

// RunnerPool returns the pool of the runners of a service in a zone.
func RunnerPool(service, zone string) PoolID { return PoolID("runner/" + service + "/" + zone) }

// WorkerPool returns the pool of the workers of a rack.
func WorkerPool(zone, rack string) PoolID { return PoolID("worker/" + zone + "/" + rack) }

// Zone returns the availability zone of the pool.
func (p PoolID) Zone() string {
	parts := strings.Split(string(p), "/")
	if len(parts) != 3 {
		return ""
	}
	if parts[0] == "runner" {
		return parts[2]
	}
	return parts[1]
}

// Demand is the ready work of one template and task size at one shard owner.
type Demand struct {
	Template  TemplateID
	Resources Resources // of one task
	Tasks     int       // tasks that one grant must cover: all tasks of a gang, else 1
	Count     int       // units to start (see shard.Table.Demand): all that are ready, or the part requested from one pool
	Retried   int       // of Count, for retries that avoid the endpoints on which they failed
	Oldest    time.Time // arrival of the oldest unit
}

// Grant allows a shard owner to start tasks on endpoints of one pool.
type Grant struct {
	ID        uint64 // unique per incarnation of the pool owner
	Pool      PoolID
	Owner     string // incarnation of the pool owner
	Template  TemplateID
	Resources Resources // of one task
	Endpoints []string  // endpoint of each task; one entry unless it covers a gang
	Instances []string  // instance of each endpoint when the grant was issued
	Hold      bool      // part of a gang that spans pools
	TTL       time.Duration
}

// PoolSummary is the state of a pool as distributed by gossip.
type PoolSummary struct {
	Pool     PoolID
	Owner    string // incarnation of the pool owner
	Version  uint64 // increases with each change by the same owner
	Total    Resources
	Free     Resources
	Largest  Resources // largest free amount on one endpoint, per field
	Biggest  Resources // largest total of one endpoint, per field
	Waiting  int       // tasks in demand that wait for a grant
	Endpoint int       // schedulable endpoints
}
