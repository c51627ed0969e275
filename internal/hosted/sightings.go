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
	// heldTime is how long after a version was first seen its order may be written: an
	// operator starts its back ends beside the order, and they may register first.
	maxOrderDelay = 2500 * time.Millisecond
	// heldLimit is how long a version is held back at most where the store doesn't tell
	// whether it has an order. Peers that know of one have told by then.
	maxHoldBackTime = 10 * time.Second
	// confirmPause is the time between two tries to read the orders.
	ordersReadRetryDelay = 500 * time.Millisecond
	// versionLimit bounds the versions of a service that are remembered as seen: more are
	// not in use at a time.
	maxVersionsPerService = 16
)

// sightings are the software versions that a daemon has seen. A version that is new beside
// others may have an order that limits its traffic, so it is held back until the orders
// were read late enough to tell. Not safe for concurrent use.
type versionTracker struct {
	// seen are the versions of each service and when each was first seen.
	firstSeen map[resource.ServiceRef]map[string]time.Duration
	// confirmedAt is when the orders were last read; confirmed is false before the first
	// time.
	ordersReadAt time.Duration
	ordersRead   bool
}

func newVersionTracker() *versionTracker {
	return &versionTracker{firstSeen: map[resource.ServiceRef]map[string]time.Duration{}}
}

// note takes the versions of back ends that take work. Of those that a daemon sees first of
// a service, the most frequent one is taken for the one that was there before.
func (s *versionTracker) record(now time.Duration, members []protocol.Member) {
	if s.hasSeenAll(members) {
		return // as nearly always, and views are built some times a second
	}
	for service, counts := range countVersions(members) {
		versions := s.firstSeen[service]
		if versions == nil {
			versions = map[string]time.Duration{mostFrequentVersion(counts): now - maxHoldBackTime}
			s.firstSeen[service] = versions
		}
		for software := range counts {
			if _, known := versions[software]; !known {
				removeOldestIfFull(versions)
				versions[software] = now
			}
		}
	}
}

// knows tells whether each version that takes work was seen before.
func (s *versionTracker) hasSeenAll(members []protocol.Member) bool {
	for index := range members {
		member := &members[index]
		if !reportsVersion(member) {
			continue
		}
		if _, known := s.firstSeen[member.Service][member.Software]; !known {
			return false
		}
	}
	return true
}

// hasVersion tells whether a back end takes work and says what software it runs.
func reportsVersion(member *protocol.Member) bool {
	return member.Software != "" && member.Endpoint.AcceptsCalls()
}

// countVersions counts the back ends of each service that take work by their version.
func countVersions(members []protocol.Member) map[resource.ServiceRef]map[string]int {
	counted := map[resource.ServiceRef]map[string]int{}
	for index := range members {
		member := &members[index]
		if !reportsVersion(member) {
			continue
		}
		if counted[member.Service] == nil {
			counted[member.Service] = map[string]int{}
		}
		counted[member.Service][member.Software]++
	}
	return counted
}

// mostFrequent is the version with the most back ends, and of several the first by name, so
// that all daemons choose alike.
func mostFrequentVersion(counts map[string]int) string {
	return lo.MaxBy(lo.Keys(counts), func(one, best string) bool {
		return cmp.Or(cmp.Compare(counts[one], counts[best]), cmp.Compare(best, one)) > 0
	})
}

// forgetOldest makes room for one more version of a service.
func removeOldestIfFull(versions map[string]time.Duration) {
	if len(versions) < maxVersionsPerService {
		return
	}
	oldest := lo.MinBy(lo.Keys(versions), func(one, other string) bool { return versions[one] < versions[other] })
	delete(versions, oldest)
}

// held are the services with a version that is held back now.
func (s *versionTracker) heldBack(now time.Duration) map[resource.ServiceRef]string {
	held := map[resource.ServiceRef]string{}
	for service, versions := range s.firstSeen {
		for software, since := range versions {
			told := s.ordersRead && s.ordersReadAt >= since+maxOrderDelay
			if !told && now < since+maxHoldBackTime {
				held[service] = software
			}
		}
	}
	return held
}

// confirm notes that the orders as they were at a time are known.
func (s *versionTracker) recordOrdersRead(at time.Duration) {
	s.ordersReadAt = max(s.ordersReadAt, at)
	s.ordersRead = true
}

// confirmWait is how long to wait before the orders are read, for versions that are held
// back. A daemon that has not read them since its start does so at once: their orders may
// be older than it is.
func (s *versionTracker) ordersReadDelay(now time.Duration) time.Duration {
	if !s.ordersRead {
		return 0
	}
	latest := time.Duration(0)
	for _, versions := range s.firstSeen {
		for _, since := range versions {
			latest = max(latest, since+maxOrderDelay)
		}
	}
	return max(latest-now, 0)
}

// confirmOrders reads the orders from the store until no version is held back any more;
// the lock is held. The first daemon that sees a new version and the last one each need
// one or two calls for that, and none while versions stay the same.
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

func (m *mesh) readOrdersWhileHeldBack() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	defer func() { m.rollouts.readingOrders = false }()
	versions := m.rollouts.versions
	for wait := versions.ordersReadDelay(m.clock()); len(versions.heldBack(m.clock())) > 0; {
		m.mutex.Unlock()
		fine := pause.For(m.context, wait)
		began := m.clock()
		known := fine && m.listRolloutOrders()
		m.mutex.Lock()
		if !fine {
			return
		}
		wait = ordersReadRetryDelay
		if known {
			versions.recordOrdersRead(began)
			wait = versions.ordersReadDelay(m.clock())
		}
		m.schedulePublish()
	}
}
