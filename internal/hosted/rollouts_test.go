package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/rollout"
)

// atVersion is a back end of a service that takes work.
func atVersion(software string) protocol.Member {
	return protocol.Member{Service: serviceRef("app"), Software: software, Endpoint: protocol.EndpointReady}
}

// A version that has just been seen is held back for a moment, but not the first one of a
// service, and an order goes before that.
func TestANewVersionIsHeldUntilItsOrderIsHeardOf(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newTestMesh("z")
	mesh.clock = func() time.Duration { return now }
	mesh.rollouts = newRolloutTable(0.1)
	members := []protocol.Member{atVersion("v1")}
	check.Equal(len(mesh.divide(members)), 0)
	members = append(members, atVersion("v2"))
	check.Equal(mesh.divide(members)[serviceRef("app")].Stage, rollout.StageHeld)
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: position.Position{Revision: 1}, Stage: rollout.StageCanary}})
	check.Equal(mesh.divide(members)[serviceRef("app")].Stage, rollout.StageCanary)
	now += heldLimit
	check.Equal(mesh.divide(members)[serviceRef("app")].Target, "v2")
}

// A version without an order is held back until the orders were read late enough to tell,
// or for heldLimit where the store doesn't tell.
func TestAVersionIsHeldUntilTheOrdersAreKnown(t *testing.T) {
	check := is.New(t)
	versions := newSightings()
	app := serviceRef("app")
	versions.note(time.Minute, []protocol.Member{atVersion("v1")})
	check.Equal(len(versions.held(time.Minute)), 0)
	versions.note(2*time.Minute, []protocol.Member{atVersion("v1"), atVersion("v2")})
	check.Equal(versions.held(2 * time.Minute)[app], "v2")
	versions.confirm(2*time.Minute + heldTime - time.Millisecond) // its order may come yet
	check.Equal(versions.held(2*time.Minute + heldTime)[app], "v2")
	check.Equal(versions.confirmWait(2*time.Minute+time.Second), heldTime-time.Second)
	check.Equal(len(versions.held(2*time.Minute+heldLimit)), 0)
	versions.confirm(2*time.Minute + heldTime)
	check.Equal(len(versions.held(2*time.Minute+heldTime)), 0)
}

// A daemon that starts amid several versions takes the most frequent for the one that was
// there before, and reads the orders at once.
func TestADaemonThatStartsAmidVersionsHoldsTheFewer(t *testing.T) {
	check := is.New(t)
	versions := newSightings()
	versions.note(0, []protocol.Member{atVersion("v2"), atVersion("v1"), atVersion("v1")})
	check.Equal(versions.held(0)[serviceRef("app")], "v2")
	check.Equal(versions.confirmWait(0), time.Duration(0))
	even := newSightings()
	even.note(0, []protocol.Member{atVersion("v2"), atVersion("v1")})
	check.Equal(even.held(0)[serviceRef("app")], "v2")
}

// After some time a completed order divides nothing any more.
func TestACompletedOrderEndsToDivide(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newTestMesh("z")
	mesh.clock = func() time.Duration { return now }
	mesh.rollouts = newRolloutTable(0.1)
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: position.Position{Revision: 1}, Stage: rollout.StageCompleted}})
	check.Equal(len(mesh.divide(nil)), 1)
	now += completedTime + time.Second
	check.Equal(len(mesh.divide(nil)), 0)
}

// Where orders are not followed, nothing is divided and nothing remembered.
func TestWithoutOrdersNothingIsDivided(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z")
	check.Equal(len(mesh.divide([]protocol.Member{atVersion("v1"), atVersion("v2")})), 0)
	check.Equal(len(mesh.rollouts.versions.seen), 0)
}

// The versions that are remembered are bounded.
func TestSeenVersionsAreBounded(t *testing.T) {
	check := is.New(t)
	versions := newSightings()
	for number := range 10 * versionLimit {
		versions.note(time.Duration(number)*time.Minute, []protocol.Member{atVersion(fmt.Sprint(number))})
	}
	check.Equal(len(versions.seen[serviceRef("app")]), versionLimit)
}
