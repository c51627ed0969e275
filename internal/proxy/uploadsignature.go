package proxy

import (
	"context"
	"io"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// keepBytes appends bytes to those that are kept. If they exceed keepLimit, it drops all of
// them, after hashing the first ones if needsHash is set. The lock is held.
func (u *upload) keepBytes(bytes []byte) {
	if u.overflow {
		return
	}
	total := len(u.keptBytes) + len(bytes)
	if total > u.keepLimit || total > cap(u.keptBytes) && !u.growKept(total) {
		u.overflow = true
		if u.needsHash {
			u.prefixHash = quarantine.SumBody(u.signaturePrefix(bytes))
		}
		u.dropKept()
		return
	}
	u.keptBytes = append(u.keptBytes, bytes...)
}

// signaturePrefix returns the kept bytes, followed by the given ones, as far as they count for the
// signature.
func (u *upload) signaturePrefix(bytes []byte) []byte {
	prefix := append(u.keptBytes, bytes...)
	return prefix[:min(len(prefix), u.signatureBytes())]
}

// requireHash makes keepBytes hash the first bytes of a body that is too long to be kept.
func (u *upload) requireHash() {
	if u == nil {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.needsHash = true
}

// signatureHash returns the hash of the body's first bytes. It returns false if they have
// not been read or were dropped without being hashed, and while an attempt is reading.
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
	return quarantine.SumBody(u.keptBytes), u.readErr == io.EOF || len(u.keptBytes) == u.signatureBytes()
}

// signatureBytes returns how many bytes of the body count for the signature, at most those
// that can be kept.
func (u *upload) signatureBytes() int { return min(u.keepLimit, quarantine.BodyBytes) }

// awaitSignatureBytes reads and keeps the first bytes of the body, those that count for the
// signature. It returns at once while an attempt is reading.
func (u *upload) awaitSignatureBytes(ctx context.Context) {
	if u == nil || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.needsHash = true
	buffer := make([]byte, signatureReadBytes)
	for u.readErr == nil && !u.overflow && ctx.Err() == nil && len(u.keptBytes) < u.signatureBytes() {
		_, _ = u.read(buffer[:min(len(buffer), u.signatureBytes()-len(u.keptBytes))]) // stores the bytes and the error
	}
}
