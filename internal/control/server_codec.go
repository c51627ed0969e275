package control

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/juju/errors"
)

// serverCodec is the server's side of one connection for net/rpc.
type serverCodec struct {
	wire   *wire
	cancel context.CancelFunc
	done   <-chan struct{}
	// slots holds one entry for each call that was read and not yet answered.
	slots chan struct{}

	mutex sync.Mutex
	kinds map[uint64]Kind
}

// ReadRequestHeader waits for a free slot and the next frame.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := c.nextRequest(request); err != nil {
		// The peer has disconnected: cancel the calls that still run for it.
		c.cancel()
		return err
	}
	return nil
}

func (c *serverCodec) nextRequest(request *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return errors.New("connection closed")
	}
	size, err := c.wire.receive(c.wire.limits.IdleTimeout)
	if err != nil {
		return err
	}
	if err := c.wire.decode(request); err != nil {
		return err
	}
	kind := kindOf(request.ServiceMethod)
	c.wire.meter.received(kind, size)
	c.mutex.Lock()
	c.kinds[request.Seq] = kind
	c.mutex.Unlock()
	return nil
}

// ReadRequestBody decodes the request after the header. If body is nil, it skips the request.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.wire.decode(body)
}

// WriteResponse sends a reply and frees the call's slot. net/rpc calls it
// under a lock.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	c.mutex.Lock()
	kind := c.kinds[response.Seq]
	delete(c.kinds, response.Seq)
	c.mutex.Unlock()
	defer func() { <-c.slots }()
	return c.wire.send(kind, response, body)
}

// Close ends the connection.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.wire.connection.Close()
}
