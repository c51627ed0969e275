package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// hashSize is the length of each half of a signature. Crafting a request with the signature of
// another request is infeasible for 128 bits of SHA-256, so daemons need no shared key.
const hashSize = 16

// Hash is one half of a signature.
type Hash [hashSize]byte

// Signature identifies the content of a request, independent of its request id: all attempts of a
// request have the same signature on all daemons.
type Signature struct {
	// Head is the hash of method, host, target and caller.
	Head Hash
	// Body is the hash of the first BodyBytes of the body; zero if the body is empty.
	Body Hash
}

// BodyBytes is the number of bytes of a body that the signature covers. Daemons buffer this much of
// a body in any case, so computing the signature adds no delay and no memory.
const BodyBytes = 64 << 10

// Head holds the parts of a request other than its body that identify it.
type Head struct {
	Method string
	Host   string
	// Target is the path and query as sent to the back end.
	Target string
	// Caller is the service that sends the request.
	Caller string
}

// headBufferSize is the size, in bytes, up to which a head is hashed without a heap allocation.
const headBufferSize = 512

// Sum returns the hash of the head. The parts are terminated by a zero byte, which none of them can
// contain.
func (h Head) Sum() Hash {
	var buffer [headBufferSize]byte
	encoded := buffer[:0]
	for _, part := range [...]string{h.Method, h.Host, h.Target, h.Caller} {
		encoded = append(encoded, part...)
		encoded = append(encoded, 0)
	}
	return hashBytes(encoded)
}

// SumBody returns the hash of the first BodyBytes of a body; the zero hash for an empty body.
func SumBody(prefix []byte) Hash {
	if len(prefix) == 0 {
		return Hash{}
	}
	return hashBytes(prefix[:min(len(prefix), BodyBytes)])
}

func hashBytes(bytes []byte) Hash {
	digest := sha256.Sum256(bytes)
	return Hash(digest[:hashSize])
}

// Key returns a 64-bit hash of the signature, for use as a map key and in rankings.
func (s Signature) Key() uint64 {
	return binary.BigEndian.Uint64(s.Head[:]) ^ binary.BigEndian.Uint64(s.Body[:])
}

// logBytes is the number of bytes of each half shown in logs.
const logBytes = 6

// String returns the first bytes of the signature's hashes in hexadecimal. Logs show these instead
// of the request, whose content may be confidential.
func (s Signature) String() string {
	head := hex.EncodeToString(s.Head[:logBytes])
	if s.Body == (Hash{}) {
		return head
	}
	return head + "-" + hex.EncodeToString(s.Body[:logBytes])
}
