package control

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
)

// largeFrame is the payload size above which frames are decoded one at a time
// in the whole process, so that hostile frames cannot add up.
const largeFrame = 32 << 10

// largeDecodes is held while a large inbound request is decoded.
var largeDecodes sync.Mutex

// wire is one connection: frames with messages in both directions. One goroutine reads; writers are
// serialised by the codecs' mutex.
type wire struct {
	connection net.Conn
	limits     Limits
	meter      *Meter

	readLimit int
	incoming  relation
	lastHeard atomic.Int64

	outgoing relation
	output   bytes.Buffer
	frame    []byte
	// stream is set when the encoding of the connection is known: that of the side that opened it.
	stream atomic.Pointer[stream]
}

// newWire returns the wire of a connection. The zero encoding means that the other side chooses it.
func newWire(connection net.Conn, limits Limits, readLimit int, meter *Meter, chosen encoding) *wire {
	w := &wire{
		connection: connection,
		limits:     limits,
		meter:      meter,
		readLimit:  readLimit,
	}
	if chosen != 0 {
		w.setStream(newStream(chosen))
	}
	return w
}

func (w *wire) setStream(made stream) { w.stream.Store(&made) }

// receive reads the next frame for decode and returns its size on the wire. idle limits the time until
// its first byte arrives; 0 means no limit.
func (w *wire) receive(idle time.Duration) (int, error) {
	deadline := time.Time{}
	if idle > 0 {
		deadline = time.Now().Add(idle)
	}
	if err := w.connection.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	payload, used, size, err := w.incoming.read(w.connection, w.readLimit, func() {
		w.lastHeard.Store(time.Now().UnixNano())
		// A failure shows on the read that follows.
		_ = w.connection.SetReadDeadline(time.Now().Add(w.limits.FrameTimeout))
	})
	if err != nil {
		return 0, err
	}
	if w.stream.Load() == nil {
		w.setStream(newStream(used))
	}
	current := *w.stream.Load()
	if current.encoding() != used {
		return 0, errors.New("the encoding of a connection changed")
	}
	return size, current.begin(payload)
}

// decode reads one value of the current frame, or skips it if value is nil.
func (w *wire) decode(value any) error {
	current := *w.stream.Load()
	if current.remaining() > largeFrame {
		largeDecodes.Lock()
		defer largeDecodes.Unlock()
	}
	return current.decode(value)
}

// send writes header and body as one frame. A failure leaves the stream
// unusable, so the connection is closed.
func (w *wire) send(kind Kind, header, body any) error {
	w.output.Reset()
	current := *w.stream.Load()
	err := current.encode(&w.output, header, body)
	if err != nil {
		w.connection.Close()
		return errors.Annotate(err, "encoding a control message")
	}
	w.frame, err = w.outgoing.encode(w.frame[:0], w.output.Bytes(), current.encoding(), mostlyCompressed(body, w.output.Len()))
	if err != nil {
		w.connection.Close()
		return err
	}
	w.meter.sent(kind, len(w.frame))
	err = w.write(w.frame)
	w.shrink()
	return err
}

func (w *wire) write(frame []byte) error {
	if err := w.connection.SetWriteDeadline(time.Now().Add(w.limits.WriteTimeout)); err != nil {
		return err
	}
	if _, err := w.connection.Write(frame); err != nil {
		w.connection.Close()
		return err
	}
	return nil
}

// keptBuffer is how much of a write buffer is kept between frames.
const keptBuffer = 16 << 10

// shrink releases the memory of a large frame.
func (w *wire) shrink() {
	if cap(w.frame) > keptBuffer {
		w.frame = nil
	}
	if w.output.Cap() > keptBuffer {
		w.output = bytes.Buffer{}
	}
}

// mostlyCompressed reports that most of a message is a delta's payload or a
// document, which was compressed already.
func mostlyCompressed(body any, size int) bool {
	switch reply := body.(type) {
	case *protocol.FetchReply:
		return reply.Delta != nil && 2*len(reply.Delta.Payload) > size
	case *protocol.DocumentReply:
		return 2*len(reply.Compressed) > size
	}
	return false
}
