package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is one relayed TCP connection.
type connection struct {
	link *Link
	near *net.TCPConn
	far  *net.TCPConn
	// silent is set once nothing of either side reaches the other any more.
	silent atomic.Bool
}

// Sizes of the bytes under way in one direction.
const (
	chunkBytes    = 32 << 10
	chunksInWay   = 128
	lingerAtReset = 0
)

// closedLinger is how long an end of a silent connection is kept after the party there has
// closed its side: one that has only ended its sending is not to see an end meanwhile.
const closedLinger = 2 * time.Second

// chunk is some bytes under way; ended marks the end of the stream.
type chunk struct {
	buffer *[]byte
	size   int
	due    time.Time
	ended  bool
}

var chunkPool = sync.Pool{New: func() any {
	buffer := make([]byte, chunkBytes)
	return &buffer
}}

// reset breaks both sides so that the peers see a connection reset.
func (c *connection) reset() {
	resetConn(c.near)
	resetConn(c.far)
}

// breakOff resets both sides, unless the connection is silent: then neither learns
// of the other's end.
func (c *connection) breakOff() {
	if !c.silent.Load() {
		c.reset()
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	// Errors mean that it is closed already.
	_ = conn.SetLinger(lingerAtReset)
	_ = conn.Close()
}

// relay carries one direction until it ends. No byte arrives before the
// handshake time has passed.
func (c *connection) relay(direction Direction, from, to *net.TCPConn, handshake time.Time) {
	if c.link.config.Latency == 0 {
		c.relayAtOnce(direction, from, to, handshake)
		return
	}
	chunks := make(chan chunk, chunksInWay)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		c.deliver(direction, to, chunks)
	}()
	c.collect(from, chunks, handshake)
	<-delivered
}

// collect reads chunks and stamps when they are due at the other side.
func (c *connection) collect(from *net.TCPConn, chunks chan<- chunk, handshake time.Time) {
	defer close(chunks)
	defer c.endedBy(from)
	for {
		buffer := chunkPool.Get().(*[]byte)
		size, err := from.Read(*buffer)
		departure := time.Now()
		if departure.Before(handshake) {
			departure = handshake
		}
		due := departure.Add(c.link.config.Latency)
		if size > 0 {
			chunks <- chunk{buffer: buffer, size: size, due: due}
		}
		if err == io.EOF {
			chunks <- chunk{due: due, ended: true}
			return
		}
		if err != nil {
			return
		}
	}
}

// endedBy frees the end of a silent connection that the party there has closed. The other one
// does not learn of it.
func (c *connection) endedBy(from *net.TCPConn) {
	if !c.silent.Load() {
		return
	}
	c.link.later(closedLinger, func() {
		// An error means that it is closed already.
		_ = from.Close()
	})
}

// deliver writes chunks when they are due. It drains the channel to its end,
// so that collect never blocks for ever.
func (c *connection) deliver(direction Direction, to *net.TCPConn, chunks <-chan chunk) {
	broken, ended := false, false
	for next := range chunks {
		if !broken {
			broken = !c.sleepUntil(next.due) || !c.pass(direction, to, next)
		}
		ended = ended || next.ended
		if next.buffer != nil {
			chunkPool.Put(next.buffer)
		}
	}
	if !ended {
		c.breakOff()
	}
}

// sleepUntil waits until a chunk is due. Silent connections have nothing to wait for.
func (c *connection) sleepUntil(due time.Time) bool {
	if c.silent.Load() {
		return true
	}
	return c.link.sleep(time.Until(due))
}

// pass hands one chunk over; false when the connection broke.
func (c *connection) pass(direction Direction, to *net.TCPConn, next chunk) bool {
	if !c.link.waitHealed(direction) {
		return false
	}
	if c.silent.Load() {
		return !next.ended
	}
	if next.ended {
		return to.CloseWrite() == nil
	}
	size, reset := c.link.allowance(direction, next.size)
	_, err := to.Write((*next.buffer)[:size])
	if reset || err != nil {
		c.breakOff()
		return false
	}
	return true
}

// relayAtOnce carries a direction without latency in one goroutine.
func (c *connection) relayAtOnce(direction Direction, from, to *net.TCPConn, handshake time.Time) {
	buffer := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buffer)
	defer c.endedBy(from)
	for {
		size, err := from.Read(*buffer)
		if !c.link.sleep(time.Until(handshake)) {
			c.reset()
			return
		}
		if size > 0 && !c.pass(direction, to, chunk{buffer: buffer, size: size}) {
			return
		}
		if err == io.EOF {
			c.pass(direction, to, chunk{ended: true})
			return
		}
		if err != nil {
			c.breakOff()
			return
		}
	}
}
