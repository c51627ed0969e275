package pipeline

import (
	"net"
	"os"
	"time"
)

// readAheadBytes is the size of the buffer for reading ahead.
const readAheadBytes = 4 << 10

// minUnreadBytes is what a connection may hold unread even if Config.Unread is exhausted.
const minUnreadBytes = 1 << 10

// readAhead reads from the socket until the connection fails or the read deadline
// passes, and starts the requests that it finds. It returns no bytes: they are stored
// until the server reads the next request.
func (c *Conn) readAhead(probe []byte) (int, error) {
	buffer := probe
	for {
		c.startCalls()
		if err := c.awaitRoom(); err != nil {
			return 0, err
		}
		count, err := c.Conn.Read(buffer)
		c.storeRead(buffer[:count], err)
		if err != nil {
			return 0, err
		}
		if len(buffer) < readAheadBytes {
			buffer = make([]byte, readAheadBytes)
		}
	}
}

// awaitRoom blocks while the unread bytes have reached Config.InputBytes, or those of all connections
// Config.Unread.
func (c *Conn) awaitRoom() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isFull() {
		c.backlog = ExcessBacklog
	}
	for c.isFull() && !c.deadlinePassed && c.readErr == nil {
		c.changed.Wait()
	}
	if c.readErr != nil {
		return c.readErr
	}
	if c.deadlinePassed {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// isFull reports whether no more may be read ahead for now. The lock is held.
func (c *Conn) isFull() bool {
	return len(c.unreadBytes) >= c.config.InputBytes || len(c.unreadBytes) >= minUnreadBytes && c.config.Unread.IsExhausted()
}

// storeUnread appends bytes to the unread bytes, unless the connection has failed. The lock is held.
func (c *Conn) storeUnread(text []byte) {
	if c.readErr != nil {
		return
	}
	c.unreadBytes = append(c.unreadBytes, text...)
	c.config.Unread.Reserve(int64(len(text)))
	c.unreadAt = time.Now()
}

// storeRead appends bytes that were read ahead to the unread bytes, and fails the
// connection on an error other than a timeout.
func (c *Conn) storeRead(text []byte, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(text) > 0 {
		c.storeUnread(text)
	}
	if err != nil && !isTimeout(err) {
		c.failRead(err)
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// failRead drops all calls and the unread bytes, and makes later reads fail with the given
// error or an earlier one. The lock is held.
func (c *Conn) failRead(err error) {
	if c.readErr == nil {
		c.readErr = err
	}
	for _, call := range append(c.queuedCalls, c.pendingCall, c.servingCall) {
		if call != nil {
			call.drop()
		}
	}
	c.config.Unread.Release(int64(len(c.unreadBytes)))
	c.queuedCalls, c.queuedBytes, c.unreadBytes = nil, 0, nil
	c.changed.Broadcast()
}

// startCalls starts the complete requests among the unread bytes, up to the first one
// that must wait for its turn.
func (c *Conn) startCalls() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.readErr == nil && !c.blocked && c.backlog == NoBacklog && len(c.queuedCalls) < c.config.Calls {
		text := c.unreadBytes[c.queuedBytes:]
		size := headLength(text)
		if size < 0 {
			return
		}
		call := c.newCall(text[:size])
		if call == nil {
			c.blocked = true
			return
		}
		c.queuedCalls = append(c.queuedCalls, call)
		c.queuedBytes += size
		if c.config.OnStart != nil {
			c.config.OnStart(len(c.queuedCalls))
		}
		go call.run(c.config.Handler)
	}
}

// newCall returns the call for the request with the given head, or nil if the request
// must wait for its turn.
func (c *Conn) newCall(head []byte) *Call {
	if headFraming := readFraming(head); !headFraming.isKnown || headFraming.bodyLength > 0 {
		return nil
	}
	release, admitted := c.config.Admit(head)
	if !admitted {
		return nil
	}
	request, err := parseHead(head)
	if err != nil || !c.config.MayRunAhead(request) {
		release()
		return nil
	}
	request.RemoteAddr = c.RemoteAddr().String()
	return newCall(c.baseContext, request, len(head), release, c.config)
}
