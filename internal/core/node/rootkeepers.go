package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/floor"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// confirmedSet is a keeper set that one incarnation of a keeper has confirmed.
type toldSet struct {
	incarnation protocol.Incarnation
	revision    protocol.Version
}

// keeperSets returns the keeper sets whose quorums are required: the newest, and the
// one that it replaces until the change has settled.
func (n *Node) keeperSets() []protocol.KeeperSet {
	if len(n.holding.keepers.Members) == 0 {
		return nil
	}
	return floor.ActiveSets(n.holding.keepers)
}

// keeperRound sends the current version to every keeper. The replies renew the
// root's lease and show whether a newer version was stored.
func (n *Node) keeperRound() {
	if n.now < n.root.roundAt {
		return
	}
	n.root.roundAt = n.now + roundInterval
	asked := map[protocol.NodeID]bool{}
	for _, set := range n.keeperSets() {
		for _, keeper := range set.Members {
			if asked[keeper.ID] {
				continue
			}
			asked[keeper.ID] = true
			n.askKeeper(keeper)
		}
	}
}

func (n *Node) askKeeper(keeper protocol.KeeperMember) {
	request := &protocol.StoreRequest{
		Format:      protocol.Format,
		From:        n.self.ID,
		Incarnation: n.self.Incarnation,
		Term:        n.readerSide.reader.Term(),
		Version:     n.holding.store.Version(),
		Keepers:     n.setFor(keeper.ID),
	}
	address := keeper.ControlAddress
	if member, found := n.roster.Get(keeper.ID); found {
		address = member.ControlAddress
	}
	n.store(address, request, keeperTimeout, func(reply *protocol.StoreReply) { n.noteTold(request, reply) })
}

// keeperSetFor returns the keeper set that a round sends to a keeper: only the
// region once the keeper has confirmed the newest set.
func (n *Node) setFor(keeper protocol.NodeID) protocol.KeeperSet {
	if n.root.told[keeper].revision == n.holding.keepers.Revision {
		return protocol.KeeperSet{Region: n.config.Region}
	}
	return n.holding.keepers
}

// recordConfirmedSet records the set that a keeper has confirmed, until the keeper
// restarts.
func (n *Node) noteTold(request *protocol.StoreRequest, reply *protocol.StoreReply) {
	if reply == nil || reply.Code != result.OK {
		return
	}
	if revision := request.Keepers.Revision; revision > 0 {
		n.root.told[reply.From] = toldSet{incarnation: reply.Incarnation, revision: revision}
		return
	}
	if n.root.told[reply.From].incarnation != reply.Incarnation {
		delete(n.root.told, reply.From)
	}
}

// sendStore sends a store request to a keeper, which may be this daemon, and records
// the reply for the root's lease.
func (n *Node) store(address string, request *protocol.StoreRequest, timeout time.Duration, done func(*protocol.StoreReply)) {
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
	n.call(address, request, timeout, func(body any) {
		reply, _ := body.(*protocol.StoreReply)
		finish(reply)
	})
}

// renewRootLease extends the time up to which this root may grant leases, and with
// it its own serving lease.
func (n *Node) renewRootLease() {
	version := n.holding.store.Version()
	if version == 0 {
		return
	}
	until := n.root.lease.GrantUntil(version, n.keeperSets()...)
	if until <= n.holding.grantUntil {
		return
	}
	n.holding.grantUntil = until
	n.extendServing(lease{until: until, version: version})
}

// chooseKeepers changes the keeper set when a keeper is permanently lost or the
// region has grown. Only a reader can write the set to the head.
func (n *Node) chooseKeepers() {
	catalogue := n.readerSide.catalogue
	if catalogue == nil || !n.readerSide.reader.IsReader() {
		return
	}
	current, _ := keeperSetOf(catalogue.Keepers, n.config.Region)
	if n.now < n.root.keepersAt && !n.maySettle(current) {
		return
	}
	if n.holding.store.Version() < catalogue.Version && len(n.holding.keepers.Members) > 0 {
		return
	}
	n.root.keepersAt = n.now + keeperChangeInterval
	n.root.settleAt = n.now + settleInterval
	members := n.liveInRegion(n.config.Region)
	chosen, changed := floor.ChooseKeepers(n.config.Region, current, members, n.holding.store.Version())
	if changed {
		n.applyReader(n.readerSide.reader.SetKeepers(n.now, n.wallNow(), []protocol.KeeperSet{chosen}))
	}
}

// canSettle reports whether a change of the keeper set can be settled. This is not
// delayed until keepersAt: until the change is settled, a quorum of the former set is
// required as well, and too few of its keepers may be left.
func (n *Node) maySettle(current protocol.KeeperSet) bool {
	return current.Previous != nil && n.holding.store.Version() >= current.Revision && n.now >= n.root.settleAt
}

// adoptKeepers adopts a newer keeper set of this region.
func (n *Node) adoptKeepers(set protocol.KeeperSet) {
	n.holding.keepers = set
	n.start.adoptKeepers(set)
}

func keeperSetOf(sets []protocol.KeeperSet, region string) (protocol.KeeperSet, bool) {
	return lo.Find(sets, func(set protocol.KeeperSet) bool { return set.Region == region })
}
