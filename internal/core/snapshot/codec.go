package snapshot

import (
	"encoding/binary"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// MaxDeltaBytes is the maximum size of a delta after decompression. A larger one
// is rejected without being decompressed in full.
const MaxDeltaBytes = 32 << 20

// encoderWindow is the compressor's window in bytes. It is small to save memory.
const encoderWindow = 512 << 10

// change is one entry of a delta: a resource to put or a key to remove.
type change struct {
	key     resource.Key
	removed bool
	payload []byte
}

// compressor and decompressor hold no state between calls and run on the
// caller's goroutine.
var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

func newCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(encoderWindow), zstd.WithEncoderCRC(false))
	if err != nil {
		panic(errors.Annotate(err, "zstd encoder options"))
	}
	return encoder
}

func newDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDeltaBytes))
	if err != nil {
		panic(errors.Annotate(err, "zstd decoder options"))
	}
	return decoder
}

// Operation bytes of an encoded change.
const (
	operationPut    = 1
	operationRemove = 2
)

// encodeChanges writes the changes as length-prefixed fields and compresses
// them. Digests are left out: the receiver computes them from the payloads.
func encodeChanges(changes []change) []byte {
	var encoded []byte
	for _, entry := range changes {
		if entry.removed {
			encoded = append(encoded, operationRemove)
		} else {
			encoded = append(encoded, operationPut)
		}
		encoded = appendField(encoded, []byte(entry.key.Partner))
		encoded = appendField(encoded, []byte(entry.key.Kind))
		encoded = appendField(encoded, []byte(entry.key.Name))
		if !entry.removed {
			encoded = appendField(encoded, entry.payload)
		}
	}
	return compressor.EncodeAll(encoded, nil)
}

func appendField(encoded, field []byte) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(field)))
	return append(encoded, field...)
}

// decodeChanges decodes the output of encodeChanges. It rejects any other input
// with DigestMismatch and never allocates more than MaxDeltaBytes plus a small
// multiple of the input.
func decodeChanges(payload []byte) ([]change, error) {
	decompressed, err := decompressor.DecodeAll(payload, nil)
	if err != nil {
		return nil, result.New(result.DigestMismatch, "delta does not decompress: %v", err)
	}
	fields := fieldReader{rest: decompressed}
	var changes []change
	for len(fields.rest) > 0 && !fields.malformed {
		changes = append(changes, fields.change())
	}
	if fields.malformed {
		return nil, result.New(result.DigestMismatch, "delta is malformed after %d changes", len(changes))
	}
	return changes, nil
}

// fieldReader reads fields from the front of a decompressed delta.
type fieldReader struct {
	rest      []byte
	malformed bool
}

func (f *fieldReader) change() change {
	operation := f.rest[0]
	f.rest = f.rest[1:]
	entry := change{removed: operation == operationRemove}
	if operation != operationPut && operation != operationRemove {
		f.malformed = true
		return entry
	}
	entry.key.Partner = resource.Partner(f.field())
	entry.key.Kind = resource.Kind(f.field())
	entry.key.Name = string(f.field())
	if !entry.removed {
		entry.payload = f.field()
	}
	return entry
}

func (f *fieldReader) field() []byte {
	length, size := binary.Uvarint(f.rest)
	if size <= 0 || length > uint64(len(f.rest)-size) {
		f.malformed = true
		return nil
	}
	end := size + int(length)
	field := f.rest[size:end:end]
	f.rest = f.rest[end:]
	return field
}
