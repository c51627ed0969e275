package hosted

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// batchPeriod is the least time between two broadcasts of one relay. A stop is
	// announced longer than this before its gate closes (announceAhead).
	minBroadcastInterval = 200 * time.Millisecond
	// relayTries is how many relays of a zone are tried for one message.
	maxRelayAttempts = 3
)

// broadcastSelf tells the relays of all zones of the own record; the lock is held. In
// the own zone a second daemon is told as well, so that what this daemon has
// acknowledged is remembered although the relay ends before its broadcast.
func (m *mesh) broadcastOwnRecord() {
	directory := m.peerDirectory()
	request := m.newPushRequest([]protocol.Member{m.self})
	request.Relay = true
	for _, zone := range directory.Zones() {
		if zone != m.self.Zone {
			m.sendToFirstReachable(m.reachableRelays(zone), request, false)
		}
	}
	near := m.reachableRelays(m.self.Zone)
	if directory.IsRelay(m.isLost) {
		m.scheduleBroadcast(m.self.ID)
	} else {
		m.sendToFirstReachable(near, request, false)
		near = near[1:]
	}
	m.push(near[:min(1, len(near))], m.self)
}

// broadcastInZone has records of other zones broadcast in the own zone; the lock is
// held.
func (m *mesh) broadcastInOwnZone(records []protocol.Member) {
	if m.peerDirectory().IsRelay(m.isLost) {
		m.scheduleBroadcast(memberIDs(records)...)
		return
	}
	request := m.newPushRequest(records)
	request.Relay = true
	m.sendToFirstReachable(m.reachableRelays(m.self.Zone), request, false)
}

// relays are the first relays of a zone that answer; the lock is held.
func (m *mesh) reachableRelays(zone string) []dissemination.Peer {
	found := m.peerDirectory().Relays(zone, m.isLost)
	return found[:min(maxRelayAttempts, len(found))]
}

// pushRequest is a message with records that asks for no comparison; the lock is
// held.
func (m *mesh) newPushRequest(records []protocol.Member) protocol.ExchangeRequest {
	return protocol.ExchangeRequest{
		Format: protocol.Format, From: m.self.ID, Zone: m.self.Zone, Version: m.version(), Era: m.eras.current(),
		Push: true, Members: records, Rollouts: m.rollouts.records(m.clock()), HarmfulSum: m.harmful.HarmfulSum(),
		Evacuations: m.evacuations.SharedOrders(m.clock()),
	}
}

// deliver sends a push to the first of some peers that answers, without waiting
// for it. With forward, that peer is asked to pass it on to those after it.
func (m *mesh) sendToFirstReachable(candidates []dissemination.Peer, request protocol.ExchangeRequest, forward bool) {
	if len(candidates) == 0 {
		return
	}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		for index, candidate := range candidates {
			sent := request
			if forward {
				sent.Forward = toDestinations(candidates[index+1:])
			}
			if m.callPeer(candidate, &sent) != nil || m.context.Err() != nil {
				return
			}
		}
	}()
}

// takePush merges the records of a push and passes them on as it asks.
func (m *mesh) handlePush(request *protocol.ExchangeRequest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	news := m.mergeMembers(request.Members)
	if request.Relay {
		m.scheduleBroadcast(memberIDs(m.recordsToRelay(request, news))...)
	}
	m.forwardPush(request)
}

// relayed are the records of a push that the relay broadcasts: the sender's own,
// which it tells once, and what is news here; the lock is held.
func (m *mesh) recordsToRelay(request *protocol.ExchangeRequest, news []protocol.Member) []protocol.Member {
	own := lo.Filter(request.Members, func(member protocol.Member, _ int) bool {
		known, found := m.roster.Get(member.ID)
		return member.ID == request.From && found && !membership.Newer(known, member)
	})
	return append(own, news...)
}

// passOn sends a push to the daemons that it names; the lock is held.
func (m *mesh) forwardPush(request *protocol.ExchangeRequest) {
	targets := lo.Map(request.Forward, func(to protocol.Destination, _ int) dissemination.Peer {
		return dissemination.Peer{ID: to.ID, Address: to.Address, Zone: m.self.Zone, Region: m.self.Region}
	})
	passed := m.newPushRequest(request.Members)
	passed.Harmful = request.Harmful
	m.sendAlongTree(targets, passed)
}

// sendBranches sends a push to all targets along a tree; the lock is held.
func (m *mesh) sendAlongTree(targets []dissemination.Peer, request protocol.ExchangeRequest) {
	reachable := lo.Reject(targets, func(one dissemination.Peer, _ int) bool { return m.isLost(one.ID) })
	for _, branch := range dissemination.Branches(reachable) {
		m.sendToFirstReachable(branch, request, true)
	}
}

// broadcastSoon has the records of some daemons broadcast in the own zone with
// all others that come within the same period; the lock is held.
func (m *mesh) scheduleBroadcast(ids ...protocol.NodeID) {
	wait, schedule := m.batch.Add(m.clock(), ids...)
	switch {
	case !schedule:
	case wait == 0:
		m.broadcastBatch()
	default:
		m.runAfter(wait, m.broadcastBatch)
	}
}

// broadcast sends what was gathered to all daemons of the own zone; the lock is
// held.
func (m *mesh) broadcastBatch() {
	var records []protocol.Member
	for _, id := range m.batch.Take(m.clock()) {
		if member, known := m.roster.Get(id); known {
			records = append(records, member)
		}
	}
	if len(records) > 0 {
		m.sendAlongTree(m.peerDirectory().PeersInOwnZone(), m.newPushRequest(records))
	}
}

func memberIDs(records []protocol.Member) []protocol.NodeID {
	return lo.Map(records, func(member protocol.Member, _ int) protocol.NodeID { return member.ID })
}

func toDestinations(peers []dissemination.Peer) []protocol.Destination {
	return lo.Map(peers, func(one dissemination.Peer, _ int) protocol.Destination {
		return protocol.Destination{ID: one.ID, Address: one.Address}
	})
}
