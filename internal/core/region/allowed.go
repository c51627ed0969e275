// Package region defines the set of regions in which calls may run. It reads no clock and draws
// no random numbers.
package region

import (
	"slices"

	"github.com/samber/lo"
)

// Set is the set of regions in which calls may run and their bodies may be stored. The zero
// value allows all regions. A Set is immutable.
type Set struct {
	restricted bool
	// names is sorted and without duplicates.
	names []string
}

// NewSet returns the set of the regions that a route lists: nil allows all regions, an empty
// list none.
func NewSet(names []string) Set {
	if names == nil {
		return Set{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Set{restricted: true, names: slices.Compact(sorted)}
}

// Restricted reports whether only listed regions are allowed.
func (a Set) Restricted() bool { return a.restricted }

// Names returns the allowed regions, sorted. It is meaningful only if Restricted is true.
func (a Set) Names() []string { return a.names }

// Has reports whether calls may run in a region.
func (a Set) Has(name string) bool {
	return !a.restricted || slices.Contains(a.names, name)
}

// Equal reports whether both sets allow the same regions.
func (a Set) Equal(other Set) bool {
	return a.restricted == other.restricted && slices.Equal(a.names, other.names)
}

// Intersect returns the set of the regions that both sets allow.
func (a Set) Intersect(other Set) Set {
	switch {
	case !a.restricted:
		return other
	case !other.restricted || a.Equal(other):
		return a
	}
	return Set{restricted: true, names: lo.Intersect(a.names, other.names)}
}
