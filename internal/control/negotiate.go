package control

import (
	"context"
	"time"
)

// gobPeriod is how long connections to a peer are opened with gob after it has closed one that
// was opened with CBOR without an answer.
const gobPeriod = time.Minute

// UseCBOR has the client open connections with CBOR. Daemons of earlier builds understand gob only and
// close such a connection; the call is then sent again with gob. So only a client whose requests may
// come twice may use it. It must be called before the first call.
func (c *Client) UseCBOR() { c.prefersCBOR = true }

// encodingFor returns the encoding for a new connection to a peer.
func (c *Client) encodingFor(address string) encoding {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.prefersCBOR || time.Now().Before(c.gobUntil[address]) {
		return encodingGob
	}
	delete(c.gobUntil, address)
	return encodingCBOR
}

// retriesWithGob reports whether a failed call is to be sent again with gob: its connection was
// opened with CBOR and closed by the peer before it said anything.
func (c *Client) retriesWithGob(ctx context.Context, failed sentCall) bool {
	unheard := failed.peer.wire.lastHeard.Load() == 0 && (*failed.peer.wire.stream.Load()).encoding() == encodingCBOR
	if !unheard || ctx.Err() != nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gobUntil[failed.address] = time.Now().Add(gobPeriod)
	return true
}
