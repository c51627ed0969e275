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
	// continueWait is how long a large body waits for the gate's leave; the
	// call's deadline ends it earlier.
	continueWait = time.Hour
	// spareLife is how long a connection opened ahead may wait for its first
	// call, but not longer than half of what a server of ours waits for a
	// request: the other side closes connections without one.
	maxSpareAge = 4 * time.Second
	// spareLimit bounds the connections opened ahead to one address.
	maxSpares = 8
)

// keepAlive finds connections to machines without power or behind a cut, so
// that no call is sent on one of them after the machine is back.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// upstream is the connections to one address: of a gate, or of the back end.
type upstream struct {
	address string
	// linger is how long a cancelled call may take to end; see guardedConn.
	cancelLinger time.Duration
	// secure is for TLS; nil connects in the clear.
	tlsConfig *tls.Config
	transport *http.Transport
	dialer    net.Dialer
	// roundTrip tells how long peers take to answer; nil knows nothing of it. dialLimit
	// bounds what it may make of the time to connect.
	roundTrip   func() time.Duration
	dialLimit   time.Duration
	spares      chan spare
	maxSpareAge time.Duration
	// takesUnframed takes answers whose end is that of their connection.
	acceptsUnframed bool
	// noSpares opens no connections ahead of calls.
	noSpares      bool
	openingSpares atomic.Int64
	// incarnation is that of the daemon at the address; connections to an
	// earlier one are dead.
	incarnation atomic.Uint64
	silence     silenceMonitor
	// open are its connections where they are counted, as those to the back end are; nil for
	// a gate's.
	openConns *openConns
	// context ends when the upstream is given up.
	context context.Context
	cancel  context.CancelFunc
}

// spare is a connection opened ahead of its first call.
type spare struct {
	conn     net.Conn
	openedAt time.Time
}

func newUpstream(address string, limits Limits, idle time.Duration) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	made := &upstream{
		context: ctx,
		cancel:  cancel,
		address: address,
		dialer:  net.Dialer{Timeout: limits.DialTimeout, KeepAliveConfig: keepAliveConfig},

		dialLimit: limits.DialLimit,
		spares:    make(chan spare, maxSpares),

		maxSpareAge: min(maxSpareAge, limits.HeaderTimeout/2),
		noSpares:    limits.NoSpares,
	}
	made.transport = &http.Transport{
		DialContext:            made.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        limits.UpstreamConnections,
		MaxIdleConnsPerHost:    limits.UpstreamConnections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: int64(limits.HeaderBytes),
	}
	return made
}

// dial hands out a connection opened ahead, or opens one; either way it sees
// to it that another one is ready.
func (u *upstream) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := u.reserveConn(ctx); err != nil {
		return nil, err
	}
	for {
		select {
		case ready := <-u.spares:
			if time.Since(ready.openedAt) < u.maxSpareAge {
				u.openSpares(1)
				return u.newGuarded(ready.conn), nil
			}
			_ = ready.conn.Close()
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

// reserve takes the place of a connection, and waits for it no longer than for the connection.
func (u *upstream) reserveConn(ctx context.Context) error {
	if u.openConns == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, u.dialTimeout())
	defer cancel()
	return u.openConns.reserve(bounded, u.transport.CloseIdleConnections)
}

// guard has a connection that was opened carry calls.
func (u *upstream) newGuarded(conn net.Conn) *guardedConn {
	made := newGuardedConn(conn, u.cancelLinger)
	u.openConns.add(made)
	return made
}

// retire gives up the connections that carry no call, and the others when their calls have ended.
func (u *upstream) retire() {
	u.openConns.retire()
	u.closeIdle()
}

// connect opens a connection, ready for calls.
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
	guarded := tls.Client(conn, u.tlsConfig)
	if err := guarded.HandshakeContext(bounded); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return guarded, nil
}

// dialTimeout is how long connecting may take now.
func (u *upstream) dialTimeout() time.Duration {
	if u.roundTrip == nil {
		return u.dialer.Timeout
	}
	return min(max(u.roundTrip(), u.dialer.Timeout), u.dialLimit)
}

// openAhead opens connections in the background for calls to come.
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
		return // the call that needs one meets the error itself
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
		case ready := <-u.spares:
			_ = ready.conn.Close()
		default:
			return
		}
	}
}

// closeIdle gives up the connections that carry no call.
func (u *upstream) closeIdle() {
	u.dropSpares()
	u.transport.CloseIdleConnections()
}

// close gives up all connections once their calls have ended.
func (u *upstream) close() {
	u.cancel()
	u.closeIdle()
}
