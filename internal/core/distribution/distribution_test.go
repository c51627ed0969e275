package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/protocol"
)

const lease = 10 * time.Second

func member(zone, id string, incarnation protocol.Incarnation) protocol.Member {
	return protocol.Member{ID: protocol.NodeID(id), Incarnation: incarnation, State: protocol.MemberAlive, Region: "windhoek", Zone: zone}
}

func aggregate(acks ...protocol.Acknowledgement) []protocol.Acknowledgement {
	aggregator := distribution.NewAcknowledgementAggregator()
	for _, ack := range acks {
		aggregator.Add(ack)
	}
	return aggregator.List()
}

// No version is confirmed if a member is missing, duplicate, unknown or of another
// incarnation.
func TestConfirmedVersionNeedsExactlyTheExpectedMembers(t *testing.T) {
	is := is.New(t)
	a, b, c := member("x", "a", 1), member("x", "b", 1), member("y", "c", 1)
	expected := distribution.NewExpectedMembers("windhoek", []protocol.Member{a, b, c})
	acknowledge := distribution.MemberAcknowledgement
	is.Equal(expected.ConfirmedVersion(aggregate(acknowledge(a, 7), acknowledge(b, 8), acknowledge(c, 9))), protocol.Version(7))
	is.Equal(expected.ConfirmedVersion(aggregate(aggregate(acknowledge(a, 7), acknowledge(c, 9))[0], acknowledge(b, 8), acknowledge(c, 9))), protocol.Version(7)) // aggregates of aggregates
	mismatching := [][]protocol.Acknowledgement{
		aggregate(acknowledge(a, 7), acknowledge(c, 9)),
		aggregate(acknowledge(a, 7), acknowledge(a, 7), acknowledge(c, 9)),
		aggregate(acknowledge(a, 7), acknowledge(b, 8), acknowledge(c, 9), acknowledge(member("x", "d", 1), 9)),
		aggregate(acknowledge(a, 7), acknowledge(member("x", "b", 2), 8), acknowledge(c, 9)),
		aggregate(acknowledge(a, 7), acknowledge(b, 8)),
		nil,
	}
	for _, acks := range mismatching {
		is.Equal(expected.ConfirmedVersion(acks), protocol.Version(0))
	}
	dead := b
	dead.State = protocol.MemberDead
	withoutDead := distribution.NewExpectedMembers("windhoek", []protocol.Member{a, dead, c})
	is.Equal(withoutDead.ConfirmedVersion(aggregate(acknowledge(a, 7), acknowledge(c, 9))), protocol.Version(7)) // dead members are not expected
}

func TestAggregateListsMembersBehind(t *testing.T) {
	is := is.New(t)
	var acks []protocol.Acknowledgement
	for i := range 40 {
		acks = append(acks, distribution.MemberAcknowledgement(member("x", fmt.Sprint("m", i), 1), protocol.Version(3+i/20)))
	}
	list := aggregate(acks...)
	is.Equal(len(list), 1)
	is.Equal(list[0].Count, uint32(40))
	is.Equal(list[0].Minimum, protocol.Version(3))
	is.Equal(len(list[0].Behind), protocol.MaxListedNodes)
}

// A version may be declared in force at once only if the keepers knew of no other root.
func TestReleaseIsFencedIfAnotherRootMayExist(t *testing.T) {
	is := is.New(t)
	tracker := distribution.NewReleaseTracker(lease)
	tracker.RecordRelease(0, 4, true)
	tracker.RecordRelease(time.Second, 5, false)
	is.Equal(tracker.DeclarableVersion(2*time.Second), protocol.Version(4))
	is.Equal(tracker.DeclarableVersion(time.Second+lease), protocol.Version(4)) // the clock margin has not passed yet
	is.Equal(tracker.DeclarableVersion(time.Second+distribution.LeaseWithMargin(lease)), protocol.Version(5))
}

func keepers(write int, ids ...protocol.NodeID) protocol.KeeperSet {
	set := protocol.KeeperSet{Write: write, Read: len(ids) - write + 1}
	for _, id := range ids {
		set.Members = append(set.Members, protocol.KeeperMember{ID: id})
	}
	return set
}

// A root is partitioned while another root stores a newer version at a write quorum.
func TestRootLeaseEndsWhenANewerVersionIsStored(t *testing.T) {
	is := is.New(t)
	set := keepers(3, "a", "b", "c", "d")
	root := distribution.NewRootLease(lease)
	reply := func(id protocol.NodeID, at time.Duration, stored protocol.Version, otherRoot bool) {
		root.RecordReply(id, at, &protocol.StoreReply{Stored: stored, OtherRoot: otherRoot})
	}
	reply("a", 1*time.Second, 4, false)
	is.Equal(root.GrantUntil(4, set), time.Duration(0)) // no read quorum yet
	reply("b", 2*time.Second, 4, false)
	is.Equal(root.GrantUntil(4, set), time.Second+lease) // the oldest reply of the quorum counts
	is.True(!root.IsOnlyRoot(time.Second, set))          // no write quorum yet
	reply("c", 3*time.Second, 4, false)
	reply("d", 4*time.Second, 4, true)
	is.Equal(root.GrantUntil(4, set), 3*time.Second+lease)
	is.True(root.IsOnlyRoot(time.Second, set))
	is.True(!root.IsOnlyRoot(2*time.Second, set)) // d knows of another root

	reply("b", 5*time.Second, 5, false)
	reply("c", 5*time.Second, 5, false)
	reply("d", 5*time.Second, 5, false)
	is.Equal(root.GrantUntil(4, set), time.Duration(0)) // a newer version is stored at a quorum
	reply("b", 2*time.Second, 4, false)
	is.Equal(root.GrantUntil(4, set), time.Duration(0))                       // a late reply to an older request is ignored
	is.Equal(root.GrantUntil(5, set, keepers(2, "x", "y")), time.Duration(0)) // both sets must agree
}

func TestTreeRolesAndParentCandidates(t *testing.T) {
	is := is.New(t)
	var members []protocol.Member
	for i := range 60 {
		members = append(members, member(fmt.Sprint("zone-", i%2), fmt.Sprint("m", i), 1))
	}
	members[11].Reader = true
	members[12].State = protocol.MemberDead
	tree := distribution.NewTree(members[5], members, 24)
	is.Equal(len(tree.Relays("zone-0")), 2)
	is.Equal(len(tree.Relays("zone-1")), 2)
	is.Equal(tree.RootCandidates()[0].ID, members[11].ID) // readers rank first
	newRelays := 0
	for i := range 200 {
		joining := member("zone-0", fmt.Sprint("new", i), 1)
		treeAfterJoin := distribution.NewTree(members[5], append(slices.Clone(members), joining), 24)
		is.Equal(tree.WouldBeRelay(joining), treeAfterJoin.IsRelay(joining)) // predicts the role after joining
		newRelays += lo.Ternary(treeAfterJoin.IsRelay(joining), 1, 0)
	}
	is.True(newRelays > 0 && newRelays < 50)
	parents := tree.ParentCandidates()
	is.Equal(parents[0].Zone, "zone-1") // relays of the own zone come first
	is.Equal(parents[1].Zone, "zone-1")
	for _, parent := range parents {
		is.True(parent.ID != members[5].ID && parent.ID != members[12].ID)
	}
}

func TestBackoffAndSendLimiterBounds(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	backoff := distribution.Backoff{Base: time.Second, Max: 8 * time.Second}
	longestWait := time.Duration(0)
	for failures := range 200 {
		wait := backoff.Wait(random, failures)
		is.True(wait > 0 && wait <= backoff.Max)
		longestWait = max(longestWait, wait)
	}
	is.True(longestWait > backoff.Max/2)

	limiter := distribution.NewSendLimiter(100, 200)
	_, admitted := limiter.Admit(0, 150)
	is.True(admitted)
	wait, admitted := limiter.Admit(0, 150)
	is.True(!admitted)
	is.Equal(wait, time.Second)
	_, admitted = limiter.Admit(wait, 150)
	is.True(admitted)
	_, admitted = limiter.Admit(10*time.Second, 1000)
	is.True(admitted) // larger than the bucket, but the bucket is full
}
