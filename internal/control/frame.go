package control

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/flate"

	"github.com/springstack/springstack/internal/compression"
	"github.com/springstack/springstack/internal/result"
)

// A frame is one byte of flags, four bytes of length (big endian) and the
// payload: one or more whole messages.
const frameHeaderBytes = 5

// The flags of a frame.
const (
	frameRaw byte = 0
	// frameCompressed is a zstd frame that states its size.
	frameCompressed byte = 1
	// frameRelated is deflated with the payload of the frame before, in the same
	// direction of the connection, as dictionary: most fetches differ little
	// from the one before.
	frameRelated byte = 2
	// frameCBOR is set in addition when the messages are in CBOR, else they are in gob.
	frameCBOR byte = 0x40
)

// flagOf returns the flag of an encoding.
func flagOf(used encoding) byte {
	if used == encodingCBOR {
		return frameCBOR
	}
	return 0
}

// encodingOf returns the encoding that the flags of a frame state.
func encodingOf(flags byte) encoding {
	if flags&frameCBOR != 0 {
		return encodingCBOR
	}
	return encodingGob
}

// relatedBytes is how much of the end of a payload serves as dictionary for
// the next one, and the size up to which a payload is deflated with it.
const relatedBytes = 8 << 10

// relation holds the state of one direction of a connection: the end of the last payload, which both
// sides use as the dictionary for the next one.
type relation struct {
	last []byte
}

// follow records a payload as the last one.
func (r *relation) follow(payload []byte) {
	tail := payload[max(0, len(payload)-relatedBytes):]
	r.last = append(r.last[:0], tail...)
}

// encode appends a frame with payload to buffer, compressed when that is
// shorter. already is set if the payload consists mostly of compressed data.
func (r *relation) encode(buffer []byte, payload []byte, used encoding, already bool) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	flags := frameRaw
	switch {
	case already:
	case len(payload) > relatedBytes:
		buffer = compression.Append(buffer, payload)
		flags = frameCompressed
	default:
		out := bytes.NewBuffer(buffer)
		if err := flate.StatelessDeflate(out, payload, true, r.last); err != nil {
			return nil, errors.Annotate(err, "deflating a control message")
		}
		buffer = out.Bytes()
		flags = frameRelated
	}
	if flags == frameRaw || len(buffer)-start-frameHeaderBytes >= len(payload) {
		buffer = append(buffer[:start+frameHeaderBytes], payload...)
		flags = frameRaw
	}
	buffer[start] = flags | flagOf(used)
	binary.BigEndian.PutUint32(buffer[start+1:], uint32(len(buffer)-start-frameHeaderBytes))
	r.follow(payload)
	return buffer, nil
}

// read reads one frame and returns its payload, its encoding and its size on the wire. The
// payload is never longer than limit, and memory is taken only as bytes arrive.
// begun is called after the first byte.
func (r *relation) read(reader io.Reader, limit int, begun func()) (payload []byte, used encoding, wire int, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:1]); err != nil {
		return nil, 0, 0, err
	}
	begun()
	if _, err := io.ReadFull(reader, header[1:]); err != nil {
		return nil, 0, 0, unexpected(err)
	}
	length := binary.BigEndian.Uint32(header[1:])
	if int64(length) > int64(limit) {
		return nil, 0, 0, tooLarge(int64(length), limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, reader, int64(length)); err != nil {
		return nil, 0, 0, unexpected(err)
	}
	wire = frameHeaderBytes + int(length)
	switch header[0] &^ frameCBOR {
	case frameRaw:
		payload = body.Bytes()
	case frameCompressed:
		payload, err = compression.Unpack(body.Bytes(), limit)
	case frameRelated:
		payload, err = inflate(body.Bytes(), r.last, limit)
	default:
		err = errors.Errorf("frame flags %#x are not known", header[0])
	}
	if err != nil {
		return nil, 0, 0, err
	}
	r.follow(payload)
	return payload, encodingOf(header[0]), wire, nil
}

// inflaters are reused, as each holds a window.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// inflate expands a payload that was deflated with a dictionary, to at most
// limit bytes.
func inflate(deflated, dictionary []byte, limit int) ([]byte, error) {
	reader := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(deflated), dictionary); err != nil {
		return nil, errors.Annotate(err, "deflated frame")
	}
	var payload bytes.Buffer
	size, err := io.Copy(&payload, io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotate(err, "deflated frame")
	}
	if size > int64(limit) {
		return nil, tooLarge(size, limit)
	}
	return payload.Bytes(), nil
}

func tooLarge(size int64, limit int) error {
	return result.New(result.MessageTooLarge, "a control message of %d bytes exceeds %d", size, limit)
}

// unexpected turns the end of a stream within a frame into an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
