package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config is what the connections of a server share.
type Config struct {
	// Calls bounds the requests of one connection that run ahead of their turn.
	Calls int
	// InputBytes bounds what is read of a connection beyond the request that is
	// served. It also bounds the head of a request that runs ahead.
	InputBytes int
	// AnswerBytes bounds what is held of one answer. The handler of a longer one
	// waits for its turn.
	AnswerBytes int
	// Held counts and bounds the held bytes of all connections.
	Held *ByteBudget
	// Handler runs requests ahead of their turn.
	Handler http.Handler
	// MayRunAhead tells whether a request may be repeated and run now. It must not
	// block.
	MayRunAhead func(*http.Request) bool
	// OnStart is told that a request runs ahead, with how many of its connection
	// then do. It must not block. Nil means that nobody listens.
	OnStart func(depth int)
}

// The positions of a connection between two requests.
type position int

const (
	// inHead: the server has yet to read the end of a head.
	inHead position = iota
	// inBody: the server has yet to read a part of a body of stated length.
	inBody
	// served: the server holds a whole request.
	requestComplete
	// unknown: where requests end is the server's own knowledge, from here on.
	notFramed
)

// Conn is a connection whose waiting requests are run ahead of their turn. The
// server reads it; Begin and End tell it of the requests that the server serves.
type Conn struct {
	net.Conn
	config *Config

	mutex sync.Mutex
	// changed is signalled when a reader that waits must look again.
	changed sync.Cond
	// base is the context of the requests that run ahead.
	baseContext context.Context
	position    position
	// ended is set when the handler of the current request has returned.
	handlerReturned bool
	// partial holds the current head until it is complete.
	partialHead []byte
	// bodyLeft is what the server has yet to read of the current body.
	bodyRemaining int
	// unread was taken from the socket and not yet read by the server. Its first bytes
	// are the heads of queue; read is how much of the first one the server has.
	unread        []byte
	queue         []*Call
	queuedBytes   int
	firstHeadRead int
	// barred is set when the request behind the queue must wait for its turn.
	blocked bool
	// readAt is when the last bytes of unread came; arrived is when those of the
	// current request did, and zero if the server itself waited for them.
	unreadAt  time.Time
	arrivedAt time.Time
	// current is the call of the request that the server has read, serving that of
	// the request whose handler runs; nil for those that did not run ahead.
	current *Call
	serving *Call
	// interrupted is set while the read deadline has passed.
	deadlinePassed bool
	readErr        error
}

// Wrap returns a connection of a server. Bind must be called before the server
// reads it.
func Wrap(conn net.Conn, config *Config) *Conn {
	made := &Conn{Conn: conn, config: config, baseContext: context.Background()}
	made.changed.L = &made.mutex
	return made
}

// Bind gives the context of the connection's requests.
func (c *Conn) Bind(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.baseContext = ctx
}

// Begin is called when the handler of a request starts. It returns the call that
// has run the request ahead, or nil, and how long the request has waited for
// its turn.
func (c *Conn) BeginRequest(request *http.Request) (*Call, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call := c.current
	c.current = nil
	var waited time.Duration
	if !c.arrivedAt.IsZero() {
		waited = time.Since(c.arrivedAt)
	}
	if call != nil && !call.matches(request) {
		call.drop()
		call = nil
	}
	c.serving = call
	return call, waited
}

// End is called when the handler of a request has returned.
func (c *Conn) EndRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handlerReturned = true
	c.serving = nil
	if c.position == requestComplete {
		c.position = inHead
	}
}

// Pending tells whether requests behind the current one run or have run ahead,
// so that their answers are owed.
func (c *Conn) HasPendingAnswers() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queue) > 0 || c.current != nil
}

// Read reads for the server.
func (c *Conn) Read(into []byte) (int, error) {
	if c.isDisconnectProbe(into) {
		return c.readAhead(into)
	}
	return c.readRequest(into)
}

// watches tells whether the server reads only to see the client leave. It does
// so, one byte at a time, while a handler runs.
func (c *Conn) isDisconnectProbe(into []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.position != requestComplete {
		return false
	}
	if len(into) > 1 {
		c.position = inHead // the request was answered without a handler
		return false
	}
	return true
}

// readNext reads a part of the next request: never beyond its end, as far as
// that is known.
func (c *Conn) readRequest(into []byte) (int, error) {
	if count, found, err := c.readUnread(into); found {
		return count, err
	}
	count, err := c.Conn.Read(into)
	if count == 0 {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.arrivedAt = time.Time{}
	used := c.advance(into[:count])
	if used < count {
		c.unread = append(c.unread, into[used:count]...)
		c.unreadAt = time.Now()
		err = nil // the next reading finds it again
	}
	return used, err
}

// readKept reads from what was taken from the socket before; found is false when
// there is nothing.
func (c *Conn) readUnread(into []byte) (count int, found bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readErr != nil {
		return 0, true, c.readErr
	}
	if len(c.unread) == 0 {
		c.unread = nil
		return 0, false, nil
	}
	c.arrivedAt = c.unreadAt
	text := c.unread[:min(len(into), len(c.unread))]
	used := c.advance(text)
	copy(into, text[:used])
	c.unread = c.unread[used:]
	c.changed.Broadcast()
	return used, true, nil
}

// advance moves the position over bytes for the server and returns how many of
// them it may have. The lock is held.
func (c *Conn) advance(text []byte) int {
	switch {
	case c.position == notFramed:
		return len(text)
	case c.position == inBody:
		used := min(len(text), c.bodyRemaining)
		c.bodyRemaining -= used
		if c.bodyRemaining == 0 {
			c.markComplete()
		}
		return used
	case len(c.queue) > 0:
		return c.advanceQueued(text)
	}
	return c.advanceHead(text)
}

// advanceQueued moves over the head of the first call of the queue.
func (c *Conn) advanceQueued(text []byte) int {
	first := c.queue[0]
	used := min(len(text), first.headSize-c.firstHeadRead)
	c.firstHeadRead += used
	c.queuedBytes -= used
	if c.firstHeadRead == first.headSize {
		c.firstHeadRead = 0
		c.current = first
		c.queue = c.queue[1:]
		c.arrivedAt = first.arrivedAt
		c.handlerReturned = false
		c.markComplete()
	}
	return used
}

// advanceHead moves over a head of unknown length and, with a body of stated
// length, over what has come of it.
func (c *Conn) advanceHead(text []byte) int {
	head := text
	if len(c.partialHead) > 0 {
		head = append(c.partialHead, text...)
	}
	size := headLength(head)
	if size < 0 {
		if len(head) > c.config.InputBytes {
			c.stopFraming()
			return len(text)
		}
		c.partialHead = append(c.partialHead, text...)
		return len(text)
	}
	used := size - len(c.partialHead)
	form := readFraming(head[:size])
	if !form.known {
		c.stopFraming()
		return len(text)
	}
	c.partialHead = nil
	c.blocked = false
	c.handlerReturned = false
	if form.bodyLength == 0 {
		c.markComplete()
		return used
	}
	c.position = inBody
	c.bodyRemaining = form.bodyLength
	return used + c.advance(text[used:])
}

// completed notes that the server has a whole request.
func (c *Conn) markComplete() {
	c.position = requestComplete
	if c.handlerReturned {
		c.position = inHead // its handler did not wait for the rest of the body
	}
}

// leaveToServer gives up following where requests end, for good.
func (c *Conn) stopFraming() {
	c.position = notFramed
	c.partialHead = nil
}

// SetReadDeadline sets the deadline of reading. One in the past wakes the reader.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	passed := !deadline.IsZero() && time.Until(deadline) <= 0
	c.mutex.Lock()
	c.deadlinePassed = passed
	if passed {
		c.changed.Broadcast()
	}
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends the sending side, which the server does when no further answer
// will be given.
func (c *Conn) CloseWrite() error {
	c.DropCalls()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and drops all that runs ahead.
func (c *Conn) Close() error {
	c.DropCalls()
	return c.Conn.Close()
}

// Abandon drops all that runs ahead: no answer will be given any more.
func (c *Conn) DropCalls() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failRead(net.ErrClosed)
}
