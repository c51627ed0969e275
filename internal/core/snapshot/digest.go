package snapshot

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/springstack/springstack/internal/core/resource"
)

// DigestOf returns the digest of a set of resources that is sorted by key. It
// covers every key and every payload's digest, so that two sets with the same
// digest hold the same configuration.
func DigestOf(sorted []resource.Encoded) resource.Digest {
	hash := sha256.New()
	var fields []byte
	for _, one := range sorted {
		fields = appendEnded(fields[:0], string(one.Key.Partner))
		fields = appendEnded(fields, string(one.Key.Kind))
		fields = appendEnded(fields, one.Key.Name)
		fields = appendEnded(fields, string(one.Digest))
		_, _ = hash.Write(fields) // never fails
	}
	return resource.Digest(hex.EncodeToString(hash.Sum(nil)))
}

// appendEnded ends each field with a zero byte, which no name may hold.
func appendEnded(fields []byte, field string) []byte {
	return append(append(fields, field...), 0)
}
