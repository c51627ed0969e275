package hosted

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// pollersWanted is how many daemons read the store besides their watches, by
	// equal parts of the zones but at least one of each. A watch may lag or be silent
	// about a change, and all watches of a mesh at the same time.
	pollersWanted = 4
	// pollPeriod is the time between two such reads of one daemon where there are
	// pollersWanted of them. Where more zones ask for more of them, each reads less
	// often, so that the mesh makes five such reads a second.
	pollPeriod = 800 * time.Millisecond
)

// pollForever reads the store now and then while this daemon is one of the
// pollers of its zone, and less often while the store fails.
func (m *mesh) pollForever() {
	wait := pollPeriod
	for m.awaitPoll(wait*3/4 + time.Duration(randomNumber()%uint64(wait/2))) {
		role, period := m.pollRole()
		if role == notPolling || m.pollAs(role) {
			wait = period
			continue
		}
		wait = min(2*wait, registryBackoff.Maximum/2)
	}
}

// pollRole says why a daemon polls, if it does.
type pollRole int

// The roles.
const (
	notPolling pollRole = iota
	// polling is that of the pollers of a zone.
	polling
	// substituting is that of a daemon that polls for one of them.
	substituting
)

const (
	// substituteAfter is how long a poll may go without an answer before another daemon is asked
	// to poll. It leaves a second try over a new connection its time.
	substituteAfter = 2 * leastSilence
	// substituteFor is how long a daemon that was asked to goes on polling: until a poller that
	// still fails has asked again.
	substituteFor = 4 * time.Second
	// substituteTries is how many daemons a poller asks in turn.
	substituteTries = 3
)

// awaitPoll waits for a time, or until a poller asks for a poll; false means that the daemon ends.
func (m *mesh) awaitPoll(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.pollNow:
	case <-m.context.Done():
	}
	return m.context.Err() == nil
}

// pollAs reads the store, and tells whether it answered. Where it does not answer a poller soon, it
// may answer others of the zone: one of them is asked to poll.
func (m *mesh) pollAs(role pollRole) bool {
	answered := make(chan bool, 1)
	m.running.Go(func() {
		fine := m.poll()
		m.notePoll(fine)
		answered <- fine
	})
	if role == substituting {
		return <-answered
	}
	bound := time.NewTimer(substituteAfter)
	defer bound.Stop()
	select {
	case fine := <-answered:
		if !fine {
			m.askForPoll()
		}
		return fine
	case <-bound.C:
	}
	m.askForPoll()
	return <-answered
}

// askForPoll asks the daemons of the zone that come after this one by id, one after the other, until
// one can poll.
func (m *mesh) askForPoll() {
	for _, candidate := range m.substitutes() {
		m.mutex.Lock()
		request := m.pushRequest(nil)
		m.mutex.Unlock()
		request.Poll = true
		if reply := m.call(candidate, &request); reply != nil && !reply.StoreFails {
			return
		}
	}
}

// substitutes are the next daemons of the zone by id that answer.
func (m *mesh) substitutes() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	near := lo.Reject(m.peers().PeersInOwnZone(), func(one dissemination.Peer, _ int) bool { return m.isLost(one.ID) })
	slices.SortFunc(near, func(a, b dissemination.Peer) int { return cmp.Compare(a.ID, b.ID) })
	next, _ := slices.BinarySearchFunc(near, m.self.ID, func(one dissemination.Peer, own protocol.NodeID) int {
		return cmp.Compare(one.ID, own)
	})
	ring := slices.Concat(near[next:], near[:next])
	return ring[:min(substituteTries, len(ring))]
}

// notePoll keeps whether a poll was answered.
func (m *mesh) notePoll(answered bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pollsFail = !answered
	m.polledAt = m.clock()
}

// pollFor has this daemon poll for a poller, and tells whether it does: not while the store does not
// answer it either.
func (m *mesh) pollFor() bool {
	storeFails := m.storeFails()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if storeFails || m.pollsFail && m.clock()-m.polledAt < substituteFor {
		return false
	}
	m.pollUntil = m.clock() + substituteFor
	select {
	case m.pollNow <- struct{}{}:
	default: // it is about to
	}
	return true
}

// pollRole tells whether this daemon is one of the pollers of its zone, the first
// by id among those that answer, or polls for one, and how often it then reads the store.
func (m *mesh) pollRole() (pollRole, time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	directory := m.peers()
	before := 0
	for _, one := range directory.PeersInOwnZone() {
		if one.ID < m.self.ID && !m.isLost(one.ID) {
			before++
		}
	}
	zones := len(directory.Zones())
	if len(directory.PeersInOwnZone()) == 0 {
		zones++ // the own one
	}
	period := pollPeriod * time.Duration(max(zones, pollersWanted)) / pollersWanted
	switch {
	case before < max(1, pollersWanted/zones):
		return polling, period
	case m.clock() < m.pollUntil:
		return substituting, period
	}
	return notPolling, period
}

// announceTargets is how many daemons of the own zone are told of a version that
// watches may have missed. Each that takes it tells as many in turn, so that of a
// large zone all but one in 150 hear of it; comparisons reach those.
const announceTargets = 5

// announceVersion tells some peers of the own zone and, as often as each zone has
// about one such daemon, one of each other zone, which version is in force here.
// polled says that this daemon has read it from the store itself. It does not
// wait for them.
func (m *mesh) announceVersion(polled bool) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		directory := m.peers()
		near := directory.PeersInOwnZone()
		targets := drawn(near, announceTargets)
		if polled || randomNumber()%uint64(len(near)+1) == 0 {
			for _, zone := range directory.Zones() {
				if zone != m.self.Zone {
					targets = append(targets, drawn(directory.PeersInZone(zone), 1)...)
				}
			}
		}
		m.push(targets)
	}()
}
