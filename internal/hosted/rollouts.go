package hosted

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/proxy"
)

const (
	// canaryOfExposure is the share of the allowed exposure that canaries get: the rest is
	// for calls before all daemons have heard that a version was given up.
	canaryOfExposure = 0.7
	// heldTime is how long a version that has just been seen gets nothing while others
	// serve: until its order has been heard of, if there is one.
	heldTime = 2500 * time.Millisecond
	// versionLimit bounds the versions of a service that are remembered as seen: more are
	// not in use at a time.
	versionLimit = 16
	// completedTime is how long back ends of other versions get nothing after an order was
	// completed. They stop then; what comes later is no matter of the order.
	completedTime = 10 * time.Second
)

// rolloutTable is what a daemon knows of roll-outs: orders, and since when it has seen
// which version of which service. It is guarded by the mesh's lock.
type rolloutTable struct {
	// exposure is the share that a version may get before it is known to be good; 0
	// follows no orders.
	exposure float64
	orders   *rollout.Table
	// seen are the versions of each service and when each was first seen.
	seen map[resource.ServiceRef]map[string]time.Duration
}

func newRolloutTable(exposure float64) *rolloutTable {
	return &rolloutTable{
		exposure: exposure, orders: rollout.NewTable(),
		seen: map[resource.ServiceRef]map[string]time.Duration{},
	}
}

// records are the orders as they are told to peers now.
func (t *rolloutTable) records(now time.Duration) []rollout.Record { return t.orders.Records(now) }

// divide says how the back ends of services are divided among versions; the lock is
// held. Where a version is held back for a moment, the records are published again
// after that.
func (m *mesh) divide(members []protocol.Member) proxy.Splits {
	if m.rollouts.exposure == 0 {
		return nil
	}
	now := m.clock()
	splits := proxy.Splits{}
	for index := range members {
		member := &members[index]
		if member.Software == "" || !member.Endpoint.TakesWork() {
			continue
		}
		if wait := m.rollouts.heldFor(now, member.Service, member.Software); wait > 0 {
			splits[member.Service] = proxy.Split{Target: member.Software, Stage: rollout.StageHeld}
			if wait == heldTime { // just seen: once is enough
				m.later(wait, m.publishSoon)
			}
		}
	}
	for _, record := range m.rollouts.records(now) {
		if record.Stage == rollout.StageCompleted && m.rollouts.orders.InStage(now, record.Service) > completedTime {
			delete(splits, record.Service)
			continue
		}
		splits[record.Service] = proxy.Split{
			Target: record.Target, Stage: record.Stage, CanaryShare: m.rollouts.exposure * canaryOfExposure,
		}
	}
	return splits
}

// heldFor is how much longer a version is held back. The first version of a service that
// a daemon sees is not.
func (t *rolloutTable) heldFor(now time.Duration, service resource.ServiceRef, software string) time.Duration {
	versions := t.seen[service]
	if versions == nil {
		t.seen[service] = map[string]time.Duration{software: now - heldTime}
		return 0
	}
	since, known := versions[software]
	if !known {
		t.forgetOldest(versions)
		versions[software] = now
		return heldTime
	}
	return max(0, since+heldTime-now)
}

// forgetOldest makes room for one more version of a service.
func (t *rolloutTable) forgetOldest(versions map[string]time.Duration) {
	if len(versions) < versionLimit {
		return
	}
	oldest := lo.MinBy(lo.Keys(versions), func(one, other string) bool { return versions[one] < versions[other] })
	delete(versions, oldest)
}

// rolloutRecords are the orders that the daemon knows.
func (m *mesh) rolloutRecords() []rollout.Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rollouts.records(m.clock())
}

// takeRollouts takes a peer's word of orders.
func (m *mesh) takeRollouts(records []rollout.Record) {
	if len(records) == 0 || m.rollouts.exposure == 0 {
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
			field("stage", record.Stage.String()), field("elapsed_ms", milliseconds(record.Elapsed)))
		if record.Service == m.self.Service {
			m.countAnswers(!record.Stage.Final())
		}
	}
	if news {
		m.publishAll()
	}
	return news
}

// spreadRollouts tells all daemons of the orders that are known, along a tree in each
// zone; the lock is held. Comparisons reach those that it misses.
func (m *mesh) spreadRollouts() {
	request := m.pushRequest(nil)
	directory := m.peers()
	for _, zone := range directory.Zones() {
		m.sendBranches(directory.InZone(zone), request)
	}
}

// answerEvidence tells a decider what the gate has counted.
func (m *mesh) answerEvidence(request *protocol.EvidenceRequest) *protocol.EvidenceReply {
	m.mutex.Lock()
	software, mine := m.self.Software, m.self.Service == request.Service
	m.mutex.Unlock()
	if !mine {
		return &protocol.EvidenceReply{}
	}
	evidence, outstanding := m.counted()
	return &protocol.EvidenceReply{Software: software, Outstanding: outstanding, Evidence: evidence}
}

// rolloutGates are the daemons beside back ends of a service, by whether these are of the
// target version, of which the canaries come first; the lock is held.
func (m *mesh) rolloutGates(record rollout.Record) (target, stable []rolloutGate) {
	m.roster.Each(func(member protocol.Member) {
		takesWork := member.Endpoint.TakesWork()
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
		case member.Software != record.Target && (takesWork || member.Endpoint == protocol.EndpointDraining):
			stable = append(stable, gate) // calls may still run at one that drains
		case member.Software == record.Target && takesWork:
			target = append(target, gate)
		}
	})
	slices.SortFunc(target, func(a, b rolloutGate) int { return rollout.CompareCanaries(a.backend, b.backend) })
	return target, stable
}

// rolloutGate is a daemon beside a back end of a service that has an order.
type rolloutGate struct {
	peer    dissemination.Peer
	backend string
	// slots are those that take work.
	slots int
}

func slotsOf(gates []rolloutGate) (total int) {
	for _, gate := range gates {
		total += gate.slots
	}
	return total
}
