// Package membership keeps the soft-state record of each daemon. It merges records by
// incarnation, sequence and state, keeps a change log that peers read by cursor, and
// ranks members by rendezvous hashing. It does no input or output.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/springstack/springstack/internal/core/protocol"
)

// IncarnationHash returns the hash that identifies one incarnation of a daemon in
// protocol.Acknowledgement.MemberSum.
func IncarnationHash(id protocol.NodeID, incarnation protocol.Incarnation) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(id), uint64(incarnation))
	return xxhash.Sum64(text)
}

// Score returns the rendezvous weight of a member for a purpose, such as the choice of
// a zone's relays. All daemons compute the same score without communication.
func Score(purpose string, id protocol.NodeID) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + string(id))
}

// MaxCapacityClass is the highest capacity class of a machine.
const MaxCapacityClass = 15

// capacityBits is the number of bits of a duty score that hold the capacity class.
const capacityBits = 4

// DutyScore returns the rendezvous weight of a member for a duty that costs more than others have to
// bear, such as that of a zone's relay. Members on machines of a higher capacity class precede all
// others.
func DutyScore(purpose string, id protocol.NodeID, capacityClass uint8) uint64 {
	return uint64(min(capacityClass, MaxCapacityClass))<<(64-capacityBits) | Score(purpose, id)>>capacityBits
}

// RankForDuty returns the members in descending order of duty score for the purpose.
func RankForDuty(purpose string, members []protocol.Member) []protocol.Member {
	return rankBy(members, func(member protocol.Member) uint64 { return DutyScore(purpose, member.ID, member.CapacityClass) })
}

// Rank returns the members in descending order of score for the purpose.
func Rank(purpose string, members []protocol.Member) []protocol.Member {
	return rankBy(members, func(member protocol.Member) uint64 { return Score(purpose, member.ID) })
}

// rankBy returns the members in descending order of score.
func rankBy(members []protocol.Member, score func(protocol.Member) uint64) []protocol.Member {
	type scored struct {
		member protocol.Member
		score  uint64
	}
	list := make([]scored, len(members))
	for i, member := range members {
		list[i] = scored{member: member, score: score(member)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	ranked := make([]protocol.Member, len(list))
	for i, scoredMember := range list {
		ranked[i] = scoredMember.member
	}
	return ranked
}

// Live reports whether a member has neither left nor been marked as dead. A live member
// may still serve, so it is counted: a version is in force only once each live member
// has acknowledged it or can no longer serve an older one.
func Live(member protocol.Member) bool {
	return member.State != protocol.MemberLeft && member.State != protocol.MemberDead
}

// MayBeParent reports whether a member may be a root or relay. A draining member still
// serves and is live, but accepts no children.
func MayBeParent(member protocol.Member) bool {
	return Live(member) && member.State != protocol.MemberDraining
}

// Newer reports whether record a supersedes record b of the same daemon.
func Newer(a, b protocol.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}
