package distribution

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// RootLease is a root's right to grant serving leases. It is renewed by rounds
// of StoreRequest to the keepers.
//
// What must hold: a root grants leases at its released version only while no
// newer version can have been stored a lease ago. A round counts when a read
// quorum answers that it stores nothing newer. A read and a write quorum share
// a keeper, so once a newer version is stored at a write quorum no further
// round of an older root counts, and its last grant ends one lease after the
// sending of its last round that did. A keeper that restarts answers only
// after it has learnt its floor from a read quorum itself.
type RootLease struct {
	lease time.Duration
	// answers holds the newest answer of each keeper.
	answers map[protocol.NodeID]keeperAnswer
}

type keeperAnswer struct {
	// sentAt is when the question was sent: the answer may be older than its
	// arrival, never older than the question.
	sentAt time.Duration
	stored protocol.Version
	alone  bool
}

// NewRootLease returns a lease that is not held.
func NewRootLease(lease time.Duration) *RootLease {
	return &RootLease{lease: lease, answers: map[protocol.NodeID]keeperAnswer{}}
}

// Answer takes a keeper's reply to a request sent at sentAt. Replies may
// arrive crossed: the one to the newest question counts.
func (l *RootLease) RecordReply(keeper protocol.NodeID, sentAt time.Duration, reply *protocol.StoreReply) {
	if reply == nil || reply.Code != result.OK {
		return
	}
	if known, found := l.answers[keeper]; found && known.sentAt > sentAt {
		return
	}
	l.answers[keeper] = keeperAnswer{sentAt: sentAt, stored: reply.Stored, alone: !reply.OtherRoot}
}

// Until returns the time until which leases may be granted at the version: the
// sending time of the oldest answer of the newest read quorum, plus the lease;
// 0 when there is no such quorum. All sets given must agree.
func (l *RootLease) GrantUntil(version protocol.Version, sets ...protocol.KeeperSet) time.Duration {
	if len(sets) == 0 {
		return 0
	}
	return lo.Min(lo.Map(sets, func(set protocol.KeeperSet, _ int) time.Duration {
		oldest, found := l.quorum(set, set.Read, func(answer keeperAnswer) bool { return answer.stored <= version })
		if !found {
			return 0
		}
		return oldest + l.lease
	}))
}

// Alone reports whether a write quorum of every set has answered, to questions
// sent at or after since, that it knows of no other root: any other root's last
// read quorum shares a keeper with it.
func (l *RootLease) IsOnlyRoot(since time.Duration, sets ...protocol.KeeperSet) bool {
	return len(sets) > 0 && lo.EveryBy(sets, func(set protocol.KeeperSet) bool {
		oldest, found := l.quorum(set, set.Write, func(answer keeperAnswer) bool { return answer.alone })
		return found && oldest >= since
	})
}

// CanStore reports whether a write quorum of every set has answered questions
// sent at or after since. To begin storing a version that can't reach a write
// quorum would end this root's own lease: its rounds would hear of a version
// newer than the one released.
func (l *RootLease) CanStore(since time.Duration, sets ...protocol.KeeperSet) bool {
	return lo.EveryBy(sets, func(set protocol.KeeperSet) bool {
		oldest, found := l.quorum(set, set.Write, func(keeperAnswer) bool { return true })
		return found && oldest >= since
	})
}

// Newest returns the highest version that any keeper of the set reported.
func (l *RootLease) NewestReported(set protocol.KeeperSet) protocol.Version {
	return lo.Max(lo.Map(set.Members, func(keeper protocol.KeeperMember, _ int) protocol.Version {
		return l.answers[keeper.ID].stored
	}))
}

// quorum returns the sending time of the oldest answer among the newest size
// answers that fit.
func (l *RootLease) quorum(set protocol.KeeperSet, size int, fits func(keeperAnswer) bool) (time.Duration, bool) {
	var times []time.Duration
	for _, keeper := range set.Members {
		if answer, found := l.answers[keeper.ID]; found && fits(answer) {
			times = append(times, answer.sentAt)
		}
	}
	if size == 0 || len(times) < size {
		return 0, false
	}
	sortDescending(times)
	return times[size-1], true
}
