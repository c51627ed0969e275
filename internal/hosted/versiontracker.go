package hosted

import (
	"cmp"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// maxOrderDelay is how long after a version was first seen its order may still be written: an
	// operator starts the back ends together with the order, and they may register first.
	maxOrderDelay = 2500 * time.Millisecond
	// maxHoldBackTime is how long a version is held back at most if the store does not answer
	// whether it has an order. Peers that know an order have sent it by then.
	maxHoldBackTime = 10 * time.Second
	// ordersReadRetryDelay is the delay before the orders are read again after a failure.
	ordersReadRetryDelay = 500 * time.Millisecond
	// maxVersionsPerService limits how many versions of a service are remembered. When the limit
	// is reached, the version that was seen first is forgotten.
	maxVersionsPerService = 16
)

// versionTracker remembers the software versions of services that a daemon has seen. A new version
// of a service that already runs others may have an order that limits its traffic, so it is held
// back until the orders have been read late enough to include such an order. It is not safe for
// concurrent use.
type versionTracker struct {
	// firstSeen holds the time at which each version of a service was first seen.
	firstSeen map[resource.ServiceRef]map[string]time.Duration
	// ordersReadAt is the time at which the last successful read of the orders began; hasReadOrders
	// is false before the first one.
	ordersReadAt  time.Duration
	hasReadOrders bool
}

func newVersionTracker() *versionTracker {
	return &versionTracker{firstSeen: map[resource.ServiceRef]map[string]time.Duration{}}
}

// record records the versions of back ends that accept calls. Of the versions that it sees when a
// service first appears, the most frequent one counts as established and is not held back.
func (t *versionTracker) record(now time.Duration, members []protocol.Member) {
	if t.hasSeenAll(members) {
		return // the usual case, checked first because record runs several times a second
	}
	for service, counts := range countVersions(members) {
		versions := t.firstSeen[service]
		if versions == nil {
			versions = map[string]time.Duration{mostFrequentVersion(counts): now - maxHoldBackTime}
			t.firstSeen[service] = versions
		}
		for software := range counts {
			if _, known := versions[software]; !known {
				removeOldestIfFull(versions)
				versions[software] = now
			}
		}
	}
}

// hasSeenAll reports whether all versions of back ends that accept calls were seen before.
func (t *versionTracker) hasSeenAll(members []protocol.Member) bool {
	for index := range members {
		member := &members[index]
		if !reportsVersion(member) {
			continue
		}
		if _, known := t.firstSeen[member.Service][member.Software]; !known {
			return false
		}
	}
	return true
}

// reportsVersion reports whether a back end accepts calls and states its software version.
func reportsVersion(member *protocol.Member) bool {
	return member.Software != "" && member.Endpoint.AcceptsCalls()
}

// countVersions counts the back ends that accept calls, by service and version.
func countVersions(members []protocol.Member) map[resource.ServiceRef]map[string]int {
	counts := map[resource.ServiceRef]map[string]int{}
	for index := range members {
		member := &members[index]
		if !reportsVersion(member) {
			continue
		}
		if counts[member.Service] == nil {
			counts[member.Service] = map[string]int{}
		}
		counts[member.Service][member.Software]++
	}
	return counts
}

// mostFrequentVersion returns the version with the most back ends. Among equals it is the first by
// name, so that all daemons choose the same one.
func mostFrequentVersion(counts map[string]int) string {
	return lo.MaxBy(lo.Keys(counts), func(version, best string) bool {
		return cmp.Or(cmp.Compare(counts[version], counts[best]), cmp.Compare(best, version)) > 0
	})
}

// removeOldestIfFull removes the version that was seen first if there are maxVersionsPerService.
func removeOldestIfFull(versions map[string]time.Duration) {
	if len(versions) < maxVersionsPerService {
		return
	}
	oldest := lo.MinBy(lo.Keys(versions), func(version, other string) bool { return versions[version] < versions[other] })
	delete(versions, oldest)
}

// heldBackVersions returns the services with a version that is held back now, and that version. If a
// service has several such versions, it returns any one of them.
func (t *versionTracker) heldBackVersions(now time.Duration) map[resource.ServiceRef]string {
	held := map[resource.ServiceRef]string{}
	for service, versions := range t.firstSeen {
		for software, seenAt := range versions {
			orderKnown := t.hasReadOrders && t.ordersReadAt >= seenAt+maxOrderDelay
			if !orderKnown && now < seenAt+maxHoldBackTime {
				held[service] = software
			}
		}
	}
	return held
}

// recordOrdersRead records a successful read of the orders that began at a given time.
func (t *versionTracker) recordOrdersRead(at time.Duration) {
	t.ordersReadAt = max(t.ordersReadAt, at)
	t.hasReadOrders = true
}

// ordersReadDelay returns the time to wait before the orders are read for versions that are held
// back: until maxOrderDelay has passed since the newest version was first seen. A daemon that has
// not read the orders since its start reads them at once, because they may have been written before
// the daemon started.
func (t *versionTracker) ordersReadDelay(now time.Duration) time.Duration {
	if !t.hasReadOrders {
		return 0
	}
	lastOrderTime := time.Duration(0)
	for _, versions := range t.firstSeen {
		for _, seenAt := range versions {
			lastOrderTime = max(lastOrderTime, seenAt+maxOrderDelay)
		}
	}
	return max(lastOrderTime-now, 0)
}

// startOrdersReads starts to read the orders from the store until no version is held back any more,
// unless such reads are already running. Each daemon needs one or two calls for a new version,
// whether it sees that version early or late, and none while versions stay the same. The lock is
// held.
func (m *mesh) startOrdersReads() {
	if m.rollouts.readingOrders || m.listRolloutOrders == nil {
		return
	}
	m.rollouts.readingOrders = true
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.readOrdersWhileHeldBack()
	}()
}

// readOrdersWhileHeldBack runs the reads of startOrdersReads. It holds the lock except while it waits
// and reads.
func (m *mesh) readOrdersWhileHeldBack() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	defer func() { m.rollouts.readingOrders = false }()
	tracker := m.rollouts.versions
	for delay := tracker.ordersReadDelay(m.clock()); len(tracker.heldBackVersions(m.clock())) > 0; {
		m.mutex.Unlock()
		waited := pause.For(m.context, delay)
		began := m.clock()
		answered := waited && m.listRolloutOrders()
		m.mutex.Lock()
		if !waited {
			return
		}
		delay = ordersReadRetryDelay
		if answered {
			tracker.recordOrdersRead(began)
			delay = tracker.ordersReadDelay(m.clock())
		}
		m.schedulePublish()
	}
}
