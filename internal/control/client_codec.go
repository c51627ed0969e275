package control

import (
	"net/rpc"
	"sync"
)

// clientCodec is the client's side of one connection for net/rpc.
type clientCodec struct {
	wire *wire

	mutex sync.Mutex
	kinds map[uint64]Kind
}

// WriteRequest sends a request. net/rpc calls it under a lock.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	kind := kindOf(request.ServiceMethod)
	c.mutex.Lock()
	c.kinds[request.Seq] = kind
	c.mutex.Unlock()
	return c.wire.send(kind, request, body)
}

// ReadResponseHeader waits for the next reply.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	size, err := c.wire.receive(0)
	if err != nil {
		return err
	}
	if err := c.wire.decode(response); err != nil {
		return err
	}
	c.mutex.Lock()
	kind, found := c.kinds[response.Seq]
	delete(c.kinds, response.Seq)
	c.mutex.Unlock()
	if !found {
		kind = KindUnknown
	}
	c.wire.meter.received(kind, size)
	return nil
}

// ReadResponseBody decodes the reply after the header. If body is nil, it skips the reply.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.wire.decode(body)
}

// Close ends the connection.
func (c *clientCodec) Close() error { return c.wire.connection.Close() }
