package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
	"github.com/agateyard/agateyard/internal/timeline"
)

// PeerService serves the RPCs that all entry processes use between each other.
type PeerService struct{ n *Node }

// Gossip handles a gossip message from a peer.
func (s *PeerService) Gossip(args GossipArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Peer.Gossip", &failure)
	s.n.observe(args.Header)
	s.n.post(gossipReceived{args: args})
	s.n.start("Peer.Documents", func() { s.n.fetchDocuments(s.n.ctx, args.From, args.Revisions) })
	reply.Header = s.n.header()
	return nil
}

// View returns the newest view that this process knows.
func (s *PeerService) View(_ Empty, reply *ViewReply) (failure error) {
	defer s.n.recoverCall("Peer.View", &failure)
	reply.Header, reply.View = s.n.header(), s.n.currentView()
	return nil
}

// FindArgs requests the address of a process that may have left the view.
type FindArgs struct {
	Header
	Incarnation string
}

// FindReply is the reply to FindArgs. The address is empty if it is unknown.
type FindReply struct {
	Header
	Address string
}

// Find returns the address of a process.
func (s *PeerService) Find(args FindArgs, reply *FindReply) (failure error) {
	defer s.n.recoverCall("Peer.Find", &failure)
	s.n.observe(args.Header)
	if p, ok := s.n.peers.get(args.Incarnation); ok {
		reply.Address = p.address
	}
	reply.Header = s.n.header()
	return nil
}

// locate makes sure that the address of a process is known. If the process left
// the view before this one joined, only older members know its address.
func (n *Node) locate(ctx context.Context, incarnation string) error {
	if _, ok := n.peers.get(incarnation); ok {
		return nil
	}
	for _, m := range n.currentView().Members {
		if m.Incarnation == n.self.Incarnation {
			continue
		}
		var reply FindReply
		args := FindArgs{Header: n.header(), Incarnation: incarnation}
		if err := n.peers.call(ctx, m.Incarnation, connControl, "Peer.Find", args, &reply); err != nil {
			continue
		}
		if reply.Address != "" {
			n.peers.add(incarnation, reply.Address)
			return nil
		}
	}
	return errNotSent
}

// Documents returns configuration documents.
func (s *PeerService) Documents(args DocumentsArgs, reply *DocumentsReply) (failure error) {
	defer s.n.recoverCall("Peer.Documents", &failure)
	s.n.observe(args.Header)
	reply.Header, reply.Documents = s.n.header(), s.n.config.Docs(args.Names...)
	return nil
}

// OperatorService serves the operator queries that go to all processes.
type OperatorService struct{ n *Node }

// EventsArgs requests the timeline of a request, or of all requests if it is empty.
type EventsArgs struct {
	Header
	Request string
}

// EventsReply is the reply to EventsArgs.
type EventsReply struct {
	Header
	Events []timeline.Event
}

// Events returns the recorded events.
func (s *OperatorService) Events(args EventsArgs, reply *EventsReply) (failure error) {
	defer s.n.recoverCall("Operator.Events", &failure)
	s.n.observe(args.Header)
	reply.Events = s.n.recorder.Events(args.Request)
	reply.Header = s.n.header()
	return nil
}

// JobsArgs queries the requests of the shards of a process.
type JobsArgs struct {
	Header
	Filter shard.Filter
}

// JobsReply is the reply to JobsArgs.
type JobsReply struct {
	Header
	Jobs []model.JobStatus
}

// Jobs returns the requests that match the filter.
func (s *OperatorService) Jobs(args JobsArgs, reply *JobsReply) (failure error) {
	defer s.n.recoverCall("Operator.Jobs", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	jobs, err := postAndWait(ctx, s.n, func(r chan<- []model.JobStatus) event { return jobsRequest{filter: args.Filter, result: r} })
	reply.Header, reply.Jobs = s.n.header(), jobs
	return err
}

// NodeStatusReply carries the status of a process.
type NodeStatusReply struct {
	Header
	Status NodeStatus
}

// Status returns the status of the process.
func (s *OperatorService) Status(args Empty, reply *NodeStatusReply) (failure error) {
	defer s.n.recoverCall("Operator.Status", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	status, err := s.n.status(ctx)
	reply.Header, reply.Status = s.n.header(), status
	return err
}
