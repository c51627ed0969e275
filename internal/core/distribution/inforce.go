package distribution

import (
	"time"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// Expected is who must hold a version before it is in force: every live member
// of a region, by zone, as a count and a sum.
type ExpectedMembers struct {
	region string
	zones  map[string]census
}

type census struct {
	count uint32
	sum   uint64
}

// Expect counts the live members of a region.
func NewExpectedMembers(region string, members []protocol.Member) ExpectedMembers {
	expected := ExpectedMembers{region: region, zones: map[string]census{}}
	for _, member := range members {
		if member.Region != region || !membership.Live(member) {
			continue
		}
		one := expected.zones[member.Zone]
		one.count++
		one.sum += membership.IncarnationHash(member.ID, member.Incarnation)
		expected.zones[member.Zone] = one
	}
	return expected
}

// Holding returns the lowest version in force on all expected members. It is 0
// unless the acknowledgements cover exactly the expected members: a member
// that is missing, unknown or counted twice changes a sum, and then nothing is
// said to be in force. An extra member must not be dropped quietly, for it may
// be one that the roster does not know yet and that still serves something
// older.
func (e ExpectedMembers) ConfirmedVersion(folded []protocol.Acknowledgement) protocol.Version {
	covered := 0
	for _, one := range folded {
		if one.Region != e.region {
			return 0
		}
		zone, found := e.zones[one.Zone]
		if !found || zone.count != one.Count || zone.sum != one.MemberSum {
			return 0
		}
		covered++
	}
	if covered != len(e.zones) {
		return 0
	}
	lowest, _ := MinimumVersion(folded)
	return lowest
}

// Count returns how many members a zone must have.
func (e ExpectedMembers) Count(zone string) uint32 { return e.zones[zone].count }

// releasedVersion remembers when a version was released.
type releasedVersion struct {
	version protocol.Version
	// storedAt is when it was stored at a write quorum of keepers.
	storedAt time.Duration
	// alone is set when the quorum knew of no other root that may still have
	// granted leases at an older version.
	alone bool
}

// Claims says which released version a root may call in force, as far as
// leases are concerned.
//
// What must hold: no daemon serves an older version once a newer is called in
// force. Acknowledgements prove it for those below this root. Another root
// (one that is cut off, or this one's predecessor) may have granted leases at
// an older version. It could only do so after a round at a write quorum of
// keepers that did not yet store the newer version, so each such lease ends
// within one lease of the moment when the newer version was stored. A version
// is therefore claimed at once only when the quorum that stored it had not
// heard another root, and otherwise after the lease and a margin for clocks
// that run at different rates.
type ReleaseTracker struct {
	lease    time.Duration
	released []releasedVersion
}

// claimHistory bounds the versions remembered; older ones are claimable.
const claimHistory = 16

// NewClaims returns the claims of a new root.
func NewReleaseTracker(lease time.Duration) *ReleaseTracker {
	return &ReleaseTracker{lease: lease}
}

// clockMargin is the share of a lease, as a divisor, by which two clocks may
// disagree over it: rates of 0.9 and 1.1 are covered.
const clockMargin = 4

// Margin returns a lease with the margin for clocks of different rates.
func LeaseWithMargin(lease time.Duration) time.Duration { return lease + lease/clockMargin }

// Released records that a version was stored at a write quorum at now.
func (c *ReleaseTracker) RecordRelease(now time.Duration, version protocol.Version, alone bool) {
	c.released = append(c.released, releasedVersion{version: version, storedAt: now, alone: alone})
	if len(c.released) > claimHistory {
		c.released = c.released[1:]
	}
}

// Fenced returns the highest version that is in force at now whoever has
// acknowledged it: it was stored at a write quorum a lease and a margin ago, so
// every lease at an older version has ended, those of daemons that are silent,
// cut off or forgotten included. A lease belongs to the version that came with
// it, and no root earns one at an older version once the newer is stored.
func (c *ReleaseTracker) FencedVersion(now time.Duration) protocol.Version {
	return c.highest(func(one releasedVersion) bool { return c.fenced(one, now) })
}

// Highest returns the highest version that may be claimed at now, once it is
// acknowledged.
func (c *ReleaseTracker) DeclarableVersion(now time.Duration) protocol.Version {
	return c.highest(func(one releasedVersion) bool { return one.alone || c.fenced(one, now) })
}

// fenced reports whether every lease at a version before this one has ended.
func (c *ReleaseTracker) fenced(one releasedVersion, now time.Duration) bool {
	return now-one.storedAt >= LeaseWithMargin(c.lease)
}

// highest returns the highest released version that fits; 0 when none does.
func (c *ReleaseTracker) highest(fits func(releasedVersion) bool) protocol.Version {
	var highest protocol.Version
	for _, one := range c.released {
		if fits(one) {
			highest = max(highest, one.version)
		}
	}
	return highest
}
