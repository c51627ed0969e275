package proxy

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

// errNotOwned refuses a write on a connection that the attempt may not use.
const errNotOwned = errors.ConstError("the attempt has been written elsewhere or given up")

// guardedConn is a connection to an endpoint whose writes need the leave of
// the attempt that it carries. It knows so whether any byte of an attempt can
// have left this process, whatever the HTTP library does.
type guardedConn struct {
	net.Conn
	owner atomic.Pointer[attemptGuard]
}

// Write sends bytes if the attempt that owns the connection allows it.
func (c *guardedConn) Write(bytes []byte) (int, error) {
	owner := c.owner.Load()
	if owner == nil || !owner.mayWrite(c) {
		return 0, errNotOwned
	}
	return c.Conn.Write(bytes)
}

// The guard's two marks that are no connections.
var (
	// sealed: nothing was written and nothing may be any more.
	sealed = &guardedConn{}
	// unguarded: a connection was used that can't be watched.
	unguarded = &guardedConn{}
)

// attemptGuard lets one attempt be written on one connection only, and can
// prove that it was written on none. The library resends some requests by
// itself when a kept connection breaks (those without body that it takes for
// idempotent, also by an Idempotency-Key header); here such a second writing
// fails.
type attemptGuard struct {
	// writer is nil until the first write, then the connection written on.
	writer atomic.Pointer[guardedConn]
	// cancel gives the attempt up; it is called when the library comes with a
	// second connection, so that it does not try all those it keeps.
	cancel func()
}

// mayWrite is called before each write. The mark is set before the bytes go,
// so a seal that succeeds proves that none went.
func (g *attemptGuard) mayWrite(conn *guardedConn) bool {
	return g.writer.Load() == conn || g.writer.CompareAndSwap(nil, conn)
}

// seal ends the attempt's right to write and tells whether nothing of it was
// written.
func (g *attemptGuard) seal() bool {
	return g.writer.CompareAndSwap(nil, sealed)
}

// gotConn binds the connection that the library chose to the attempt.
func (g *attemptGuard) gotConn(info httptrace.GotConnInfo) {
	conn, guarded := info.Conn.(*guardedConn)
	if !guarded {
		g.writer.CompareAndSwap(nil, unguarded)
		return
	}
	conn.owner.Store(g)
	if g.writer.Load() != nil {
		g.cancel()
	}
}
