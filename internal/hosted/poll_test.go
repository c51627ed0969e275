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
func pollingMesh(now *time.Duration, others ...protocol.Member) *mesh {
	made := newTestMesh("z1", others...)
	made.clock = func() time.Duration { return *now }
	made.storeFails = func() bool { return false }
	made.pollNow = make(chan struct{}, 1)
	return made
}

// A daemon polls for a poller that the store refuses, for a while, and says so where it can't.
func TestADaemonPollsForOneThatTheStoreRefuses(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	held := pollingMesh(&now, member("a", "z1"), member("b", "z2"), member("c", "z3"), member("d", "z4"))
	role := func() pollRole {
		found, _ := held.pollRole()
		return found
	}
	check.Equal(role(), notPolling)
	check.True(held.pollFor())
	check.Equal(len(held.pollNow), 1)
	check.Equal(role(), substituting)
	now += substituteFor
	check.Equal(role(), notPolling)
	held.notePoll(false)
	check.True(!held.pollFor()) // the store has just refused this one too
	now += substituteFor
	check.True(held.pollFor())
	held.storeFails = func() bool { return true }
	check.True(!held.pollFor())
}

func TestThePollersSubstitutesAreTheNextOfItsZone(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	held := pollingMesh(&now, member("a", "z1"), member("b", "z1"), member("c", "z2"), member("x", "z1"), member("y", "z1"))
	names := func() []protocol.NodeID {
		return lo.Map(held.substitutes(), func(one dissemination.Peer, _ int) protocol.NodeID { return one.ID })
	}
	check.Equal(names(), []protocol.NodeID{"x", "y", "a"}) // it is m itself
	held.lost["y"] = true
	check.Equal(names(), []protocol.NodeID{"x", "a", "b"})
}
