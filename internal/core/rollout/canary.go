package rollout

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// CompareCanaries orders back ends by who is a canary first, in the same way on all
// daemons.
func CompareCanaries(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
