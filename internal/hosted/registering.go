package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

// register reads the registry, leaves the daemon's own registration there unless it
// stands there already, and compares records with daemons listed. Who had to register
// reads the list again at once, so that of daemons that start together the last one
// knows all others, and once more when what may lag behind has come.
func (m *mesh) register() {
	if !m.retryUntilDone(m.readRegistry) {
		return
	}
	defer m.recheckRegistration()
	if m.isRegistered() {
		m.syncAtStartup()
		return
	}
	if !m.retryUntilDone(m.putRegistration) || !m.retryUntilDone(m.readRegistry) {
		return
	}
	m.syncAtStartup()
	if pause.For(m.context, registryLag) && m.retryUntilDone(m.readRegistry) {
		m.syncAtStartup()
	}
}

// lateWriteTime is within what time the store has carried out a call that it did not answer,
// if it ever does.
const maxLateWriteDelay = 15 * time.Second

// confirmRegistered looks once more, when no write of an earlier start can come any more,
// whether the daemon is registered: such a start may have taken the registration away, and its
// call, or the news of it, may come after this one's list.
func (m *mesh) recheckRegistration() {
	if pause.For(m.context, maxLateWriteDelay) {
		m.retryUntilDone(m.ensureRegistered)
	}
}

// ensureRegistered writes the registration unless it stands, and tells whether the store
// answered. A daemon that leaves may have taken it away itself.
func (m *mesh) ensureRegistered() bool {
	return m.readRegistry() && (m.isRegistered() || m.hasLeft() || m.putRegistration())
}

// registrationPurpose names the ranking by which the daemons are chosen that look for lost
// registrations.
const registrationPurpose = "registration"

const (
	// registrationCheckers is how many daemons look for lost registrations after the store has
	// come back from an older copy.
	registrationCheckers = 2
	// registrationCheckAfter is how long after that the first one looks, and by how much later
	// the next: until then operators and back ends write again what was lost too.
	registrationCheckDelay = 500 * time.Millisecond
)

// checkRegistrations tells the daemons whose registrations the store has lost, if this daemon is one
// of those that look. It does not block.
func (m *mesh) checkRegistrations(uint64) {
	m.mutex.Lock()
	rank := m.rankFor(registrationPurpose)
	m.mutex.Unlock()
	if rank >= registrationCheckers {
		return
	}
	m.running.Go(func() {
		if pause.For(m.context, registrationCheckDelay*time.Duration(rank+1)) {
			m.retryUntilDone(m.notifyUnregistered)
		}
	})
}

// findUnregistered reads the registry and tells the daemons that it lacks.
func (m *mesh) notifyUnregistered() bool {
	if !m.refreshRegistry(authority.Linearizable) {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stands := lo.SliceToMap(m.registrations, func(one authority.Registration) (protocol.NodeID, bool) { return one.ID, true })
	m.roster.Each(func(member protocol.Member) {
		if stands[member.ID] || member.State == protocol.MemberLeft {
			return
		}
		if member.ID == m.self.ID {
			m.restoreRegistration()
			return
		}
		request := m.newPushRequest(nil)
		request.Unregistered = true
		if peer, found := m.peerDirectory().Find(member.ID); found {
			m.sendToFirstReachable([]dissemination.Peer{peer}, request, false)
		}
	})
	return true
}

// registerAgain writes the daemon's registration that the store has lost. It does not block.
func (m *mesh) restoreRegistration() {
	if m.registering.Swap(true) {
		return
	}
	m.running.Go(func() {
		defer m.registering.Store(false)
		m.retryUntilDone(func() bool { return m.hasLeft() || m.putRegistration() })
		m.events.event("registration_written_again")
	})
}

func (m *mesh) hasLeft() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self.State == protocol.MemberLeft
}

// untilDone tries a call to the store until it succeeds; false means that the
// daemon has ended.
func (m *mesh) retryUntilDone(call func() bool) bool {
	for failures := 0; m.context.Err() == nil; failures++ {
		if call() {
			return true
		}
		if !pause.For(m.context, registryBackoff.Delay(failures, randomNumber())) {
			return false
		}
	}
	return false
}

// registryBackoff is the pause between tries to reach the registry.
var registryBackoff = following.DefaultBackoff()

func (m *mesh) readRegistry() bool { return m.refreshRegistry(authority.Lagging) }

// refreshRegistry lists the registrations, and tells whether the store answered.
func (m *mesh) refreshRegistry(freshness authority.Freshness) bool {
	listed, err := readStore(m.reads, m.context, purposeList, storeReadTimeout, func(ctx context.Context) ([]authority.Registration, error) {
		return m.registry.List(ctx, freshness)
	})
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.setRegistrations(listed)
	return true
}

// registration is what the daemon leaves in the registry; the lock is held.
func (m *mesh) ownRegistration() authority.Registration {
	return authority.Registration{
		ID: m.self.ID, Address: m.self.ControlAddress, Zone: m.self.Zone, Region: m.self.Region,
	}
}

// isRegistered tells whether the registry has named the daemon as it is.
func (m *mesh) isRegistered() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Contains(m.registrations, m.ownRegistration())
}

func (m *mesh) putRegistration() bool {
	m.mutex.Lock()
	mine := m.ownRegistration()
	m.mutex.Unlock()
	ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
	defer cancel()
	err := m.registry.Put(ctx, mine)
	m.storeCalls.recordError(purposeRegister, err)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	return true
}

// startPeerCount is how many daemons of the own zone a start compares records with: the
// relay, the one that is told what the relay is told, and one more.
const startupPeerCount = 3

// syncAtStart compares records with some peers, the relay of the own zone first, and has
// the own record broadcast.
func (m *mesh) syncAtStartup() {
	for _, target := range m.startupPeers() {
		m.compareWith(target)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.broadcastOwnRecord()
}

// startPeers are the peers that a start compares records with.
func (m *mesh) startupPeers() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	near, far := m.peerDirectory().PeersInOwnZone(), m.peerDirectory().PeersInOtherZones()
	targets := slices.Clone(near[:min(startupPeerCount, len(near))])
	return append(targets, samplePeers(far, 1)...)
}

// relist reads the registry again when no peer answers.
func (m *mesh) relistIfIsolated() {
	m.mutex.Lock()
	isolated := m.clock()-m.lastPeerContact > isolatedAfter
	if isolated {
		m.lastPeerContact = m.clock()
	}
	m.mutex.Unlock()
	if isolated {
		m.readRegistry()
	}
}

// leave tells peers that the daemon ends.
func (m *mesh) announceLeave(ctx context.Context) {
	m.mutex.Lock()
	m.self.State = protocol.MemberLeft
	m.announceSelf()
	m.broadcastBatch() // what was gathered would be lost
	m.mutex.Unlock()
	pause.For(ctx, leaveWait)
}

// leaveWait is how long the last pushes may take.
const leaveWait = 50 * time.Millisecond

// unregister takes the daemon's registration away, because its machine goes.
func (m *mesh) unregister(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := m.registry.Remove(bounded, m.self.ID)
	m.storeCalls.recordError(purposeUnregister, err)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
	}
}
