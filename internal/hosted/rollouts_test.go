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

// readyMember returns the record of a back end of the service app that accepts calls.
func readyMember(software string) protocol.Member {
	return protocol.Member{Service: serviceRef("app"), Software: software, Endpoint: protocol.EndpointReady}
}

// A new version is held back for some time, unless it is the first one of its service. Once its
// order is known, the stage of the order applies instead.
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

// A version without an order is held back until the orders have been read at least maxOrderDelay
// after it was first seen, or for maxHoldBackTime if the store does not answer.
func TestVersionIsHeldBackUntilOrdersAreRead(t *testing.T) {
	check := is.New(t)
	tracker := newVersionTracker()
	app := serviceRef("app")
	tracker.record(time.Minute, []protocol.Member{readyMember("v1")})
	check.Equal(len(tracker.heldBackVersions(time.Minute)), 0)
	tracker.record(2*time.Minute, []protocol.Member{readyMember("v1"), readyMember("v2")})
	check.Equal(tracker.heldBackVersions(2 * time.Minute)[app], "v2")
	tracker.recordOrdersRead(2*time.Minute + maxOrderDelay - time.Millisecond) // too early: its order may still be written
	check.Equal(tracker.heldBackVersions(2*time.Minute + maxOrderDelay)[app], "v2")
	check.Equal(tracker.ordersReadDelay(2*time.Minute+time.Second), maxOrderDelay-time.Second)
	check.Equal(len(tracker.heldBackVersions(2*time.Minute+maxHoldBackTime)), 0)
	tracker.recordOrdersRead(2*time.Minute + maxOrderDelay)
	check.Equal(len(tracker.heldBackVersions(2*time.Minute+maxOrderDelay)), 0)
}

// A daemon that starts while a service runs several versions considers the most frequent one to be
// the established one, and reads the orders at once.
func TestDaemonStartedDuringRolloutHoldsBackRarerVersion(t *testing.T) {
	check := is.New(t)
	tracker := newVersionTracker()
	tracker.record(0, []protocol.Member{readyMember("v2"), readyMember("v1"), readyMember("v1")})
	check.Equal(tracker.heldBackVersions(0)[serviceRef("app")], "v2")
	check.Equal(tracker.ordersReadDelay(0), time.Duration(0))
	tied := newVersionTracker()
	tied.record(0, []protocol.Member{readyMember("v2"), readyMember("v1")})
	check.Equal(tied.heldBackVersions(0)[serviceRef("app")], "v2")
}

// A completed order no longer affects the traffic after completedSplitTime.
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

// A daemon that follows no orders splits no traffic and remembers no versions.
func TestNoSplitsWhenOrdersAreNotFollowed(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z")
	check.Equal(len(mesh.versionSplits([]protocol.Member{readyMember("v1"), readyMember("v2")})), 0)
	check.Equal(len(mesh.rollouts.versions.firstSeen), 0)
}

// The number of remembered versions is bounded.
func TestSeenVersionsAreBounded(t *testing.T) {
	check := is.New(t)
	tracker := newVersionTracker()
	for number := range 10 * maxVersionsPerService {
		tracker.record(time.Duration(number)*time.Minute, []protocol.Member{readyMember(fmt.Sprint(number))})
	}
	check.Equal(len(tracker.firstSeen[serviceRef("app")]), maxVersionsPerService)
}
