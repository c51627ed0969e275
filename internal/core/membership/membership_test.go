package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

func record(id string, incarnation, sequence uint64, state protocol.MemberState) protocol.Member {
	return protocol.Member{ID: protocol.NodeID(id), Incarnation: protocol.Incarnation(incarnation), Sequence: sequence, State: state}
}

func TestMergeOrder(t *testing.T) {
	is := is.New(t)
	steps := []struct {
		member   protocol.Member
		replaces bool
	}{
		{record("a", 5, 1, protocol.MemberAlive), true},
		{record("a", 5, 1, protocol.MemberAlive), false},
		{record("a", 5, 1, protocol.MemberSuspect), true},
		{record("a", 5, 1, protocol.MemberAlive), false},
		{record("a", 5, 2, protocol.MemberAlive), true}, // a higher sequence refutes the suspicion
		{record("a", 5, 1, protocol.MemberDead), false}, // a lower sequence does not replace a higher one
		{record("a", 5, 2, protocol.MemberDead), true},
		{record("a", 4, 9, protocol.MemberAlive), false}, // an earlier incarnation
		{record("a", 6, 1, protocol.MemberAlive), true},
	}
	roster := membership.NewRoster()
	for _, step := range steps {
		is.Equal(roster.Merge(0, step.member, membership.SourceOutside), step.replaces)
	}
	held, found := roster.Get("a")
	is.True(found)
	is.Equal(held, steps[len(steps)-1].member)
}

// TestCursorsConverge copies changes from one roster to another by cursor while records
// are merged, and checks that both hold the same records.
func TestCursorsConverge(t *testing.T) {
	is := is.New(t)
	source, follower := membership.NewRoster(), membership.NewRoster()
	cursor := membership.Cursor(0)
	for i := range 5000 {
		id := fmt.Sprint(i * 7919 % 23)
		source.Merge(0, record(id, 1, uint64(i), protocol.MemberAlive), membership.SourceSubtree)
		if i%13 != 0 {
			continue
		}
		for _, member := range source.Since(cursor) {
			follower.Merge(0, member, membership.SourceOutside)
		}
		cursor = source.Cursor()
		is.Equal(follower.All(), source.All())
	}
	is.Equal(len(source.Since(cursor+100)), 23) // a cursor that was never issued requests all records
	is.Equal(len(follower.SubtreeSince(0)), 0)  // all records are from SourceOutside
	follower.MarkUnreported("3")
	is.Equal(len(follower.SubtreeSince(0)), 1)
}

func TestDeadMembersAreRemovedAfterTheRetention(t *testing.T) {
	is := is.New(t)
	roster := membership.NewRoster()
	roster.Merge(0, record("a", 1, 1, protocol.MemberDead), membership.SourceSubtree)
	roster.Merge(0, record("b", 1, 1, protocol.MemberAlive), membership.SourceSubtree)
	roster.RemoveExpired(membership.TombstoneRetention)
	is.Equal(len(roster.All()), 2)
	roster.RemoveExpired(membership.TombstoneRetention + time.Second)
	is.Equal(len(roster.All()), 1)
}

// TestRankIsStableUnderRemoval removes one of many members: the order of the others does
// not change, which is the purpose of rendezvous hashing.
func TestRankIsStableUnderRemoval(t *testing.T) {
	is := is.New(t)
	var members []protocol.Member
	for i := range 50 {
		members = append(members, record(fmt.Sprint("m", i), 1, 1, protocol.MemberAlive))
	}
	ranked := membership.Rank("relay/x", members)
	removed := ranked[7].ID
	fewer := slices.DeleteFunc(slices.Clone(members), func(m protocol.Member) bool { return m.ID == removed })
	expected := slices.DeleteFunc(slices.Clone(ranked), func(m protocol.Member) bool { return m.ID == removed })
	is.Equal(membership.Rank("relay/x", fewer), expected)
	slices.Reverse(members)
	is.Equal(membership.Rank("relay/x", members), ranked) // the order of the input does not matter
}
