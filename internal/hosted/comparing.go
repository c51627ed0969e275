package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

// runComparisons periodically compares records with peers until the daemon ends.
func (m *mesh) runComparisons() {
	for round := 0; m.context.Err() == nil; round++ {
		for _, target := range m.nextComparisonPeers(round) {
			m.compareWith(target)
		}
		m.relistIfIsolated()
		period := comparisonInterval
		if m.isStoreUnavailable() || !m.isJoined() {
			period = urgentComparisonInterval
		}
		if !pause.For(m.context, period*3/4+time.Duration(randomNumber()%uint64(period/2))) {
			return
		}
	}
}

// nextComparisonPeers returns the peers for one round: the next one of the own zone, in an order that
// differs among daemons, and in some rounds a random one of another zone.
func (m *mesh) nextComparisonPeers(round int) []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ownZonePeers, otherPeers := m.peerDirectory().Deputies(), m.peerDirectory().PeersInOtherZones()
	var targets []dissemination.Peer
	if len(ownZonePeers) > 0 {
		targets = append(targets, ownZonePeers[m.comparisonTurn%len(ownZonePeers)])
		m.comparisonTurn++
	}
	if round%otherZoneRounds == 0 || len(ownZonePeers) == 0 {
		// The daemons of a zone share its comparisons with other zones, so that their rate does
		// not depend on the number of daemons.
		if len(otherPeers) > 0 && (round == 0 || randomNumber()%uint64(len(ownZonePeers)+1) == 0) {
			targets = append(targets, samplePeers(otherPeers, 1)...)
		}
	}
	return targets
}

// compareWith compares checksums with a peer and exchanges the records in buckets that differ,
// so that both hold the same records.
func (m *mesh) compareWith(target dissemination.Peer) {
	m.mutex.Lock()
	request := m.newComparisonRequest()
	m.mutex.Unlock()
	reply := m.callPeer(target, request)
	if reply == nil {
		return
	}
	if len(reply.Sums) != membership.BucketCount {
		m.recordComparison(target) // the records are equal
		return
	}
	m.mutex.Lock()
	request = m.newComparisonRequest()
	sums := m.roster.BucketSums()
	request.Sums = sums[:]
	request.Members = m.roster.InDifferingBuckets(membership.BucketSums(reply.Sums))
	m.mutex.Unlock()
	if reply = m.callPeer(target, request); reply != nil {
		m.mergeCompared(target.Zone, reply.Members)
		m.recordComparison(target)
	}
}

// mergeCompared merges records received in a comparison with a daemon of the given zone.
// New records from another zone are broadcast in the own zone.
func (m *mesh) mergeCompared(fromZone string, members []protocol.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	newRecords := m.mergeMembers(members)
	if len(newRecords) > 0 && fromZone != m.self.Zone {
		m.broadcastInOwnZone(newRecords)
	}
}

// recordComparison marks the daemon as joined after a comparison with a peer of the own
// zone. Daemons of other zones may not know what an earlier start of this daemon
// announced, so a comparison with one of them suffices only if no other daemon of the own
// zone is known.
func (m *mesh) recordComparison(peer dissemination.Peer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if peer.Zone == m.self.Zone || len(m.peerDirectory().PeersInOwnZone()) == 0 {
		m.markJoined()
	}
}

// newComparisonRequest returns a comparison request with the total checksum and without
// records; the lock is held.
func (m *mesh) newComparisonRequest() *protocol.ExchangeRequest {
	return &protocol.ExchangeRequest{
		Format: protocol.Format, From: m.self.ID, Zone: m.self.Zone, Version: m.version(), Era: m.eras.current(),
		Total: m.roster.BucketSums().Total(), Rollouts: m.rollouts.records(m.clock()), HarmfulSum: m.harmful.HarmfulSum(),
		Evacuations: m.evacuations.SharedOrders(m.clock()),
	}
}
