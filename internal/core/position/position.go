// Package position tells places in the history of an external store's changes apart. A store may
// come back from an older copy: its revisions go back then and are given out again, and its era
// rises. A revision alone says nothing; the two together tell what is newer.
package position

import (
	"cmp"
	"fmt"
)

// Position is a place in the history of a store. The zero value is that before all changes.
type Position struct {
	// Era counts how often the store has come back from an older copy; 0 where it does not tell.
	Era uint64
	// Revision is the store's number of the change, within the era.
	Revision uint64
}

// Compare is below 0 for a position before the other, and above 0 for one after it. All of an
// era come after all of the eras before.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before tells whether the position is before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsStart tells whether no change of the era comes before the position.
func (p Position) IsStart() bool { return p.Revision == 0 }

// Newest is the later of two positions.
func Max(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String is the position for logs.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }
