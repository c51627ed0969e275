package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/floor"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// confirmedKeeperSet is a keeper set that one incarnation of a keeper has confirmed.
type confirmedKeeperSet struct {
	incarnation protocol.Incarnation
	revision    protocol.Version
}

// keeperSets returns the keeper sets whose quorums are required: the newest, and the
// one that it replaces until the change is complete.
func (n *Node) keeperSets() []protocol.KeeperSet {
	if len(n.local.keepers.Members) == 0 {
		return nil
	}
	return floor.ActiveSets(n.local.keepers)
}

// sendRound sends the released version to every keeper. The replies renew the root's
// lease and show whether another root has stored a newer version.
func (n *Node) sendRound() {
	if n.now < n.root.nextRoundAt {
		return
	}
	n.root.nextRoundAt = n.now + roundInterval
	sent := map[protocol.NodeID]bool{}
	for _, set := range n.keeperSets() {
		for _, keeper := range set.Members {
			if sent[keeper.ID] {
				continue
			}
			sent[keeper.ID] = true
			n.sendRoundTo(keeper)
		}
	}
}

func (n *Node) sendRoundTo(keeper protocol.KeeperMember) {
	request := &protocol.StoreRequest{
		Format:      protocol.Format,
		From:        n.self.ID,
		Incarnation: n.self.Incarnation,
		Term:        n.readerSide.reader.Term(),
		Version:     n.local.store.Version(),
		Keepers:     n.keeperSetFor(keeper.ID),
	}
	address := keeper.ControlAddress
	if member, found := n.roster.Get(keeper.ID); found {
		address = member.ControlAddress
	}
	n.sendStore(address, request, keeperTimeout, func(reply *protocol.StoreReply) { n.recordConfirmedKeeperSet(request, reply) })
}

// keeperSetFor returns the keeper set that a round sends to a keeper: the newest set or,
// once the keeper has confirmed it, a set with the region only.
func (n *Node) keeperSetFor(keeper protocol.NodeID) protocol.KeeperSet {
	if n.root.confirmedKeeperSets[keeper].revision == n.local.keepers.Revision {
		return protocol.KeeperSet{Region: n.config.Region}
	}
	return n.local.keepers
}

// recordConfirmedKeeperSet records the set that a keeper has confirmed, until the keeper
// restarts.
func (n *Node) recordConfirmedKeeperSet(request *protocol.StoreRequest, reply *protocol.StoreReply) {
	if reply == nil || reply.Code != result.OK {
		return
	}
	if revision := request.Keepers.Revision; revision > 0 {
		n.root.confirmedKeeperSets[reply.From] = confirmedKeeperSet{incarnation: reply.Incarnation, revision: revision}
		return
	}
	if n.root.confirmedKeeperSets[reply.From].incarnation != reply.Incarnation {
		delete(n.root.confirmedKeeperSets, reply.From)
	}
}

// sendStore sends a store request to a keeper, which may be this daemon, and records
// the reply for the root's lease.
func (n *Node) sendStore(address string, request *protocol.StoreRequest, timeout time.Duration, done func(*protocol.StoreReply)) {
	sentAt := n.now
	finish := func(reply *protocol.StoreReply) {
		if reply != nil {
			n.root.lease.RecordReply(reply.From, sentAt, reply)
		}
		done(reply)
	}
	if address == n.config.ControlAddress {
		finish(n.handleStore(request))
		return
	}
	n.callPeer(address, request, timeout, func(body any) {
		reply, _ := body.(*protocol.StoreReply)
		finish(reply)
	})
}

// renewRootLease extends the time up to which this root may grant leases, and with
// it its own serving lease.
func (n *Node) renewRootLease() {
	version := n.local.store.Version()
	if version == 0 {
		return
	}
	until := n.root.lease.GrantUntil(version, n.keeperSets()...)
	if until <= n.local.grantUntil {
		return
	}
	n.local.grantUntil = until
	n.extendServingLease(lease{until: until, version: version})
}

// chooseKeepers changes the keeper set when a keeper is permanently lost or the
// region has grown. Only a reader can write the set to the head.
func (n *Node) chooseKeepers() {
	catalogue := n.readerSide.catalogue
	if catalogue == nil || !n.readerSide.reader.IsReader() {
		return
	}
	current, _ := findKeeperSet(catalogue.Keepers, n.config.Region)
	if n.now < n.root.nextKeeperChangeAt && !n.canCompleteKeeperChange(current) {
		return
	}
	if n.local.store.Version() < catalogue.Version && len(n.local.keepers.Members) > 0 {
		return
	}
	n.root.nextKeeperChangeAt = n.now + keeperChangeInterval
	n.root.nextCompletionAt = n.now + completionInterval
	members := n.liveInRegion(n.config.Region)
	chosen, changed := floor.ChooseKeepers(n.config.Region, current, members, n.local.store.Version())
	if changed {
		n.applyReaderOutputs(n.readerSide.reader.SetKeepers(n.now, n.estimatedWallClock(), []protocol.KeeperSet{chosen}))
	}
}

// canCompleteKeeperChange reports whether a change of the keeper set can be completed.
// Completion is not delayed until nextKeeperChangeAt: until then a quorum of the former
// set is required as well, and too few of its keepers may be left.
func (n *Node) canCompleteKeeperChange(current protocol.KeeperSet) bool {
	return current.Previous != nil && n.local.store.Version() >= current.Revision && n.now >= n.root.nextCompletionAt
}

// adoptKeepers adopts a newer keeper set of this region.
func (n *Node) adoptKeepers(set protocol.KeeperSet) {
	n.local.keepers = set
	n.start.adoptKeepers(set)
}

func findKeeperSet(sets []protocol.KeeperSet, region string) (protocol.KeeperSet, bool) {
	return lo.Find(sets, func(set protocol.KeeperSet) bool { return set.Region == region })
}
