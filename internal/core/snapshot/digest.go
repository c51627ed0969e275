package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/springstack/springstack/internal/core/resource"
)

// DigestOf returns the digest of a set of resources that is sorted by key. It
// covers every key and every payload's digest, so that two sets with the same
// digest hold the same configuration.
func DigestOf(sorted []resource.Encoded) resource.Digest {
	hash := sha256.New()
	for _, one := range sorted {
		writeField(hash, string(one.Key.Partner))
		writeField(hash, string(one.Key.Kind))
		writeField(hash, one.Key.Name)
		writeField(hash, string(one.Digest))
	}
	return resource.Digest(hex.EncodeToString(hash.Sum(nil)))
}

// writeField ends each field with a zero byte, which no name may hold.
func writeField(hash io.Writer, field string) {
	_, _ = io.WriteString(hash, field)
	_, _ = hash.Write([]byte{0})
}
