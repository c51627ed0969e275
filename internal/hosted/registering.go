package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

// register reads the registry, leaves the daemon's own registration there unless
// it stands there already, and meets the daemons listed. Who registers last
// reads all others, so that daemons that start together find each other.
func (m *mesh) register() {
	for m.context.Err() == nil {
		if m.readRegistry() && m.putRegistration() {
			m.meet()
			return
		}
		if !pause.For(m.context, registryPause/2+time.Duration(randomNumber()%uint64(registryPause))) {
			return
		}
	}
}

func (m *mesh) readRegistry() bool {
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	listed, err := m.registry.List(ctx)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.setRegistered(listed)
	return true
}

func (m *mesh) putRegistration() bool {
	m.mutex.Lock()
	mine := authority.Registration{
		ID: m.self.ID, Address: m.self.ControlAddress, Zone: m.self.Zone, Region: m.self.Region,
	}
	known := slices.Contains(m.registered, mine)
	m.mutex.Unlock()
	if known {
		return true
	}
	defer m.readRegistry()
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	if err := m.registry.Put(ctx, mine); err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	return true
}

// meetNear is how many daemons of the own zone a start compares records with: the
// relay, the one that is told what the relay is told, and one more.
const meetNear = 3

// meet compares records with some peers, the relay of the own zone first, and has
// the own record broadcast.
func (m *mesh) meet() {
	for _, target := range m.meetTargets() {
		m.compare(target)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tellSelf()
}

// meetTargets are the peers that a start compares records with.
func (m *mesh) meetTargets() []dissemination.Peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	near, far := m.nearAndFar()
	targets := slices.Clone(near[:min(meetNear, len(near))])
	return append(targets, drawn(far, 1)...)
}

// relist reads the registry again when no peer answers.
func (m *mesh) relist() {
	m.mutex.Lock()
	isolated := m.clock()-m.heardAt > isolatedAfter
	if isolated {
		m.heardAt = m.clock()
	}
	m.mutex.Unlock()
	if isolated {
		m.readRegistry()
	}
}

// leave tells peers that the daemon ends.
func (m *mesh) leave(ctx context.Context) {
	m.mutex.Lock()
	m.self.State = protocol.MemberLeft
	m.pushSelf()
	m.broadcast() // what was gathered would be lost
	m.mutex.Unlock()
	pause.For(ctx, leaveWait)
}

// leaveWait is how long the last pushes may take.
const leaveWait = 50 * time.Millisecond

// unregister takes the daemon's registration away, because its machine goes.
func (m *mesh) unregister(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := m.registry.Remove(bounded, m.self.ID); err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
	}
}
