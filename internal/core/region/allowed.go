// Package region defines the set of regions in which calls may run. It reads no clock and draws
// no random numbers.
package region

import (
	"slices"

	"github.com/samber/lo"
)

// Allowed is the set of regions in which calls may run and their bodies may be stored. The zero
// value allows all regions. Allowed is immutable.
type Allowed struct {
	restricted bool
	// names is sorted and without duplicates.
	names []string
}

// NewAllowed returns the set for a route's list of regions: nil allows all regions, an empty
// list none.
func NewAllowed(names []string) Allowed {
	if names == nil {
		return Allowed{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Allowed{restricted: true, names: slices.Compact(sorted)}
}

// Restricted reports whether only listed regions are allowed.
func (a Allowed) Restricted() bool { return a.restricted }

// Names returns the allowed regions, sorted. It is meaningful only if Restricted is true.
func (a Allowed) Names() []string { return a.names }

// Has reports whether calls may run in a region.
func (a Allowed) Has(name string) bool {
	return !a.restricted || slices.Contains(a.names, name)
}

// Equal reports whether both sets allow the same regions.
func (a Allowed) Equal(other Allowed) bool {
	return a.restricted == other.restricted && slices.Equal(a.names, other.names)
}

// Intersect returns the set of the regions that both sets allow.
func (a Allowed) Intersect(other Allowed) Allowed {
	switch {
	case !a.restricted:
		return other
	case !other.restricted || a.Equal(other):
		return a
	}
	return Allowed{restricted: true, names: lo.Intersect(a.names, other.names)}
}
