package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
	"github.com/agateyard/agateyard/internal/timeline"
)

// operatorTimeout limits the query to one process, so that an unreachable one
// does not delay the status of the others.
const operatorTimeout = time.Second

// NodeStatus is the status of one process.
type NodeStatus struct {
	Member         gateway.MemberStatus
	Pools          []gateway.PoolStatus
	Templates      []gateway.TemplateStatus
	StoreReachable bool
}

// nodeStatusRequest requests the status of this process from the loop.
type nodeStatusRequest struct {
	result chan<- NodeStatus
}

func (e nodeStatusRequest) apply(l *loop) {
	l.refreshSummaries()
	s := NodeStatus{StoreReachable: l.storeReachable}
	s.Member = gateway.MemberStatus{
		Incarnation:    l.n.self.Incarnation,
		Name:           l.n.cfg.Settings.Name,
		Zone:           l.n.self.Zone,
		HTTPAddress:    l.n.self.HTTPAddress,
		Reachable:      true,
		View:           l.view.Number,
		StoreReachable: l.storeReachable,
		Shards:         len(l.takeover.held),
		Pools:          len(l.pools),
	}
	for _, id := range slices.Sorted(maps.Keys(l.pools)) {
		sum := l.summaries[id]
		s.Pools = append(s.Pools, gateway.PoolStatus{
			Pool: id, Owner: sum.Owner, Total: sum.Total, Free: sum.Free, Waiting: sum.Waiting, Endpoints: sum.Endpoint,
		})
	}
	s.Templates = templateStatus(l)
	for _, t := range s.Templates {
		s.Member.Queued += t.Queued
		s.Member.Running += t.Running
	}
	e.result <- s
}

// templateStatus counts the requests of the local shards by template.
func templateStatus(l *loop) []gateway.TemplateStatus {
	now := l.now()
	var out []gateway.TemplateStatus
	for _, c := range l.table.Counts() {
		t := gateway.TemplateStatus{Template: c.Template, Queued: c.Queued, Running: c.Running}
		if !c.Oldest.IsZero() {
			t.OldestWaitMS = now.Sub(c.Oldest).Milliseconds()
		}
		out = append(out, t)
	}
	return out
}

// status returns the status of this process.
func (n *Node) status(ctx context.Context) (NodeStatus, error) {
	s, err := postAndWait(ctx, n, func(r chan<- NodeStatus) event { return nodeStatusRequest{result: r} })
	s.Member.Revisions = n.config.Revisions()
	s.Member.Ready = n.Ready() == nil
	return s, err
}

// statusAt queries the status of one member.
func (n *Node) statusAt(ctx context.Context, m model.Member) NodeStatus {
	if m.Incarnation == n.self.Incarnation {
		s, _ := n.status(ctx)
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var reply NodeStatusReply
	err := n.peers.call(ctx, m.Incarnation, connControl, "Operator.Status", Empty{Header: n.header()}, &reply)
	if err != nil {
		return NodeStatus{Member: gateway.MemberStatus{Incarnation: m.Incarnation, Zone: m.Zone, HTTPAddress: m.HTTPAddress}}
	}
	n.observe(reply.Header)
	return reply.Status
}

// Cell returns the status of the cell, without details of members that can't be
// reached.
func (n *Node) Cell(ctx context.Context) gateway.CellStatus {
	v := n.currentView()
	all := queryMembers(v, func(m model.Member) NodeStatus { return n.statusAt(ctx, m) })
	cell := gateway.CellStatus{
		At: time.Now(), Process: n.cfg.Settings.Name, Incarnation: n.self.Incarnation, View: v.Number,
	}
	byTemplate := make(map[model.TemplateID]gateway.TemplateStatus)
	for _, s := range all {
		cell.Members = append(cell.Members, s.Member)
		cell.Pools = append(cell.Pools, s.Pools...)
		if s.Member.Incarnation == n.self.Incarnation {
			cell.StoreReachable = s.StoreReachable
		}
		for _, t := range s.Templates {
			sum := byTemplate[t.Template]
			sum.Template = t.Template
			sum.Queued += t.Queued
			sum.Running += t.Running
			sum.OldestWaitMS = max(sum.OldestWaitMS, t.OldestWaitMS)
			byTemplate[t.Template] = sum
		}
	}
	for _, t := range byTemplate {
		t.Paused = n.config.Paused(t.Template)
		cell.Templates = append(cell.Templates, t)
	}
	slices.SortFunc(cell.Templates, func(a, b gateway.TemplateStatus) int { return compareText(a.Template.String(), b.Template.String()) })
	slices.SortFunc(cell.Pools, func(a, b gateway.PoolStatus) int { return compareText(string(a.Pool), string(b.Pool)) })
	return cell
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// queryMembers calls query for all members concurrently and returns the results in
// the order of the view.
func queryMembers[T any](v model.View, query func(model.Member) T) []T {
	out := make([]T, len(v.Members))
	var wg sync.WaitGroup
	for i, m := range v.Members {
		wg.Go(func() { out[i] = query(m) })
	}
	wg.Wait()
	return out
}

// Jobs returns the requests that match the filter, from all reachable members.
func (n *Node) Jobs(ctx context.Context, f gateway.JobFilter) ([]model.JobStatus, error) {
	filter := shard.Filter{Workspace: f.Workspace, Template: f.Template, State: f.State, Limit: f.Limit}
	lists := queryMembers(n.currentView(), func(m model.Member) []model.JobStatus {
		if m.Incarnation == n.self.Incarnation {
			jobs, _ := postAndWait(ctx, n, func(r chan<- []model.JobStatus) event { return jobsRequest{filter: filter, result: r} })
			return jobs
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		var reply JobsReply
		if n.peers.call(ctx, m.Incarnation, connControl, "Operator.Jobs", JobsArgs{Header: n.header(), Filter: filter}, &reply) != nil {
			return nil
		}
		return reply.Jobs
	})
	jobs := slices.Concat(lists...)
	slices.SortFunc(jobs, func(a, b model.JobStatus) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	if f.Limit > 0 && len(jobs) > f.Limit {
		jobs = jobs[:f.Limit]
	}
	return jobs, nil
}

// Events returns the merged timeline of one request, or of all requests if
// request is empty.
func (n *Node) Events(ctx context.Context, request string) ([]timeline.Event, error) {
	lists := queryMembers(n.currentView(), func(m model.Member) []timeline.Event {
		if m.Incarnation == n.self.Incarnation {
			return n.recorder.Events(request)
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		var reply EventsReply
		if n.peers.call(ctx, m.Incarnation, connControl, "Operator.Events", EventsArgs{Header: n.header(), Request: request}, &reply) != nil {
			return nil
		}
		return reply.Events
	})
	return timeline.Merge(lists...), nil
}
