package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/lab/precise"
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

// deliver writes chunks when they are due. It drains the channel to its end,
// so that collect never blocks for ever.
func (c *connection) deliver(direction Direction, to *net.TCPConn, chunks <-chan chunk) {
	sleeper, err := precise.NewSleeper()
	if err != nil {
		c.reset()
	} else {
		defer sleeper.Close()
	}
	broken := err != nil
	ended := false
	for next := range chunks {
		if !broken {
			broken = !sleeper.SleepUntil(next.due) || !c.pass(direction, to, next)
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
	for {
		size, err := from.Read(*buffer)
		if !sleepShortly(time.Until(handshake)) {
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

// sleepShortly sleeps on a timer of its own; false when there is none.
func sleepShortly(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	sleeper, err := precise.NewSleeper()
	if err != nil {
		return false
	}
	defer sleeper.Close()
	return sleeper.Sleep(wait)
}
