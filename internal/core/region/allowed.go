// Package region holds which regions a call may run in. It reads no clock and draws no random
// numbers.
package region

import (
	"slices"

	"github.com/samber/lo"
)

// Allowed says in which regions calls may run and their bodies may be held. The zero value
// allows all. It is immutable.
type Allowed struct {
	restricted bool
	// names are sorted and distinct.
	names []string
}

// Of makes it of a route's list: nil allows all regions, an empty list none.
func NewAllowed(names []string) Allowed {
	if names == nil {
		return Allowed{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Allowed{restricted: true, names: slices.Compact(sorted)}
}

// Restricted tells whether some region may be barred.
func (a Allowed) Restricted() bool { return a.restricted }

// Names are the regions allowed, sorted; of use only where it is restricted.
func (a Allowed) Names() []string { return a.names }

// Has tells whether calls may run in a region.
func (a Allowed) Has(name string) bool {
	return !a.restricted || slices.Contains(a.names, name)
}

// Equal tells whether both allow the same.
func (a Allowed) Equal(other Allowed) bool {
	return a.restricted == other.restricted && slices.Equal(a.names, other.names)
}

// Both allows what each of two allows: the stricter binds.
func (a Allowed) Intersect(other Allowed) Allowed {
	switch {
	case !a.restricted:
		return other
	case !other.restricted || a.Equal(other):
		return a
	}
	return Allowed{restricted: true, names: lo.Intersect(a.names, other.names)}
}
