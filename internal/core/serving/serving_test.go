package serving

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/protocol"
)

const lease = 10 * time.Second

func keepers(size, write int) protocol.KeeperSet {
	set := protocol.KeeperSet{Write: write, Read: size - write + 1}
	for index := range size {
		set.Members = append(set.Members, protocol.KeeperMember{ID: keeperID(index)})
	}
	return set
}

func keeperID(index int) protocol.NodeID {
	return protocol.NodeID(fmt.Sprintf("keeper-%d", index))
}

func TestGrantNeedsReadQuorum(t *testing.T) {
	is := is.New(t)
	set := keepers(5, 4)
	grantor := NewGrantor(lease)
	grantor.KeeperAnswered(keeperID(0), time.Second, 3)
	_, earned := grantor.GrantUntil(3, set)
	is.True(!earned) // one answer of two
	grantor.KeeperAnswered(keeperID(1), 2*time.Second, 2)
	until, earned := grantor.GrantUntil(3, set)
	is.True(earned)
	is.Equal(until, 11*time.Second) // from the sending of the older call
}

func TestHeadGrantsOnlyItsOwnVersion(t *testing.T) {
	is := is.New(t)
	grantor := NewGrantor(lease)
	grantor.HeadRead(time.Second, 4)
	_, earned := grantor.GrantUntil(3, keepers(5, 4))
	is.True(!earned)
	until, earned := grantor.GrantUntil(4, keepers(5, 4))
	is.True(earned)
	is.Equal(until, 11*time.Second)
}

func TestLeaseWaitsForTheReleasedVersion(t *testing.T) {
	is := is.New(t)
	var held Lease
	_, changed := held.Extend(time.Second, lease, 5, 4)
	is.True(!changed) // version 5 isn't in force here yet
	until, changed := held.Extend(time.Second, lease, 5, 5)
	is.True(changed)
	is.Equal(until, 11*time.Second)
	is.Equal(held.Remaining(12*time.Second), time.Duration(0))
}

// TestNoGrantBelowAStoredVersion lets a stale root read any keepers at any
// time while a version is stored at a write quorum: a grant for a lower version
// never reaches past the fence.
func TestNoGrantBelowAStoredVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		write := rapid.IntRange(size/2+1, size).Draw(t, "write")
		set := keepers(size, write)
		stored := make([]protocol.Version, size)
		grantor := NewGrantor(lease)
		var quorumAt time.Duration
		quorum := false
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond
			keeper := rapid.IntRange(0, size-1).Draw(t, "keeper")
			if rapid.Bool().Draw(t, "store") {
				stored[keeper] = 2
			} else {
				grantor.KeeperAnswered(keeperID(keeper), now, max(1, stored[keeper]))
			}
			holding := 0
			for _, version := range stored {
				if version == 2 {
					holding++
				}
			}
			if !quorum && holding >= write {
				quorum, quorumAt = true, now
			}
			until, earned := grantor.GrantUntil(1, set)
			if quorum && earned && until > quorumAt+Fence(lease) {
				t.Fatalf("grant for version 1 until %v, version 2 stored at %v", until, quorumAt)
			}
		}
	})
}
