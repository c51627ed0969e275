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

// takeReply takes what the parent has to say. It leaves a parent that answers
// but has not extended the lease for long: that one is cut off from above while
// another may not be. A parent that is slow to answer is not judged by it.
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

// takeReleased stages the version that the parent released and reports whether
// it is newer.
func (n *Node) takeReleased(reply *protocol.FetchReply) bool {
	floorVersion, _ := n.floor()
	if reply.Released < floorVersion {
		return false
	}
	if n.relaying() != n.upstream.sentRelaying {
		// The reply speaks of the other scope: "nothing changed" would be taken
		// of the wrong content. The next fetch asks in the new role.
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

// nextSnapshot builds what a leaf holds next: the delta applied in whole, or
// the same content at the new version.
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

// takeForStore puts the released version into the store, from where children
// and this daemon itself take it.
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

// refuseDelta drops what cannot be applied whole, so that the next fetch asks
// for a whole snapshot.
func (n *Node) refuseDelta(err error) {
	n.log("delta_refused", LogField{Key: "error", Value: err.Error()})
	n.upstream.nextAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
	n.holding.wholeWanted = true
}

// takeLease takes the lease of a reply: it runs from the sending of the
// request, so that time on the way is never served twice.
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
