package node

import (
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// applyFetchReply applies a parent's reply. It leaves a parent that replies but last
// extended the lease more than half a serving lease ago: that parent is probably cut
// off from the root, and another candidate may still reach the root. The check runs
// only on a reply, so a parent is not left merely because its reply is slow.
func (n *Node) applyFetchReply(sentAt time.Duration, reply *protocol.FetchReply) {
	up := &n.upstream
	if !up.joined {
		n.join()
	}
	up.failures = 0
	up.reportedCursor = up.sentCursor
	up.memberCursor = reply.MemberCursor
	up.incarnation = reply.Incarnation
	for _, member := range reply.Members {
		n.mergeMember(member, membership.SourceOutside)
	}
	if reply.Keepers.Revision > n.local.keepers.Revision {
		n.adoptKeepers(reply.Keepers)
	}
	n.addRegions(reply.Regions)
	n.raiseInForce(reply.InForce)
	progressed := n.applyReleased(reply)
	n.applyLease(sentAt, reply)
	if n.now-up.leaseExtendedAt > n.config.Timing.ServingLease/2 {
		n.leaveParent(staleParentAvoidance)
		return
	}
	up.nextFetchAt = n.now
	if !progressed && len(reply.Members) == 0 && n.now-sentAt < idleFetchInterval {
		up.nextFetchAt = n.now + idleFetchInterval
	}
	up.nextFetchAt = max(up.nextFetchAt, n.now+reply.RetryAfter)
	if n.local.stagedSnapshot != nil {
		up.nextFetchAt = max(up.nextFetchAt, n.now+swapTimeout)
	}
	n.fetchIfDue()
}

// applyReleased stages or stores the version released by the parent. It returns false
// if the version is not newer or cannot be applied.
func (n *Node) applyReleased(reply *protocol.FetchReply) bool {
	floorVersion, _ := n.floor()
	if reply.Released < floorVersion {
		return false
	}
	if n.isRelaying() != n.upstream.sentRelaying {
		// The reply is for the scope of this daemon's previous role: a nil delta
		// would be applied to the wrong content. The next fetch requests the new
		// scope.
		return false
	}
	if n.isRelaying() {
		return n.storeReleased(reply)
	}
	if reply.Released <= n.currentVersion() || n.local.stagedSnapshot != nil {
		return false
	}
	next, err := n.nextSnapshot(reply)
	if err != nil {
		n.rejectDelta(err)
		return false
	}
	n.local.needsFullSnapshot = false
	n.stage(next)
	return true
}

// nextSnapshot builds the next snapshot of a leaf: the current one with the delta
// applied, or the same content at the new version.
func (n *Node) nextSnapshot(reply *protocol.FetchReply) (*snapshot.Snapshot, error) {
	current := n.local.currentSnapshot
	if reply.Delta == nil && current != nil {
		return current.WithVersion(reply.Released), nil
	}
	if reply.Delta == nil {
		return nil, result.New(result.DigestMismatch, "no delta although nothing is held")
	}
	base := snapshot.Empty()
	if current != nil {
		base = current
	}
	resources, err := snapshot.Apply(base.Encoded, reply.Delta)
	if err != nil {
		return nil, err
	}
	return snapshot.Rebuild(base, reply.Released, resources)
}

// storeReleased adds the released version to the store, from which children and this
// daemon itself are served.
func (n *Node) storeReleased(reply *protocol.FetchReply) bool {
	store := n.local.store
	if reply.Released <= store.Version() {
		return false
	}
	if reply.Delta == nil {
		store.Advance(reply.Released)
	} else if err := n.applyToStore(reply); err != nil {
		n.rejectDelta(err)
		return false
	}
	n.local.needsFullSnapshot = false
	n.stageFromStore()
	return true
}

func (n *Node) applyToStore(reply *protocol.FetchReply) error {
	var current []resource.Encoded
	if newest := n.local.store.Newest(); newest != nil {
		current = newest.Encoded
	}
	resources, err := snapshot.Apply(current, reply.Delta)
	if err != nil {
		return err
	}
	return n.local.store.Add(reply.Released, resources)
}

// rejectDelta discards a delta that cannot be applied; the next fetch requests a
// full snapshot.
func (n *Node) rejectDelta(err error) {
	n.log("delta_refused", LogField{Key: "error", Value: err.Error()})
	n.upstream.nextFetchAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
	n.local.needsFullSnapshot = true
}

// applyLease applies the lease of a reply. It is measured from when the request was
// sent, so that the time in transit does not extend it.
func (n *Node) applyLease(sentAt time.Duration, reply *protocol.FetchReply) {
	if reply.LeaseRemaining <= 0 {
		return
	}
	until := sentAt + min(reply.LeaseRemaining, n.config.Timing.ServingLease+n.config.Timing.FetchWait)
	if until-n.now > n.config.Timing.ServingLease/4 {
		n.upstream.leaseExtendedAt = n.now
	}
	if n.isRelaying() && n.local.store.Version() >= reply.Released {
		n.local.grantUntil = max(n.local.grantUntil, until)
	}
	n.extendServingLease(lease{until: until, version: reply.Released})
}
