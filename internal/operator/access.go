// Package operator is the operators' HTTP API: typed handlers over huma that
// turn calls into submissions and questions to the daemon's node. It decides
// who may do and see what; acceptance itself belongs to the ledger.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/resource"
)

// Grant lets whoever holds a token act for a partner.
type Grant struct {
	Partner resource.Partner
	// TokenDigest is the hexadecimal SHA-256 of the token.
	TokenDigest string
}

// Access knows the tokens' digests. It is immutable.
type Access struct {
	grants []grant
}

type grant struct {
	partner resource.Partner
	digest  [sha256.Size]byte
}

// NewAccess checks the grants. A malformed digest or partner is an error.
func NewAccess(grants []Grant) (*Access, error) {
	access := &Access{}
	for i, given := range grants {
		if !resource.ValidName(string(given.Partner)) {
			return nil, errors.NotValidf("partner of grant %d", i)
		}
		digest, err := hex.DecodeString(given.TokenDigest)
		if err != nil || len(digest) != sha256.Size {
			return nil, errors.NotValidf("token digest of grant %d; it is the hexadecimal SHA-256 of the token, which", i)
		}
		access.grants = append(access.grants, grant{partner: given.Partner, digest: [sha256.Size]byte(digest)})
	}
	return access, nil
}

// TokenDigest returns what a Grant holds for a token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Partner returns the partner that an Authorization header stands for. Its
// time does not depend on how much of a token fits: digests are compared, in
// constant time, and all of them are.
func (a *Access) Partner(authorization string) (resource.Partner, bool) {
	scheme, token, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	partner := resource.Partner("")
	for _, granted := range a.grants {
		if subtle.ConstantTimeCompare(granted.digest[:], sum[:]) == 1 {
			partner = granted.partner
		}
	}
	return partner, partner != ""
}
