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
func readyMember(software string) protocol.Member {
	return protocol.Member{Service: serviceRef("app"), Software: software, Endpoint: protocol.EndpointReady}
}

// A version that has just been seen is held back for a moment, but not the first one of a
// service, and an order goes before that.
func TestNewVersionIsHeldBackUntilItsOrderIsKnown(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newTestMesh("z")
	mesh.clock = func() time.Duration { return now }
	mesh.rollouts = newRolloutTable(0.1)
	members := []protocol.Member{readyMember("v1")}
	check.Equal(len(mesh.versionSplits(members)), 0)
	members = append(members, readyMember("v2"))
	check.Equal(mesh.versionSplits(members)[serviceRef("app")].Stage, rollout.StageHeld)
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: position.Position{Revision: 1}, Stage: rollout.StageCanary}})
	check.Equal(mesh.versionSplits(members)[serviceRef("app")].Stage, rollout.StageCanary)
	now += maxHoldBackTime
	check.Equal(mesh.versionSplits(members)[serviceRef("app")].Target, "v2")
}

// A version without an order is held back until the orders were read late enough to tell,
// or for heldLimit where the store doesn't tell.
func TestVersionIsHeldBackUntilOrdersAreRead(t *testing.T) {
	check := is.New(t)
	versions := newVersionTracker()
	app := serviceRef("app")
	versions.record(time.Minute, []protocol.Member{readyMember("v1")})
	check.Equal(len(versions.heldBack(time.Minute)), 0)
	versions.record(2*time.Minute, []protocol.Member{readyMember("v1"), readyMember("v2")})
	check.Equal(versions.heldBack(2 * time.Minute)[app], "v2")
	versions.recordOrdersRead(2*time.Minute + maxOrderDelay - time.Millisecond) // its order may come yet
	check.Equal(versions.heldBack(2*time.Minute + maxOrderDelay)[app], "v2")
	check.Equal(versions.ordersReadDelay(2*time.Minute+time.Second), maxOrderDelay-time.Second)
	check.Equal(len(versions.heldBack(2*time.Minute+maxHoldBackTime)), 0)
	versions.recordOrdersRead(2*time.Minute + maxOrderDelay)
	check.Equal(len(versions.heldBack(2*time.Minute+maxOrderDelay)), 0)
}

// A daemon that starts amid several versions takes the most frequent for the one that was
// there before, and reads the orders at once.
func TestDaemonStartedDuringRolloutHoldsBackRarerVersion(t *testing.T) {
	check := is.New(t)
	versions := newVersionTracker()
	versions.record(0, []protocol.Member{readyMember("v2"), readyMember("v1"), readyMember("v1")})
	check.Equal(versions.heldBack(0)[serviceRef("app")], "v2")
	check.Equal(versions.ordersReadDelay(0), time.Duration(0))
	even := newVersionTracker()
	even.record(0, []protocol.Member{readyMember("v2"), readyMember("v1")})
	check.Equal(even.heldBack(0)[serviceRef("app")], "v2")
}

// After some time a completed order divides nothing any more.
func TestCompletedOrderStopsSplittingTraffic(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newTestMesh("z")
	mesh.clock = func() time.Duration { return now }
	mesh.rollouts = newRolloutTable(0.1)
	mesh.mergeRollouts([]rollout.Record{{Service: serviceRef("app"), Target: "v2", Generation: position.Position{Revision: 1}, Stage: rollout.StageCompleted}})
	check.Equal(len(mesh.versionSplits(nil)), 1)
	now += completedSplitTime + time.Second
	check.Equal(len(mesh.versionSplits(nil)), 0)
}

// Where orders are not followed, nothing is divided and nothing remembered.
func TestNoSplitsWhenOrdersAreNotFollowed(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z")
	check.Equal(len(mesh.versionSplits([]protocol.Member{readyMember("v1"), readyMember("v2")})), 0)
	check.Equal(len(mesh.rollouts.versions.firstSeen), 0)
}

// The versions that are remembered are bounded.
func TestSeenVersionsAreBounded(t *testing.T) {
	check := is.New(t)
	versions := newVersionTracker()
	for number := range 10 * maxVersionsPerService {
		versions.record(time.Duration(number)*time.Minute, []protocol.Member{readyMember(fmt.Sprint(number))})
	}
	check.Equal(len(versions.firstSeen[serviceRef("app")]), maxVersionsPerService)
}
