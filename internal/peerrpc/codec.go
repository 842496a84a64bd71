package peerrpc

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
)

// serverCodec reads and writes calls like the default codec of net/rpc, but hands over
// one-way messages while it reads them. net/rpc starts a goroutine for each call, and
// these run in any order.
type serverCodec struct {
	conn    net.Conn
	server  *Server
	stream  *stream // of the batches on the connection; nil from VMs of earlier releases
	last    uint64  // sequence of the last batch on the connection
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newServerCodec(conn net.Conn, server *Server) *serverCodec {
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
		conn:    conn,
		server:  server,
		decoder: gob.NewDecoder(conn),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error { return c.decoder.Decode(request) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.decoder.Decode(body); err != nil {
		return err
	}
	if batch, ok := body.(*Batch); ok {
		c.deliver(batch)
	}
	return nil
}

func (c *serverCodec) deliver(b *Batch) {
	if b.Stream != 0 {
		c.stream = c.server.stream(b.Stream)
	}
	if c.stream == nil {
		c.server.Handler.Deliver(b.Messages)
		return
	}
	c.last++
	if b.Sequence != 0 {
		c.last = b.Sequence
	}
	c.stream.deliver(c.conn, c.last, func() { c.server.Handler.Deliver(b.Messages) })
}

// WriteResponse implements rpc.ServerCodec. After a failed write the connection is
// closed, because the peer cannot tell where the next response begins.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
