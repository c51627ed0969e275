package proxy

import (
	"context"
	"io"

	"github.com/springstack/springstack/internal/core/quarantine"
)

func (u *upload) keepBytes(bytes []byte) {
	if u.overflow {
		return
	}
	if len(u.kept)+len(bytes) > u.keepLimit {
		u.overflow = true
		if u.needsHash {
			u.prefixHash = quarantine.SumBody(append(u.kept, bytes...)[:u.signatureBytes()])
		}
		u.kept = nil
		return
	}
	u.kept = append(u.kept, bytes...)
}

// sign has the first bytes of a body hashed, whatever its length.
func (u *upload) requireHash() {
	if u == nil {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.needsHash = true
}

// signed is the hash of the body's first bytes; false while they have not come, or when
// the body was discarded.
func (u *upload) signatureHash() (quarantine.Hash, bool) {
	if u == nil {
		return quarantine.Hash{}, true
	}
	if !u.mutex.TryLock() {
		return quarantine.Hash{}, false
	}
	defer u.mutex.Unlock()
	if u.overflow {
		return u.prefixHash, u.prefixHash != quarantine.Hash{}
	}
	return quarantine.SumBody(u.kept), u.readErr == io.EOF || len(u.kept) == u.signatureBytes()
}

// signedBytes is how much of the body counts for the signature: what can be kept of it.
func (u *upload) signatureBytes() int { return min(u.keepLimit, quarantine.BodyBytes) }

// awaitSigned reads the body's first bytes, which are kept, as far as they count for the
// signature. It does not while an attempt that was given up still reads.
func (u *upload) awaitSignatureBytes(ctx context.Context) {
	if u == nil || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.needsHash = true
	buffer := make([]byte, signatureReadBytes)
	for u.readErr == nil && !u.overflow && ctx.Err() == nil && len(u.kept) < u.signatureBytes() {
		_, _ = u.read(buffer[:min(len(buffer), u.signatureBytes()-len(u.kept))]) // keeps what it reads, and how it ended
	}
}
