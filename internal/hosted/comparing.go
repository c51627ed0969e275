package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

// compareForever compares records with one peer after the other.
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

// nextTargets are the peers of one round: the next one of the own zone, and
// now and then one of another zone.
func (m *mesh) nextComparisonPeers(round int) []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	near, far := m.peerDirectory().PeersInOwnZone(), m.peerDirectory().PeersInOtherZones()
	var targets []dissemination.Peer
	if len(near) > 0 {
		targets = append(targets, near[m.comparisonTurn%len(near)])
		m.comparisonTurn++
	}
	if round%otherZoneRounds == 0 || len(near) == 0 {
		// Each zone speaks for itself about as often, however many daemons it has.
		if len(far) > 0 && (round == 0 || randomNumber()%uint64(len(near)+1) == 0) {
			targets = append(targets, samplePeers(far, 1)...)
		}
	}
	return targets
}

// compare brings the records of both sides to the same.
func (m *mesh) compareWith(target dissemination.Peer) {
	m.mutex.Lock()
	request := m.newComparisonRequest()
	m.mutex.Unlock()
	reply := m.callPeer(target, request)
	if reply == nil {
		return
	}
	if len(reply.Sums) != membership.BucketCount {
		m.recordComparison(target) // both know the same
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

// takeCompared merges records that a comparison with a daemon of a zone brought.
// News from another zone is told to the own one.
func (m *mesh) mergeCompared(fromZone string, members []protocol.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	news := m.mergeMembers(members)
	if len(news) > 0 && fromZone != m.self.Zone {
		m.broadcastInOwnZone(news)
	}
}

// noteJoined notes that the records of a peer have come. Those of the own zone
// know what an earlier start of this daemon announced, others may not, so they
// count only where the zone has nobody else.
func (m *mesh) recordComparison(from dissemination.Peer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if from.Zone == m.self.Zone || len(m.peerDirectory().PeersInOwnZone()) == 0 {
		m.markJoined()
	}
}

// request is an empty comparison; the lock is held.
func (m *mesh) newComparisonRequest() *protocol.ExchangeRequest {
	return &protocol.ExchangeRequest{
		Format: protocol.Format, From: m.self.ID, Zone: m.self.Zone, Version: m.version(), Era: m.eras.current(),
		Total: m.roster.BucketSums().Total(), Rollouts: m.rollouts.records(m.clock()), HarmfulSum: m.harmful.HarmfulSum(),
		Evacuations: m.evacuations.SharedOrders(m.clock()),
	}
}
