package control

import (
	"bytes"
	"encoding/gob"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// encoding is how the messages of a connection are written.
type encoding byte

// The encodings.
const (
	// encodingGob sends the definitions of its types once a connection. Defining and compiling them
	// costs far more than a message, so it suits connections that are kept.
	encodingGob encoding = iota + 1
	// encodingCBOR sends messages that need no definitions (RFC 8949).
	encodingCBOR
)

// stream encodes and decodes the messages of one connection.
type stream interface {
	encoding() encoding
	// encode appends values to a buffer.
	encode(output *bytes.Buffer, values ...any) error
	// begin takes a frame's payload, from which decode reads; all of the frame before must have
	// been read.
	begin(payload []byte) error
	// decode reads one value, or skips it if value is nil.
	decode(value any) error
	// remaining returns how many bytes of the payload have not been read.
	remaining() int
}

func newStream(chosen encoding) stream {
	if chosen == encodingCBOR {
		return &cborStream{}
	}
	made := &gobStream{}
	made.decoder = gob.NewDecoder(&made.input)
	made.encoder = gob.NewEncoder(&made.output)
	return made
}

// errFrameNotRead is the error of a frame with more than its messages.
const errFrameNotRead = errors.ConstError("frame holds more than its message")

// gobStream writes messages with encoding/gob.
type gobStream struct {
	input       bytes.Buffer
	decoder     *gob.Decoder
	definitions definitionBudget
	output      bytes.Buffer
	encoder     *gob.Encoder
}

func (*gobStream) encoding() encoding { return encodingGob }

func (g *gobStream) encode(output *bytes.Buffer, values ...any) error {
	g.output.Reset()
	for _, value := range values {
		if err := g.encoder.Encode(value); err != nil {
			return err
		}
	}
	_, err := g.output.WriteTo(output)
	if g.output.Cap() > keptBuffer {
		g.output = bytes.Buffer{}
	}
	return err
}

func (g *gobStream) begin(payload []byte) error {
	if g.input.Len() > 0 {
		return errFrameNotRead
	}
	if err := g.definitions.check(payload); err != nil {
		return err
	}
	g.input = *bytes.NewBuffer(payload)
	return nil
}

func (g *gobStream) decode(value any) error {
	err := g.decoder.Decode(value)
	if g.input.Len() == 0 {
		g.input = bytes.Buffer{} // release the memory of the frame
	}
	return err
}

func (g *gobStream) remaining() int { return g.input.Len() }

// The bounds on what a message may hold. A member's record has fewer than 32 fields; a reply may
// hold the records of a mesh of several thousand daemons.
const (
	maxCBORElements = 1 << 16
	maxCBORPairs    = 1 << 10
	maxCBORDepth    = 16
)

// cborModes hold the options of CBOR, which are valid: tests encode and decode with them.
var (
	cborEncoding, _ = cbor.EncOptions{}.UserBufferEncMode()
	cborDecoding, _ = cbor.DecOptions{
		MaxArrayElements: maxCBORElements, MaxMapPairs: maxCBORPairs, MaxNestedLevels: maxCBORDepth,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
)

// cborStream writes messages in CBOR.
type cborStream struct{ input []byte }

func (*cborStream) encoding() encoding { return encodingCBOR }

func (*cborStream) encode(output *bytes.Buffer, values ...any) error {
	for _, value := range values {
		if err := cborEncoding.MarshalToBuffer(value, output); err != nil {
			return err
		}
	}
	return nil
}

func (c *cborStream) begin(payload []byte) error {
	if len(c.input) > 0 {
		return errFrameNotRead
	}
	c.input = payload
	return nil
}

func (c *cborStream) decode(value any) error {
	if value == nil {
		value = new(cbor.RawMessage)
	}
	rest, err := cborDecoding.UnmarshalFirst(c.input, value)
	c.input = rest
	if len(rest) == 0 {
		c.input = nil // give the frame's memory back
	}
	return err
}

func (c *cborStream) remaining() int { return len(c.input) }
