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
	// canaryOfExposure is the share of the allowed exposure that canaries get: the rest is
	// for calls before all daemons have heard that a version was given up.
	canaryExposureShare = 0.7
	// completedTime is how long back ends of other versions get nothing after an order was
	// completed. They stop then; what comes later is no matter of the order.
	completedSplitTime = 10 * time.Second
)

// rolloutTable is what a daemon knows of roll-outs: orders, and since when it has seen
// which version of which service. It is guarded by the mesh's lock.
type rolloutTable struct {
	// exposure is the share that a version may get before it is known to be good; 0
	// follows no orders.
	exposureShare float64
	orders        *rollout.Table
	versions      *versionTracker
	// confirming is set while the daemon reads the orders for a version that it holds back.
	readingOrders bool
}

func newRolloutTable(exposure float64) *rolloutTable {
	return &rolloutTable{exposureShare: exposure, orders: rollout.NewTable(), versions: newVersionTracker()}
}

// records are the orders as they are told to peers now.
func (t *rolloutTable) records(now time.Duration) []rollout.Record { return t.orders.Records(now) }

// divide says how the back ends of services are divided among versions; the lock is
// held. A version that has just been seen is held back until its order is known, if there
// is one.
func (m *mesh) versionSplits(members []protocol.Member) proxy.VersionSplits {
	if m.rollouts.exposureShare == 0 {
		return nil
	}
	now := m.clock()
	splits := proxy.VersionSplits{}
	m.rollouts.versions.record(now, members)
	for service, software := range m.rollouts.versions.heldBack(now) {
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

// rolloutRecords are the orders that the daemon knows.
func (m *mesh) rolloutRecords() []rollout.Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rollouts.records(m.clock())
}

// takeRollouts takes a peer's word of orders.
func (m *mesh) handlePeerRollouts(records []rollout.Record) {
	if len(records) == 0 || m.rollouts.exposureShare == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.mergeRollouts(records)
}

// mergeRollouts takes records of orders and puts what is news in force; the lock is
// held.
func (m *mesh) mergeRollouts(records []rollout.Record) (news bool) {
	for _, record := range records {
		if !m.rollouts.orders.Merge(m.clock(), record) {
			continue
		}
		news = true
		m.events.event("rollout_stage", field("service", record.Service.Name), field("target", record.Target),
			field("stage", record.Stage.String()), field("elapsed_ms", formatMillis(record.Elapsed)))
		if record.Service == m.self.Service {
			m.setCounting(!record.Stage.Final())
		}
	}
	if news {
		m.publishAll()
	}
	return news
}

// spreadOrders tells all daemons of the orders of all kinds that are known, along a tree in each
// zone; the lock is held. Comparisons reach those that it misses.
func (m *mesh) broadcastOrders() {
	request := m.newPushRequest(nil)
	directory := m.peerDirectory()
	for _, zone := range directory.Zones() {
		m.sendAlongTree(directory.PeersInZone(zone), request)
	}
}

// answerEvidence tells a decider what the gate has counted.
func (m *mesh) handleEvidenceRequest(request *protocol.EvidenceRequest) *protocol.EvidenceReply {
	m.mutex.Lock()
	software, mine := m.self.Software, m.self.Service == request.Service
	m.mutex.Unlock()
	if !mine {
		return &protocol.EvidenceReply{}
	}
	evidence, outstanding := m.readEvidence()
	return &protocol.EvidenceReply{Software: software, Outstanding: outstanding, Evidence: evidence}
}

// rolloutGates are the daemons beside back ends of a service, by whether these are of the
// target version, of which the canaries come first; the lock is held.
func (m *mesh) rolloutGates(record rollout.Record) (target, stable []rolloutGate) {
	m.roster.Each(func(member protocol.Member) {
		takesWork := member.Endpoint.AcceptsCalls()
		if member.Service != record.Service || member.Backend == "" || member.State != protocol.MemberAlive {
			return
		}
		gate := rolloutGate{
			peer:    dissemination.Peer{ID: member.ID, Address: member.ControlAddress, Zone: member.Zone, Region: member.Region},
			backend: member.Backend,
		}
		if takesWork {
			gate.slots = member.Slots
		}
		switch {
		case member.Software != record.Target && (takesWork || mayStillRunCalls(member.Endpoint)):
			stable = append(stable, gate)
		case member.Software == record.Target && takesWork:
			target = append(target, gate)
		}
	})
	slices.SortFunc(target, func(a, b rolloutGate) int { return rollout.CompareCanaries(a.backend, b.backend) })
	return target, stable
}

// endsCalls tells whether calls may still run at a back end although it gets no new ones.
func mayStillRunCalls(state protocol.EndpointState) bool {
	return state == protocol.EndpointDraining || state == protocol.EndpointEvacuated
}

// rolloutGate is a daemon beside a back end of a service that has an order.
type rolloutGate struct {
	peer    dissemination.Peer
	backend string
	// slots are those that take work.
	slots int
}

func totalSlots(gates []rolloutGate) (total int) {
	for _, gate := range gates {
		total += gate.slots
	}
	return total
}
