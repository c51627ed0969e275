package hollow

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/snapshot"
)

// TestClaimsAreHeldAgainstThoseThatServe guards a found fault of the check: a
// daemon that had started and held a version, but no lease yet, counted.
func TestClaimsAreHeldAgainstThoseThatServe(t *testing.T) {
	is := is.New(t)
	serving := map[string]bool{}
	observer := NewObserver(func(id string) bool { return serving[id] })
	observer.Swapped("old", &snapshot.Snapshot{Version: 68, Digest: "a"})
	observer.Swapped("new", &snapshot.Snapshot{Version: 69, Digest: "b"})
	observer.InForce("new", 69)
	found, _ := observer.Violations()
	is.Equal(found, 0)
	serving["old"] = true
	observer.InForce("new", 69)
	found, _ = observer.Violations()
	is.Equal(found, 1)
}
