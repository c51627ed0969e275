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

// register reads the registry, writes the daemon's own registration unless the registry
// contains it, and compares records with listed daemons. After writing its registration, the
// daemon reads the list again at once, so that of several daemons that start together the last one
// to register sees all others. It reads the list once more after registryLag, because the list may
// lag behind the latest registrations.
func (m *mesh) register() {
	if !m.retryUntilDone(m.refreshRegistryLagging) {
		return
	}
	defer m.recheckRegistration()
	if m.isRegistered() {
		m.syncAtStartup()
		return
	}
	if !m.retryUntilDone(m.putRegistration) || !m.retryUntilDone(m.refreshRegistryLagging) {
		return
	}
	m.syncAtStartup()
	if pause.For(m.context, registryLag) && m.retryUntilDone(m.refreshRegistryLagging) {
		m.syncAtStartup()
	}
}

// maxLateWriteDelay is the time after which the store no longer carries out a call that it
// did not answer.
const maxLateWriteDelay = 15 * time.Second

// recheckRegistration waits for maxLateWriteDelay and then writes the registration if it is missing.
// An earlier start of the daemon may have sent a call that removes the registration and takes effect,
// or becomes visible, only after register has read the list. After maxLateWriteDelay no such call
// can take effect any more.
func (m *mesh) recheckRegistration() {
	if pause.For(m.context, maxLateWriteDelay) {
		m.retryUntilDone(m.ensureRegistered)
	}
}

// ensureRegistered writes the registration if the registry does not contain it, and reports
// whether its calls to the store succeeded. It writes nothing after the daemon has left the mesh,
// because the daemon may then have removed the registration itself. It reads the own registration
// alone: lists of all daemons by all daemons grow with the square of their number.
func (m *mesh) ensureRegistered() bool {
	m.mutex.Lock()
	own := m.ownRegistration()
	m.mutex.Unlock()
	isFound, err := readStore(m.reads, m.context, purposeList, storeReadTimeout, func(ctx context.Context) (bool, error) {
		registered, isFound, err := m.registry.Find(ctx, own.ID, authority.Lagging)
		return isFound && registered == own, err
	})
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	return isFound || m.hasLeft() || m.putRegistration()
}

// registrationPurpose is the name of the ranking that selects the daemons that check for lost
// registrations.
const registrationPurpose = "registration"

const (
	// registrationCheckers is the number of daemons that check for lost registrations after the
	// store has been restored from an older copy.
	registrationCheckers = 2
	// registrationCheckDelay is the time from the restore to the first daemon's check, and from
	// there to the next one's. In this time operators and back ends also rewrite lost entries.
	registrationCheckDelay = 500 * time.Millisecond
)

// checkRegistrations is called when the era of the store has risen, that is, after a restore. If
// this daemon is one of the registrationCheckers, it starts a check for lost registrations. It
// does not block.
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

// notifyUnregistered reads the registry, notifies each known daemon whose registration is
// missing, and restores the own registration if that is missing. It reports whether the store
// answered.
func (m *mesh) notifyUnregistered() bool {
	if !m.refreshRegistry(authority.Linearizable) {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	registered := lo.SliceToMap(m.registrations, func(registration authority.Registration) (protocol.NodeID, bool) { return registration.ID, true })
	m.roster.Each(func(member protocol.Member) {
		if registered[member.ID] || member.State == protocol.MemberLeft {
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

// restoreRegistration writes the daemon's registration again after the store has lost it, unless
// a call of restoreRegistration is already doing so. It does not block.
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

// retryUntilDone repeats a call to the store, with delays by storeBackoff, until it succeeds.
// It returns false if the daemon stops first.
func (m *mesh) retryUntilDone(call func() bool) bool {
	for failures := 0; m.context.Err() == nil; failures++ {
		if call() {
			return true
		}
		if !pause.For(m.context, storeBackoff.Delay(failures, randomNumber())) {
			return false
		}
	}
	return false
}

// storeBackoff computes the delay between two attempts of a call to the store.
var storeBackoff = following.DefaultBackoff()

// refreshRegistryLagging is refreshRegistry with a list that may lag behind the registry.
func (m *mesh) refreshRegistryLagging() bool { return m.refreshRegistry(authority.Lagging) }

// refreshRegistry replaces the known registrations by those in the registry, and reports whether
// the store answered.
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

// ownRegistration returns the registration that the daemon writes to the registry. The lock is
// held.
func (m *mesh) ownRegistration() authority.Registration {
	return authority.Registration{
		ID: m.self.ID, Address: m.self.ControlAddress, Zone: m.self.Zone, Region: m.self.Region,
	}
}

// isRegistered reports whether the last list of the registry contained the daemon's registration
// with its present fields.
func (m *mesh) isRegistered() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Contains(m.registrations, m.ownRegistration())
}

func (m *mesh) putRegistration() bool {
	m.mutex.Lock()
	registration := m.ownRegistration()
	m.mutex.Unlock()
	ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
	defer cancel()
	err := m.registry.Put(ctx, registration)
	m.storeCalls.recordError(purposeRegister, err)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	return true
}

// deputyCount is the number of daemons of the own zone to which a daemon sends its record itself, and
// with which it compares records when it starts again.
const deputyCount = 2

// syncAtStartup compares records with some peers, the own deputies first, and then has the own record
// broadcast.
func (m *mesh) syncAtStartup() {
	for _, target := range m.startupPeers() {
		m.compareWith(target)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.broadcastOwnRecord()
}

// startupPeers returns the peers with which a starting daemon compares records: its deputies, and a
// random daemon of its own zone and of another zone.
func (m *mesh) startupPeers() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	deputies, otherZones := m.peerDirectory().Deputies(), m.peerDirectory().PeersInOtherZones()
	count := min(deputyCount, len(deputies))
	return slices.Concat(deputies[:count], samplePeers(deputies[count:], 1), samplePeers(otherZones, 1))
}

// relistIfIsolated reads the registry again if no peer has answered for isolatedAfter.
func (m *mesh) relistIfIsolated() {
	m.mutex.Lock()
	isolated := m.clock()-m.lastPeerContact > isolatedAfter
	if isolated {
		m.lastPeerContact = m.clock()
	}
	m.mutex.Unlock()
	if isolated {
		m.refreshRegistryLagging()
	}
}

// announceLeave notifies peers that the daemon is leaving the mesh, and waits for the
// notifications to be sent.
func (m *mesh) announceLeave(ctx context.Context) {
	m.mutex.Lock()
	m.self.State = protocol.MemberLeft
	m.announceSelf()
	m.broadcastBatch() // the batched records would be lost otherwise
	m.mutex.Unlock()
	pause.For(ctx, leaveWait)
}

// leaveWait is the time allowed for the last pushes before the daemon stops.
const leaveWait = 50 * time.Millisecond

// unregister removes the daemon's registration. It is called when the back end has left, which
// means that the machine is being removed.
func (m *mesh) unregister(ctx context.Context) {
	removeCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := m.registry.Remove(removeCtx, m.self.ID)
	m.storeCalls.recordError(purposeUnregister, err)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
	}
}
