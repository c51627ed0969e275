package snapshot

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/springstack/springstack/internal/core/resource"
)

// DigestOf returns the digest of a set of resources that is sorted by key. It
// covers all keys and all payload digests, so two sets with the same digest hold
// the same configuration.
func DigestOf(sorted []resource.Encoded) resource.Digest {
	hash := sha256.New()
	var fields []byte
	for _, entry := range sorted {
		fields = appendTerminated(fields[:0], string(entry.Key.Partner))
		fields = appendTerminated(fields, string(entry.Key.Kind))
		fields = appendTerminated(fields, entry.Key.Name)
		fields = appendTerminated(fields, string(entry.Digest))
		_, _ = hash.Write(fields) // never fails
	}
	return resource.Digest(hex.EncodeToString(hash.Sum(nil)))
}

// appendTerminated appends a field and a zero byte, which no field may contain.
func appendTerminated(fields []byte, field string) []byte {
	return append(append(fields, field...), 0)
}
