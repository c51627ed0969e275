package distribution

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// RootLease is a root's right to grant serving leases. It is renewed by rounds of
// StoreRequest to the keepers.
//
// The invariant is that a root grants leases at its released version only while no
// newer version can have been stored for longer than a lease. A round is valid if a
// read quorum replies that it stores no newer version. Each read quorum shares a
// keeper with each write quorum, so once a newer version is stored at a write quorum,
// no later round of an older root is valid. Its last grant then ends one lease after
// its last valid round was sent. A restarted keeper replies only after it has read
// its version floor from a read quorum.
type RootLease struct {
	lease time.Duration
	// replies holds the latest reply of each keeper.
	replies map[protocol.NodeID]keeperReply
}

// keeperReply is a keeper's reply to a StoreRequest.
type keeperReply struct {
	// sentAt is when the request was sent. The keeper's state may have changed since
	// it replied, but the reply is never older than the request.
	sentAt time.Duration
	// stored is the version that the keeper stores.
	stored protocol.Version
	// onlyRoot is set if the keeper knows of no other root.
	onlyRoot bool
}

// NewRootLease returns a root lease without replies, which allows no grants. lease is
// the duration of serving leases.
func NewRootLease(lease time.Duration) *RootLease {
	return &RootLease{lease: lease, replies: map[protocol.NodeID]keeperReply{}}
}

// RecordReply records a keeper's reply to a request sent at sentAt. If replies arrive out of
// order, the one to the latest request counts.
func (l *RootLease) RecordReply(keeper protocol.NodeID, sentAt time.Duration, reply *protocol.StoreReply) {
	if reply == nil || reply.Code != result.OK {
		return
	}
	if latest, found := l.replies[keeper]; found && latest.sentAt > sentAt {
		return
	}
	l.replies[keeper] = keeperReply{sentAt: sentAt, stored: reply.Stored, onlyRoot: !reply.OtherRoot}
}

// GrantUntil returns the time until which leases at the version may be granted. In each set
// it takes the latest read quorum of keepers that store no newer version; the lease runs
// from the oldest request that they answered. The earliest end of all sets counts, and it is
// 0 if a set has no such quorum.
func (l *RootLease) GrantUntil(version protocol.Version, sets ...protocol.KeeperSet) time.Duration {
	if len(sets) == 0 {
		return 0
	}
	return lo.Min(lo.Map(sets, func(set protocol.KeeperSet, _ int) time.Duration {
		oldest, found := l.quorumSentAt(set, set.Read, func(reply keeperReply) bool { return reply.stored <= version })
		if !found {
			return 0
		}
		return oldest + l.lease
	}))
}

// IsOnlyRoot reports whether, in every set, a write quorum of keepers that know of no other
// root has answered requests sent at or after since. Each write quorum shares a keeper
// with each read quorum, so one of them would know of another root with a valid round. It
// is false without sets.
func (l *RootLease) IsOnlyRoot(since time.Duration, sets ...protocol.KeeperSet) bool {
	return len(sets) > 0 && lo.EveryBy(sets, func(set protocol.KeeperSet) bool {
		oldest, found := l.quorumSentAt(set, set.Write, func(reply keeperReply) bool { return reply.onlyRoot })
		return found && oldest >= since
	})
}

// HasWriteQuorumSince reports whether a write quorum of every set has replied to requests sent at
// or after since; it is true without sets. A root must not begin to store a version that
// can't reach a write quorum: its own rounds would then find a version newer than the
// released one, which would end its lease.
func (l *RootLease) HasWriteQuorumSince(since time.Duration, sets ...protocol.KeeperSet) bool {
	return lo.EveryBy(sets, func(set protocol.KeeperSet) bool {
		oldest, found := l.quorumSentAt(set, set.Write, func(keeperReply) bool { return true })
		return found && oldest >= since
	})
}

// NewestReported returns the highest version that a keeper of the set has reported.
func (l *RootLease) NewestReported(set protocol.KeeperSet) protocol.Version {
	return lo.Max(lo.Map(set.Members, func(keeper protocol.KeeperMember, _ int) protocol.Version {
		return l.replies[keeper.ID].stored
	}))
}

// quorumSentAt considers the replies of a set that satisfy a condition and returns the oldest
// sending time among the latest ones, as many as size; false if there are fewer.
func (l *RootLease) quorumSentAt(set protocol.KeeperSet, size int, condition func(keeperReply) bool) (time.Duration, bool) {
	var times []time.Duration
	for _, keeper := range set.Members {
		if reply, found := l.replies[keeper.ID]; found && condition(reply) {
			times = append(times, reply.sentAt)
		}
	}
	if size == 0 || len(times) < size {
		return 0, false
	}
	sortDescending(times)
	return times[size-1], true
}
