package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
)

// pollingMesh is a mesh that may be asked to poll.
func newPollingMesh(now *time.Duration, others ...protocol.Member) *mesh {
	made := newTestMesh("z1", others...)
	made.clock = func() time.Duration { return *now }
	made.isStoreUnavailable = func() bool { return false }
	made.pollRequested = make(chan struct{}, 1)
	return made
}

// A daemon polls for a poller that the store refuses, for a while, and says so where it can't.
func TestDaemonPollsForOneWhoseStoreReadsFail(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	held := newPollingMesh(&now, aliveMember("a", "z1"), aliveMember("b", "z2"), aliveMember("c", "z3"), aliveMember("d", "z4"))
	role := func() pollRole {
		found, _ := held.currentPollRole()
		return found
	}
	check.Equal(role(), notPolling)
	check.True(held.acceptPollRequest())
	check.Equal(len(held.pollRequested), 1)
	check.Equal(role(), substituting)
	now += substituteDuration
	check.Equal(role(), notPolling)
	held.recordPoll(false)
	check.True(!held.acceptPollRequest()) // the store has just refused this one too
	now += substituteDuration
	check.True(held.acceptPollRequest())
	held.isStoreUnavailable = func() bool { return true }
	check.True(!held.acceptPollRequest())
}

func TestSubstitutesAreNextDaemonsOfZone(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	held := newPollingMesh(&now, aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z2"), aliveMember("x", "z1"), aliveMember("y", "z1"))
	names := func() []protocol.NodeID {
		return lo.Map(held.substituteCandidates(), func(one dissemination.Peer, _ int) protocol.NodeID { return one.ID })
	}
	check.Equal(names(), []protocol.NodeID{"x", "y", "a"}) // it is m itself
	held.lostPeers["y"] = true
	check.Equal(names(), []protocol.NodeID{"x", "a", "b"})
}
