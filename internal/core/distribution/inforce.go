package distribution

import (
	"time"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// ExpectedMembers describes the members that must hold a version before it is in force: all
// live members of a region, as a count and a checksum per zone.
type ExpectedMembers struct {
	region string
	zones  map[string]memberCount
}

// memberCount is the number of members of a zone and the sum of their incarnation hashes.
type memberCount struct {
	count uint32
	sum   uint64
}

// NewExpectedMembers returns the count and checksum of the live members of a region.
func NewExpectedMembers(region string, members []protocol.Member) ExpectedMembers {
	expected := ExpectedMembers{region: region, zones: map[string]memberCount{}}
	for _, member := range members {
		if member.Region != region || !membership.Live(member) {
			continue
		}
		zone := expected.zones[member.Zone]
		zone.count++
		zone.sum += membership.IncarnationHash(member.ID, member.Incarnation)
		expected.zones[member.Zone] = zone
	}
	return expected
}

// ConfirmedVersion returns the lowest version that the expected members have acknowledged. It
// is 0 unless the acknowledgements cover exactly the expected members: a missing,
// unknown or duplicate member changes a checksum. An additional member must not be
// ignored, because it may be one that the roster does not contain yet and that still
// serves an older version.
func (e ExpectedMembers) ConfirmedVersion(acknowledgements []protocol.Acknowledgement) protocol.Version {
	covered := 0
	for _, acknowledged := range acknowledgements {
		if acknowledged.Region != e.region {
			return 0
		}
		zone, found := e.zones[acknowledged.Zone]
		if !found || zone.count != acknowledged.Count || zone.sum != acknowledged.MemberSum {
			return 0
		}
		covered++
	}
	if covered != len(e.zones) {
		return 0
	}
	lowest, _ := MinimumVersion(acknowledgements)
	return lowest
}

// Count returns the number of expected members of a zone.
func (e ExpectedMembers) Count(zone string) uint32 { return e.zones[zone].count }

// releasedVersion is a released version with the time of its release.
type releasedVersion struct {
	version protocol.Version
	// storedAt is when the version was stored at a write quorum of keepers.
	storedAt time.Duration
	// onlyRoot is set if the quorum knew of no other root that may have granted leases
	// at an older version.
	onlyRoot bool
}

// ReleaseTracker determines which released version a root may declare in force, as far as
// leases are concerned.
//
// The invariant is that no daemon serves an older version once a newer one has been
// declared in force. For daemons below this root, acknowledgements prove it. Another
// root (a partitioned one or a predecessor) may have granted leases at an older
// version. It could only do so after a round to a quorum of keepers that did not yet
// store the newer version, so each such lease ends at most one lease duration after
// the newer version was stored. A version may therefore be declared at once only if
// the quorum that stored it knew of no other root. Otherwise it must wait for the
// lease plus a margin for clocks that run at different rates.
type ReleaseTracker struct {
	lease            time.Duration
	releasedVersions []releasedVersion
}

// releaseHistoryLength is the maximum number of versions kept. If a dropped one
// was not declarable yet, a later one is declared in its place, so dropping can at most delay
// a declaration.
const releaseHistoryLength = 16

// NewReleaseTracker returns the tracker of a new root. lease is the duration of serving
// leases.
func NewReleaseTracker(lease time.Duration) *ReleaseTracker {
	return &ReleaseTracker{lease: lease}
}

// clockMarginDivisor divides the lease duration to give the clock margin. A quarter covers
// clock rates from 0.9 to 1.1.
const clockMarginDivisor = 4

// LeaseWithMargin returns the lease duration plus the margin for clocks of different rates.
func LeaseWithMargin(lease time.Duration) time.Duration { return lease + lease/clockMarginDivisor }

// RecordRelease records that a version was stored at a write quorum at now. onlyRoot is set
// if the quorum knew of no other root.
func (t *ReleaseTracker) RecordRelease(now time.Duration, version protocol.Version, onlyRoot bool) {
	t.releasedVersions = append(t.releasedVersions, releasedVersion{version: version, storedAt: now, onlyRoot: onlyRoot})
	if len(t.releasedVersions) > releaseHistoryLength {
		t.releasedVersions = t.releasedVersions[1:]
	}
}

// FencedVersion returns the highest version that is in force at now regardless of
// acknowledgements. It was stored at a write quorum at least a lease and a margin
// ago, so all leases at older versions have expired, including those of daemons that
// are silent, partitioned or removed from the roster. A lease is bound to the version
// it was granted with, and once the newer version is stored, no root completes a valid round
// for leases at an older one; see RootLease.
func (t *ReleaseTracker) FencedVersion(now time.Duration) protocol.Version {
	return t.highest(func(release releasedVersion) bool { return t.fenced(release, now) })
}

// DeclarableVersion returns the highest version that may be declared in force at now, provided
// that it is acknowledged.
func (t *ReleaseTracker) DeclarableVersion(now time.Duration) protocol.Version {
	return t.highest(func(release releasedVersion) bool { return release.onlyRoot || t.fenced(release, now) })
}

// fenced reports whether all leases at versions older than this one have expired.
func (t *ReleaseTracker) fenced(release releasedVersion, now time.Duration) bool {
	return now-release.storedAt >= LeaseWithMargin(t.lease)
}

// highest returns the highest released version that satisfies a condition; 0 if none
// does.
func (t *ReleaseTracker) highest(condition func(releasedVersion) bool) protocol.Version {
	var highest protocol.Version
	for _, release := range t.releasedVersions {
		if condition(release) {
			highest = max(highest, release.version)
		}
	}
	return highest
}
