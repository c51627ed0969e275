package hosted

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/proxy"
)

const (
	// canaryExposureShare is the fraction of the allowed exposure that canaries receive. The rest
	// is for the calls that they receive after a halt, until all daemons have received it.
	canaryExposureShare = 0.7
	// completedSplitTime is how long back ends of other versions receive no calls after the
	// completion of an order. These back ends stop within this time; the order does not affect
	// back ends that start later.
	completedSplitTime = 10 * time.Second
)

// rolloutTable holds what a daemon knows of roll-outs: the orders, and when it first saw each
// version of each service. It is guarded by the mesh's lock.
type rolloutTable struct {
	// exposureShare is the fraction of a service's calls that a new version may receive before
	// it is found to be good; with 0 the daemon follows no orders.
	exposureShare float64
	orders        *rollout.Table
	versions      *versionTracker
	// readingOrders is set while the daemon reads the orders because it holds back a version.
	readingOrders bool
}

func newRolloutTable(exposureShare float64) *rolloutTable {
	return &rolloutTable{exposureShare: exposureShare, orders: rollout.NewTable(), versions: newVersionTracker()}
}

// records returns the orders in the form in which they are sent to peers.
func (t *rolloutTable) records(now time.Duration) []rollout.Record { return t.orders.Records(now) }

// versionSplits returns how the calls of each service are split among its versions. A version that
// was first seen recently is held back until the daemon knows whether that version has an order.
// The lock is held.
func (m *mesh) versionSplits(members []protocol.Member) proxy.VersionSplits {
	if m.rollouts.exposureShare == 0 {
		return nil
	}
	now := m.clock()
	splits := proxy.VersionSplits{}
	m.rollouts.versions.record(now, members)
	for service, software := range m.rollouts.versions.heldBackVersions(now) {
		splits[service] = proxy.VersionSplit{Target: software, Stage: rollout.StageHeld}
	}
	if len(splits) > 0 {
		m.startOrdersReads()
	}
	for _, record := range m.rollouts.records(now) {
		if record.Stage == rollout.StageCompleted && m.rollouts.orders.TimeInStage(now, record.Service) > completedSplitTime {
			delete(splits, record.Service)
			continue
		}
		splits[record.Service] = proxy.VersionSplit{
			Target: record.Target, Stage: record.Stage, CanaryShare: m.rollouts.exposureShare * canaryExposureShare,
		}
	}
	return splits
}

// rolloutRecords returns the orders that the daemon knows.
func (m *mesh) rolloutRecords() []rollout.Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rollouts.records(m.clock())
}

// handlePeerRollouts merges the records of orders that a peer has sent.
func (m *mesh) handlePeerRollouts(records []rollout.Record) {
	if len(records) == 0 || m.rollouts.exposureShare == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.mergeRollouts(records)
}

// mergeRollouts merges records of orders, publishes the state to the data path if any record has
// changed, and reports whether one has. The lock is held.
func (m *mesh) mergeRollouts(records []rollout.Record) (changed bool) {
	for _, record := range records {
		if !m.rollouts.orders.Merge(m.clock(), record) {
			continue
		}
		changed = true
		m.events.event("rollout_stage", field("service", record.Service.Name), field("target", record.Target),
			field("stage", record.Stage.String()), field("elapsed_ms", formatMillis(record.Elapsed)))
		if record.Service == m.self.Service {
			m.setCounting(!record.Stage.Final())
		}
	}
	if changed {
		m.publishAll()
	}
	return changed
}

// broadcastOrders sends all known orders of every kind to all daemons, along a tree in each zone.
// Daemons that the broadcast misses receive the orders when they compare records with a peer. The
// lock is held.
func (m *mesh) broadcastOrders() {
	request := m.newPushRequest(nil)
	directory := m.peerDirectory()
	for _, zone := range directory.Zones() {
		m.sendAlongTree(directory.PeersInZone(zone), request)
	}
}

// handleEvidenceRequest returns the counts of this daemon's gate to a decider. The reply is empty
// if the back end belongs to another service.
func (m *mesh) handleEvidenceRequest(request *protocol.EvidenceRequest) *protocol.EvidenceReply {
	m.mutex.Lock()
	software, sameService := m.self.Software, m.self.Service == request.Service
	m.mutex.Unlock()
	if !sameService {
		return &protocol.EvidenceReply{}
	}
	evidence, outstanding := m.readEvidence()
	return &protocol.EvidenceReply{Software: software, Outstanding: outstanding, Evidence: evidence}
}

// rolloutGates returns the gates of a service: those whose back ends run the target version and
// accept calls, canaries first, and those whose back ends run another version and accept calls or may
// still run some. The lock is held.
func (m *mesh) rolloutGates(record rollout.Record) (target, stable []rolloutGate) {
	m.roster.Each(func(member protocol.Member) {
		acceptsCalls := member.Endpoint.AcceptsCalls()
		if member.Service != record.Service || member.Backend == "" || member.State != protocol.MemberAlive {
			return
		}
		gate := rolloutGate{
			peer:    dissemination.Peer{ID: member.ID, Address: member.ControlAddress, Zone: member.Zone, Region: member.Region},
			backend: member.Backend,
		}
		if acceptsCalls {
			gate.slots = member.Slots
		}
		switch {
		case member.Software != record.Target && (acceptsCalls || mayStillRunCalls(member.Endpoint)):
			stable = append(stable, gate)
		case member.Software == record.Target && acceptsCalls:
			target = append(target, gate)
		}
	})
	slices.SortFunc(target, func(a, b rolloutGate) int { return rollout.CompareCanaries(a.backend, b.backend) })
	return target, stable
}

// mayStillRunCalls reports whether a back end in a state may still run calls although it receives
// no new ones.
func mayStillRunCalls(state protocol.EndpointState) bool {
	return state == protocol.EndpointDraining || state == protocol.EndpointEvacuated
}

// rolloutGate is a gate whose back end belongs to a service with an order.
type rolloutGate struct {
	peer    dissemination.Peer
	backend string
	// slots is the number of slots of the back end; 0 if it accepts no calls.
	slots int
}

func totalSlots(gates []rolloutGate) (total int) {
	for _, gate := range gates {
		total += gate.slots
	}
	return total
}
