// Package serving decides how long a daemon may serve. A root earns grants
// from a read quorum of its region's keepers or from a fresh head; every other
// daemon holds a lease handed down from a grant. It does no input or output.
//
// What must hold: once a version V is stored at the write quorum of a region's
// keepers, no daemon of the region serves below V for longer than Fence.
// Grants for a lower version cannot be earned afterwards, because a read
// quorum meets the write quorum in at least one keeper that reports V.
package serving

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ClockMargin is by how much clocks of different machines may run apart, as a
// divisor: a tenth.
const ClockMargin = 10

// Fence returns how long after the write quorum was reached a version is in
// force on every daemon that serves, for leases of the given length. Both
// clocks may be off by the margin, in opposite directions.
func Fence(lease time.Duration) time.Duration {
	return lease + 2*lease/ClockMargin
}

// keeperReading is the last thing a keeper was heard to say.
type keeperReading struct {
	keeper protocol.NodeID
	// sent is when the answered call left this daemon.
	sent   time.Duration
	stored protocol.Version
}

// headReading is a head read from the platform.
type headReading struct {
	sent    time.Duration
	version protocol.Version
	known   bool
}

// Grantor is a root's side: it turns answers of keepers and head reads into the
// time until which the root may hand down leases for its released version.
type Grantor struct {
	lease    time.Duration
	readings []keeperReading
	head     headReading
}

// NewGrantor returns a grantor for leases of the given length.
func NewGrantor(lease time.Duration) *Grantor {
	return &Grantor{lease: lease}
}

// KeeperAnswered records that a valid keeper answered a call that was sent at
// sent and had stored the given version by then. Older answers are ignored.
func (g *Grantor) KeeperAnswered(keeper protocol.NodeID, sent time.Duration, stored protocol.Version) {
	index := slices.IndexFunc(g.readings, func(reading keeperReading) bool { return reading.keeper == keeper })
	if index < 0 {
		g.readings = append(g.readings, keeperReading{keeper: keeper, sent: sent, stored: stored})
		return
	}
	reading := &g.readings[index]
	if sent < reading.sent {
		return
	}
	reading.sent = sent
	reading.stored = max(reading.stored, stored)
}

// HeadRead records a head version read by a call sent at sent.
func (g *Grantor) HeadRead(sent time.Duration, version protocol.Version) {
	if g.head.known && sent < g.head.sent {
		return
	}
	g.head = headReading{sent: sent, version: version, known: true}
}

// GrantUntil returns until when leases for released may run, and whether any
// grant was earned at all. It takes the better of the keepers and the head.
func (g *Grantor) GrantUntil(released protocol.Version, keepers protocol.KeeperSet) (time.Duration, bool) {
	fromKeepers, earned := g.fromKeepers(released, keepers)
	if !g.head.known || g.head.version != released {
		return fromKeepers, earned
	}
	fromHead := g.head.sent + g.lease
	if !earned {
		return fromHead, true
	}
	return max(fromKeepers, fromHead), true
}

// fromKeepers returns the grant earned by the newest read quorum. A keeper that
// stored more than released spoils the grant from its answer on: what was
// earned by calls all sent before cannot be told apart here and is given up.
func (g *Grantor) fromKeepers(released protocol.Version, keepers protocol.KeeperSet) (time.Duration, bool) {
	var sent []time.Duration
	for _, reading := range g.readings {
		if !isMember(keepers, reading.keeper) {
			continue
		}
		if reading.stored > released {
			return 0, false
		}
		sent = append(sent, reading.sent)
	}
	if keepers.Read == 0 || len(sent) < keepers.Read {
		return 0, false
	}
	slices.Sort(sent)
	oldestOfQuorum := sent[len(sent)-keepers.Read]
	return oldestOfQuorum + g.lease, true
}

func isMember(keepers protocol.KeeperSet, id protocol.NodeID) bool {
	return slices.ContainsFunc(keepers.Members, func(member protocol.KeeperMember) bool { return member.ID == id })
}

// Lease is every daemon's side. It belongs to one version at a time.
type Lease struct {
	until time.Duration
}

// Extend takes a grant that came in the reply to a fetch sent at sent, with
// remaining left on the parent's own grant, for the version released. It
// extends the lease only if inForce has reached released. It returns the new
// end and whether it changed.
func (l *Lease) Extend(sent, remaining time.Duration, released, inForce protocol.Version) (time.Duration, bool) {
	if inForce < released || remaining <= 0 {
		return l.until, false
	}
	until := sent + remaining
	if until <= l.until {
		return l.until, false
	}
	l.until = until
	return until, true
}

// ExtendOwn takes a grant that this daemon earned as a root.
func (l *Lease) ExtendOwn(until time.Duration, released, inForce protocol.Version) (time.Duration, bool) {
	return l.Extend(0, until, released, inForce)
}

// Remaining returns what is left to hand down at now.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	return max(0, l.until-now)
}

// Until returns when the lease ends.
func (l *Lease) Until() time.Duration { return l.until }
