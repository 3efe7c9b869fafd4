package entry

import "context"

// notify sends a one-way message on the control connection. Errors are ignored;
// each caller documents the effect of a lost message.
func (n *Node) notify(ctx context.Context, to, method string, args any) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var reply Empty
	if err := n.peers.call(ctx, to, connControl, method, args, &reply); err == nil {
		n.observe(reply.Header)
	}
}

// acceptNotification handles a one-way message: it posts the event to the loop.
func (n *Node) acceptNotification(h Header, e event, reply *Empty) error {
	n.observe(h)
	n.post(e)
	reply.Header = n.header()
	return nil
}
