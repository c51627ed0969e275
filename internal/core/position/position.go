// Package position defines positions in the change history of an external store. When a store is
// restored from an older copy, its revision decreases, revision numbers are assigned again to other
// changes, and its era is raised. Only era and revision together determine which of two positions is
// newer.
package position

import (
	"cmp"
	"fmt"
)

// Position is a position in the change history of a store. The zero value precedes all changes.
type Position struct {
	// Era grows each time the store is restored from an older copy; 0 if the store reports no era.
	Era uint64
	// Revision is the number that the store gave the change; it may recur in a later era.
	Revision uint64
}

// Compare returns a negative number for a position before the other, a positive one for a position
// after it, and 0 for equal positions. All positions of an era follow those of earlier eras.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position precedes another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsEraStart reports whether the position precedes all changes of its era. It may be any era, not
// only the first.
func (p Position) IsEraStart() bool { return p.Revision == 0 }

// Max returns the later of two positions.
func Max(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the position as text for logs.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }
