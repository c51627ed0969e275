package floor

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
)

// MaxKeepers is the largest keeper set.
const MaxKeepers = 8

// writeQuorums is the size of the write quorum, indexed by the size of the set.
var writeQuorums = [MaxKeepers + 1]int{0, 1, 2, 2, 3, 4, 5, 6, 6}

// QuorumSizes returns the quorums of a keeper set of the size: how many keepers
// must store a version before its release, and how many replies suffice to
// determine the floor. Their sum always exceeds the size, so that every read
// quorum shares a keeper with every write quorum. It returns zeros if the size
// is out of range.
func QuorumSizes(size int) (write, read int) {
	if size < 1 || size > MaxKeepers {
		return 0, 0
	}
	write = writeQuorums[size]
	return write, size - write + 1
}

// ActiveSets returns the active sets, whose quorums are all required while the
// given set is the newest: the set itself and, until its change is complete,
// the set that it replaces.
func ActiveSets(set protocol.KeeperSet) []protocol.KeeperSet {
	sets := []protocol.KeeperSet{set}
	if set.Previous != nil {
		sets = append(sets, *set.Previous)
	}
	return sets
}

// HasWriteQuorum reports whether the members for which isCounted returns true
// form a write quorum of each active set.
func HasWriteQuorum(set protocol.KeeperSet, isCounted func(protocol.NodeID) bool) bool {
	return lo.EveryBy(ActiveSets(set), func(active protocol.KeeperSet) bool {
		return active.Write > 0 && countMembers(active, isCounted) >= active.Write
	})
}

// HasReadQuorum reports whether the members for which isCounted returns true form
// a read quorum of each active set.
func HasReadQuorum(set protocol.KeeperSet, isCounted func(protocol.NodeID) bool) bool {
	return lo.EveryBy(ActiveSets(set), func(active protocol.KeeperSet) bool {
		return active.Read > 0 && countMembers(active, isCounted) >= active.Read
	})
}

func countMembers(set protocol.KeeperSet, isCounted func(protocol.NodeID) bool) int {
	return lo.CountBy(set.Members, func(member protocol.KeeperMember) bool { return isCounted(member.ID) })
}

// allMembers returns the members of all active sets, each once.
func allMembers(set protocol.KeeperSet) []protocol.KeeperMember {
	members := lo.FlatMap(ActiveSets(set), func(active protocol.KeeperSet, _ int) []protocol.KeeperMember { return active.Members })
	return lo.UniqBy(members, func(member protocol.KeeperMember) protocol.NodeID { return member.ID })
}

func isMember(set protocol.KeeperSet, id protocol.NodeID) bool {
	return lo.ContainsBy(allMembers(set), func(member protocol.KeeperMember) bool { return member.ID == id })
}

// ChooseKeepers returns the set that should replace a region's keeper set in the
// head, and whether it has to be replaced. current is the set in the head, the
// zero set if there is none; live are the region's members that may be keepers;
// released is the newest version released with current in the head.
//
// A change takes two steps: first the new set is written with the old one as
// Previous; once a version has been released with both in the head, the new set
// is written alone. Until then only the new set may be changed again: the old
// one has to stay Previous until quorums of both sets have stored a version.
//
// The result has the revision of current, so that it is written only if current
// is still in the head.
func ChooseKeepers(region string, current protocol.KeeperSet, live []protocol.Member, released protocol.Version) (protocol.KeeperSet, bool) {
	isReleased := current.Revision > 0 && released >= current.Revision
	if current.Previous != nil && isReleased {
		current.Previous = nil
		return current, true
	}
	members := chooseMembers(current.Members, live)
	if len(members) == 0 || sameMembers(members, current.Members) {
		return current, false
	}
	next := protocol.KeeperSet{Region: region, Revision: current.Revision, Members: members, Previous: current.Previous}
	next.Write, next.Read = QuorumSizes(len(members))
	if next.Previous == nil && len(current.Members) > 0 {
		replaced := current
		next.Previous = &replaced
	}
	return next, true
}

func sameMembers(a, b []protocol.KeeperMember) bool {
	return slices.Equal(a, b)
}

// keeperCount returns the size of the keeper set for a number of live members.
// Two members get one keeper: with two keepers, the loss of either would block
// releases.
func keeperCount(live int) int {
	if live == 2 {
		return 1
	}
	return min(live, MaxKeepers)
}

// chooseMembers chooses the members of a keeper set: it keeps the current
// keepers that are live, adds missing ones from the zones with the fewest
// keepers, and balances the keepers between zones.
func chooseMembers(current []protocol.KeeperMember, live []protocol.Member) []protocol.KeeperMember {
	candidates := slices.Clone(live)
	slices.SortFunc(candidates, func(a, b protocol.Member) int {
		if rankOf(a.ID) != rankOf(b.ID) {
			return lo.Ternary(rankOf(a.ID) < rankOf(b.ID), -1, 1)
		}
		return lo.Ternary(a.ID < b.ID, -1, 1)
	})
	isKeeper := func(id protocol.NodeID) bool {
		return lo.ContainsBy(current, func(keeper protocol.KeeperMember) bool { return keeper.ID == id })
	}
	choice := &keeperChoice{countByZone: map[string]int{}}
	for _, member := range candidates {
		if isKeeper(member.ID) {
			choice.add(member)
			continue
		}
		if member.State == protocol.MemberAlive {
			choice.spares = append(choice.spares, member)
		}
	}
	choice.resize(keeperCount(len(choice.chosen) + len(choice.spares)))
	choice.balance()
	return choice.keepers()
}

// rankOf returns a hash that orders members in the same way on every daemon,
// independent of the naming scheme.
func rankOf(id protocol.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// keeperChoice is the state of choosing keepers: those chosen, the members that
// may be added, and the number of chosen keepers by zone.
type keeperChoice struct {
	chosen      []protocol.Member
	spares      []protocol.Member
	countByZone map[string]int
}

func (c *keeperChoice) add(member protocol.Member) {
	c.chosen = append(c.chosen, member)
	c.countByZone[member.Zone]++
}

// resize drops the last chosen keepers beyond the size, or adds spares up to the
// size, each from the zone with the fewest keepers.
func (c *keeperChoice) resize(size int) {
	for len(c.chosen) > size {
		c.removeChosen(len(c.chosen) - 1)
	}
	for len(c.chosen) < size && len(c.spares) > 0 {
		c.addSpare(c.spareOfEmptiestZone())
	}
}

// balance replaces keepers of the fullest zones by spares of the emptiest one,
// as long as the counts of the two zones differ by two or more.
func (c *keeperChoice) balance() {
	for len(c.spares) > 0 {
		spare := c.spareOfEmptiestZone()
		zone := c.spares[spare].Zone
		fullest := -1
		for i, member := range c.chosen {
			if c.countByZone[member.Zone] >= c.countByZone[zone]+2 && (fullest < 0 || c.countByZone[member.Zone] > c.countByZone[c.chosen[fullest].Zone]) {
				fullest = i
			}
		}
		if fullest < 0 {
			return
		}
		c.removeChosen(fullest)
		c.addSpare(spare)
	}
}

// spareOfEmptiestZone returns the index of the spare whose zone has the fewest
// keepers; among several, the first in rank.
func (c *keeperChoice) spareOfEmptiestZone() int {
	best := 0
	for i, member := range c.spares {
		if c.countByZone[member.Zone] < c.countByZone[c.spares[best].Zone] {
			best = i
		}
	}
	return best
}

func (c *keeperChoice) addSpare(spare int) {
	c.add(c.spares[spare])
	c.spares = slices.Delete(c.spares, spare, spare+1)
}

func (c *keeperChoice) removeChosen(index int) {
	c.countByZone[c.chosen[index].Zone]--
	c.chosen = slices.Delete(c.chosen, index, index+1)
}

// keepers returns the chosen members sorted by id.
func (c *keeperChoice) keepers() []protocol.KeeperMember {
	keepers := lo.Map(c.chosen, func(member protocol.Member, _ int) protocol.KeeperMember {
		return protocol.KeeperMember{ID: member.ID, ControlAddress: member.ControlAddress}
	})
	slices.SortFunc(keepers, func(a, b protocol.KeeperMember) int { return lo.Ternary(a.ID < b.ID, -1, 1) })
	return keepers
}
