package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxContinueWait is how long a large body waits for the gate's status 100 (Continue). The
	// deadline of the call ends the wait earlier.
	maxContinueWait = time.Hour
	// maxSpareAge is how long a spare connection may wait for its first call. It is reduced to
	// half of Limits.HeaderTimeout if that is shorter, since the other side closes connections
	// on which no request arrives.
	maxSpareAge = 4 * time.Second
	// maxSpares limits the spare connections to one address.
	maxSpares = 8
)

// keepAliveConfig detects connections to machines that are without power or unreachable, so
// that no call is sent on such a connection after the machine has returned.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// upstream manages the connections to one address, that of a gate or of the back end.
type upstream struct {
	address string
	// cancelLinger is the value of guardedConn.linger for the connections.
	cancelLinger time.Duration
	// tlsConfig is nil for unencrypted connections.
	tlsConfig *tls.Config
	transport *http.Transport
	dialer    net.Dialer
	// roundTrip is Config.RoundTrip; it extends the time to connect up to dialLimit. It may be
	// nil.
	roundTrip   func() time.Duration
	dialLimit   time.Duration
	spares      chan spare
	maxSpareAge time.Duration
	// acceptsUnframed is set if answers may end with their connection instead of stating
	// their length.
	acceptsUnframed bool
	// noSpares disables spare connections.
	noSpares      bool
	openingSpares atomic.Int64
	// incarnation is the incarnation of the daemon at the address; connections to an earlier
	// incarnation are dead.
	incarnation atomic.Uint64
	silence     silenceMonitor
	// openConns counts the connections to the back end; nil for those to a gate.
	openConns *openConns
	// context ends when the upstream is closed.
	context context.Context
	cancel  context.CancelFunc
}

// spare is a connection that was opened before a call needed it.
type spare struct {
	conn     net.Conn
	openedAt time.Time
}

func newUpstream(address string, limits Limits, idle time.Duration) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	created := &upstream{
		context: ctx,
		cancel:  cancel,
		address: address,
		dialer:  net.Dialer{Timeout: limits.DialTimeout, KeepAliveConfig: keepAliveConfig},

		dialLimit: limits.DialLimit,
		spares:    make(chan spare, maxSpares),

		maxSpareAge: min(maxSpareAge, limits.HeaderTimeout/2),
		noSpares:    limits.NoSpares,
	}
	created.transport = &http.Transport{
		DialContext:            created.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        limits.UpstreamConnections,
		MaxIdleConnsPerHost:    limits.UpstreamConnections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  maxContinueWait,
		MaxResponseHeaderBytes: int64(limits.HeaderBytes),
	}
	return created
}

// dial returns a spare connection or opens one, and starts to open the next spare.
func (u *upstream) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := u.reserveConn(ctx); err != nil {
		return nil, err
	}
	for {
		select {
		case spareConn := <-u.spares:
			if time.Since(spareConn.openedAt) < u.maxSpareAge {
				u.openSpares(1)
				return u.newGuarded(spareConn.conn), nil
			}
			_ = spareConn.conn.Close()
			continue
		default:
		}
		conn, err := u.connect(ctx)
		if err != nil {
			u.openConns.release()
			return nil, err
		}
		u.openSpares(1)
		return u.newGuarded(conn), nil
	}
}

// reserveConn waits until openConns allows one more connection, for at most dialTimeout.
func (u *upstream) reserveConn(ctx context.Context) error {
	if u.openConns == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, u.dialTimeout())
	defer cancel()
	return u.openConns.reserve(bounded, u.transport.CloseIdleConnections)
}

// newGuarded wraps an open connection in a guardedConn and adds it to openConns.
func (u *upstream) newGuarded(conn net.Conn) *guardedConn {
	guarded := newGuardedConn(conn, u.cancelLinger)
	u.openConns.add(guarded)
	return guarded
}

// retire closes the idle connections, and the other connections once their calls have ended.
func (u *upstream) retire() {
	u.openConns.retire()
	u.closeIdle()
}

// connect opens a connection, including the TLS handshake if there is one.
func (u *upstream) connect(ctx context.Context) (net.Conn, error) {
	timeout := u.dialTimeout()
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := u.dialer
	dialer.Timeout = timeout
	conn, err := dialer.DialContext(bounded, "tcp", u.address)
	if err != nil || u.tlsConfig == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, u.tlsConfig)
	if err := tlsConn.HandshakeContext(bounded); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// dialTimeout returns how long connecting may take now.
func (u *upstream) dialTimeout() time.Duration {
	if u.roundTrip == nil {
		return u.dialer.Timeout
	}
	return min(max(u.roundTrip(), u.dialer.Timeout), u.dialLimit)
}

// openSpares opens the given number of spare connections in the background, but no more than
// maxSpares in all.
func (u *upstream) openSpares(count int) {
	for range count {
		if u.noSpares || u.openConns.isLimited() || u.context.Err() != nil || int(u.openingSpares.Load())+len(u.spares) >= maxSpares {
			return
		}
		u.openingSpares.Add(1)
		go u.openSpare()
	}
}

func (u *upstream) openSpare() {
	defer u.openingSpares.Add(-1)
	conn, err := u.connect(u.context)
	if err != nil {
		return // the next call dials itself and gets the error
	}
	select {
	case u.spares <- spare{conn: conn, openedAt: time.Now()}:
	default:
		_ = conn.Close()
	}
	if u.context.Err() != nil {
		u.dropSpares()
	}
}

func (u *upstream) dropSpares() {
	for {
		select {
		case spareConn := <-u.spares:
			_ = spareConn.conn.Close()
		default:
			return
		}
	}
}

// closeIdle closes the connections without a call.
func (u *upstream) closeIdle() {
	u.dropSpares()
	u.transport.CloseIdleConnections()
}

// close closes the idle connections and stops opening spares. The other connections are
// closed once their calls have ended.
func (u *upstream) close() {
	u.cancel()
	u.closeIdle()
}
