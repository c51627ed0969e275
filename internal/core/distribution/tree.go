package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// Tree is a daemon's view of its region's distribution tree, computed from its roster.
// The views need not agree: with different rosters, daemons only choose different
// parents.
type Tree struct {
	self protocol.NodeID
	// relays holds the ranked relays of each zone.
	relays map[string][]protocol.Member
	// roots holds the root candidates, best first.
	roots []protocol.Member
	zone  string
}

// The classes of root candidates, best first.
const (
	classReader = iota
	classRoot
	classRelay
)

// NewTree computes the tree of the own daemon's region. The first members of each zone
// by rendezvous rank are its relays; each takes at most fanOut children. Members for which
// membership.MayBeParent is false get no role. The root candidates are, in this order: members
// that hold a reader lease; members that already act as root without one, which happens in a
// long platform outage; and the relays, which hold all released configuration.
func NewTree(self protocol.Member, members []protocol.Member, fanOut int) *Tree {
	tree := &Tree{self: self.ID, zone: self.Zone, relays: map[string][]protocol.Member{}}
	live := lo.Filter(members, func(member protocol.Member, _ int) bool {
		return member.Region == self.Region && membership.MayBeParent(member)
	})
	byZone := lo.GroupBy(live, func(member protocol.Member) string { return member.Zone })
	for name, zoneMembers := range byZone {
		ranked := membership.Rank(relayPurpose(name), zoneMembers)
		tree.relays[name] = ranked[:relayCount(len(ranked), fanOut)]
	}
	tree.roots = tree.rankRoots(self.Region, live)
	return tree
}

// relayCount returns the number of relays of a zone. It leaves a quarter of their
// capacity free, so that a joining daemon soon finds a parent although hashing
// distributes leaves unevenly.
func relayCount(members, fanOut int) int {
	planned := max(1, fanOut*3/4)
	return (members + planned - 1) / planned
}

// rankRoots returns the root candidates of a region, best first.
func (t *Tree) rankRoots(region string, live []protocol.Member) []protocol.Member {
	candidates := lo.Filter(live, func(member protocol.Member, _ int) bool {
		return member.Reader || member.Root || t.IsRelay(member)
	})
	ranked := membership.Rank("root/"+region, candidates)
	slices.SortStableFunc(ranked, func(a, b protocol.Member) int {
		return cmp.Compare(rootClass(a), rootClass(b))
	})
	return ranked
}

// rootClass returns the class of a root candidate.
func rootClass(member protocol.Member) int {
	switch {
	case member.Reader:
		return classReader
	case member.Root:
		return classRoot
	default:
		return classRelay
	}
}

// IsRelay reports whether a member is a relay of its zone.
func (t *Tree) IsRelay(member protocol.Member) bool {
	return slices.ContainsFunc(t.relays[member.Zone], func(relay protocol.Member) bool { return relay.ID == member.ID })
}

// WouldBeRelay reports whether a member is a relay of its zone or, if it has not joined
// yet, would become one by joining.
func (t *Tree) WouldBeRelay(member protocol.Member) bool {
	relays := t.relays[member.Zone]
	if len(relays) == 0 || t.IsRelay(member) {
		return true
	}
	purpose := relayPurpose(member.Zone)
	return membership.Score(purpose, member.ID) > membership.Score(purpose, relays[len(relays)-1].ID)
}

// relayPurpose returns the purpose passed to membership.Rank and membership.Score to rank the
// members of a zone as relays.
func relayPurpose(zone string) string { return "relay/" + zone }

// Relays returns the relays of a zone, best first.
func (t *Tree) Relays(zone string) []protocol.Member { return t.relays[zone] }

// AllRelays returns the relays of all zones in one list, in ascending order of zone name.
func (t *Tree) AllRelays() []protocol.Member {
	var all []protocol.Member
	for _, name := range t.zones() {
		all = append(all, t.relays[name]...)
	}
	return all
}

// RootCandidates returns the root candidates, best first.
func (t *Tree) RootCandidates() []protocol.Member { return t.roots }

// ParentCandidates returns the parent candidates of the own daemon in order of preference:
// the relays of its zone, the relays of other zones, then the root candidates. Relays are
// ranked by a hash of the own ID, so that leaves are distributed evenly.
func (t *Tree) ParentCandidates() []protocol.Member {
	purpose := "parent/" + string(t.self)
	ownRelays := membership.Rank(purpose, t.relays[t.zone])
	var otherRelays []protocol.Member
	for _, name := range t.zones() {
		if name != t.zone {
			otherRelays = append(otherRelays, t.relays[name]...)
		}
	}
	all := slices.Concat(ownRelays, membership.Rank(purpose, otherRelays), t.roots)
	all = lo.UniqBy(all, func(member protocol.Member) protocol.NodeID { return member.ID })
	return lo.Reject(all, func(member protocol.Member, _ int) bool { return member.ID == t.self })
}

// zones returns the names of all zones in ascending order.
func (t *Tree) zones() []string {
	names := lo.Keys(t.relays)
	slices.Sort(names)
	return names
}

func sortDescending(times []time.Duration) {
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
}
