// Package distribution implements the decisions of the distribution tree: which
// daemons are parents of which, how acknowledgements are aggregated, when a root may
// grant serving leases and declare a version in force, and how fast a parent sends
// snapshots. It does no input or output.
package distribution

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// zoneKey identifies a zone of a region.
type zoneKey struct {
	region string
	name   string
}

// AcknowledgementAggregator aggregates acknowledgements by zone. Its size does not grow with
// the number of members.
type AcknowledgementAggregator struct {
	zones map[zoneKey]*protocol.Acknowledgement
}

// NewAcknowledgementAggregator returns an aggregator to which no acknowledgement has been
// added.
func NewAcknowledgementAggregator() *AcknowledgementAggregator {
	return &AcknowledgementAggregator{zones: map[zoneKey]*protocol.Acknowledgement{}}
}

// MemberAcknowledgement returns the acknowledgement of one member that holds a version.
func MemberAcknowledgement(member protocol.Member, version protocol.Version) protocol.Acknowledgement {
	return protocol.Acknowledgement{
		Region:    member.Region,
		Zone:      member.Zone,
		Minimum:   version,
		Count:     1,
		MemberSum: membership.IncarnationHash(member.ID, member.Incarnation),
		Behind:    []protocol.NodeID{member.ID},
	}
}

// Add adds an acknowledgement, which may itself be an aggregate.
func (g *AcknowledgementAggregator) Add(added protocol.Acknowledgement) {
	if added.Count == 0 {
		return
	}
	key := zoneKey{region: added.Region, name: added.Zone}
	total, found := g.zones[key]
	if !found {
		initial := added
		initial.Behind = slices.Clone(added.Behind)
		g.zones[key] = &initial
		return
	}
	switch {
	case added.Minimum < total.Minimum:
		total.Behind = slices.Clone(added.Behind)
	case added.Minimum == total.Minimum:
		total.Behind = append(total.Behind, added.Behind...)
	}
	total.Behind = limitNodes(total.Behind)
	total.Minimum = min(total.Minimum, added.Minimum)
	total.Count += added.Count
	total.MemberSum += added.MemberSum
}

// List returns the aggregate of each zone in ascending order of region and zone.
func (g *AcknowledgementAggregator) List() []protocol.Acknowledgement {
	list := make([]protocol.Acknowledgement, 0, len(g.zones))
	for _, aggregate := range g.zones {
		list = append(list, *aggregate)
	}
	slices.SortFunc(list, func(a, b protocol.Acknowledgement) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return list
}

// MinimumVersion returns the lowest version of all zones; false if the list is empty.
func MinimumVersion(list []protocol.Acknowledgement) (protocol.Version, bool) {
	if len(list) == 0 {
		return 0, false
	}
	lowestAcknowledgement := lo.MinBy(list, func(a, b protocol.Acknowledgement) bool { return a.Minimum < b.Minimum })
	return lowestAcknowledgement.Minimum, true
}

// EqualAcknowledgements reports whether two lists of acknowledgements are equal.
func EqualAcknowledgements(a, b []protocol.Acknowledgement) bool {
	return slices.EqualFunc(a, b, func(x, y protocol.Acknowledgement) bool {
		return x.Region == y.Region && x.Zone == y.Zone && x.Minimum == y.Minimum &&
			x.Count == y.Count && x.MemberSum == y.MemberSum && slices.Equal(x.Behind, y.Behind)
	})
}

// limitNodes truncates a list to MaxListedNodes.
func limitNodes(nodes []protocol.NodeID) []protocol.NodeID {
	if len(nodes) > protocol.MaxListedNodes {
		return nodes[:protocol.MaxListedNodes]
	}
	return nodes
}
