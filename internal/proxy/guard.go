package proxy

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

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
	// unfinished is the attempt whose answer has not been read to its end.
	unfinished atomic.Pointer[attemptGuard]
	// linger is how long past the deadline of an unfinished attempt Close waits for the other
	// side to end it; 0 closes at once.
	linger time.Duration
	closed atomic.Bool
	// openedAt tells it from connections to a later start of the other side.
	openedAt time.Time
	// retired is set when its other side is no longer the one that gets calls: it carries no
	// further call.
	retired atomic.Bool
	// left is called once when it is closed; nil for nothing.
	onReleased func(*guardedConn)
	// surplus reads past answers in excess.
	surplus surplusFilter
	// gone is closed when the connection is.
	released chan struct{}
}

func newGuardedConn(conn net.Conn, linger time.Duration) *guardedConn {
	return &guardedConn{
		Conn: conn, linger: linger, openedAt: time.Now(), surplus: surplusFilter{source: conn}, released: make(chan struct{}),
	}
}

// Read reads until the connection is closed on this side.
func (c *guardedConn) Read(bytes []byte) (int, error) {
	count, err := c.surplus.read(bytes, c.owner.Load)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return count, err
}

// Close closes the connection. With an unfinished attempt on it, it ends only
// the sending side, by which the back end learns that the call is cancelled,
// and waits for the back end to end it in its turn: until then the call may
// still run there, and its slot is not free.
func (c *guardedConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	half, canEnd := c.Conn.(writeCloser)
	unfinished := c.unfinished.Load()
	if c.linger == 0 || unfinished == nil || !canEnd {
		defer c.markReleased()
		return c.Conn.Close()
	}
	// Whoever reads now is woken.
	_ = c.Conn.SetReadDeadline(time.Now())
	go c.awaitPeerClose(half, unfinished.workEndsBy(c.linger))
	return nil
}

// awaitEnd ends the sending side and reads until the other side ends its own, at most until
// a time.
func (c *guardedConn) awaitPeerClose(half writeCloser, until time.Time) {
	defer c.markReleased()
	defer c.Conn.Close()
	if half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(until)
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// abort closes the connection at once: its other side is no more. One that waits for its other
// side is woken.
func (c *guardedConn) abort() {
	if c.closed.CompareAndSwap(false, true) {
		defer c.markReleased()
	}
	_ = c.Conn.Close()
}

// leave tells that the connection is closed. Its place is free before the slot of its call is:
// the call that gets the slot finds one.
func (c *guardedConn) markReleased() {
	if c.onReleased != nil {
		c.onReleased(c)
	}
	close(c.released)
}

// writeCloser is a connection whose sending side can end by itself: of TCP and
// of TLS.
type writeCloser interface{ CloseWrite() error }

// lingerBytes bounds what is read of the answer to a cancelled call.
const lingerBytes = 1 << 20

// Write sends bytes if the attempt that owns the connection allows it.
func (c *guardedConn) Write(bytes []byte) (int, error) {
	owner := c.owner.Load()
	if owner == nil || c.closed.Load() || !owner.mayWrite(c) {
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
	// answerID is what the answer of the attempt names in answerHeader; empty where answers
	// can't be told apart.
	answerID     string
	answerHeader string
	// deadline is when the other side stops work on the attempt; the zero time is not known.
	deadline time.Time
}

// over is when the other side has stopped work on the attempt, as much later than it is to as
// given.
func (g *attemptGuard) workEndsBy(later time.Duration) time.Time {
	until := time.Now()
	if g.deadline.After(until) {
		until = g.deadline
	}
	return until.Add(later)
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
	if g.answerID != "" {
		conn.surplus.recordRequest(g.answerID)
	}
	conn.owner.Store(g)
	conn.unfinished.Store(g)
	if g.writer.Load() != nil {
		g.cancel()
	}
}

// finish records that the answer was read to its end.
func (g *attemptGuard) markAnswerRead() {
	conn := g.writer.Load()
	if conn == nil {
		return
	}
	conn.unfinished.CompareAndSwap(g, nil)
	if conn.retired.Load() {
		_ = conn.Close()
	}
}

// running is closed when the other side has ended the attempt; nil means that
// it has ended already.
func (g *attemptGuard) peerDone() <-chan struct{} {
	conn := g.writer.Load()
	if conn == nil || conn.unfinished.Load() != g {
		return nil
	}
	return conn.released
}
