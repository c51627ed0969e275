package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// Tree is one daemon's view of its region's distribution tree, computed from
// its roster. Daemons with different rosters only choose different parents.
type Tree struct {
	self protocol.NodeID
	// relays are the ranked relays by zone.
	relays map[string][]protocol.Member
	// roots are the candidates for root, best first.
	roots []protocol.Member
	zone  string
}

// The classes of root candidates, best first.
const (
	classReader = iota
	classRoot
	classRelay
)

// NewTree computes the tree of a region. The first members of each zone by
// rendezvous rank are its relays; members that are draining have
// no role. Candidates for root are the
// readers, then who already acts as root without a reader lease (the platform
// may be down for long), then the relays, which hold everything that was
// released.
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

// relayCount returns how many relays a zone has. A quarter of their places stay
// free, so that a daemon that joins finds one soon although hashing spreads
// leaves unevenly.
func relayCount(members, fanOut int) int {
	filled := max(1, fanOut*3/4)
	return (members + filled - 1) / filled
}

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

// WouldRelay reports whether a member that may not have joined yet is a relay
// of its zone, or would be once it has.
func (t *Tree) WouldBeRelay(member protocol.Member) bool {
	relays := t.relays[member.Zone]
	if len(relays) == 0 || t.IsRelay(member) {
		return true
	}
	purpose := relayPurpose(member.Zone)
	return membership.Score(purpose, member.ID) > membership.Score(purpose, relays[len(relays)-1].ID)
}

// relayPurpose is the purpose of the rank of a zone's relays.
func relayPurpose(zone string) string { return "relay/" + zone }

// Relays returns the relays of a zone, best first.
func (t *Tree) Relays(zone string) []protocol.Member { return t.relays[zone] }

// AllRelays returns the relays of all zones, by zone.
func (t *Tree) AllRelays() []protocol.Member {
	var all []protocol.Member
	for _, name := range t.zones() {
		all = append(all, t.relays[name]...)
	}
	return all
}

// Roots returns the candidates for root, best first.
func (t *Tree) RootCandidates() []protocol.Member { return t.roots }

// Parents returns the candidates of a leaf in its order of preference: the
// relays of its zone, those of other zones, and the candidates for root, each
// ranked by the leaf's own hash so that leaves spread evenly.
func (t *Tree) ParentCandidates() []protocol.Member {
	purpose := "parent/" + string(t.self)
	own := membership.Rank(purpose, t.relays[t.zone])
	var others []protocol.Member
	for _, name := range t.zones() {
		if name != t.zone {
			others = append(others, t.relays[name]...)
		}
	}
	all := slices.Concat(own, membership.Rank(purpose, others), t.roots)
	all = lo.UniqBy(all, func(member protocol.Member) protocol.NodeID { return member.ID })
	return lo.Reject(all, func(member protocol.Member, _ int) bool { return member.ID == t.self })
}

func (t *Tree) zones() []string {
	names := lo.Keys(t.relays)
	slices.Sort(names)
	return names
}

func sortDescending(times []time.Duration) {
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
}
