package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: 1, Stage: rollout.StageCanary}})
	check.Equal(mesh.divide(members)[serviceRef("app")].Stage, rollout.StageCanary)
	now += heldTime
	check.Equal(mesh.divide(members)[serviceRef("app")].Target, "v2")
}

// After some time a completed order divides nothing any more.
func TestACompletedOrderEndsToDivide(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newTestMesh("z")
	mesh.clock = func() time.Duration { return now }
	mesh.rollouts = newRolloutTable(0.1)
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: 1, Stage: rollout.StageCompleted}})
	check.Equal(len(mesh.divide(nil)), 1)
	now += completedTime + time.Second
	check.Equal(len(mesh.divide(nil)), 0)
}

// Where orders are not followed, nothing is divided and nothing remembered.
func TestWithoutOrdersNothingIsDivided(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z")
	check.Equal(len(mesh.divide([]protocol.Member{atVersion("v1"), atVersion("v2")})), 0)
	check.Equal(len(mesh.rollouts.seen), 0)
}

// The versions that are remembered are bounded.
func TestSeenVersionsAreBounded(t *testing.T) {
	check := is.New(t)
	table := newRolloutTable(0.1)
	for number := range 10 * versionLimit {
		table.heldFor(time.Duration(number)*time.Minute, serviceRef("app"), fmt.Sprint(number))
	}
	check.Equal(len(table.seen[serviceRef("app")]), versionLimit)
}
