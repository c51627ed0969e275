package hollow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

func held(version protocol.Version, digest resource.Digest) *snapshot.Snapshot {
	return &snapshot.Snapshot{Version: version, Digest: digest}
}

// always serves.
func always(string) bool { return true }

func violations(o *Observer) int {
	found, _ := o.Violations()
	return found
}

func TestObserverSeesAProxyGoBackAlsoOverARestart(t *testing.T) {
	is := is.New(t)
	o := NewObserver(always)
	o.Swapped("a", held(2, "x"))
	o.Down("a")
	o.Swapped("a", held(2, "x"))
	is.Equal(violations(o), 0)
	o.Down("a")
	o.Swapped("a", held(1, "w"))
	is.Equal(violations(o), 1)
}

func TestObserverSeesTwoContentsOfOneVersion(t *testing.T) {
	is := is.New(t)
	o := NewObserver(always)
	o.Swapped("a", held(2, "x"))
	o.Swapped("b", held(2, "y"))
	is.Equal(violations(o), 1)
}

func TestObserverSeesAClaimThatIsNotTrue(t *testing.T) {
	is := is.New(t)
	o := NewObserver(always)
	o.Swapped("a", held(2, "x"))
	o.Swapped("b", held(1, "w"))
	o.InForce("a", 1)
	is.Equal(violations(o), 0)
	o.InForce("a", 2)
	is.Equal(violations(o), 1)
	o.Down("b")
	o.InForce("a", 2) // a proxy that is down serves nothing older
	is.Equal(violations(o), 1)
}

func TestClaimMayPassOverAProxyThatDoesNotServe(t *testing.T) {
	is := is.New(t)
	o := NewObserver(func(id string) bool { return id != "b" })
	o.Swapped("a", held(2, "x"))
	o.Swapped("b", held(1, "w"))
	o.InForce("a", 2)
	is.Equal(violations(o), 0)
}

func TestConvergedWaitsForEveryProxyThatIsExpected(t *testing.T) {
	is := is.New(t)
	o := NewObserver(always)
	o.Expect(2)
	o.Accepted(3, time.Now())
	o.Swapped("a", held(3, "x"))
	_, done := o.Converged(3, 0)
	is.True(!done)
	o.Swapped("b", held(4, "y"))
	_, done = o.Converged(3, 0)
	is.True(done) // a newer version counts
	_, done = o.Converged(4, 0)
	is.True(!done)
}
