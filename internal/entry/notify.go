package entry

import "context"

// notify sends a message that needs no answer on the control connection. It may
// get lost; each caller says what that means.
func (n *Node) notify(ctx context.Context, to, method string, args any) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var reply Empty
	if err := n.peers.call(ctx, to, connControl, method, args, &reply); err == nil {
		n.observe(reply.Header)
	}
}

// accept serves a message that needs no answer: it hands the event to the loop.
func (n *Node) accept(h Header, e event, reply *Empty) error {
	n.observe(h)
	n.post(e)
	reply.Header = n.header()
	return nil
}
