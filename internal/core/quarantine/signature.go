package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// hashBytes is the length of each half of a signature. 128 bits of SHA-256 can't be met by
// design, so that nobody can make a request that is taken for another one's; no key has to
// be shared among daemons for that.
const hashBytes = 16

// Hash is one half of a signature.
type Hash [hashBytes]byte

// Signature tells what a request asks, whatever its id: two tries of one request have the
// same one on all daemons.
type Signature struct {
	// Head is of method, host, target and caller.
	Head Hash
	// Body is of the first BodyBytes of the body; zero without a body.
	Body Hash
}

// BodyBytes is how much of a body counts for its signature, in bytes. It is what daemons
// keep of a body anyway, so that a longer one is not held up or kept for its signature.
const BodyBytes = 64 << 10

// Head is what a request asks, but for its body.
type Head struct {
	Method string
	Host   string
	// Target is path and query as they are sent to the back end.
	Target string
	// Caller is the service that asks.
	Caller string
}

// headRoom is the length, in bytes, up to which a head is hashed without an allocation.
const headRoom = 512

// Sum hashes the head. The parts can't hold the byte that divides them.
func (h Head) Sum() Hash {
	var room [headRoom]byte
	text := room[:0]
	for _, part := range [...]string{h.Method, h.Host, h.Target, h.Caller} {
		text = append(text, part...)
		text = append(text, 0)
	}
	return sum(text)
}

// SumBody hashes the first bytes of a body; the zero hash stands for none.
func SumBody(first []byte) Hash {
	if len(first) == 0 {
		return Hash{}
	}
	return sum(first[:min(len(first), BodyBytes)])
}

func sum(bytes []byte) Hash {
	digest := sha256.Sum256(bytes)
	return Hash(digest[:hashBytes])
}

// Key is a short form of the signature for memories and rankings.
func (s Signature) Key() uint64 {
	return binary.BigEndian.Uint64(s.Head[:]) ^ binary.BigEndian.Uint64(s.Body[:])
}

// textBytes is how much of each half is shown to people, in bytes.
const textBytes = 6

// String is a short form of the signature for logs; it does not tell what the request asks.
func (s Signature) String() string {
	head := hex.EncodeToString(s.Head[:textBytes])
	if s.Body == (Hash{}) {
		return head
	}
	return head + "-" + hex.EncodeToString(s.Body[:textBytes])
}
