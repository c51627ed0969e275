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
	heldTime = 2500 * time.Millisecond
	// heldLimit is how long a version is held back at most where the store doesn't tell
	// whether it has an order. Peers that know of one have told by then.
	heldLimit = 10 * time.Second
	// confirmPause is the time between two tries to read the orders.
	confirmPause = 500 * time.Millisecond
	// versionLimit bounds the versions of a service that are remembered as seen: more are
	// not in use at a time.
	versionLimit = 16
)

// sightings are the software versions that a daemon has seen. A version that is new beside
// others may have an order that limits its traffic, so it is held back until the orders
// were read late enough to tell. Not safe for concurrent use.
type sightings struct {
	// seen are the versions of each service and when each was first seen.
	seen map[resource.ServiceRef]map[string]time.Duration
	// confirmedAt is when the orders were last read; confirmed is false before the first
	// time.
	confirmedAt time.Duration
	confirmed   bool
}

func newSightings() *sightings {
	return &sightings{seen: map[resource.ServiceRef]map[string]time.Duration{}}
}

// note takes the versions of back ends that take work. Of those that a daemon sees first of
// a service, the most frequent one is taken for the one that was there before.
func (s *sightings) note(now time.Duration, members []protocol.Member) {
	if s.knows(members) {
		return // as nearly always, and views are built some times a second
	}
	for service, counts := range countVersions(members) {
		versions := s.seen[service]
		if versions == nil {
			versions = map[string]time.Duration{mostFrequent(counts): now - heldLimit}
			s.seen[service] = versions
		}
		for software := range counts {
			if _, known := versions[software]; !known {
				forgetOldest(versions)
				versions[software] = now
			}
		}
	}
}

// knows tells whether each version that takes work was seen before.
func (s *sightings) knows(members []protocol.Member) bool {
	for index := range members {
		member := &members[index]
		if !hasVersion(member) {
			continue
		}
		if _, known := s.seen[member.Service][member.Software]; !known {
			return false
		}
	}
	return true
}

// hasVersion tells whether a back end takes work and says what software it runs.
func hasVersion(member *protocol.Member) bool {
	return member.Software != "" && member.Endpoint.AcceptsCalls()
}

// countVersions counts the back ends of each service that take work by their version.
func countVersions(members []protocol.Member) map[resource.ServiceRef]map[string]int {
	counted := map[resource.ServiceRef]map[string]int{}
	for index := range members {
		member := &members[index]
		if !hasVersion(member) {
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
func mostFrequent(counts map[string]int) string {
	return lo.MaxBy(lo.Keys(counts), func(one, best string) bool {
		return cmp.Or(cmp.Compare(counts[one], counts[best]), cmp.Compare(best, one)) > 0
	})
}

// forgetOldest makes room for one more version of a service.
func forgetOldest(versions map[string]time.Duration) {
	if len(versions) < versionLimit {
		return
	}
	oldest := lo.MinBy(lo.Keys(versions), func(one, other string) bool { return versions[one] < versions[other] })
	delete(versions, oldest)
}

// held are the services with a version that is held back now.
func (s *sightings) held(now time.Duration) map[resource.ServiceRef]string {
	held := map[resource.ServiceRef]string{}
	for service, versions := range s.seen {
		for software, since := range versions {
			told := s.confirmed && s.confirmedAt >= since+heldTime
			if !told && now < since+heldLimit {
				held[service] = software
			}
		}
	}
	return held
}

// confirm notes that the orders as they were at a time are known.
func (s *sightings) confirm(at time.Duration) {
	s.confirmedAt = max(s.confirmedAt, at)
	s.confirmed = true
}

// confirmWait is how long to wait before the orders are read, for versions that are held
// back. A daemon that has not read them since its start does so at once: their orders may
// be older than it is.
func (s *sightings) confirmWait(now time.Duration) time.Duration {
	if !s.confirmed {
		return 0
	}
	latest := time.Duration(0)
	for _, versions := range s.seen {
		for _, since := range versions {
			latest = max(latest, since+heldTime)
		}
	}
	return max(latest-now, 0)
}

// confirmOrders reads the orders from the store until no version is held back any more;
// the lock is held. The first daemon that sees a new version and the last one each need
// one or two calls for that, and none while versions stay the same.
func (m *mesh) confirmOrders() {
	if m.rollouts.confirming || m.listOrders == nil {
		return
	}
	m.rollouts.confirming = true
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.confirmUntilKnown()
	}()
}

func (m *mesh) confirmUntilKnown() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	defer func() { m.rollouts.confirming = false }()
	versions := m.rollouts.versions
	for wait := versions.confirmWait(m.clock()); len(versions.held(m.clock())) > 0; {
		m.mutex.Unlock()
		fine := pause.For(m.context, wait)
		began := m.clock()
		known := fine && m.listOrders()
		m.mutex.Lock()
		if !fine {
			return
		}
		wait = confirmPause
		if known {
			versions.confirm(began)
			wait = versions.confirmWait(m.clock())
		}
		m.publishSoon()
	}
}
