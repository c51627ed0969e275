package rollout

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// CompareCanaries defines the order in which back ends become canaries. It is the same on all
// daemons.
func CompareCanaries(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
