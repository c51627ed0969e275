// Package compression packs messages and documents in the zstd format. Its
// compressor is shared by the whole process and uses little memory: one for each
// use would hold several megabytes until it is collected.
package compression

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/springstack/springstack/internal/result"
)

const (
	// window is how far back repeated text is found. Routes repeat within a few
	// hundred bytes of each other; a larger window only holds memory.
	window = 128 << 10
	// concurrency is how many messages are packed or unpacked at once. Each more
	// holds about half a megabyte, and a daemon has one processor.
	concurrency = 1
	// maximum bounds the memory of one unpacking; callers give lower limits.
	maximum = 1 << 30
)

// encoder and decoder are safe for concurrent use.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		made, err := zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithEncoderConcurrency(concurrency),
			zstd.WithWindowSize(window),
			zstd.WithSingleSegment(true), // states the size of short payloads too
			zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return made
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		made, err := zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(concurrency),
			zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maximum))
		if err != nil {
			panic(err) // the options are constants
		}
		return made
	})
)

// Append packs a payload and appends the result, which states its size, to a buffer.
func Append(buffer, payload []byte) []byte { return encoder().EncodeAll(payload, buffer) }

// Unpack returns the payload of what Append made. It fails, before it takes memory,
// with a *result.Error of MessageTooLarge when that is longer than limit.
func Unpack(packed []byte, limit int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(packed); err != nil {
		return nil, errors.Annotate(err, "packed message")
	}
	if !header.HasFCS {
		return nil, errors.New("packed message does not state its size")
	}
	if header.FrameContentSize > uint64(limit) {
		return nil, tooLarge(header.FrameContentSize, limit)
	}
	payload, err := decoder().DecodeAll(packed, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, errors.Annotate(err, "packed message")
	}
	if len(payload) > limit {
		return nil, tooLarge(uint64(len(payload)), limit)
	}
	return payload, nil
}

func tooLarge(size uint64, limit int) error {
	return result.New(result.MessageTooLarge, "a packed message of %d bytes exceeds %d", size, limit)
}
