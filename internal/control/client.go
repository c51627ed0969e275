package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// Client calls other daemons. It keeps one connection to each peer.
type Client struct {
	secure *tls.Config
	limits Limits
	meter  *Meter
	// hedge configures hedged calls; if After is nil, calls are not hedged.
	hedge Hedge
	// prefersCBOR is set if connections are opened with CBOR, except to the peers in gobUntil,
	// which have not understood it; guarded by mutex.
	prefersCBOR bool
	gobUntil    map[string]time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex sync.Mutex
	peers map[string]*link
}

// link is a connection to one peer that may still be being established.
type link struct {
	ready chan struct{}
	rpc   *rpc.Client
	wire  *wire
	err   error
	// opened is when the connection was made; written before ready is closed.
	opened time.Time
	// calls, lastUsed and retired are guarded by the client's mutex.
	calls    int
	lastUsed time.Time
	// retired is set when no more calls use the link; the last one to end closes it.
	retired bool
}

// isOpen reports whether the connection has been established.
func (l *link) isOpen() bool {
	select {
	case <-l.ready:
		return l.err == nil
	default:
		return false
	}
}

// NewClient returns a client. secure configures mutual TLS; with nil, connections are not encrypted.
func NewClient(secure *tls.Config, limits Limits, meter *Meter) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{
		secure: secure,
		limits: limits,
		meter:  meter,
		ctx:    ctx,
		cancel: cancel,
		peers:  make(map[string]*link),

		gobUntil: make(map[string]time.Time),
	}
	client.running.Add(1)
	go client.closeIdle()
	return client
}

// Call sends a request and waits for its reply. body is a pointer to a
// protocol request; the answer is a pointer to the matching reply. After an
// error the call may have had its effect, unless Sent(err) is false.
func (c *Client) Call(ctx context.Context, address string, body any) (any, error) {
	if method, _ := methodFor(body); method == "" {
		return nil, notSent{result.New(result.Internal, "%T is not a request", body)}
	}
	answer, sent, err := c.callOnce(ctx, address, body)
	if err != nil && sent.peer != nil && c.retriesWithGob(ctx, sent) {
		answer, _, err = c.callOnce(ctx, address, body)
	}
	return answer, err
}

// callOnce sends a request over the connection to a peer. The zero sentCall means that it was not
// sent.
func (c *Client) callOnce(ctx context.Context, address string, body any) (any, sentCall, error) {
	peer, err := c.acquire(ctx, address)
	if err != nil {
		return nil, sentCall{}, notSent{err}
	}
	defer c.release(peer)
	sent := send(address, peer, body)
	if c.hedge.After == nil {
		answer, err := c.await(ctx, sent)
		return answer, sent, err
	}
	answer, err := c.awaitHedged(ctx, sent, body)
	return answer, sent, err
}

// notSent marks the errors of calls of which nothing was sent.
type notSent struct{ error }

func (e notSent) Unwrap() error { return e.error }

// Sent reports whether a failed call may have reached the peer.
func Sent(err error) bool {
	var unsent notSent
	return !errors.As(err, &unsent)
}

// Close closes all connections and waits for the client's goroutines. Running calls fail.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	links := c.peers
	c.peers = make(map[string]*link)
	c.mutex.Unlock()
	for _, peer := range links {
		<-peer.ready
		peer.close()
	}
	c.running.Wait()
}

func (l *link) close() {
	if l.rpc != nil {
		l.rpc.Close()
	}
}

// acquire returns the connection to a peer and opens one if there is none.
func (c *Client) acquire(ctx context.Context, address string) (*link, error) {
	c.mutex.Lock()
	if c.ctx.Err() != nil {
		c.mutex.Unlock()
		return nil, errors.New("control client is closed")
	}
	peer, found := c.peers[address]
	if !found {
		peer = &link{ready: make(chan struct{})}
		c.peers[address] = peer
		c.running.Add(1)
		go c.connect(address, peer)
	}
	peer.calls++
	peer.lastUsed = time.Now()
	c.mutex.Unlock()
	select {
	case <-peer.ready:
	case <-ctx.Done():
		c.release(peer)
		return nil, ctx.Err()
	}
	if peer.err != nil {
		c.release(peer)
		return nil, peer.err
	}
	return peer, nil
}

func (c *Client) release(peer *link) {
	c.mutex.Lock()
	peer.calls--
	peer.lastUsed = time.Now()
	ended := peer.retired && peer.calls == 0
	c.mutex.Unlock()
	if ended {
		peer.close()
	}
}

// connect opens the connection that link represents.
func (c *Client) connect(address string, peer *link) {
	defer c.running.Done()
	defer close(peer.ready)
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.DialTimeout)
	defer cancel()
	connection, err := c.dial(ctx, address)
	if err != nil {
		peer.err = err
		c.forget(address, peer)
		return
	}
	peer.opened = time.Now()
	peer.wire = newWire(connection, c.limits, c.limits.ReplyBytes, c.meter, c.encodingFor(address))
	codec := &clientCodec{wire: peer.wire, kinds: make(map[uint64]Kind)}
	peer.rpc = rpc.NewClientWithCodec(codec)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || c.secure == nil {
		return raw, err
	}
	connection := tls.Client(raw, c.secureFor(address))
	if err := connection.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return connection, nil
}

// secureFor returns the TLS configuration for a peer. Its certificate is verified against its IP
// address if the configuration states no server name.
func (c *Client) secureFor(address string) *tls.Config {
	if c.secure.ServerName != "" {
		return c.secure
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return c.secure
	}
	config := c.secure.Clone()
	config.ServerName = host
	return config
}

// dropBroken closes a connection after an error that the peer did not return itself, so that the
// next call opens a new one.
func (c *Client) dropBroken(address string, peer *link, err error) {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return
	}
	c.forget(address, peer)
	peer.close()
}

// dropSilent closes the connection of a call that timed out if nothing was received on it since the
// call was sent: the peer does not respond, and further calls on the connection would accumulate.
func (c *Client) dropSilent(sent sentCall) {
	if !sent.silent() {
		return
	}
	c.forget(sent.address, sent.peer)
	sent.peer.close()
}

func (c *Client) forget(address string, peer *link) {
	c.mutex.Lock()
	if c.peers[address] == peer {
		delete(c.peers, address)
	}
	c.mutex.Unlock()
}

// closeIdle closes the connections that no call has used for Limits.UnusedTimeout.
func (c *Client) closeIdle() {
	defer c.running.Done()
	ticker := time.NewTicker(c.limits.UnusedTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, peer := range c.takeIdle() {
			peer.close()
		}
	}
}

// takeIdle removes and returns the idle connections.
func (c *Client) takeIdle() []*link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var idle []*link
	for address, peer := range c.peers {
		if peer.calls > 0 || time.Since(peer.lastUsed) < c.limits.UnusedTimeout {
			continue
		}
		delete(c.peers, address)
		idle = append(idle, peer)
	}
	return idle
}
