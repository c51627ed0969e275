package rollout

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// CompareCanaries compares the names of two back ends by the order in which they become canaries.
// The order is the same on all daemons.
func CompareCanaries(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
