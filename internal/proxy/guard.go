package proxy

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// errNotOwned is the error of a write on a connection that the attempt may not use.
const errNotOwned = errors.ConstError("the attempt has been written elsewhere or given up")

// guardedConn is a connection to an endpoint that checks each write against the guard of the
// attempt that it carries. The guard thus records whether any byte of the attempt can have left
// this process, independently of the HTTP library.
type guardedConn struct {
	net.Conn
	owner atomic.Pointer[attemptGuard]
	// unfinishedAttempt is the attempt whose answer has not been read to its end; nil for none.
	unfinishedAttempt atomic.Pointer[attemptGuard]
	// linger is how long after the deadline of an unfinished attempt Close waits for the peer to
	// end the attempt; 0 closes at once.
	linger time.Duration
	closed atomic.Bool
	// openedAt distinguishes the connection from those to a later start of the peer.
	openedAt time.Time
	// retired is set when the peer is replaced by another start: the connection carries no further
	// call.
	retired atomic.Bool
	// onReleased is called once when the connection is released; nil calls nothing.
	onReleased func(*guardedConn)
	// surplus skips answers in excess of the expected one.
	surplus surplusFilter
	// released is closed when the connection is closed for good, after any lingering.
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

// Close closes the connection. If linger is set and the attempt on the connection is unfinished,
// Close only closes the sending side, which signals to the back end that the call is cancelled, and
// waits in the background, for a limited time, until the back end closes its own side. Until then
// the call may still run there, and its slot is not free.
func (c *guardedConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	writeSide, canCloseWrite := c.Conn.(writeCloser)
	unfinished := c.unfinishedAttempt.Load()
	if c.linger == 0 || unfinished == nil || !canCloseWrite {
		defer c.markReleased()
		return c.Conn.Close()
	}
	// Wakes a blocked reader.
	_ = c.Conn.SetReadDeadline(time.Now())
	go c.awaitPeerClose(writeSide, unfinished.workEndsBy(c.linger))
	return nil
}

// awaitPeerClose closes the sending side and reads until the peer closes its own, at most until the
// given time.
func (c *guardedConn) awaitPeerClose(writeSide writeCloser, until time.Time) {
	defer c.markReleased()
	defer c.Conn.Close()
	if writeSide.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(until)
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// abort closes the connection at once, because its peer no longer exists. It also wakes a pending
// awaitPeerClose.
func (c *guardedConn) abort() {
	if c.closed.CompareAndSwap(false, true) {
		defer c.markReleased()
	}
	_ = c.Conn.Close()
}

// markReleased reports that the connection is closed. It stops counting for the
// limit of openConns before the slot of its call is released, so that the call that gets the slot
// can open a connection.
func (c *guardedConn) markReleased() {
	if c.onReleased != nil {
		c.onReleased(c)
	}
	close(c.released)
}

// writeCloser is a connection that can close its sending side alone, as with TCP and TLS.
type writeCloser interface{ CloseWrite() error }

// maxLingerBytes bounds how much is read of the answer to a cancelled call.
const maxLingerBytes = 1 << 20

// Write sends bytes if the attempt that owns the connection allows it.
func (c *guardedConn) Write(bytes []byte) (int, error) {
	owner := c.owner.Load()
	if owner == nil || c.closed.Load() || !owner.mayWrite(c) {
		return 0, errNotOwned
	}
	return c.Conn.Write(bytes)
}

// Special values of attemptGuard.writer that are not connections.
var (
	// sealedWriter means that nothing was written and that further writes are refused.
	sealedWriter = &guardedConn{}
	// unguardedWriter means that the attempt used a connection that is not a guardedConn.
	unguardedWriter = &guardedConn{}
)

// attemptGuard lets an attempt be written on one connection only, and can prove that it was written
// on none. The HTTP library resends some requests by itself when a kept connection breaks: those
// without a body that it considers idempotent, also because of an Idempotency-Key header. With the
// guard such a second write fails.
type attemptGuard struct {
	// writer is nil until the first write, then the connection that was written on.
	writer atomic.Pointer[guardedConn]
	// cancel ends the attempt. It is called when the library chooses a second connection, so that
	// it does not try all the connections that it keeps.
	cancel func()
	// answerID is the attempt's id that its answer repeats in answerHeader; empty if answers carry
	// no id.
	answerID     string
	answerHeader string
	// deadline is when the peer stops work on the attempt; the zero time means unknown.
	deadline time.Time
}

// workEndsBy returns the time at which the peer is assumed to have stopped work on the attempt: the
// given delay after the attempt's deadline, or after now if the deadline has passed.
func (g *attemptGuard) workEndsBy(delay time.Duration) time.Time {
	until := time.Now()
	if g.deadline.After(until) {
		until = g.deadline
	}
	return until.Add(delay)
}

// mayWrite is called before each write. It sets writer before any byte is sent, so if seal
// succeeds, no byte was sent.
func (g *attemptGuard) mayWrite(conn *guardedConn) bool {
	return g.writer.Load() == conn || g.writer.CompareAndSwap(nil, conn)
}

// seal prevents any write of the attempt and returns true, or returns false if part of it may have
// been written.
func (g *attemptGuard) seal() bool {
	return g.writer.CompareAndSwap(nil, sealedWriter)
}

// gotConn assigns the connection that the library chose to the attempt.
func (g *attemptGuard) gotConn(info httptrace.GotConnInfo) {
	conn, guarded := info.Conn.(*guardedConn)
	if !guarded {
		g.writer.CompareAndSwap(nil, unguardedWriter)
		return
	}
	if g.answerID != "" {
		conn.surplus.recordRequest(g.answerID)
	}
	conn.owner.Store(g)
	conn.unfinishedAttempt.Store(g)
	if g.writer.Load() != nil {
		g.cancel()
	}
}

// markAnswerRead records that the answer was read to its end, and closes the connection if it is
// retired.
func (g *attemptGuard) markAnswerRead() {
	conn := g.writer.Load()
	if conn == nil {
		return
	}
	conn.unfinishedAttempt.CompareAndSwap(g, nil)
	if conn.retired.Load() {
		_ = conn.Close()
	}
}

// peerDone returns a channel that is closed when the peer has ended the attempt, or nil if it has
// already.
func (g *attemptGuard) peerDone() <-chan struct{} {
	conn := g.writer.Load()
	if conn == nil || conn.unfinishedAttempt.Load() != g {
		return nil
	}
	return conn.released
}
