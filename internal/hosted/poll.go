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
	targetPollers = 4
	// pollPeriod is the time between two such reads of one daemon where there are
	// pollersWanted of them. Where more zones ask for more of them, each reads less
	// often, so that the mesh makes five such reads a second.
	pollInterval = 800 * time.Millisecond
)

// pollForever reads the store now and then while this daemon is one of the
// pollers of its zone, and less often while the store fails.
func (m *mesh) pollLoop() {
	wait := pollInterval
	for m.awaitPoll(wait*3/4 + time.Duration(randomNumber()%uint64(wait/2))) {
		role, period := m.currentPollRole()
		if role == notPolling || m.pollInRole(role) {
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
	substituteDelay = 2 * minSilence
	// substituteFor is how long a daemon that was asked to goes on polling: until a poller that
	// still fails has asked again.
	substituteDuration = 4 * time.Second
	// substituteTries is how many daemons a poller asks in turn.
	maxSubstituteTries = 3
)

// awaitPoll waits for a time, or until a poller asks for a poll; false means that the daemon ends.
func (m *mesh) awaitPoll(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.pollRequested:
	case <-m.context.Done():
	}
	return m.context.Err() == nil
}

// pollAs reads the store, and tells whether it answered. Where it does not answer a poller soon, it
// may answer others of the zone: one of them is asked to poll.
func (m *mesh) pollInRole(role pollRole) bool {
	answered := make(chan bool, 1)
	m.running.Go(func() {
		fine := m.pollStore()
		m.recordPoll(fine)
		answered <- fine
	})
	if role == substituting {
		return <-answered
	}
	bound := time.NewTimer(substituteDelay)
	defer bound.Stop()
	select {
	case fine := <-answered:
		if !fine {
			m.requestSubstitutePoll()
		}
		return fine
	case <-bound.C:
	}
	m.requestSubstitutePoll()
	return <-answered
}

// askForPoll asks the daemons of the zone that come after this one by id, one after the other, until
// one can poll.
func (m *mesh) requestSubstitutePoll() {
	for _, candidate := range m.substituteCandidates() {
		m.mutex.Lock()
		request := m.newPushRequest(nil)
		m.mutex.Unlock()
		request.Poll = true
		if reply := m.callPeer(candidate, &request); reply != nil && !reply.StoreFails {
			return
		}
	}
}

// substitutes are the next daemons of the zone by id that answer.
func (m *mesh) substituteCandidates() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	near := lo.Reject(m.peerDirectory().PeersInOwnZone(), func(one dissemination.Peer, _ int) bool { return m.isLost(one.ID) })
	slices.SortFunc(near, func(a, b dissemination.Peer) int { return cmp.Compare(a.ID, b.ID) })
	next, _ := slices.BinarySearchFunc(near, m.self.ID, func(one dissemination.Peer, own protocol.NodeID) int {
		return cmp.Compare(one.ID, own)
	})
	ring := slices.Concat(near[next:], near[:next])
	return ring[:min(maxSubstituteTries, len(ring))]
}

// notePoll keeps whether a poll was answered.
func (m *mesh) recordPoll(answered bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastPollFailed = !answered
	m.lastPollAt = m.clock()
}

// pollFor has this daemon poll for a poller, and tells whether it does: not while the store does not
// answer it either.
func (m *mesh) acceptPollRequest() bool {
	storeFails := m.isStoreUnavailable()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if storeFails || m.lastPollFailed && m.clock()-m.lastPollAt < substituteDuration {
		return false
	}
	m.substituteUntil = m.clock() + substituteDuration
	select {
	case m.pollRequested <- struct{}{}:
	default: // it is about to
	}
	return true
}

// pollRole tells whether this daemon is one of the pollers of its zone, the first
// by id among those that answer, or polls for one, and how often it then reads the store.
func (m *mesh) currentPollRole() (pollRole, time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	directory := m.peerDirectory()
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
	period := pollInterval * time.Duration(max(zones, targetPollers)) / targetPollers
	switch {
	case before < max(1, targetPollers/zones):
		return polling, period
	case m.clock() < m.substituteUntil:
		return substituting, period
	}
	return notPolling, period
}

// announceTargets is how many daemons of the own zone are told of a version that
// watches may have missed. Each that takes it tells as many in turn, so that of a
// large zone all but one in 150 hear of it; comparisons reach those.
const announceTargetCount = 5

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
		directory := m.peerDirectory()
		near := directory.PeersInOwnZone()
		targets := samplePeers(near, announceTargetCount)
		if polled || randomNumber()%uint64(len(near)+1) == 0 {
			for _, zone := range directory.Zones() {
				if zone != m.self.Zone {
					targets = append(targets, samplePeers(directory.PeersInZone(zone), 1)...)
				}
			}
		}
		m.push(targets)
	}()
}
