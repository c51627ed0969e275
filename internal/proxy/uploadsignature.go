package proxy

import (
	"context"
	"io"

	"github.com/springstack/springstack/internal/core/quarantine"
)

func (u *upload) remember(bytes []byte) {
	if u.overflow {
		return
	}
	if len(u.kept)+len(bytes) > u.keep {
		u.overflow = true
		if u.signs {
			u.firstHash = quarantine.SumBody(append(u.kept, bytes...)[:u.signedBytes()])
		}
		u.kept = nil
		return
	}
	u.kept = append(u.kept, bytes...)
}

// sign has the first bytes of a body hashed, whatever its length.
func (u *upload) sign() {
	if u == nil {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.signs = true
}

// signed is the hash of the body's first bytes; false while they have not come, or when
// the body was discarded.
func (u *upload) signed() (quarantine.Hash, bool) {
	if u == nil {
		return quarantine.Hash{}, true
	}
	if !u.mutex.TryLock() {
		return quarantine.Hash{}, false
	}
	defer u.mutex.Unlock()
	if u.overflow {
		return u.firstHash, u.firstHash != quarantine.Hash{}
	}
	return quarantine.SumBody(u.kept), u.failure == io.EOF || len(u.kept) == u.signedBytes()
}

// signedBytes is how much of the body counts for the signature: what can be kept of it.
func (u *upload) signedBytes() int { return min(u.keep, quarantine.BodyBytes) }

// awaitSigned reads the body's first bytes, which are kept, as far as they count for the
// signature. It does not while an attempt that was given up still reads.
func (u *upload) awaitSigned(ctx context.Context) {
	if u == nil || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.signs = true
	buffer := make([]byte, signReadBytes)
	for u.failure == nil && !u.overflow && ctx.Err() == nil && len(u.kept) < u.signedBytes() {
		_, _ = u.read(buffer[:min(len(buffer), u.signedBytes()-len(u.kept))]) // keeps what it reads, and how it ended
	}
}
