package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
)

// newPollingMesh returns a mesh of a daemon that may be requested to poll.
func newPollingMesh(now *time.Duration, others ...protocol.Member) *mesh {
	mesh := newTestMesh("z1", others...)
	mesh.clock = func() time.Duration { return *now }
	mesh.isStoreUnavailable = func() bool { return false }
	mesh.pollRequested = make(chan struct{}, 1)
	return mesh
}

// A daemon accepts a request to poll as a substitute for substituteDuration, and refuses it while
// the store does not answer this daemon either.
func TestDaemonPollsAsSubstitute(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newPollingMesh(&now, aliveMember("a", "z1"), aliveMember("b", "z2"), aliveMember("c", "z3"), aliveMember("d", "z4"))
	role := func() pollRole {
		current, _ := mesh.currentPollRole()
		return current
	}
	check.Equal(role(), notPolling)
	check.True(mesh.acceptPollRequest())
	check.Equal(len(mesh.pollRequested), 1)
	check.Equal(role(), substituting)
	now += substituteDuration
	check.Equal(role(), notPolling)
	mesh.recordPoll(false)
	check.True(!mesh.acceptPollRequest()) // this daemon's last poll has just failed
	now += substituteDuration
	check.True(mesh.acceptPollRequest())
	mesh.isStoreUnavailable = func() bool { return true }
	check.True(!mesh.acceptPollRequest())
}

func TestSubstitutesAreNextDaemonsOfZone(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	mesh := newPollingMesh(&now, aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z2"), aliveMember("x", "z1"), aliveMember("y", "z1"))
	ids := func() []protocol.NodeID {
		return lo.Map(mesh.substituteCandidates(), func(peer dissemination.Peer, _ int) protocol.NodeID { return peer.ID })
	}
	check.Equal(ids(), []protocol.NodeID{"x", "y", "a"}) // the id of the mesh's own daemon is m
	mesh.lostPeers["y"] = true
	check.Equal(ids(), []protocol.NodeID{"x", "a", "b"})
}
