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
	Held *Held
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
	served
	// unknown: where requests end is the server's own knowledge, from here on.
	unknown
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
	base context.Context
	at   position
	// ended is set when the handler of the current request has returned.
	ended bool
	// partial holds the current head until it is complete.
	partial []byte
	// bodyLeft is what the server has yet to read of the current body.
	bodyLeft int
	// unread was taken from the socket and not yet read by the server. Its first bytes
	// are the heads of queue; read is how much of the first one the server has.
	unread []byte
	queue  []*Call
	queued int
	read   int
	// barred is set when the request behind the queue must wait for its turn.
	barred bool
	// readAt is when the last bytes of unread came; arrived is when those of the
	// current request did, and zero if the server itself waited for them.
	readAt  time.Time
	arrived time.Time
	// current is the call of the request that the server has read, serving that of
	// the request whose handler runs; nil for those that did not run ahead.
	current *Call
	serving *Call
	// interrupted is set while the read deadline has passed.
	interrupted bool
	failure     error
}

// Wrap returns a connection of a server. Bind must be called before the server
// reads it.
func Wrap(conn net.Conn, config *Config) *Conn {
	made := &Conn{Conn: conn, config: config, base: context.Background()}
	made.changed.L = &made.mutex
	return made
}

// Bind gives the context of the connection's requests.
func (c *Conn) Bind(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.base = ctx
}

// Begin is called when the handler of a request starts. It returns the call that
// has run the request ahead, or nil, and how long the request has waited for
// its turn.
func (c *Conn) Begin(request *http.Request) (*Call, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call := c.current
	c.current = nil
	var waited time.Duration
	if !c.arrived.IsZero() {
		waited = time.Since(c.arrived)
	}
	if call != nil && !call.runs(request) {
		call.drop()
		call = nil
	}
	c.serving = call
	return call, waited
}

// End is called when the handler of a request has returned.
func (c *Conn) End() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	c.serving = nil
	if c.at == served {
		c.at = inHead
	}
}

// Pending tells whether requests behind the current one run or have run ahead,
// so that their answers are owed.
func (c *Conn) Pending() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queue) > 0 || c.current != nil
}

// Read reads for the server.
func (c *Conn) Read(into []byte) (int, error) {
	if c.watches(into) {
		return c.readAhead(into)
	}
	return c.readNext(into)
}

// watches tells whether the server reads only to see the client leave. It does
// so, one byte at a time, while a handler runs.
func (c *Conn) watches(into []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.at != served {
		return false
	}
	if len(into) > 1 {
		c.at = inHead // the request was answered without a handler
		return false
	}
	return true
}

// readNext reads a part of the next request: never beyond its end, as far as
// that is known.
func (c *Conn) readNext(into []byte) (int, error) {
	if count, found, err := c.readKept(into); found {
		return count, err
	}
	count, err := c.Conn.Read(into)
	if count == 0 {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.arrived = time.Time{}
	used := c.advance(into[:count])
	if used < count {
		c.unread = append(c.unread, into[used:count]...)
		c.readAt = time.Now()
		err = nil // the next reading finds it again
	}
	return used, err
}

// readKept reads from what was taken from the socket before; found is false when
// there is nothing.
func (c *Conn) readKept(into []byte) (count int, found bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return 0, true, c.failure
	}
	if len(c.unread) == 0 {
		c.unread = nil
		return 0, false, nil
	}
	c.arrived = c.readAt
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
	case c.at == unknown:
		return len(text)
	case c.at == inBody:
		used := min(len(text), c.bodyLeft)
		c.bodyLeft -= used
		if c.bodyLeft == 0 {
			c.completed()
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
	used := min(len(text), first.size-c.read)
	c.read += used
	c.queued -= used
	if c.read == first.size {
		c.read = 0
		c.current = first
		c.queue = c.queue[1:]
		c.arrived = first.arrived
		c.ended = false
		c.completed()
	}
	return used
}

// advanceHead moves over a head of unknown length and, with a body of stated
// length, over what has come of it.
func (c *Conn) advanceHead(text []byte) int {
	head := text
	if len(c.partial) > 0 {
		head = append(c.partial, text...)
	}
	size := headEnd(head)
	if size < 0 {
		if len(head) > c.config.InputBytes {
			c.leaveToServer()
			return len(text)
		}
		c.partial = append(c.partial, text...)
		return len(text)
	}
	used := size - len(c.partial)
	form := readFraming(head[:size])
	if !form.known {
		c.leaveToServer()
		return len(text)
	}
	c.partial = nil
	c.barred = false
	c.ended = false
	if form.body == 0 {
		c.completed()
		return used
	}
	c.at = inBody
	c.bodyLeft = form.body
	return used + c.advance(text[used:])
}

// completed notes that the server has a whole request.
func (c *Conn) completed() {
	c.at = served
	if c.ended {
		c.at = inHead // its handler did not wait for the rest of the body
	}
}

// leaveToServer gives up following where requests end, for good.
func (c *Conn) leaveToServer() {
	c.at = unknown
	c.partial = nil
}

// SetReadDeadline sets the deadline of reading. One in the past wakes the reader.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	passed := !deadline.IsZero() && time.Until(deadline) <= 0
	c.mutex.Lock()
	c.interrupted = passed
	if passed {
		c.changed.Broadcast()
	}
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends the sending side, which the server does when no further answer
// will be given.
func (c *Conn) CloseWrite() error {
	c.Abandon()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and drops all that runs ahead.
func (c *Conn) Close() error {
	c.Abandon()
	return c.Conn.Close()
}

// Abandon drops all that runs ahead: no answer will be given any more.
func (c *Conn) Abandon() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fail(net.ErrClosed)
}
