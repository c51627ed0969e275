package control

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/springstack/springstack/internal/result"
)

// A frame is one byte of flags, four bytes of length (big endian) and the
// payload: one or more whole gob messages.
const frameHeaderBytes = 5

// The flags of a frame.
const (
	frameRaw        byte = 0
	frameCompressed byte = 1
)

// compressFrom is the payload size from which compression is tried.
const compressFrom = 512

// compressors are shared: EncodeAll and DecodeAll are safe for concurrent use.
var (
	frameEncoder = sync.OnceValue(func() *zstd.Encoder {
		encoder, err := zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithEncoderConcurrency(2),
			zstd.WithWindowSize(128<<10),
			zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return encoder
	})
	frameDecoder = sync.OnceValue(func() *zstd.Decoder {
		decoder, err := zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(2),
			zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(uint64(DefaultLimits().ReplyBytes)))
		if err != nil {
			panic(err) // the options are constants
		}
		return decoder
	})
)

// encodeFrame appends a frame with payload to buffer, compressed when that is
// shorter. already says that the payload is mostly compressed data.
func encodeFrame(buffer []byte, payload []byte, already bool) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	flags := frameRaw
	if len(payload) >= compressFrom && !already {
		buffer = frameEncoder().EncodeAll(payload, buffer)
		flags = frameCompressed
	}
	if flags == frameRaw || len(buffer)-start-frameHeaderBytes >= len(payload) {
		buffer = append(buffer[:start+frameHeaderBytes], payload...)
		flags = frameRaw
	}
	buffer[start] = flags
	binary.BigEndian.PutUint32(buffer[start+1:], uint32(len(buffer)-start-frameHeaderBytes))
	return buffer
}

// readFrame reads one frame and returns its payload and its size on the wire.
// The payload is never longer than limit, and memory is taken only as bytes
// arrive. begun is called after the first byte.
func readFrame(reader io.Reader, limit int, begun func()) (payload []byte, wire int, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:1]); err != nil {
		return nil, 0, err
	}
	begun()
	if _, err := io.ReadFull(reader, header[1:]); err != nil {
		return nil, 0, unexpected(err)
	}
	length := binary.BigEndian.Uint32(header[1:])
	if int64(length) > int64(limit) {
		return nil, 0, tooLarge(int64(length), limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, reader, int64(length)); err != nil {
		return nil, 0, unexpected(err)
	}
	wire = frameHeaderBytes + int(length)
	switch header[0] {
	case frameRaw:
		return body.Bytes(), wire, nil
	case frameCompressed:
		payload, err := decompress(body.Bytes(), limit)
		return payload, wire, err
	}
	return nil, 0, errors.Errorf("frame flags %#x are not known", header[0])
}

// decompress expands a payload to at most limit bytes. The size is taken from
// the compressed header and checked first; a payload without one is refused.
func decompress(compressed []byte, limit int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(compressed); err != nil {
		return nil, errors.Annotate(err, "compressed frame")
	}
	if !header.HasFCS {
		return nil, errors.New("compressed frame does not state its size")
	}
	if header.FrameContentSize > uint64(limit) {
		return nil, tooLarge(int64(header.FrameContentSize), limit)
	}
	payload, err := frameDecoder().DecodeAll(compressed, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, errors.Annotate(err, "compressed frame")
	}
	if len(payload) > limit {
		return nil, tooLarge(int64(len(payload)), limit)
	}
	return payload, nil
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
