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
	// targetPollers is the number of daemons that read the configuration from the store in addition
	// to their watches. It is divided equally among the zones, but each zone has at least one
	// poller. A watch may lag or miss a change, and all watches of a mesh may do so at once.
	targetPollers = 4
	// pollInterval is the mean time between two polls of one daemon if there are targetPollers of
	// them. If more zones require more pollers, each polls less often, so that the mesh makes five
	// polls per second.
	pollInterval = 800 * time.Millisecond
)

// pollLoop polls the store while this daemon is a poller of its zone or a substitute. After each poll
// that the store does not answer, the wait before the next one doubles up to a limit.
func (m *mesh) pollLoop() {
	wait := pollInterval
	for m.awaitPoll(wait*3/4 + time.Duration(randomNumber()%uint64(wait/2))) {
		role, period := m.currentPollRole()
		if role == notPolling || m.pollInRole(role) {
			wait = period
			continue
		}
		wait = min(2*wait, storeBackoff.Maximum/2)
	}
}

// pollRole is the reason why a daemon polls the store.
type pollRole int

// The poll roles.
const (
	notPolling pollRole = iota
	// polling is the role of a zone's pollers.
	polling
	// substituting is the role of a daemon that polls at the request of a poller.
	substituting
)

const (
	// substituteDelay is how long a poll may remain unanswered before another daemon is requested
	// to poll. It leaves time for a second attempt over a new connection.
	substituteDelay = 2 * minSilence
	// substituteDuration is how long a substitute polls after a request. A poller that still fails
	// requests it again within this time.
	substituteDuration = 4 * time.Second
	// maxSubstituteTries is the maximum number of daemons that a poller requests to poll, one after
	// the other.
	maxSubstituteTries = 3
)

// awaitPoll waits for the given time, or until another daemon requests a poll. It returns false if
// this daemon is stopping.
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

// pollInRole polls the store in a role, and reports whether the store answered. If it does not
// answer a poller within substituteDelay, another daemon of the zone is requested to poll, because
// the store may answer that daemon.
func (m *mesh) pollInRole(role pollRole) bool {
	result := make(chan bool, 1)
	m.running.Go(func() {
		answered := m.pollStore()
		m.recordPoll(answered)
		result <- answered
	})
	if role == substituting {
		return <-result
	}
	substituteTimer := time.NewTimer(substituteDelay)
	defer substituteTimer.Stop()
	select {
	case answered := <-result:
		if !answered {
			m.requestSubstitutePoll()
		}
		return answered
	case <-substituteTimer.C:
	}
	m.requestSubstitutePoll()
	return <-result
}

// requestSubstitutePoll requests the substitute candidates to poll, one after the other, until one
// accepts the request.
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

// substituteCandidates returns the next daemons of the zone after this one, in the cyclic order of
// their ids, without lost ones.
func (m *mesh) substituteCandidates() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	zonePeers := lo.Reject(m.peerDirectory().PeersInOwnZone(), func(peer dissemination.Peer, _ int) bool { return m.isLost(peer.ID) })
	slices.SortFunc(zonePeers, func(a, b dissemination.Peer) int { return cmp.Compare(a.ID, b.ID) })
	next, _ := slices.BinarySearchFunc(zonePeers, m.self.ID, func(peer dissemination.Peer, ownID protocol.NodeID) int {
		return cmp.Compare(peer.ID, ownID)
	})
	cyclic := slices.Concat(zonePeers[next:], zonePeers[:next])
	return cyclic[:min(maxSubstituteTries, len(cyclic))]
}

// recordPoll records whether a poll was answered.
func (m *mesh) recordPoll(answered bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastPollFailed = !answered
	m.lastPollAt = m.clock()
}

// acceptPollRequest makes this daemon poll as a substitute and returns true. It returns false without
// effect while the store does not answer this daemon either.
func (m *mesh) acceptPollRequest() bool {
	storeUnavailable := m.isStoreUnavailable()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if storeUnavailable || m.lastPollFailed && m.clock()-m.lastPollAt < substituteDuration {
		return false
	}
	m.substituteUntil = m.clock() + substituteDuration
	select {
	case m.pollRequested <- struct{}{}:
	default: // pollLoop is about to wake
	}
	return true
}

// currentPollRole returns the role of this daemon and the interval at which it then polls. The
// pollers of a zone are the first by id of its daemons that are not lost.
func (m *mesh) currentPollRole() (pollRole, time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	directory := m.peerDirectory()
	lowerIDs := 0
	for _, peer := range directory.PeersInOwnZone() {
		if peer.ID < m.self.ID && !m.isLost(peer.ID) {
			lowerIDs++
		}
	}
	zones := len(directory.Zones())
	if len(directory.PeersInOwnZone()) == 0 {
		zones++ // the own zone, which has no other daemon
	}
	period := pollInterval * time.Duration(max(zones, targetPollers)) / targetPollers
	switch {
	case lowerIDs < max(1, targetPollers/zones):
		return polling, period
	case m.clock() < m.substituteUntil:
		return substituting, period
	}
	return notPolling, period
}

// announceTargetCount is the number of daemons of the own zone that are notified of a version that
// watches may have missed. Each daemon that adopts the version notifies as many others. In a large
// zone this misses about one daemon in 150, which receives the version when it compares records.
const announceTargetCount = 5

// announceVersion notifies some peers of the own zone of the version in force here. If polled is set,
// that is, if this daemon read the version from the store itself, it also notifies one peer of each
// other zone. Otherwise it does so with a probability of 1 divided by the number of daemons of the
// zone, so that on average one of them does. It does not wait for answers.
func (m *mesh) announceVersion(polled bool) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		directory := m.peerDirectory()
		zonePeers := directory.PeersInOwnZone()
		targets := samplePeers(zonePeers, announceTargetCount)
		if polled || randomNumber()%uint64(len(zonePeers)+1) == 0 {
			for _, zone := range directory.Zones() {
				if zone != m.self.Zone {
					targets = append(targets, samplePeers(directory.PeersInZone(zone), 1)...)
				}
			}
		}
		m.push(targets)
	}()
}
