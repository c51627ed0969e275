package control

import (
	"context"
	"net/rpc"
	"time"
)

// Hedge configures hedged calls: if nothing is received on a connection for some time while a call
// waits for its reply, the call is sent again over a new connection. It must be used only if all
// requests of the client are idempotent.
type Hedge struct {
	// After returns the time without received data after which a call is sent again.
	After func() time.Duration
	// OnDead is called when a connection is found to be dead although it was not reset: a reply
	// arrived over a new connection and none over the old one. It must not block.
	OnDead func(address string, opened time.Time)
}

// lateAnswer is the time after the reply over a new connection within which a reply over the old one
// shows that the old connection is alive: a peer that was paused answers both at once.
const lateAnswer = 100 * time.Millisecond

// HedgeCalls enables hedged calls. It must be called before the first call.
func (c *Client) HedgeCalls(hedge Hedge) { c.hedge = hedge }

// sentCall is a request that was sent over a connection.
type sentCall struct {
	address string
	peer    *link
	call    *rpc.Call
	began   time.Time
}

func send(address string, peer *link, body any) sentCall {
	method, reply := methodFor(body)
	began := time.Now()
	return sentCall{
		address: address, peer: peer, began: began,
		call: peer.rpc.Go(method, body, reply, make(chan *rpc.Call, 1)),
	}
}

// silent reports whether nothing has been received on the connection since the request was sent.
func (s sentCall) silent() bool { return s.peer.wire.lastHeard.Load() <= s.began.UnixNano() }

// await waits for the reply.
func (c *Client) await(ctx context.Context, sent sentCall) (any, error) {
	select {
	case <-sent.call.Done:
		return c.finish(sent)
	case <-ctx.Done():
		c.dropSilent(sent)
		return nil, ctx.Err()
	}
}

// finish returns the result of a completed call.
func (c *Client) finish(sent sentCall) (any, error) {
	if sent.call.Error != nil {
		c.dropBroken(sent.address, sent.peer, sent.call.Error)
		return nil, sent.call.Error
	}
	return sent.call.Reply, nil
}

// awaitHedged waits for the reply and sends the call again if Hedge requires it.
func (c *Client) awaitHedged(ctx context.Context, first sentCall, body any) (any, error) {
	silence := time.NewTimer(c.hedge.After())
	defer silence.Stop()
	select {
	case <-first.call.Done:
		return c.finish(first)
	case <-ctx.Done():
		c.dropSilent(first)
		return nil, ctx.Err()
	case <-silence.C:
	}
	fresh := c.openFresh(first.address)
	if fresh == nil {
		return c.await(ctx, first)
	}
	select {
	case <-fresh.ready:
	case <-first.call.Done:
		c.discard(fresh)
		return c.finish(first)
	case <-ctx.Done():
		c.discard(fresh)
		c.dropSilent(first)
		return nil, ctx.Err()
	}
	if fresh.err != nil {
		return c.await(ctx, first)
	}
	return c.awaitEither(ctx, first, send(first.address, fresh, body))
}

// awaitEither waits for the first reply to either attempt. The second attempt has a connection of its
// own.
func (c *Client) awaitEither(ctx context.Context, first, second sentCall) (any, error) {
	select {
	case <-first.call.Done:
		c.discard(second.peer)
		return c.finish(first)
	case <-second.call.Done:
		if second.call.Error != nil {
			c.discard(second.peer)
			return c.await(ctx, first)
		}
		c.judge(first, second.peer)
		return second.call.Reply, nil
	case <-ctx.Done():
		c.discard(second.peer)
		c.dropSilent(first)
		return nil, ctx.Err()
	}
}

// openFresh opens a connection that is not shared with other calls. It returns nil if the client is
// closed.
func (c *Client) openFresh(address string) *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil {
		return nil
	}
	fresh := &link{ready: make(chan struct{}), lastUsed: time.Now()}
	c.running.Add(1)
	go c.connect(address, fresh)
	return fresh
}

// discard closes a connection that is not shared with other calls.
func (c *Client) discard(fresh *link) {
	c.running.Go(func() {
		<-fresh.ready
		fresh.close()
	})
}

// judge decides, after a reply over a new connection, whether the old connection of the call is dead,
// and replaces it if so.
func (c *Client) judge(first sentCall, fresh *link) {
	c.running.Go(func() {
		late := time.NewTimer(lateAnswer)
		defer late.Stop()
		select {
		case <-late.C:
		case <-c.ctx.Done():
		}
		if !first.silent() || !c.replace(first.address, first.peer, fresh) {
			fresh.close()
			return
		}
		first.peer.close()
		c.hedge.OnDead(first.address, first.peer.opened)
	})
}

// replace replaces a dead connection by a new one, unless it has been replaced
// already.
func (c *Client) replace(address string, dead, fresh *link) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil || c.peers[address] != dead {
		return false
	}
	c.peers[address] = fresh
	return true
}

// DropOpenedBefore has no more calls made over connections that were opened before a time. Those
// without a call under way are closed.
func (c *Client) DropOpenedBefore(bound time.Time) {
	for _, peer := range c.takeOpenedBefore(bound) {
		peer.close()
	}
}

// takeOpenedBefore removes the connections that were opened before a time, and returns those
// without a call under way.
func (c *Client) takeOpenedBefore(bound time.Time) []*link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var idle []*link
	for address, peer := range c.peers {
		if !peer.isOpen() || !peer.opened.Before(bound) {
			continue
		}
		delete(c.peers, address)
		peer.retired = true
		if peer.calls == 0 {
			idle = append(idle, peer)
		}
	}
	return idle
}
