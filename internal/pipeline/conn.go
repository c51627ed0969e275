package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/bytebudget"
)

// Config is the configuration that the connections of a server share.
type Config struct {
	// Calls limits how many requests of one connection run ahead of their turn at a time.
	Calls int
	// InputBytes limits the bytes that are read from a connection beyond the current
	// request. It also limits the head of a request that runs ahead.
	InputBytes int
	// AnswerBytes limits the buffered bytes of one answer. The handler of a longer answer
	// blocks until the answer's turn.
	AnswerBytes int
	// Held counts and limits the buffered bytes of all connections.
	Held *bytebudget.Budget
	// Unread limits the unread bytes of all connections. A connection may hold minUnreadBytes even
	// if the limit is reached.
	Unread *bytebudget.Budget
	// Admit reports whether the request with the given head may run ahead of its turn, and returns a
	// function that is called once when the request's memory is free again. It must not block.
	Admit func(head []byte) (release func(), admitted bool)
	// Handler runs requests ahead of their turn.
	Handler http.Handler
	// MayRunAhead reports whether a request may be repeated and may run now. It must not
	// block.
	MayRunAhead func(*http.Request) bool
	// OnStart is called when a request starts to run ahead, with the number of queued
	// requests of its connection. It must not block. It may be nil.
	OnStart func(depth int)
}

// position is the place in the byte stream that the server has read up to.
type position int

const (
	// inHead: the server has not read the head of the next request to its end.
	inHead position = iota
	// inBody: the server has not read all of a body with a Content-Length.
	inBody
	// requestComplete: the server has read all of the current request.
	requestComplete
	// endUnknown: from here on Conn does not know where requests end; no request runs ahead.
	endUnknown
)

// Backlog tells whether the client of a connection goes on sending requests without awaiting answers.
type Backlog int

// The backlogs of a connection, in ascending order of weight.
const (
	NoBacklog Backlog = iota
	// RefusedBacklog: the client had sent further requests when one was refused for want of capacity.
	RefusedBacklog
	// ExcessBacklog: the client has sent more ahead than the limits allow to read.
	ExcessBacklog
)

// Conn is a connection whose waiting requests run ahead of their turn. The server reads
// from it; the server's handler must call BeginRequest and EndRequest for each request.
type Conn struct {
	net.Conn
	config *Config

	mutex sync.Mutex
	// changed is signalled when a condition that awaitRoom waits for may have changed.
	changed sync.Cond
	// baseContext is the parent context of the requests that run ahead.
	baseContext context.Context
	position    position
	// handlerReturned is set once the handler of the current request has returned.
	handlerReturned bool
	// partialHead holds the bytes of the current head until the head is complete.
	partialHead []byte
	// bodyRemaining is how many bytes of the current body the server has not read yet.
	bodyRemaining int
	// unreadBytes holds bytes from the socket that the server has not read yet. It begins
	// with the heads of queuedCalls, queuedBytes in all. firstHeadRead is how many bytes of
	// the first head the server has read already; these are no longer in unreadBytes.
	unreadBytes   []byte
	queuedCalls   []*Call
	queuedBytes   int
	firstHeadRead int
	// backlog is NoBacklog again once the server has read all unread bytes.
	backlog Backlog
	// blocked is set if the request after queuedCalls must wait for its turn.
	blocked bool
	// unreadAt is when the last bytes of unreadBytes were received. arrivedAt is when the
	// current request was received; it is zero if the server was waiting for the request.
	unreadAt  time.Time
	arrivedAt time.Time
	// pendingCall is the call of the request that the server has read but whose handler has not
	// started; servingCall is that of the request whose handler runs. Each is nil if there is no
	// such request or it did not run ahead.
	pendingCall *Call
	servingCall *Call
	// deadlinePassed is true if the last read deadline lay in the past when SetReadDeadline was
	// called. The server does this to interrupt a read.
	deadlinePassed bool
	readErr        error
}

// Wrap returns the Conn for a connection of a server. Bind must be called before the
// server reads from it.
func Wrap(conn net.Conn, config *Config) *Conn {
	wrappedConn := &Conn{Conn: conn, config: config, baseContext: context.Background()}
	wrappedConn.changed.L = &wrappedConn.mutex
	return wrappedConn
}

// Bind sets the parent context of the requests that run ahead.
func (c *Conn) Bind(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.baseContext = ctx
}

// BeginRequest must be called when the handler of a request starts. It returns the call
// in which the request has run ahead, or nil, and how long the request has waited for
// its turn.
func (c *Conn) BeginRequest(request *http.Request) (*Call, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call := c.pendingCall
	c.pendingCall = nil
	var waited time.Duration
	if !c.arrivedAt.IsZero() {
		waited = time.Since(c.arrivedAt)
	}
	if call != nil && !call.matches(request) {
		call.drop()
		call = nil
	}
	c.servingCall = call
	return call, waited
}

// EndRequest must be called when the handler of a request has returned.
func (c *Conn) EndRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handlerReturned = true
	if c.servingCall != nil {
		c.servingCall.releaseAnswer()
		c.servingCall = nil
	}
	if c.position == requestComplete {
		c.position = inHead
	}
}

// RecordRefusal records that a request of the connection was refused for want of capacity.
func (c *Conn) RecordRefusal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.unreadBytes) > 0 {
		c.backlog = max(c.backlog, RefusedBacklog)
	}
}

// Backlog returns the backlog of the connection.
func (c *Conn) Backlog() Backlog {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backlog
}

// HasPendingAnswers reports whether requests after the current one run or have run ahead,
// so that their answers are still to be sent.
func (c *Conn) HasPendingAnswers() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queuedCalls) > 0 || c.pendingCall != nil
}

// Read implements net.Conn for the server.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.checkDisconnectProbe(buffer) {
		return c.readAhead(buffer)
	}
	return c.readRequest(buffer)
}

// checkDisconnectProbe reports whether the server reads only to detect that the client
// disconnects. The server does so, one byte at a time, while a handler runs. If the server
// reads the next request instead, checkDisconnectProbe sets the position to inHead.
func (c *Conn) checkDisconnectProbe(buffer []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.position != requestComplete {
		return false
	}
	if len(buffer) > 1 {
		c.position = inHead // the request was answered without a handler
		return false
	}
	return true
}

// readRequest reads a part of the next request. It does not return bytes beyond the end
// of that request, unless the end is unknown.
func (c *Conn) readRequest(buffer []byte) (int, error) {
	if count, found, err := c.readUnread(buffer); found {
		return count, err
	}
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.arrivedAt = time.Time{}
	used := c.advance(buffer[:count])
	if used < count {
		c.storeUnread(buffer[used:count])
		err = nil // the next read returns it again
	}
	return used, err
}

// readUnread reads from the unread bytes; found is false if there are none and the
// connection has not failed.
func (c *Conn) readUnread(buffer []byte) (count int, found bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readErr != nil {
		return 0, true, c.readErr
	}
	if len(c.unreadBytes) == 0 {
		return 0, false, nil
	}
	c.arrivedAt = c.unreadAt
	text := c.unreadBytes[:min(len(buffer), len(c.unreadBytes))]
	used := c.advance(text)
	copy(buffer, text[:used])
	c.unreadBytes = c.unreadBytes[used:]
	c.config.Unread.Release(int64(used))
	if len(c.unreadBytes) == 0 {
		c.unreadBytes, c.backlog = nil, NoBacklog
	}
	c.changed.Broadcast()
	return used, true, nil
}

// advance moves the position over bytes that the server reads and returns how many of
// them the server may get. The lock is held.
func (c *Conn) advance(text []byte) int {
	switch {
	case c.position == endUnknown:
		return len(text)
	case c.position == inBody:
		used := min(len(text), c.bodyRemaining)
		c.bodyRemaining -= used
		if c.bodyRemaining == 0 {
			c.markComplete()
		}
		return used
	case len(c.queuedCalls) > 0:
		return c.advanceQueued(text)
	}
	return c.advanceHead(text)
}

// advanceQueued is advance for the head of the first call in the queue.
func (c *Conn) advanceQueued(text []byte) int {
	firstCall := c.queuedCalls[0]
	used := min(len(text), firstCall.headSize-c.firstHeadRead)
	c.firstHeadRead += used
	c.queuedBytes -= used
	if c.firstHeadRead == firstCall.headSize {
		c.firstHeadRead = 0
		c.pendingCall = firstCall
		c.queuedCalls = c.queuedCalls[1:]
		c.arrivedAt = firstCall.arrivedAt
		c.handlerReturned = false
		c.markComplete()
	}
	return used
}

// advanceHead is advance for a head whose end has not been found yet, and for the part of
// its body that follows in text.
func (c *Conn) advanceHead(text []byte) int {
	head := text
	if len(c.partialHead) > 0 {
		head = append(c.partialHead, text...)
	}
	size := headLength(head)
	if size < 0 {
		if len(head) > c.config.InputBytes {
			c.stopTracking()
			return len(text)
		}
		c.partialHead = append(c.partialHead, text...)
		return len(text)
	}
	used := size - len(c.partialHead)
	headFraming := readFraming(head[:size])
	if !headFraming.isKnown {
		c.stopTracking()
		return len(text)
	}
	c.partialHead = nil
	c.blocked = false
	c.handlerReturned = false
	if headFraming.bodyLength == 0 {
		c.markComplete()
		return used
	}
	c.position = inBody
	c.bodyRemaining = headFraming.bodyLength
	return used + c.advance(text[used:])
}

// markComplete records that the server has read all of the current request.
func (c *Conn) markComplete() {
	c.position = requestComplete
	if c.handlerReturned {
		c.position = inHead // the handler returned before the whole body was read
	}
}

// stopTracking permanently stops tracking where requests end.
func (c *Conn) stopTracking() {
	c.position = endUnknown
	c.partialHead = nil
}

// SetReadDeadline sets the read deadline. A deadline in the past wakes a blocked reader.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	isPast := !deadline.IsZero() && time.Until(deadline) <= 0
	c.mutex.Lock()
	c.deadlinePassed = isPast
	if isPast {
		c.changed.Broadcast()
	}
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite drops the calls that run ahead and closes the sending side. The server does
// this when it will send no further answer.
func (c *Conn) CloseWrite() error {
	c.DropCalls()
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection and drops the calls that run ahead.
func (c *Conn) Close() error {
	c.DropCalls()
	return c.Conn.Close()
}

// DropCalls drops the calls that run ahead, since no further answer will be sent.
func (c *Conn) DropCalls() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failRead(net.ErrClosed)
}
