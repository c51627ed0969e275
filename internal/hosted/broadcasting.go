package hosted

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// minBroadcastInterval is the minimum time between two broadcasts of one relay. The
	// time between the announcement of a daemon's stop and the closing of its gate must be
	// longer (stopAnnounceLead).
	minBroadcastInterval = 200 * time.Millisecond
	// maxRelayAttempts is the maximum number of relays of a zone to which sending one message
	// is attempted.
	maxRelayAttempts = 3
)

// broadcastOwnRecord sends the daemon's own record to the relays of all zones. It also sends it to the
// own deputies, so that what this daemon has acknowledged is not lost if the relay ends before
// its broadcast. The lock is held.
func (m *mesh) broadcastOwnRecord() {
	directory := m.peerDirectory()
	request := m.newPushRequest([]protocol.Member{m.self})
	request.Relay = true
	for _, zone := range directory.Zones() {
		if zone != m.self.Zone {
			m.sendToFirstReachable(m.reachableRelays(zone), request, false)
		}
	}
	if directory.IsRelay(m.isLost) {
		m.scheduleBroadcast(m.self.ID)
	} else {
		m.sendToFirstReachable(m.reachableRelays(m.self.Zone), request, false)
	}
	deputies := lo.Reject(directory.Deputies(), func(peer dissemination.Peer, _ int) bool { return m.isLost(peer.ID) })
	m.push(deputies[:min(deputyCount, len(deputies))], m.self)
}

// broadcastInOwnZone broadcasts records of other zones in the own zone, through the relay of
// the zone; the lock is held.
func (m *mesh) broadcastInOwnZone(records []protocol.Member) {
	if m.peerDirectory().IsRelay(m.isLost) {
		m.scheduleBroadcast(memberIDs(records)...)
		return
	}
	request := m.newPushRequest(records)
	request.Relay = true
	m.sendToFirstReachable(m.reachableRelays(m.self.Zone), request, false)
}

// reachableRelays returns the best maxRelayAttempts reachable relays of a zone; the lock is held.
func (m *mesh) reachableRelays(zone string) []dissemination.Peer {
	relays := m.peerDirectory().Relays(zone, m.isLost)
	return relays[:min(maxRelayAttempts, len(relays))]
}

// newPushRequest returns a push: a message that carries records and requests no
// comparison. The lock is held.
func (m *mesh) newPushRequest(records []protocol.Member) protocol.ExchangeRequest {
	return protocol.ExchangeRequest{
		Format: protocol.Format, From: m.self.ID, Zone: m.self.Zone, Version: m.version(), Era: m.eras.current(),
		Push: true, Members: records, Rollouts: m.rollouts.records(m.clock()), HarmfulSum: m.harmful.HarmfulSum(),
		Evacuations: m.evacuations.SharedOrders(m.clock()),
	}
}

// sendToFirstReachable sends a push to the candidates in order until one answers. It
// does not block. If forward is set, the push requests that the receiver forwards it to the
// candidates after it.
func (m *mesh) sendToFirstReachable(candidates []dissemination.Peer, request protocol.ExchangeRequest, forward bool) {
	if len(candidates) == 0 {
		return
	}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		for index, candidate := range candidates {
			push := request
			if forward {
				push.Forward = toDestinations(candidates[index+1:])
			}
			if m.callPeer(candidate, &push) != nil || m.context.Err() != nil {
				return
			}
		}
	}()
}

// handlePush merges the records of a push, and broadcasts or forwards them as the push requests.
func (m *mesh) handlePush(request *protocol.ExchangeRequest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	newRecords := m.mergeMembers(request.Members)
	if request.Relay {
		m.scheduleBroadcast(memberIDs(m.recordsToRelay(request, newRecords))...)
		m.relayHarmful(request.Harmful)
	}
	m.forwardPush(request)
}

// recordsToRelay returns the records of a push that the relay broadcasts: the sender's own
// record, unless a newer one is known, and the new records. The sender sends its own
// record only once, so it is broadcast even if it has already arrived on another path.
// The lock is held.
func (m *mesh) recordsToRelay(request *protocol.ExchangeRequest, newRecords []protocol.Member) []protocol.Member {
	senderRecord := lo.Filter(request.Members, func(member protocol.Member, _ int) bool {
		current, found := m.roster.Get(member.ID)
		return member.ID == request.From && found && !membership.Newer(current, member)
	})
	return append(senderRecord, newRecords...)
}

// forwardPush forwards a push to the daemons listed in it; the lock is held.
func (m *mesh) forwardPush(request *protocol.ExchangeRequest) {
	targets := lo.Map(request.Forward, func(destination protocol.Destination, _ int) dissemination.Peer {
		return dissemination.Peer{ID: destination.ID, Address: destination.Address, Zone: m.self.Zone, Region: m.self.Region}
	})
	push := m.newPushRequest(request.Members)
	push.Harmful = request.Harmful
	m.sendAlongTree(targets, push)
}

// sendAlongTree sends a push to all reachable targets along a forwarding tree; the lock is held.
func (m *mesh) sendAlongTree(targets []dissemination.Peer, request protocol.ExchangeRequest) {
	reachable := lo.Reject(targets, func(peer dissemination.Peer, _ int) bool { return m.isLost(peer.ID) })
	for _, branch := range dissemination.Branches(reachable) {
		m.sendToFirstReachable(branch, request, true)
	}
}

// scheduleBroadcast adds the records of the given daemons to the next broadcast in the own
// zone. It sends the broadcast at once unless the last one was less than minBroadcastInterval
// ago. The lock is held.
func (m *mesh) scheduleBroadcast(ids ...protocol.NodeID) {
	wait, schedule := m.batch.Add(m.clock(), ids...)
	m.runScheduled(wait, schedule, m.broadcastBatch)
}

// runScheduled runs the broadcast of a batch as dissemination.Batch.Add has scheduled it; the lock is
// held.
func (m *mesh) runScheduled(wait time.Duration, schedule bool, broadcast func()) {
	switch {
	case !schedule:
	case wait == 0:
		broadcast()
	default:
		m.runAfter(wait, broadcast)
	}
}

// broadcastBatch sends the collected records to all daemons of the own zone; the lock is
// held.
func (m *mesh) broadcastBatch() {
	var records []protocol.Member
	for _, id := range m.batch.Take(m.clock()) {
		if member, found := m.roster.Get(id); found {
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
	return lo.Map(peers, func(peer dissemination.Peer, _ int) protocol.Destination {
		return protocol.Destination{ID: peer.ID, Address: peer.Address}
	})
}
