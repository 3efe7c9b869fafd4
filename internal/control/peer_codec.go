package control

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
)

// peerCodec encodes calls to another process as net/rpc does. A panic in the decoding of a reply, which net/rpc would not
// recover, fails the connection instead.
type peerCodec struct {
	n      *Node // nil in tests of single connections
	conn   io.ReadWriteCloser
	dec    *gob.Decoder
	enc    *gob.Encoder
	buffer *bufio.Writer
}

func newPeerCodec(n *Node, conn io.ReadWriteCloser) *peerCodec {
	buffer := bufio.NewWriter(conn)
	return &peerCodec{n: n, conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buffer), buffer: buffer}
}

// WriteRequest implements rpc.ClientCodec.
func (c *peerCodec) WriteRequest(r *rpc.Request, body any) error {
	if args, ok := body.(RelayArgs); ok && args.stale((Clock{}).Now()) {
		return errors.Join(errNotConnected, errPaused)
	}
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *peerCodec) ReadResponseHeader(r *rpc.Response) (err error) {
	defer c.n.recoverCall("peer reply", &err)
	return c.dec.Decode(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *peerCodec) ReadResponseBody(body any) (err error) {
	defer c.n.recoverCall("peer reply", &err)
	return c.dec.Decode(body)
}

// Close implements rpc.ClientCodec.
func (c *peerCodec) Close() error { return c.conn.Close() }
