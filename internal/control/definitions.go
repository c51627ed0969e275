package control

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// maxTypeDefinitions bounds the gob type definitions that a peer may send on
// one connection, because the decoder keeps each one for as long as the
// connection lasts. The five requests and replies need fewer than 60.
const maxTypeDefinitions = 96

// maxDefinitionBytes bounds the bytes of all type definitions of a connection.
const maxDefinitionBytes = 32 << 10

// definitionBudget counts the type definitions of one connection.
type definitionBudget struct {
	count int
	bytes int
}

// check walks over the gob messages of a frame, each a length and a signed
// type id of which a negative one marks a definition, and refuses the frame
// when the connection's budget is spent.
func (b *definitionBudget) check(payload []byte) error {
	for len(payload) > 0 {
		length, used := gobUint(payload)
		if used == 0 || length > uint64(len(payload)-used) {
			return errors.New("gob message does not fit its frame")
		}
		message := payload[used : used+int(length)]
		payload = payload[used+int(length):]
		id, used := gobUint(message)
		if used == 0 {
			return errors.New("gob message has no type")
		}
		if id&1 == 0 {
			continue
		}
		b.count++
		b.bytes += len(message)
		if b.count > maxTypeDefinitions || b.bytes > maxDefinitionBytes {
			return errors.New("too many gob type definitions on one connection")
		}
	}
	return nil
}

// gobUint reads one unsigned integer in gob's encoding (encoding/gob, section
// Encoding Details); used is 0 when the input is malformed.
func gobUint(input []byte) (value uint64, used int) {
	if len(input) == 0 {
		return 0, 0
	}
	if input[0] < 0x80 {
		return uint64(input[0]), 1
	}
	size := -int(int8(input[0]))
	if size > 8 || len(input) < 1+size {
		return 0, 0
	}
	var wide [8]byte
	copy(wide[8-size:], input[1:1+size])
	return binary.BigEndian.Uint64(wide[:]), 1 + size
}
