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

// applyFetchReply applies a parent's reply. It leaves a parent that replies but has
// not extended the lease for half the serving lease: that parent is cut off from the
// root while another may not be. The check runs only on a reply, so a parent is not
// left merely because its reply is slow.
func (n *Node) takeReply(sentAt time.Duration, reply *protocol.FetchReply) {
	up := &n.upstream
	if !up.joined {
		n.join()
	}
	up.failures = 0
	up.reported = up.sentCursor
	up.memberCursor = reply.MemberCursor
	up.incarnation = reply.Incarnation
	for _, member := range reply.Members {
		n.heardMember(member, membership.SourceOutside)
	}
	if reply.Keepers.Revision > n.holding.keepers.Revision {
		n.adoptKeepers(reply.Keepers)
	}
	n.heardRegions(reply.Regions)
	n.raiseInForce(reply.InForce)
	progressed := n.takeReleased(reply)
	n.takeLease(sentAt, reply)
	if n.now-up.leaseAt > n.config.Timing.ServingLease/2 {
		n.leaveParent(avoidStale)
		return
	}
	up.nextAt = n.now
	if !progressed && len(reply.Members) == 0 && n.now-sentAt < idleSpacing {
		up.nextAt = n.now + idleSpacing
	}
	up.nextAt = max(up.nextAt, n.now+reply.RetryAfter)
	if n.holding.staged != nil {
		up.nextAt = max(up.nextAt, n.now+swapPatience)
	}
	n.fetchSoon()
}

// applyReleased stages or stores the version released by the parent and reports
// whether it is newer.
func (n *Node) takeReleased(reply *protocol.FetchReply) bool {
	floorVersion, _ := n.floor()
	if reply.Released < floorVersion {
		return false
	}
	if n.relaying() != n.upstream.sentRelaying {
		// The reply is for the scope of this daemon's previous role: a nil delta
		// would be applied to the wrong content. The next fetch requests the new
		// scope.
		return false
	}
	if n.relaying() {
		return n.takeForStore(reply)
	}
	if reply.Released <= n.held() || n.holding.staged != nil {
		return false
	}
	next, err := n.nextSnapshot(reply)
	if err != nil {
		n.refuseDelta(err)
		return false
	}
	n.holding.wholeWanted = false
	n.stage(next)
	return true
}

// nextSnapshot builds the next snapshot of a leaf: the current one with the delta
// applied, or the same content at the new version.
func (n *Node) nextSnapshot(reply *protocol.FetchReply) (*snapshot.Snapshot, error) {
	current := n.holding.current
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
func (n *Node) takeForStore(reply *protocol.FetchReply) bool {
	store := n.holding.store
	if reply.Released <= store.Version() {
		return false
	}
	if reply.Delta == nil {
		store.Advance(reply.Released)
	} else if err := n.applyToStore(reply); err != nil {
		n.refuseDelta(err)
		return false
	}
	n.holding.wholeWanted = false
	n.adoptFromStore()
	return true
}

func (n *Node) applyToStore(reply *protocol.FetchReply) error {
	var current []resource.Encoded
	if newest := n.holding.store.Newest(); newest != nil {
		current = newest.Encoded
	}
	resources, err := snapshot.Apply(current, reply.Delta)
	if err != nil {
		return err
	}
	return n.holding.store.Add(reply.Released, resources)
}

// rejectDelta discards a delta that cannot be applied; the next fetch requests a
// full snapshot.
func (n *Node) refuseDelta(err error) {
	n.log("delta_refused", LogField{Key: "error", Value: err.Error()})
	n.upstream.nextAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
	n.holding.wholeWanted = true
}

// applyLease applies the lease of a reply. It is counted from when the request was
// sent, so that the time in transit does not extend it.
func (n *Node) takeLease(sentAt time.Duration, reply *protocol.FetchReply) {
	if reply.LeaseRemaining <= 0 {
		return
	}
	until := sentAt + min(reply.LeaseRemaining, n.config.Timing.ServingLease+n.config.Timing.FetchWait)
	if until-n.now > n.config.Timing.ServingLease/4 {
		n.upstream.leaseAt = n.now
	}
	if n.relaying() && n.holding.store.Version() >= reply.Released {
		n.holding.grantUntil = max(n.holding.grantUntil, until)
	}
	n.extendServing(lease{until: until, version: reply.Released})
}
